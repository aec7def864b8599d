"""Steps for the timeline."""

from __future__ import annotations

import asyncio
import json
import time
from html.parser import HTMLParser
from unittest.mock import Mock
from urllib.parse import parse_qsl

import msgspec
from behave import given, then, when

from burdocklead.clock import MAX_COUNT, HybridClock, HybridTime
from burdocklead.connection.frame_protocol import FrameProtocol
from burdocklead.connection.frames import FrameBuffer, Ping, encode_frame
from burdocklead.events import Event, EventKind, EventRing
from burdocklead.request.headers import CALL_HEADER
from burdocklead.timeline.call_trace import ATTEMPT_ENDED, trace_call
from burdocklead.timeline.event_collection import ProcessEvents
from burdocklead.timeline.html_page import render_page
from burdocklead.timeline.log_lines import LogLine, ParsedLogs
from burdocklead.timeline.merging import causal_key, merge_events
from burdocklead.timeline.selection import (
    Selection,
    parse_selection,
    select_events,
)
from burdocklead.timeline.timestamps import parse_timestamp

NS_PER_S = 1_000_000_000
HOSTILE = '</script><img src=x onerror=alert(1)>'
VOID_TAGS = frozenset(('meta', 'input'))


class PageReader(HTMLParser):
    """Collects the headings, events, tags and attributes of the page."""

    def __init__(self, text):
        super().__init__()
        self.heads = []
        self.events = []
        self.tags = []
        self.open_tags = []
        self.attributes = []
        self.feed(text)

    def handle_starttag(self, tag, attrs):
        named = dict(attrs)
        self.tags.append(tag)
        self.attributes.extend(name for name in named)
        if named.get('class') == 'event':
            self.events.append(named)
        if tag not in VOID_TAGS:
            self.open_tags.append((tag, named.get('class')))

    def handle_endtag(self, tag):
        assert self.open_tags.pop()[0] == tag, tag

    def handle_data(self, data):
        if self.open_tags and self.open_tags[-1] == ('div', 'head'):
            self.heads.append(data)


@given('timeline clocks "{first}" at {first_ns:d} and "{second}" at {ns:d}')
def make_clocks(context, first, first_ns, second, ns):
    """Create two rings with fixed wall clocks."""
    context.rings = {
        first: EventRing(first, HybridClock(lambda: first_ns)),
        second: EventRing(second, HybridClock(lambda: ns)),
    }


@when(
    'the timeline process "{name}" records "{kind}" '
    'and its stamp reaches "{other}"'
)
def record_and_send(context, name, kind, other):
    """Record an event and let another process observe its stamp."""
    ring = context.rings[name]
    ring.record(EventKind(kind))
    context.rings[other].clock.observe(ring.changes[-1].time)


@when('the timeline process "{name}" records {count:d} events')
def record_many(context, name, count):
    """Record events in one ring."""
    context.ring = context.rings[name]
    for number in range(count):
        context.ring.record(EventKind.link_opened, detail=str(number))


def new_protocol(ring):
    """Return a protocol that stamps its frames with the clock of a ring."""
    return FrameProtocol(lambda *_: None, lambda *_: None, ring.clock)


@when(
    'a frame of the timeline process "{name}" after "{kind}" reaches "{other}"'
)
def record_and_send_frame(context, name, kind, other):
    """Record an event and send a frame to another process."""
    ring = context.rings[name]
    ring.record(EventKind(kind))
    asyncio.run(send_frame(ring, context.rings[other]))


async def send_frame(ring, other):
    """Send a frame from one protocol to another one."""
    sender = new_protocol(ring)
    sender.transport = Mock()
    receiver = new_protocol(other)
    receiver.transport = Mock()
    sender.send(Ping(1))
    sender.flush()
    receiver.data_received(sender.transport.write.call_args.args[0])


@when('a peer sends "{name}" a frame stamped with the highest count')
def send_highest(context, name):
    """Let a process observe the highest count of its current wall time."""
    clock = context.rings[name].clock
    stamp = HybridTime(clock.last.wall_ns, MAX_COUNT)
    context.highest = stamp
    buffer = FrameBuffer()
    buffer.feed(encode_frame(Ping(1), stamp))
    clock.observe(buffer.latest)


@then('the timeline process "{name}" still sends frames in order')
def check_still_sends(context, name):
    """Encode two frames and compare their stamps."""
    clock = context.rings[name].clock
    buffer = FrameBuffer()
    stamps = [context.highest]
    for number in range(2):
        buffer.feed(encode_frame(Ping(number), clock.issue()))
        stamps.append(buffer.latest)
    assert stamps == sorted(set(stamps)), stamps


@when('the timeline process "{name}" records {count:d} events of calls')
def record_calls(context, name, count):
    """Record events of calls in one ring."""
    context.ring = context.rings[name]
    for number in range(count):
        context.ring.record(
            EventKind.call_answered, call_id='c', detail=str(number)
        )


@then('its first event is "{kind}"')
def check_first(context, kind):
    """Compare the kind of the oldest event."""
    assert next(context.ring.events()).kind == kind


@when('the timeline process "{name}" records "{kind}"')
def record_event(context, name, kind):
    """Record one event."""
    context.rings[name].record(EventKind(kind))


@then('the merged timeline is "{expected}"')
def check_merged(context, expected):
    """Compare the merged order of all rings."""
    merged = merge_events(tuple(one.events()) for one in context.rings.values())
    assert describe_events(merged) == expected, describe_events(merged)


@then('the timeline clock "{name}" has ignored {count:d} stamp')
def check_ignored(context, name, count):
    """Compare the number of stamps that a clock ignored."""
    assert context.rings[name].clock.ignored == count


@then(
    'its {which} has {count:d} events, {more} to come, '
    '{overwritten:d} overwritten and {gap} gap'
)
def check_page(context, which, count, more, overwritten, gap):
    """Compare a page of the ring."""
    first_page = which == 'first page'
    since = HybridTime(0, 0) if first_page else context.ring.changes[-1].time
    page = select_events(context.ring, Selection(since=since))
    seen = (len(page.events), page.more, page.overwritten, page.gap)
    assert seen == (count, more == 'more', overwritten, gap == 'a'), seen


@then('paging through it gives {count:d} events in order')
def check_paging(context, count):
    """Read all pages and check the order of the events."""
    details = []
    selection = Selection()
    more = True
    while more:
        page = select_events(context.ring, selection)
        details.extend(
            int(event.detail) for event in page.events if event.detail
        )
        selection = Selection(since=page.events[-1].time)
        more = page.more
    last = details[-1] + 1
    assert details == list(range(last - count, last)), len(details)


@then('the timeline query "{query}" is refused with "{reason}"')
def check_refused_query(context, query, reason):
    """Parse a query and compare the reason."""
    try:
        parse_selection(parse_qsl(query))
    except ValueError as error:
        assert str(error) == reason, error
        return
    raise AssertionError('the query was accepted')


@then('the timestamp "{text}" at {now:d} s is {seconds} s')
def check_timestamp(context, text, now, seconds):
    """Parse a timestamp."""
    try:
        seen = str(parse_timestamp(text, now * NS_PER_S) // NS_PER_S)
    except ValueError:
        seen = 'invalid'
    assert seen == seconds, seen


@given('a timeline page with hostile names and details')
def make_hostile_page(context):
    """Render a page whose texts try to inject markup."""
    first = hostile_event(1, HOSTILE)
    second = hostile_event(2, 'd"2')
    other = Event(
        time=HybridTime(3, 0), process='d"2', kind=EventKind.link_opened
    )
    processes = (
        ProcessEvents(HOSTILE, problem=HOSTILE, events=(first,)),
        ProcessEvents('d"2', events=(second, other)),
    )
    context.page = render_page([first, second, other], processes)


def hostile_event(wall_ns, process):
    """Return an event with hostile text in each field."""
    return Event(
        time=HybridTime(wall_ns, 0),
        process=process,
        kind=EventKind.call_answered,
        call_id=f'c" onclick="{HOSTILE}',
        service=HOSTILE,
        peer=HOSTILE,
        detail=HOSTILE,
    )


@then('the page has the lanes "{lanes}"')
def check_lanes(context, lanes):
    """Compare the headings of the lanes."""
    heads = PageReader(context.page).heads
    assert ', '.join(heads) == lanes.replace('QUOTE', '"'), heads


@then(
    'the page has {count:d} events, of which {call_events:d} belong to one call'
)
def check_page_events(context, count, call_events):
    """Count the events and those of the first call."""
    events = PageReader(context.page).events
    calls = [event['data-call'] for event in events]
    assert len(calls) == count, calls
    assert calls.count(calls[0]) == call_events, calls


@then('the page loads nothing and runs only its own script')
def check_nothing_foreign(context):
    """Look for tags and attributes that load or run something."""
    reader = PageReader(context.page)
    assert reader.tags.count('script') == 1, reader.tags
    foreign = frozenset(('img', 'link', 'iframe', 'object', 'a', 'image'))
    assert not foreign.intersection(reader.tags), reader.tags
    loading = [
        name
        for name in reader.attributes
        if name.startswith('on') or name in {'src', 'href'}
    ]
    assert not loading, loading
    assert "default-src 'none'; script-src 'sha256-" in context.page


@when('the operator requests the timeline of that call')
def request_call_events(context):
    """Request the events of the last call."""
    call_id = context.response.headers[CALL_HEADER]
    run_timeline(context, '--call', call_id)


@when('the operator requests the timeline of "{flags}"')
def request_events(context, flags):
    """Request events with filters."""
    run_timeline(context, *flags.split())


def run_timeline(context, *flags):
    """Run the program and keep the events and problems that it reports."""
    completed = context.deployment.run_operator('timeline', '--json', *flags)
    assert completed.returncode == 0, completed.stderr
    report = msgspec.json.decode(completed.stdout)
    context.events = msgspec.convert(report['events'], list[Event])
    context.reported = {
        one['name']: one['problem'] for one in report['processes']
    }


@then('the events of the timeline are "{expected}"')
def check_events(context, expected):
    """Compare processes and kinds in order."""
    assert describe_events(context.events) == expected, describe_events(
        context.events
    )


def describe_events(events):
    """Return the processes and kinds of events."""
    return ', '.join(f'{event.process} {event.kind}' for event in events)


@when('the operator follows the timeline for a moment')
def follow_timeline(context):
    """Follow the timeline for two seconds."""
    until = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(time.time() + 2))
    completed = context.deployment.run_operator(
        'timeline', '--json', '--follow', '--until', until
    )
    assert completed.returncode == 0, completed.stderr
    context.events = [
        msgspec.json.decode(line, type=Event)
        for line in completed.stdout.splitlines()
    ]


@then('each event is shown once and in causal order')
def check_followed(context):
    """Look for events shown twice or out of order."""
    order = [causal_key(event) for event in context.events]
    assert order
    assert len(order) == len(set(order)), order
    assert order == sorted(order), order


@when('the operator writes the timeline page')
def write_page(context):
    """Write the HTML page to a file."""
    path = context.folder / 'page.html'
    context.deployment.run_operator('timeline', '--html', str(path))
    context.page = path.read_text()


@then('the page has a lane for each process of the deployment')
def check_all_lanes(context):
    """Compare the lanes with the processes."""
    deployment = context.deployment
    names = {*deployment.controls, *deployment.daemons}
    assert set(PageReader(context.page).heads) == names


@when('the daemon "{name}" is killed and the timeline is requested')
def kill_and_request(context, name):
    """Kill a daemon and request events before its lease expires."""
    context.deployment.daemons[name].kill()
    run_timeline(context)


@then('the timeline reports that "{name}" was not reached')
def check_not_reached(context, name):
    """Check that only this process was not reached."""
    problems = {one: text for one, text in context.reported.items() if text}
    assert list(problems) == [name], problems
    assert problems[name].startswith('no connection to '), problems


@when('a log line of call "{call}" has the list {values} in the field "{name}"')
def trace_list(context, call, values, name):
    """Trace a call one of whose log lines has a list."""
    fields = {'call': call, 'attempt': 'a.1.1', name: json.loads(values)}
    line = LogLine('a', '', ATTEMPT_ENDED, fields)
    context.trace = trace_call(ParsedLogs((line,), frozenset('a'), 0), call)


@then('the trace of the call shows "{text}"')
def check_trace(context, text):
    """Check the text of the step."""
    texts = [step.text for step in context.trace.steps]
    assert len(texts) == 1 and text in texts[0], texts
