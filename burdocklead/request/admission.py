"""Admission beside one upstream: slots and a bounded queue, without I/O.

Calls are long or short by the learned cost of their route. Long calls hold
only a share of the slots while short ones are around. Within a class, calls
wait by priority and then by the latest time at which they can start.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from burdocklead.request.concurrency_limit import ContentionLimit
from burdocklead.request.route_costs import RouteCost
from burdocklead.request.slot_table import SlotTable
from burdocklead.request.upstream_load import PaceView
from burdocklead.request.waiting_calls import WaitingCall, WaitingCalls
from burdocklead.values import LoadReport, RefusalCause

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Ticket:
    """One call that wants a slot.

    Attributes:
        attempt_id: Attempt that the ticket is for.
        route: Route key for learned costs, ``service/route``.
        rank: Rank of the call; 0 is shed last.
        cost_ms: Declared service time in ms.
        deadline: Monotonic time of the deadline in s.
        queue_limit: Calls that may wait.
        objective: Monotonic time by which it should end in s; 0 if there is
            no time but the deadline.
        may_queue: False if it is refused unless it can start at once.
    """

    attempt_id: str
    route: str
    rank: int
    cost_ms: float
    deadline: float
    queue_limit: int
    objective: float = 0
    may_queue: bool = True


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
        table: Slots in use.
        short: Waiting calls of short routes.
        long: Waiting calls of long routes.
        pace: What the upstream tells of its pace.
    """

    table: SlotTable
    short: WaitingCalls[Ticket] = field(default_factory=WaitingCalls)
    long: WaitingCalls[Ticket] = field(default_factory=WaitingCalls)
    pace: PaceView = field(default_factory=PaceView)

    def set_pace(self, pace: PaceView, now: float) -> list[Decision]:
        """Use a pace from now on and return what may start by it."""
        self.pace = pace
        return self._fill_slots(now)

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Return whether a new call runs, waits or is refused."""
        cost = self._cost_of(ticket)
        cost.record_arrival(now, self.table.costs.window)
        self.table.costs.refresh(now)
        if not self.table.slots:
            return OfferResult(Refused(RefusalCause.queue_full))
        if self._misses_deadline(ticket, now):
            return OfferResult(Refused(RefusalCause.deadline))
        latest_start = ticket.deadline - cost.conservative_ms() / MS_PER_S
        waiting = WaitingCall(
            sort_key=_sort_key_of(ticket, cost, latest_start, now),
            latest_start=latest_start,
            cost_ms=cost.median.estimate,
            since=now,
            call_id=ticket.attempt_id,
            payload=ticket,
        )
        if self._may_start(ticket, now):
            self.table.start(ticket.attempt_id, cost, now)
            return OfferResult(Admitted())
        if not ticket.may_queue:
            return OfferResult(Refused(RefusalCause.not_at_once))
        return self._enqueue(waiting, now)

    def release(
        self,
        attempt_id: str,
        service_ms: float,
        now: float,
        *,
        finished: bool = True,
        pace: float = 1,
    ) -> list[Decision]:
        """Give a slot back and return the decisions on waiting calls.

        Args:
            attempt_id: Attempt that ended.
            service_ms: Time for which it held the slot in ms.
            now: Monotonic time in s.
            finished: False if the upstream gave no answer; the time is then
                a lower bound of its service time.
            pace: Pace at which it started.
        """
        self.table.finish(
            attempt_id,
            service_ms / pace,
            now,
            finished=finished,
            saturated=bool(self.short or self.long),
        )
        return self._fill_slots(now)

    def withdraw(self, attempt_id: str) -> bool:
        """Remove a waiting call; return True if it was waiting."""
        return self.short.remove(attempt_id) or self.long.remove(attempt_id)

    def load(self, now: float) -> LoadReport:
        """Return the present load."""
        return LoadReport(
            len(self.table.running),
            len(self.short) + len(self.long),
            self.table.limit(now),
            self.expected_wait_ms(now),
        )

    def expected_wait_ms(self, now: float) -> float:
        """Return the expected queue time of a new short call in ms."""
        if self.table.free(now) > 0 and not self.short:
            return 0
        return self.table.wait_ms(self.short.work_ms, now, long=False)

    def _cost_of(self, ticket: Ticket) -> RouteCost:
        return self.table.costs.cost_of(ticket.route, ticket.cost_ms)

    def _misses_deadline(self, ticket: Ticket, now: float) -> bool:
        """Return True if a call can't finish in time even if it starts now.

        An idle upstream takes any call, so that a learned cost that is far
        too high is corrected by what the next call takes.
        """
        if ticket.deadline <= now:
            return True
        remaining_ms = (ticket.deadline - now) * MS_PER_S
        low_ms = self._cost_of(ticket).low.estimate
        return bool(self.table.running) and low_ms > remaining_ms

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        if self.table.free(now) <= 0:
            return False
        if self.pace.is_worth_waiting(
            self._cost_of(ticket).median.estimate, now
        ):
            return False
        if self.short and not self.pace.is_slow():
            return False
        if not self.table.costs.is_long(self._cost_of(ticket)):
            return True
        return not self.long and self.table.long_may_start(now)

    def _enqueue(self, waiting: WaitingCall[Ticket], now: float) -> OfferResult:
        is_long = self.table.costs.is_long(self._cost_of(waiting.payload))
        queue = self.long if is_long else self.short
        ahead_ms = queue.work_before(waiting.sort_key)
        wait_ms = self.table.wait_ms(ahead_ms, now, long=is_long)
        if now + wait_ms / MS_PER_S > waiting.latest_start:
            return OfferResult(Refused(RefusalCause.deadline))
        displaced = []
        if len(self.short) + len(self.long) >= waiting.payload.queue_limit:
            victim = _call_to_shed((self.long, self.short), waiting)
            if victim is None:
                return OfferResult(Refused(RefusalCause.queue_full))
            self.withdraw(victim.call_id)
            displaced.append(victim)
        queue.add(waiting)
        displaced.extend(self._shed_late(queue, now))
        shed = Refused(RefusalCause.shed)
        return OfferResult(
            Queued(), tuple(Decision(one.payload, shed) for one in displaced)
        )

    def _shed_late(
        self, queue: WaitingCalls[Ticket], now: float
    ) -> list[WaitingCall[Ticket]]:
        """Remove and return last calls that can't start in time any more."""
        removed = []
        is_long = queue is self.long
        while len(queue) > 1:
            last = queue.last()
            ahead_ms = queue.work_ms - last.cost_ms
            wait_ms = self.table.wait_ms(ahead_ms, now, long=is_long)
            if now + wait_ms / MS_PER_S <= last.latest_start:
                break
            queue.remove(last.call_id)
            removed.append(last)
        return removed

    def _fill_slots(self, now: float) -> list[Decision]:
        decisions = []
        while self.table.free(now) > 0:
            waiting = self._take_next(now)
            if waiting is None:
                break
            ticket = waiting.payload
            if self._starts_too_late(waiting, now):
                late = Refused(RefusalCause.deadline)
                decisions.append(Decision(ticket, late))
                continue
            self.table.start(ticket.attempt_id, self._cost_of(ticket), now)
            decisions.append(Decision(ticket, Admitted()))
        return decisions

    def _starts_too_late(
        self, waiting: WaitingCall[Ticket], now: float
    ) -> bool:
        """Return True if another call makes better use of the slot.

        At a slow pace a call whose last moment has come can't end in time.
        """
        if waiting.latest_start > now:
            return False
        if self.pace.is_worth_waiting(waiting.cost_ms, now):
            return True
        others_wait = bool(self.short or self.long)
        return others_wait or self._misses_deadline(waiting.payload, now)

    def _take_next(self, now: float) -> WaitingCall[Ticket] | None:
        """Remove and return the next call to run, None if none may."""
        queue = self.short
        if self.long and self._long_is_next(now):
            queue = self.long
        if not queue:
            return None
        _demote_late(queue, now)
        if self._should_hold(queue.first(), now):
            return None
        return queue.pop_first()

    def _should_hold(self, waiting: WaitingCall[Ticket], now: float) -> bool:
        """Return True if a call should wait for a better pace.

        It waits no longer than until the last moment at which it can end
        before its deadline at the usual pace.
        """
        if waiting.latest_start <= now:
            return False
        return self.pace.is_worth_waiting(waiting.cost_ms, now)

    def _long_is_next(self, now: float) -> bool:
        """Return True if a long call is next; its floor prevents starvation."""
        if not self.table.long_may_start(now):
            return False
        if not self.short:
            return True
        first = self.long.first()
        waited_ms = (now - first.since) * MS_PER_S
        return waited_ms >= first.cost_ms and self.table.below_long_floor(now)


def _sort_key_of(
    ticket: Ticket, cost: RouteCost, latest_start: float, now: float
) -> tuple[bool, int, float]:
    """Return the place of a call among those that wait.

    Calls that can meet their objective go first: a late answer is worth
    little, and a slot that it holds makes others late.
    """
    if not ticket.objective:
        return False, ticket.rank, latest_start
    wanted_start = ticket.objective - cost.median.estimate / MS_PER_S
    if wanted_start < now:
        return True, ticket.rank, latest_start
    return False, ticket.rank, min(wanted_start, latest_start)


def _call_to_shed(
    queues: Sequence[WaitingCalls[Ticket]], new_call: WaitingCall[Ticket]
) -> WaitingCall[Ticket] | None:
    """Return the waiting call to shed for a newcomer, if any."""
    lasts = [queue.last() for queue in queues if queue]
    lower = [one for one in lasts if one.sort_key[:2] > new_call.sort_key[:2]]
    return max(lower, key=lambda one: one.sort_key, default=None)


def _demote_late(queue: WaitingCalls[Ticket], now: float) -> None:
    """Put calls that miss their objective by now behind all others."""
    while not queue.first().sort_key[0] and queue.first().payload.objective:
        first = queue.first()
        if first.sort_key[-1] >= now:
            return
        queue.pop_first()
        sort_key = (True, first.payload.rank, first.latest_start)
        queue.add(replace(first, sort_key=sort_key))


def admission_for(slots: int) -> AdmissionQueue:
    """Return the empty queue of a fresh upstream."""
    return AdmissionQueue(SlotTable(slots))


def paced_admission_for(slots: int) -> AdmissionQueue:
    """Return the empty queue of an upstream that tells its pace.

    Service times at the usual pace tell whether it suffers when nearly all
    slots are in use.
    """
    return AdmissionQueue(SlotTable(slots, limiter=ContentionLimit(slots)))
