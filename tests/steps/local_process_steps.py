"""Steps for the tools that start and end local processes."""

from __future__ import annotations

import re
import socket

import pynng
from behave import then, when

from devtools.processes import port_of_socket, reserve_port, source_root

PIN = re.compile(r'^[A-Za-z0-9._-]+==[A-Za-z0-9.+!]+$')


@when('the local deployment stops all its processes')
def stop_deployment(context):
    """Stop all processes at once and keep their exit codes."""
    context.deployment.stop()
    context.exit_codes = {
        process.name: process.popen.returncode
        for process in context.deployment.processes()
    }


@then("every daemon's log tells that it stopped")
def check_daemon_logs(context):
    """Check the last change of state of each daemon."""
    for process in context.deployment.daemons.values():
        assert 'state=stopped' in process.log_text(), process.log_text()


@then('each line of the constraints pins one library')
def check_constraints(context):
    """Check the form of each line."""
    lines = (source_root() / 'constraints.txt').read_text().splitlines()
    wrong = [line for line in lines if not PIN.match(line)]
    assert lines and not wrong, wrong


@when(
    '{count:d} ports are reserved and {others:d} others are taken from the '
    'kernel'
)
def reserve_ports(context, count, others):
    """Reserve ports, then let the kernel choose others."""
    context.reserved = [reserve_port() for _ in range(count)]
    taken = [socket.create_server(('127.0.0.1', 0)) for _ in range(others)]
    context.taken = {port_of_socket(one) for one in taken}
    for one in (*context.reserved, *taken):
        context.add_cleanup(one.close)


@then('none of the others is reserved')
def check_reserved(context):
    """Compare the ports."""
    reserved = {port_of_socket(one) for one in context.reserved}
    assert not reserved & context.taken, reserved & context.taken


@then('a listener of the product takes a reserved port')
def check_listener(context):
    """Let a control socket listen on a reserved port."""
    port = port_of_socket(context.reserved[0])
    with pynng.Rep0() as listener:
        listener.listen(f'tcp://127.0.0.1:{port}')
        with pynng.Req0() as client:
            client.dial(f'tcp://127.0.0.1:{port}', block=True)
