"""Steps for the parts of the benchmarks that need no processes."""

import itertools
import math
import random
import tempfile
from pathlib import Path

import msgspec
from behave import given, then

from devtools.bench.arrivals import poisson_times
from devtools.bench.histograms import (
    Row,
    encode,
    fit_line,
    new_histogram,
    record,
    rows_of,
)
from devtools.bench.machine import Machine
from devtools.bench.plan import CallFigures, interleaved
from devtools.bench.plots import write_plot
from devtools.bench.quiet import MachineTicks, is_quiet
from devtools.bench.report import BenchResult, table, write_result


@given(
    'a bench schedule of {rate:d} calls a second for {seconds:d} s '
    'with seed {seed:d}'
)
def make_schedule(context, rate, seconds, seed):
    context.rate = rate
    context.seconds = seconds
    context.times = poisson_times(random.Random(seed), rate, seconds)


@then('the bench schedule has from {low:d} to {high:d} arrivals in order')
def check_schedule(context, low, high):
    assert low <= len(context.times) <= high, len(context.times)
    assert context.times == sorted(context.times)
    assert min(context.times) >= 0
    assert max(context.times) < context.seconds
    gaps = [
        after - before
        for before, after in zip(context.times, context.times[1:], strict=False)
    ]
    mean = sum(gaps) / len(gaps)
    variance = sum((gap - mean) ** 2 for gap in gaps) / len(gaps)
    assert math.isclose(variance, mean**2, rel_tol=0.1)


@then('the bench schedule with seed {seed:d} is identical')
def check_identical_schedule(context, seed):
    again = poisson_times(random.Random(seed), context.rate, context.seconds)
    assert again == context.times


@then('the bench schedule with seed {seed:d} is different')
def check_different_schedule(context, seed):
    other = poisson_times(random.Random(seed), context.rate, context.seconds)
    assert other != context.times


@then('a bench schedule of 0 calls a second is empty')
def check_empty_schedule(context):
    assert poisson_times(random.Random(1), 0, 10) == []


@given(
    'bench figures of two load processes with {low:d} ms {many:d} times '
    'and {high:d} ms {few:d} times'
)
def make_figures(context, low, many, high, few):
    context.figures = []
    for milliseconds, count in ((low, many), (high, few)):
        histogram = new_histogram()
        for _ in range(count):
            record(histogram, milliseconds / 1000)
        text = encode(histogram)
        context.figures.append(
            CallFigures(
                'arm', 'kind', count, count, {'answered': count}, text, text
            )
        )


@then(
    'the merged bench row has {calls:d} calls, a median of {p50:d} ms and a '
    '99th percentile of {p99:d} ms'
)
def check_row(context, calls, p50, p99):
    rows = rows_of(context.figures)
    assert len(rows) == 1, rows
    row = rows[0]
    assert row.calls == row.good == row.outcomes['answered'] == calls
    assert abs(row.p50_ms - p50) <= p50 / 1000, row
    assert abs(row.p99_ms - p99) <= p99 / 1000, row


@then(
    'the bench line through 1,5 and 2,7 and 3,9 has gradient 2 and intercept 3'
)
def check_line(context):
    gradient, intercept = fit_line([(1, 5), (2, 7), (3, 9)])
    assert math.isclose(gradient, 2)
    assert math.isclose(intercept, 3)


@then('a bench line through points with one x value is rejected')
def check_rejected_line(context):
    try:
        fit_line([(1, 5), (1, 7)])
    except ValueError:
        return
    raise AssertionError('no error')


@then(
    'in {seconds:d} s the bench arms a,b get {turns:d} turns of {turn_s:g} s '
    'each'
)
def check_turns(context, seconds, turn_s, turns):
    steps = interleaved(('a', 'b'), 100, seconds, turn_s)
    assert [step.arm for step in steps] == list(
        itertools.islice(itertools.cycle('ab'), 2 * turns)
    )
    assert sum(step.seconds for step in steps) == seconds


@then('bench ticks of {total:d} idle {idle:d} steal {steal:d} are {verdict}')
def check_quiet(context, total, idle, steal, verdict):
    before = MachineTicks(1000, 400, 7)
    after = MachineTicks(1000 + total, 400 + idle, 7 + steal)
    assert is_quiet(before, after) is (verdict == 'quiet')


@given('a bench result of scenario latency with seed {seed:d}')
def make_result(context, seed):
    context.result = BenchResult(
        scenario='latency',
        revision='abc123',
        seed=seed,
        seconds=1,
        machine=Machine(10, 'A processor', 0.5),
        load_average_after=0.75,
        settings={'rate': 373},
        rows=[],
        facts={'added p99 ms': 0.5},
        load_cpu_shares=[0.25],
    )


@then('the bench table names latency, seed 3, the revision, cores and load')
def check_table(context):
    text = table(context.result)
    expected = (
        'latency, seed 3',
        'revision abc123',
        '10 cores',
        'load average 0.5 before, 0.75 after',
        'added p99 ms',
    )
    for part in expected:
        assert part in text, (part, text)


@then('the bench file decodes to the same bench result')
def check_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = write_result(context.result, Path(folder))
        content = path.read_bytes()
    decoded = msgspec.json.decode(content, type=BenchResult)
    assert decoded == context.result
    assert set(decoded.machine.__struct_fields__) == {
        'cores',
        'model',
        'load_average',
    }


@then('the bench plot of a run without latencies is rejected')
def check_rejected_plot(context):
    with tempfile.TemporaryDirectory() as folder:
        try:
            write_plot(context.result, Path(folder) / 'run.json')
        except ValueError as error:
            assert 'no latencies' in str(error), error
            return
    raise AssertionError('no error')


@then('the bench plot of a run with latencies is a PNG image')
def check_plot(context):
    row = Row(
        label='local',
        kind='call',
        calls=1,
        good=1,
        outcomes={},
        p50_ms=1,
        p99_ms=2,
        p999_ms=3,
        lag_p99_ms=0.1,
    )
    result = msgspec.structs.replace(context.result, rows=[row, row])
    with tempfile.TemporaryDirectory() as folder:
        image = write_plot(result, Path(folder) / 'run.json')
        assert image.name == 'run.png', image
        assert image.read_bytes().startswith(b'\x89PNG')
