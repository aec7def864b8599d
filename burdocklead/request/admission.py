"""Admission beside one upstream: slots and a bounded queue, without I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from burdocklead.values import LoadReport, RefusalCause
from burdocklead.version.deployment import Priority


@dataclass(frozen=True, slots=True)
class Ticket:
    """One call that wants a slot.

    Attributes:
        attempt_id: Attempt that the ticket is for.
        route: Route key for learned costs, ``service/route``.
        priority: Order in which calls are shed.
        cost_ms: Declared service time in ms.
        deadline: Monotonic time of the deadline in s.
        queue_limit: Calls that may wait.
    """

    attempt_id: str
    route: str
    priority: Priority
    cost_ms: float
    deadline: float
    queue_limit: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call has a slot now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits for a slot."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call gets no slot."""

    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class Decision:
    """A late decision on a ticket that waited."""

    ticket: Ticket
    verdict: Admitted | Refused


@dataclass(frozen=True, slots=True)
class OfferResult:
    """The decision on a new call.

    Attributes:
        verdict: Whether it runs, waits or is refused.
        displaced: Decisions on calls that had to leave the queue for it.
    """

    verdict: Admitted | Queued | Refused
    displaced: tuple[Decision, ...] = ()


@dataclass(slots=True)
class AdmissionQueue:
    """Slots of one upstream and the calls that wait for them.

    Attributes:
        slots: Calls that may run at the same time.
        running: Tickets that hold a slot by attempt.
        waiting: Tickets in order of arrival.
    """

    slots: int
    running: dict[str, Ticket] = field(default_factory=dict)
    waiting: deque[Ticket] = field(default_factory=deque)

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Return whether a new call runs, waits or is refused."""
        if ticket.deadline <= now:
            return OfferResult(Refused(RefusalCause.deadline))
        if len(self.running) < self.slots:
            self.running[ticket.attempt_id] = ticket
            return OfferResult(Admitted())
        if len(self.waiting) >= ticket.queue_limit:
            return OfferResult(Refused(RefusalCause.queue_full))
        self.waiting.append(ticket)
        return OfferResult(Queued())

    def release(
        self, attempt_id: str, service_ms: float, now: float
    ) -> list[Decision]:
        """Give a slot back and return the decisions on waiting calls."""
        self.running.pop(attempt_id, None)
        decisions = []
        while self.waiting and len(self.running) < self.slots:
            ticket = self.waiting.popleft()
            if ticket.deadline <= now:
                refused = Refused(RefusalCause.deadline)
                decisions.append(Decision(ticket, refused))
                continue
            self.running[ticket.attempt_id] = ticket
            decisions.append(Decision(ticket, Admitted()))
        return decisions

    def withdraw(self, attempt_id: str) -> bool:
        """Remove a waiting call; return True if it was waiting."""
        for ticket in self.waiting:
            if ticket.attempt_id == attempt_id:
                self.waiting.remove(ticket)
                return True
        return False

    def load(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(len(self.running), len(self.waiting), self.slots)
