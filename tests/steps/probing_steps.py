"""Steps for entry daemons that probe upstreams before a call."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from devtools.fuzz.virtual_loop import run_virtually
from tests.steps.probing_simulation import MATCH, Call, SimulatedDeployment


def parse_numbers(text):
    """Return the numbers of the upstreams in a step."""
    return [int(part) for part in text.split(', ')]


@given('{entries:d} entries that probe {probe_count:d} upstreams')
@given(
    '{entries:d} entries that probe {probe_count:d} upstreams with a budget of '
    '{budget:d} messages a second'
)
def plan_deployments(context, entries, probe_count, budget=100000):
    """Create the same deployment with probing and without."""
    context.with_probing = SimulatedDeployment(entries, probe_count, budget)
    context.without_probing = SimulatedDeployment(entries, 0)


def upstreams_of_both(context, numbers):
    """Yield the upstreams with these numbers of both deployments."""
    for deployment in (context.with_probing, context.without_probing):
        for number in numbers:
            yield deployment.upstreams[number]


@given('upstreams {numbers} are {factor:d} times slower')
def plan_slow(context, numbers, factor):
    for upstream in upstreams_of_both(context, parse_numbers(numbers)):
        upstream.slowdown = factor


@given('upstreams {numbers} do not respond')
def plan_unresponsive(context, numbers):
    for upstream in upstreams_of_both(context, parse_numbers(numbers)):
        upstream.unresponsive = True


@given('a quarter of the upstreams is 5 times slower for 150 ms each')
def plan_slow_phases(context):
    """Give each upstream random slow phases, a quarter of the time."""
    for upstream in upstreams_of_both(
        context, range(len(context.without_probing.upstreams))
    ):
        upstream.has_slow_phases = True


@given('upstream {one:d} restarted and upstream {two:d} takes no work')
def plan_leaving(context, one, two):
    """Change two upstreams without a membership update to the entries."""
    context.with_probing.upstreams[one].incarnation = 2
    context.with_probing.upstreams[two].refusing = True


@when('{rate:d} calls a second come for {seconds:d} s')
def send_calls(context, rate, seconds):
    """Run the calls with probing and without."""
    context.with_probing.run(rate, seconds)
    context.without_probing.run(rate, seconds)


@when(
    '{rate:d} calls a second come for {seconds:d} s to the entries of one zone'
)
def send_to_one_zone(context, rate, seconds):
    """Run the calls from the entry daemons of the first zone only."""
    context.with_probing.run(rate, seconds, 'vancouver')
    context.without_probing.run(rate, seconds, 'vancouver')


@then('at most half as many calls are late with probing as without')
def check_late(context):
    """Compare late calls; without probing, some calls must be late."""
    with_probing, without_probing = (
        context.with_probing.count_late(),
        context.without_probing.count_late(),
    )
    assert without_probing > 0, without_probing
    assert with_probing * 2 <= without_probing, (
        with_probing,
        without_probing,
        len(context.without_probing.results),
    )


@then('at least {share:f} of the calls with probing meet their objective')
def check_in_time(context, share):
    count = len(context.with_probing.results)
    count_late = context.with_probing.count_late()
    assert count_late <= (1 - share) * count, (count_late, count)


@then('every call with probing is answered')
def check_answered(context):
    outcomes = Counter(outcome for _, outcome in context.with_probing.results)
    assert set(outcomes) == {'answered'}, outcomes


@then('no call with probing is lost')
def check_not_lost(context):
    """Check that every call was answered well before its deadline of 1 s."""
    check_answered(context)
    longest = max(elapsed for elapsed, _ in context.with_probing.results)
    assert longest < 900, longest


@then('at most {count:d} probes of each entry got no reply')
def check_unanswered(context, count):
    """Check that some probes time out, and that timeouts are few."""
    counts = [one.socket.unanswered for one in context.with_probing.entries]
    assert 0 < max(counts) <= count, counts


@then('the calls waited less with probing than without')
def check_waits(context):
    with_probing = sum(one.waited_s for one in context.with_probing.upstreams)
    without_probing = sum(
        one.waited_s for one in context.without_probing.upstreams
    )
    assert with_probing < without_probing, (with_probing, without_probing)


@then('at least {share:f} of the calls with probing stayed in their zone')
def check_zone(context, share):
    sent = context.with_probing.sent
    near = sum(zone == member.zone for zone, member in sent)
    assert near >= share * len(sent), (near, len(sent))


@then('at most {count:d} upstreams were probed for a call')
def check_probe_count(context, count):
    probes = sum(len(one.socket.probes) for one in context.with_probing.entries)
    calls = len(context.with_probing.results)
    assert 0 < probes <= count * calls, (probes, calls)


@then('no entry sent more than {count:d} probes in any second')
def check_budget(context, count):
    """Check every sliding window of one second."""
    for entry in context.with_probing.entries:
        times = [at for at, _ in entry.socket.probes]
        for first, last in zip(times, times[count:], strict=False):
            assert last - first >= 1, (first, last)


@when('an entry stands still for 2 s while it waits for replies')
def stall_entry(context):
    """Advance the clock past the reply timeout, then probe again."""

    async def play(loop):
        context.with_probing.start()
        entry = context.with_probing.entries[0]
        entry.socket.stalled = True
        now = loop.time()
        call = Call('c', MATCH, 'GET', (), b'', '', now + 9, now + 8)
        candidates = entry.candidates('sheets')
        loop.call_later(0.001, _stall, loop)
        await entry.selector.choose(candidates, call)
        context.first = {port for _, port in entry.socket.probes}
        entry.socket.probes.clear()
        await entry.selector.choose(candidates, call)
        context.second = {port for _, port in entry.socket.probes}

    run_virtually(play)


def _stall(loop):
    loop.virtual_selector.now += 2


@then('it probes the same upstreams again at once')
def check_probed_again(context):
    """Check that both rounds of probes share an upstream."""
    assert context.first, context.first
    assert context.first & context.second, (context.first, context.second)


@then('upstreams {numbers} got no attempts from entries that probed them')
def check_avoided(context, numbers):
    """Check that no attempt arrived; every entry probes before it sends."""
    for number in parse_numbers(numbers):
        arrivals = context.with_probing.upstreams[number].arrivals
        assert not arrivals, arrivals


@then('no upstream ran more than {factor:f} times the mean')
def check_even(context, factor):
    ran = [one.ran for one in context.with_probing.upstreams]
    assert max(ran) <= factor * sum(ran) / len(ran), ran
