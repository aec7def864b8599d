"""Requests of calls for a slot of an upstream, and the decisions on them."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.values import RefusalCause


@dataclass(frozen=True, slots=True)
class Ticket:
    """A call's request for a slot.

    Attributes:
        attempt_id: Attempt that needs the slot.
        route: Route key for learned costs, ``service/route``.
        rank: Priority rank of the call; 0 is shed last.
        cost_ms: Declared service time in ms.
        deadline: Monotonic time of the deadline in s.
        queue_limit: Maximum number of waiting calls.
        objective: Monotonic time in s by which the call should end; 0 if it
            has only a deadline.
        may_queue: False if the call is refused unless it can start at once.
        nested: True for a call made by an upstream while it runs a call.
        team: Team of the caller, empty if none.
    """

    attempt_id: str
    route: str
    rank: int
    cost_ms: float
    deadline: float
    queue_limit: int
    objective: float = 0
    may_queue: bool = True
    nested: bool = False
    team: str = ''


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call has been given a slot."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits for a slot."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call is rejected."""

    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision on a call that was waiting."""

    ticket: Ticket
    verdict: Admitted | Refused


@dataclass(frozen=True, slots=True)
class OfferResult:
    """The decision on a new call.

    Attributes:
        verdict: Whether it runs, waits or is refused.
        displaced: Decisions on calls that were shed from the queue for it.
    """

    verdict: Admitted | Queued | Refused
    displaced: tuple[Decision, ...] = ()
