"""Typed events, kept in a bounded ring buffer by each process."""

from __future__ import annotations

import enum
import heapq
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from burdocklead.clock import HybridClock, HybridTime

RING_SIZE = 4096


class EventKind(enum.StrEnum):
    """Kinds of events in the timeline."""

    state_change = 'state-change'
    version_in_force = 'version-in-force'
    version_accepted = 'version-accepted'
    version_refused = 'version-refused'
    upstream_announced = 'upstream-announced'
    upstream_left = 'upstream-left'
    member_joined = 'member-joined'
    member_left = 'member-left'
    member_draining = 'member-draining'
    call_received = 'call-received'
    call_refused = 'call-refused'
    call_answered = 'call-answered'
    call_unknown = 'call-unknown'
    attempt_sent = 'attempt-sent'
    attempt_refused = 'attempt-refused'
    attempt_lost = 'attempt-lost'
    attempt_given_up = 'attempt-given-up'
    attempt_started = 'attempt-started'
    attempt_finished = 'attempt-finished'
    attempt_retried = 'attempt-retried'
    attempt_fenced = 'attempt-fenced'
    link_opened = 'link-opened'
    link_closed = 'link-closed'
    signal_dead = 'signal-dead'
    request_blocked = 'request-blocked'
    drains_changed = 'drains-changed'
    evacuations_changed = 'evacuations-changed'
    replica_changed = 'replica-changed'
    quorum_lost = 'quorum-lost'
    unexpected_error = 'unexpected-error'
    quorum_gained = 'quorum-gained'


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of the timeline.

    Attributes:
        time: Hybrid logical timestamp.
        process: Name of the process that recorded the event.
        kind: Kind of event.
        call_id: Call concerned, empty if none.
        service: Service concerned, empty if none.
        peer: Other process concerned, empty if none.
        detail: Short plain text.
    """

    time: HybridTime
    process: str
    kind: EventKind
    call_id: str = ''
    service: str = ''
    peer: str = ''
    detail: str = ''


def _new_ring() -> deque[Event]:
    return deque(maxlen=RING_SIZE)


@dataclass(slots=True)
class EventRing:
    """Keeps the latest events of one process.

    Events of calls have a ring of their own, so that a burst of calls does
    not overwrite the state changes that explain it.

    Attributes:
        process: Name of the process.
        clock: Issues the timestamps of the events.
        changes: Events that belong to no call, oldest first.
        calls: Events of calls, oldest first.
        overwritten: Number of events overwritten by newer ones.
        overwritten_until: Time of the latest event overwritten.
    """

    process: str
    clock: HybridClock
    changes: deque[Event] = field(default_factory=_new_ring)
    calls: deque[Event] = field(default_factory=_new_ring)
    overwritten: int = 0
    overwritten_until: HybridTime = HybridTime(0, 0)

    def events(self) -> Iterator[Event]:
        """Yield all events in the order in which they were recorded."""
        return heapq.merge(self.changes, self.calls, key=_time_of)

    def record(
        self,
        kind: EventKind,
        *,
        call_id: str = '',
        service: str = '',
        peer: str = '',
        detail: str = '',
    ) -> None:
        """Append an event with the current time."""
        ring = self.calls if call_id else self.changes
        if len(ring) == ring.maxlen:
            self.overwritten += 1
            self.overwritten_until = max(self.overwritten_until, ring[0].time)
        ring.append(
            Event(
                time=self.clock.issue(),
                process=self.process,
                kind=kind,
                call_id=call_id,
                service=service,
                peer=peer,
                detail=detail,
            )
        )


def _time_of(event: Event) -> HybridTime:
    return event.time
