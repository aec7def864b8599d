"""Steps for the tools that start and stop local processes."""

from __future__ import annotations

import re
import socket

import pynng
from behave import then, when

from devtools.processes import port_of_socket, reserve_port, source_root

PIN = re.compile(r'^[A-Za-z0-9._-]+==[A-Za-z0-9.+!]+$')


@when('the local deployment stops all its processes')
def stop_deployment(context):
    """Stop all processes and keep their exit codes."""
    context.deployment.stop()
    context.exit_codes = {
        process.name: process.popen.returncode
        for process in context.deployment.processes()
    }


@then("every daemon's log reports the state stopped")
def check_daemon_logs(context):
    """Check that each daemon logged its last state."""
    for process in context.deployment.daemons.values():
        assert 'state=stopped' in process.log_text(), process.log_text()


@then('each line of the constraints pins one package')
def check_constraints(context):
    """Check that each line has the form ``name==version``."""
    lines = (source_root() / 'constraints.txt').read_text().splitlines()
    wrong = [line for line in lines if not PIN.match(line)]
    assert lines and not wrong, wrong


@when('{count:d} ports are reserved and the kernel assigns {others:d} others')
def reserve_ports(context, count, others):
    """Reserve ports, then let the kernel assign others."""
    context.reserved = [reserve_port() for _ in range(count)]
    assigned = [socket.create_server(('127.0.0.1', 0)) for _ in range(others)]
    context.assigned = {port_of_socket(one) for one in assigned}
    for one in (*context.reserved, *assigned):
        context.add_cleanup(one.close)


@then('the kernel assigned no reserved port')
def check_reserved(context):
    """Check that reserved and assigned ports are disjoint."""
    reserved = {port_of_socket(one) for one in context.reserved}
    assert not reserved & context.assigned, reserved & context.assigned


@then('a control listener can bind a reserved port')
def check_listener(context):
    """Listen on a reserved port as a control replica does, and connect."""
    port = port_of_socket(context.reserved[0])
    with pynng.Rep0() as listener:
        listener.listen(f'tcp://127.0.0.1:{port}')
        with pynng.Req0() as client:
            client.dial(f'tcp://127.0.0.1:{port}', block=True)
