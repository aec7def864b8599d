"""Steps for log streams and limits of log lines."""

from __future__ import annotations

import os
import subprocess
import sys
import time

from behave import given, then, when

from burdocklead.log_stream import LogRateLimit, LogStream

END_LIMIT_S = 30
PROGRAM = """
import sys
import logbook
from burdocklead.logs import start_logging
start_logging('json', 'info')
log = logbook.Logger('loop')
for number in range(2000):
    log.info(f'line {number}')
sys.stderr.write('reached the end')
"""


@given('a log stream into a pipe that nobody reads')
def open_stream(context):
    """Create a pipe and a log stream that writes into it."""
    reader, writer = os.pipe()
    context.reader = reader
    context.add_cleanup(os.close, reader)
    context.stream = LogStream(writer)


@when('{count:d} lines of {size:d} bytes are written')
def write_lines(context, count, size):
    """Write lines and measure the time."""
    started = time.monotonic()
    for _ in range(count):
        context.stream.write(f'{"x" * (size - 1)}\n')
    context.elapsed = time.monotonic() - started


@then('writing took less than {limit:d} s')
def check_time(context, limit):
    """Check that writing did not block."""
    assert context.elapsed < limit, context.elapsed


@when('the pipe is read and one more line is written')
def read_pipe(context):
    """Read until all buffered lines are written."""
    os.set_blocking(context.reader, False)
    context.received = b''
    context.stream.write('last\n')
    for _ in range(10000):
        context.stream.flush()
        try:
            context.received += os.read(context.reader, 65536)
        except BlockingIOError:
            break
    context.stream.write('')
    context.stream.flush()
    context.received += os.read(context.reader, 65536)


@then('the lines read and the lines left out add up to {count:d}')
def check_lines(context, count):
    """Check that every line was read or counted as left out."""
    lines = context.received.decode().splitlines()
    notices = [line for line in lines if 'lines left out' in line]
    assert len(notices) == 1, notices
    left_out = int(notices[0].partition('"count":')[2].rstrip('}'))
    assert len(lines) - len(notices) + left_out == count, (len(lines), left_out)


@given('a program that logs in a loop into a closed pipe')
def run_program(context):
    """Run the program and close the reading end of its output at once."""
    process = subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    process.stdout.close()
    context.shown = process.stderr.read()
    context.code = process.wait(END_LIMIT_S)


@then('the program runs to its end')
def check_program(context):
    """Check that the broken pipe did not stop the program."""
    assert context.shown.endswith('reached the end'), context.shown[-500:]


@given('a limit of lines per second')
def make_limit(context):
    """Create a limit whose clock does not advance."""
    context.limit = LogRateLimit(lambda: 7)


@when(
    '{many:d} lines "{one}" and {few:d} lines "{other}" are logged in a second'
)
def log_lines(context, many, one, few, other):
    """Count the lines of each message that the limit admits."""
    context.admitted = {
        one: sum(context.limit.admit(one) for _ in range(many)),
        other: sum(context.limit.admit(other) for _ in range(few)),
    }


@then('{many:d} lines "{one}" and {few:d} lines "{other}" are admitted')
def check_admitted(context, many, one, few, other):
    """Check the number of admitted lines of each message."""
    assert context.admitted == {one: many, other: few}, context.admitted


@then('the next line "{message}" reports {count:d} lines left out')
def check_left_out(context, message, count):
    """Check the number of left-out lines that the next line reports."""
    assert context.limit.take_dropped(message) == count
