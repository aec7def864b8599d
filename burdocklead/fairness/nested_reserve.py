"""Capacity kept for nested calls where they were seen recently, without I/O.

Nested calls go before new calls, so they need a free slot only where the slots
in use are not released soon enough for them. Load: long calls that take all
slots of an upstream that nested calls use.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from burdocklead.fairness.tickets import Ticket
from burdocklead.request.route_costs import RouteCost
from burdocklead.request.slot_table import SlotTable

NESTED_WINDOW_S = 10.0  # As long as a route counts as recent.
ALLOWANCE_WEIGHT = 0.1
# The rest is for the network and for service times above the median.
MAX_WAIT_SHARE = 0.5
MS_PER_S = 1000


@dataclass(slots=True)
class NestedReserve:
    """Decides whether a new call may take the last free slot.

    Attributes:
        seen_at: Monotonic time of the last nested call in s.
        allowance_ms: Mean time that a nested call may wait and still meet its
            objective.
    """

    seen_at: float = -math.inf
    allowance_ms: float = math.inf

    def observe(self, ticket: Ticket, cost: RouteCost, now: float) -> None:
        """Record the arrival of a call that may be a nested one."""
        if not ticket.nested:
            return
        end = ticket.objective or ticket.deadline
        allowance_ms = max((end - now) * MS_PER_S - cost.median.estimate, 0)
        if now - self.seen_at > NESTED_WINDOW_S:
            self.allowance_ms = allowance_ms
        self.seen_at = now
        self.allowance_ms += (
            allowance_ms - self.allowance_ms
        ) * ALLOWANCE_WEIGHT

    def slots_for(
        self, ticket: Ticket, cost: RouteCost, table: SlotTable, now: float
    ) -> int:
        """Return the number of free slots that a call must leave, 0 or 1.

        Args:
            ticket: Call that may start.
            cost: Learned cost of its route.
            table: Slots in use.
            now: Monotonic time in s.
        """
        if ticket.nested or now - self.seen_at > NESTED_WINDOW_S:
            return 0
        if not table.running:
            return 0
        releases_per_ms = 1 / cost.median.estimate + sum(
            1 / call.cost.median.estimate for call in table.running.values()
        )
        return int(1 / releases_per_ms > self.allowance_ms * MAX_WAIT_SHARE)
