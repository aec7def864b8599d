"""Steps for a caller that connects while a daemon stops."""

from __future__ import annotations

import signal
import socket
import time

from behave import then, when

ANSWER_LIMIT_S = 5
READ_BYTES = 65536


@when(
    'a caller connects to "{daemon}" {connect_s:g} s after its SIGTERM and '
    'sends its call {send_s:g} s later'
)
def connect_late(context, daemon, connect_s, send_s):
    """Connect before the listener closes and send the call after that."""
    process = context.deployment.daemons[daemon]
    host, _, port = process.addresses['http'].rpartition(':')
    process.send_signal(signal.SIGTERM)
    time.sleep(connect_s)
    with socket.create_connection((host, int(port)), ANSWER_LIMIT_S) as caller:
        time.sleep(send_s)
        caller.sendall(b'GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\n\r\n')
        context.late_answer = caller.recv(READ_BYTES)


@then('that late call is answered')
def check_late_answer(context):
    """Check that the response has an outcome."""
    assert b'Burdocklead-Outcome: ' in context.late_answer, context.late_answer
