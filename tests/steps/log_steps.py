"""Steps for bounded log lines."""

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
def plan_pipe(context):
    """Make a pipe."""
    reader, writer = os.pipe()
    context.reader = reader
    context.add_cleanup(os.close, reader)
    context.stream = LogStream(writer)


@when('{count:d} lines of {size:d} bytes are written')
def write_lines(context, count, size):
    """Write lines and keep the time."""
    started = time.monotonic()
    for _ in range(count):
        context.stream.write(f'{"x" * (size - 1)}\n')
    context.elapsed = time.monotonic() - started


@then('writing took less than {limit:d} s')
def check_time(context, limit):
    """Check that nothing waited."""
    assert context.elapsed < limit, context.elapsed


@when('the pipe is read and one more line is written')
def read_pipe(context):
    """Read until all that waits is written."""
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


@then('the lines read and the count left out are {count:d} together')
def check_lines(context, count):
    """Check that every line was read or counted."""
    lines = context.received.decode().splitlines()
    notices = [line for line in lines if 'lines left out' in line]
    assert len(notices) == 1, notices
    told = int(notices[0].partition('"count":')[2].rstrip('}'))
    assert len(lines) - len(notices) + told == count, (len(lines), told)


@given('a program that logs in a loop into a pipe that closes')
def run_program(context):
    """Close the reading end at once."""
    process = subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    process.stdout.close()
    context.shown = process.stderr.read()
    context.code = process.wait(END_LIMIT_S)


@then('the program goes on until its end')
def check_program(context):
    """Check that it was not stopped by the broken pipe."""
    assert context.shown.endswith('reached the end'), context.shown[-500:]


@given('a limit on lines')
def plan_limit(context):
    """Use a clock that stands still."""
    context.limit = LogRateLimit(lambda: 7)


@when(
    '{many:d} lines "{one}" and {few:d} lines "{other}" are offered in a second'
)
def offer_lines(context, many, one, few, other):
    """Offer lines."""
    context.admitted = {
        one: sum(context.limit.admit(one) for _ in range(many)),
        other: sum(context.limit.admit(other) for _ in range(few)),
    }


@then('{many:d} lines "{one}" and {few:d} lines "{other}" are admitted')
def check_admitted(context, many, one, few, other):
    """Check the counts."""
    assert context.admitted == {one: many, other: few}, context.admitted


@then('the next line "{message}" tells of {count:d} left out')
def check_left_out(context, message, count):
    """Check what the next line would tell."""
    assert context.limit.take_dropped(message) == count
