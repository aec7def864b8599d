"""Admission control of one upstream: slots and a bounded queue, without I/O.

A call is long or short by the learned cost of its route. Long calls may hold
only a share of the slots while both classes have been seen recently. Within
a class, calls wait by priority, nested calls before new ones, and then by
their latest possible start.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.fairness.nested_reserve import NestedReserve
from burdocklead.fairness.queue_order import (
    call_to_shed,
    demote_late,
    should_hold,
    sort_key_of,
    waits_behind,
)
from burdocklead.fairness.team_shares import TeamShares
from burdocklead.fairness.tickets import (
    Admitted,
    Decision,
    OfferResult,
    Queued,
    Refused,
    Ticket,
)
from burdocklead.request.concurrency_limit import ContentionLimit
from burdocklead.request.route_costs import RouteCost
from burdocklead.request.slot_table import SlotTable
from burdocklead.request.upstream_load import PaceView
from burdocklead.request.waiting_calls import WaitingCall, WaitingCalls
from burdocklead.values import LoadReport, RefusalCause

MS_PER_S = 1000


@dataclass(slots=True)
class AdmissionQueue:
    """The slots of one upstream and the calls that wait for them.

    Attributes:
        table: Slots in use.
        short: Waiting calls of short routes.
        long: Waiting calls of long routes.
        pace: Pace that the upstream reports.
        reserve: Slots kept for nested calls.
        teams: Shares of the teams.
    """

    table: SlotTable
    short: WaitingCalls[Ticket] = field(default_factory=WaitingCalls)
    long: WaitingCalls[Ticket] = field(default_factory=WaitingCalls)
    pace: PaceView = field(default_factory=PaceView)
    reserve: NestedReserve = field(default_factory=NestedReserve)
    teams: TeamShares = field(default_factory=TeamShares)

    def set_pace(self, pace: PaceView, now: float) -> list[Decision]:
        """Replace the pace and return the decisions on waiting calls."""
        self.pace = pace
        return self._fill_slots(now)

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Decide whether a new call runs, waits or is refused."""
        cost = self._cost_of(ticket)
        cost.record_arrival(now, self.table.costs.window)
        self.table.costs.refresh(now)
        if not self.table.slots:
            return OfferResult(Refused(RefusalCause.queue_full))
        if self._misses_deadline(ticket, now):
            return OfferResult(Refused(RefusalCause.deadline))
        self.reserve.observe(ticket, cost, now)
        latest_start = ticket.deadline - cost.conservative_ms() / MS_PER_S
        if not self.table.running:
            self.teams.forget_all()
        team_round = self.teams.round_of(ticket)
        waiting = WaitingCall(
            sort_key=sort_key_of(ticket, cost, team_round, latest_start, now),
            latest_start=latest_start,
            cost_ms=cost.median.estimate,
            since=now,
            call_id=ticket.attempt_id,
            payload=ticket,
        )
        if self._may_start(ticket, now):
            self.teams.charge(ticket, waiting.cost_ms)
            self.teams.start(team_round)
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
        """Release a slot and return the decisions on waiting calls.

        Args:
            attempt_id: Attempt that ended.
            service_ms: Time for which it held the slot in ms.
            now: Monotonic time in s.
            finished: False if the upstream gave no answer; ``service_ms`` is
                then a lower bound of the service time.
            pace: Pace of the upstream when the attempt started.
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
        """Return the current load."""
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

        An idle upstream accepts any call whose deadline has not passed, so
        that a learned cost that is far too high is corrected by the service
        time of that call.
        """
        if ticket.deadline <= now:
            return True
        remaining_ms = (ticket.deadline - now) * MS_PER_S
        low_ms = self._cost_of(ticket).low.estimate
        return bool(self.table.running) and low_ms > remaining_ms

    def _free_for(self, ticket: Ticket, now: float) -> int:
        """Return the number of free slots that a call may take."""
        cost = self._cost_of(ticket)
        kept = self.reserve.slots_for(ticket, cost, self.table, now)
        return self.table.free(now) - kept

    def _may_start(self, ticket: Ticket, now: float) -> bool:
        if self._free_for(ticket, now) <= 0:
            return False
        if self.pace.is_worth_waiting(
            self._cost_of(ticket).median.estimate, now
        ):
            return False
        if waits_behind(self.short, ticket) and not self.pace.is_slow():
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
            victim = call_to_shed((self.long, self.short), waiting)
            if victim is None:
                return OfferResult(Refused(RefusalCause.queue_full))
            self.withdraw(victim.call_id)
            displaced.append(victim)
        self.teams.charge(waiting.payload, waiting.cost_ms)
        queue.add(waiting)
        displaced.extend(self._shed_late(queue, now))
        shed = Refused(RefusalCause.shed)
        return OfferResult(
            Queued(), tuple(Decision(call.payload, shed) for call in displaced)
        )

    def _shed_late(
        self, queue: WaitingCalls[Ticket], now: float
    ) -> list[WaitingCall[Ticket]]:
        """Remove calls from the end that can no longer start in time."""
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
            self.teams.start(waiting.sort_key[3])
            self.table.start(ticket.attempt_id, self._cost_of(ticket), now)
            decisions.append(Decision(ticket, Admitted()))
        return decisions

    def _starts_too_late(
        self, waiting: WaitingCall[Ticket], now: float
    ) -> bool:
        """Return True if a call past its latest start should be refused.

        At a slow pace such a call can't end in time. Otherwise it is refused
        if other calls wait for the slot or it would miss its deadline.
        """
        if waiting.latest_start > now:
            return False
        if waiting.payload.nested:
            return self._misses_deadline(waiting.payload, now)
        if self.pace.is_worth_waiting(waiting.cost_ms, now):
            return True
        others_wait = bool(self.short or self.long)
        return others_wait or self._misses_deadline(waiting.payload, now)

    def _take_next(self, now: float) -> WaitingCall[Ticket] | None:
        """Remove and return the next call to run, None if none may start."""
        queue = self.short
        if self.long and self._long_is_next(now):
            queue = self.long
        if not queue:
            return None
        demote_late(queue, now)
        for waiting in queue.calls:
            if self._free_for(waiting.payload, now) <= 0:
                continue
            if not should_hold(waiting, self.pace, now):
                queue.remove(waiting.call_id)
                return waiting
        return None

    def _long_is_next(self, now: float) -> bool:
        """Return True if a long call is next.

        The minimum share of long calls prevents their starvation.
        """
        if not self.table.long_may_start(now):
            return False
        if not self.short:
            return True
        first = self.long.first()
        waited_ms = (now - first.since) * MS_PER_S
        return waited_ms >= first.cost_ms and self.table.below_long_floor(now)


def admission_for(slots: int) -> AdmissionQueue:
    """Return the empty queue of a new upstream."""
    return AdmissionQueue(SlotTable(slots))


def paced_admission_for(slots: int) -> AdmissionQueue:
    """Return the empty queue of an upstream that reports its pace.

    Service times, divided by the pace, show whether throughput drops when
    nearly all slots are in use.
    """
    return AdmissionQueue(SlotTable(slots, limiter=ContentionLimit(slots)))
