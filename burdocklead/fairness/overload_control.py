"""Refusal of calls that can't end by their objective, without I/O.

Load: all upstreams of a service get more calls than they can run, or take
longer for each, for more time than a call may wait. A late answer then costs
the slot of a call that would be in time, and the calls that wait longest are
refused only at their deadline.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from burdocklead.fairness.queue_order import misses_objective
from burdocklead.fairness.tickets import Ticket
from burdocklead.request.route_costs import RouteCost
from burdocklead.request.slot_table import SlotTable
from burdocklead.request.waiting_calls import WaitingCall, WaitingCalls

MS_PER_S = 1000
# Calls that arrive later and go first aren't in the expected wait. With a
# factor of 1, a tenth of the refused calls had waited for 0.3 s and more.
WAIT_MARGIN = 1.5
OVERLOAD_MEMORY_S = 1.0  # Longer than a release of a slot takes.
# Of the time left to the objective; routes that need more get less margin.
MAX_MARGIN_SHARE = 0.5


def expected_service_ms(
    table: SlotTable, cost: RouteCost, left_ms: float, now: float
) -> float:
    """Return the service time in ms to reserve for a call before its objective.

    The slowness of all recent calls shows a slowdown within a few calls, the
    median of the route only after tens.

    Args:
        table: Slots and learned slowness of the upstream.
        cost: Learned cost of the call's route.
        left_ms: Time left until the objective of the call in ms.
        now: Monotonic time in s.
    """
    median_ms = cost.median.estimate
    slow_ms = max(
        median_ms, cost.baseline.estimate * table.present_slowness(now)
    )
    conservative_ms = slow_ms * max(cost.conservative_ms() / median_ms, 1)
    return min(conservative_ms, max(median_ms, left_ms * MAX_MARGIN_SHARE))


@dataclass(slots=True)
class OverloadControl:
    """Refuses calls that would be late because of others.

    Calls that would be late even without others wait behind the rest, unless
    the upstream is overloaded.

    Attributes:
        refused_at: Monotonic time in s of the last refusal of a call that
            would have been in time on an idle upstream.
    """

    refused_at: float = -math.inf

    def is_overloaded(self, now: float) -> bool:
        """Return True if calls were refused lately."""
        return now - self.refused_at < OVERLOAD_MEMORY_S

    def refuses(
        self,
        waiting: WaitingCall[Ticket],
        cost: RouteCost,
        table: SlotTable,
        wait_ms: float,
        now: float,
    ) -> bool:
        """Return True if a new call should be refused rather than queued.

        Args:
            waiting: The call.
            cost: Learned cost of its route.
            table: Slots and learned slowness of the upstream.
            wait_ms: Expected wait in ms.
            now: Monotonic time in s.
        """
        ticket = waiting.payload
        if not ticket.objective or ticket.nested:
            return False
        if waiting.sort_key[0]:
            return self.is_overloaded(now)
        left_ms = (ticket.objective - now) * MS_PER_S
        service_ms = expected_service_ms(table, cost, left_ms, now)
        if wait_ms * WAIT_MARGIN + service_ms <= left_ms:
            return False
        self.refused_at = now
        return True

    def remove_late(
        self, queue: WaitingCalls[Ticket], now: float
    ) -> list[WaitingCall[Ticket]]:
        """Remove the calls that missed their objective during an overload.

        A call that could be in time at its arrival, and is late now although
        others that can be in time wait, also shows an overload: it would wait
        behind them until its deadline.
        """
        late = [call for call in queue.calls if misses_objective(call, now)]
        others_wait = len(late) < len(queue)
        if others_wait and any(not call.sort_key[0] for call in late):
            self.refused_at = now
        if not self.is_overloaded(now):
            return []
        for call in late:
            queue.remove(call.call_id)
        return late
