"""The slots of one upstream and their division among long and short calls."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from burdocklead.request.concurrency_limit import (
    ConcurrencyLimit,
    ContentionLimit,
)
from burdocklead.request.route_costs import RouteCost, RouteCosts
from burdocklead.request.slowness import Slowness, step_towards

MS_PER_S = 1000
OCCUPANCY_WEIGHT = 0.2  # Less than the spread of service times.
OVERDUE_RATIO = 2.0  # Lower ratios are within the spread of service times.
MIN_LONG_SHARE = 0.25
MAX_SHORT_RESERVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that holds a slot.

    Attributes:
        cost: Learned cost of its route.
        long: True if its route was long at its start.
        started: Monotonic time of its start in s.
        running_at_start: Running calls at its start, itself included.
    """

    cost: RouteCost
    long: bool
    started: float
    running_at_start: int = 0

    def is_long_at(self, now: float, factor: float) -> bool:
        """Return True if its route is long or it far exceeds its cost."""
        usual_s = self.cost.median.estimate / MS_PER_S
        return self.long or now - self.started > usual_s * factor


@dataclass(slots=True)
class SlotTable:
    """Slots in use and the limits on them.

    Attributes:
        slots: Announced number of calls that may run at the same time.
        running: Calls that hold a slot, by attempt.
        costs: Learned service times.
        limiter: Limits the running calls to the slots or fewer.
        slowness: Recent service times as a multiple of the routes' baselines.
    """

    slots: int
    running: dict[str, RunningCall] = field(default_factory=dict)
    costs: RouteCosts = field(default_factory=RouteCosts)
    limiter: ConcurrencyLimit | ContentionLimit = field(
        default_factory=lambda: ConcurrencyLimit(0)
    )
    slowness: Slowness = field(default_factory=Slowness)

    def limit(self, now: float) -> int:
        """Return the number of calls that may run now."""
        if self.limiter.slots != self.slots:
            self.limiter.resize(self.slots)
        return self.limiter.current(now)

    def free(self, now: float) -> int:
        """Return the number of free slots below the limit."""
        return self.limit(now) - len(self.running)

    def long_count(self, now: float) -> int:
        """Return the number of running calls that are long."""
        factor = self.costs.long_factor
        return sum(
            call.is_long_at(now, factor) for call in self.running.values()
        )

    def long_limit(self, now: float) -> int:
        """Return the number of slots that long calls may hold now.

        The rest, up to half, is reserved for short calls: the slots that they
        need on average, plus the square root of that for variation.
        """
        limit = self.limit(now)
        if not self.costs.long_seen:
            return limit
        demand = self.costs.short_demand
        reserve = math.ceil(demand + math.sqrt(demand))
        reserve = min(reserve, int(limit * MAX_SHORT_RESERVE_SHARE))
        return max(limit - max(reserve, 1), 1)

    def long_may_start(self, now: float) -> bool:
        """Return True if a long call may take a free slot."""
        return self.long_count(now) < self.long_limit(now)

    def below_long_floor(self, now: float) -> bool:
        """Return True if long calls hold less than their guaranteed share."""
        floor = max(int(self.limit(now) * MIN_LONG_SHARE), 1)
        return self.long_count(now) < floor

    def start(self, call_id: str, cost: RouteCost, now: float) -> None:
        """Give a slot to a call."""
        self.running[call_id] = RunningCall(
            cost, self.costs.is_long(cost), now, len(self.running) + 1
        )

    def finish(
        self,
        call_id: str,
        service_ms: float,
        now: float,
        *,
        finished: bool,
        saturated: bool,
    ) -> None:
        """Release a slot and learn from the call's service time."""
        self.limit(now)
        call = self.running.pop(call_id, None)
        if call is None:
            return
        ratio = service_ms / call.cost.baseline.estimate
        if finished:
            call.cost.observe(
                service_ms,
                contended=self.limiter.is_contended(call.running_at_start),
            )
        else:
            call.cost.observe_unfinished(service_ms)
        if finished or ratio > 1:
            self.slowness.observe(ratio, now)
            self.limiter.observe(
                ratio, now, saturated=saturated, running=call.running_at_start
            )

    def contention_factor(self) -> float:
        """Return the expected slowdown of a new call by those running.

        The share of slots in use always counts a little, so that equal
        upstreams are loaded evenly.
        """
        running = len(self.running)
        occupancy = running / max(self.slots, 1)
        return self.limiter.expected_ratio(running + 1) * (
            1 + occupancy * OCCUPANCY_WEIGHT
        )

    def present_slowness(self, now: float) -> float:
        """Return the slowness as if all overdue calls ended now."""
        slowness = self.slowness.read(now)
        for call in self.running.values():
            elapsed_ms = (now - call.started) * MS_PER_S
            ratio = elapsed_ms / call.cost.baseline.estimate
            if ratio > max(slowness, OVERDUE_RATIO):
                slowness = step_towards(ratio, slowness)
        return slowness

    def wait_ms(self, work_ms: float, now: float, *, long: bool) -> float:
        """Return the expected wait behind queued work in ms.

        Args:
            work_ms: Sum of the service times of the calls ahead in ms.
            now: Monotonic time in s.
            long: True for the class of long calls, False for short ones.
        """
        holders = [call for call in self.running.values() if call.long is long]
        if long:
            slots = self.long_limit(now)
        else:
            slots = max(self.limit(now) - self.long_count(now), 1)
        remaining = sum(call.cost.median.estimate for call in holders) / 2
        if len(holders) < slots:
            remaining = 0
        return (work_ms + remaining / max(len(holders), 1)) / max(slots, 1)
