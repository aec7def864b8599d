"""Selects events of an event ring, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice

import msgspec

from burdocklead.clock import HybridTime
from burdocklead.events import Event, EventKind, EventRing

MAX_EVENTS = 1000
LATEST = HybridTime(2**62, 0)
EARLIEST = HybridTime(0, 0)
TIME_SEPARATOR = '.'
PARAMETERS = frozenset(
    ('since', 'until', 'service', 'kind', 'call_id', 'limit')
)


class EventPage(msgspec.Struct, frozen=True):
    """One page of the events of a process.

    Attributes:
        process: Name of the process.
        overwritten: Number of events overwritten since the process started.
        gap: True if events after ``since`` were overwritten.
        more: True if the page limit left out later events.
        events: Events in order.
    """

    process: str
    overwritten: int
    gap: bool
    more: bool
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True)
class Selection:
    """Filter of events.

    Attributes:
        since: Only events after this time.
        until: Only events before or at this time.
        service: Only events of this service, empty for all.
        call_id: Only events of this call, empty for all.
        kinds: Only events of these kinds, empty for all.
        limit: Maximum number of events of a page.
    """

    since: HybridTime = EARLIEST
    until: HybridTime = LATEST
    service: str = ''
    call_id: str = ''
    kinds: frozenset[EventKind] = frozenset()
    limit: int = MAX_EVENTS

    def matches(self, event: Event) -> bool:
        """Return True if an event passes the filter."""
        return (
            self.since < event.time <= self.until
            and self.service in {'', event.service}
            and self.call_id in {'', event.call_id}
            and (not self.kinds or event.kind in self.kinds)
        )

    def query(self) -> dict[str, str]:
        """Return the query parameters of the selection."""
        parameters = {
            'since': format_hybrid_time(self.since),
            'until': format_hybrid_time(self.until),
            'service': self.service,
            'call_id': self.call_id,
            'kind': ','.join(sorted(self.kinds)),
            'limit': str(self.limit),
        }
        return {name: text for name, text in parameters.items() if text}


def select_events(ring: EventRing, selection: Selection) -> EventPage:
    """Return the matching events of a ring, oldest first."""
    matching = _filter_events(ring.events(), selection)
    events = tuple(islice(matching, selection.limit))
    return EventPage(
        process=ring.process,
        overwritten=ring.overwritten,
        gap=ring.overwritten_until > selection.since,
        more=next(matching, None) is not None,
        events=events,
    )


def parse_selection(parameters: Iterable[tuple[str, str]]) -> Selection:
    """Parse a selection from query parameters.

    Raises:
        ValueError: Names the invalid parameter.
    """
    given: dict[str, str] = {}
    for name, text in parameters:
        if name not in PARAMETERS:
            raise ValueError(f'{name}: is not a known parameter')
        if name in given:
            raise ValueError(f'{name}: stands twice')
        given[name] = text
    return Selection(
        since=_parse_hybrid_time(given, 'since', EARLIEST),
        until=_parse_hybrid_time(given, 'until', LATEST),
        service=given.get('service', ''),
        call_id=given.get('call_id', ''),
        kinds=parse_kinds(given.get('kind', '')),
        limit=_parse_limit(given.get('limit', str(MAX_EVENTS))),
    )


def parse_kinds(text: str) -> frozenset[EventKind]:
    """Parse a comma-separated list of kinds.

    Raises:
        ValueError: Names the unknown kinds.
    """
    names = frozenset(filter(None, text.split(',')))
    unknown = names - frozenset(EventKind)
    if unknown:
        raise ValueError(f'kind: not known: {", ".join(sorted(unknown))}')
    return frozenset(EventKind(name) for name in names)


def format_hybrid_time(timestamp: HybridTime) -> str:
    """Format a hybrid timestamp as ``NANOSECONDS.COUNT``."""
    return f'{timestamp.wall_ns}{TIME_SEPARATOR}{timestamp.count}'


def _parse_hybrid_time(
    given: Mapping[str, str], name: str, default: HybridTime
) -> HybridTime:
    text = given.get(name)
    if text is None:
        return default
    wall_ns, separator, count = text.partition(TIME_SEPARATOR)
    digits = wall_ns + count
    if not (separator and wall_ns and count):
        raise ValueError(f'{name}: must be NANOSECONDS.COUNT')
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f'{name}: must be NANOSECONDS.COUNT')
    return HybridTime(int(wall_ns), int(count))


def _parse_limit(text: str) -> int:
    digits = text.isascii() and text.isdigit()
    if not digits or not 1 <= int(text) <= MAX_EVENTS:
        raise ValueError(f'limit: must be from 1 to {MAX_EVENTS}')
    return int(text)


def _filter_events(
    events: Iterable[Event], selection: Selection
) -> Iterator[Event]:
    return (event for event in events if selection.matches(event))
