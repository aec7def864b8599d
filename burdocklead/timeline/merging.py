"""Merges the events of several processes in causal order, without I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from burdocklead.clock import HybridTime
from burdocklead.events import Event


def causal_key(event: Event) -> tuple[HybridTime, str]:
    """Return a sort key that puts each cause before its effects."""
    return event.time, event.process


def merge_events(event_lists: Iterable[Sequence[Event]]) -> list[Event]:
    """Merge the events of several processes in causal order."""
    ordered = (sorted(event_list, key=causal_key) for event_list in event_lists)
    return list(heapq.merge(*ordered, key=causal_key))


def lanes_of(events: Iterable[Event], processes: Iterable[str]) -> list[str]:
    """Return the processes in the order of their lanes.

    Processes with events come first, in the order of their first event; the
    others follow by name.
    """
    seen = dict.fromkeys(event.process for event in events)
    return list(dict.fromkeys((*seen, *sorted(processes))))
