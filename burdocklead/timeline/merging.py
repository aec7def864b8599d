"""Events of several processes in one causal order, without I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from burdocklead.clock import HybridTime
from burdocklead.events import Event


def causal_key(event: Event) -> tuple[HybridTime, str]:
    """Return the key that puts a cause before each of its effects."""
    return event.time, event.process


def merge_events(event_lists: Iterable[Sequence[Event]]) -> list[Event]:
    """Return the events of several rings in causal order."""
    ordered = (sorted(event_list, key=causal_key) for event_list in event_lists)
    return list(heapq.merge(*ordered, key=causal_key))


def lanes_of(events: Iterable[Event], processes: Iterable[str]) -> list[str]:
    """Return the processes in the order of their lanes.

    Processes with events come first, in the order of their first event.
    """
    seen = dict.fromkeys(event.process for event in events)
    return list(dict.fromkeys((*seen, *sorted(processes))))
