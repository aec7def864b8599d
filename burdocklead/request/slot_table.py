"""The slots of one upstream, and how long and short calls share them."""

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
OVERDUE_RATIO = 2.0  # Less is within the spread of service times.
MIN_LONG_SHARE = 0.25
MAX_SHORT_RESERVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that holds a slot.

    Attributes:
        cost: Learned cost of its route.
        long: True if its route is long.
        started: Monotonic time of its start in s.
        running_at_start: Calls that ran at its start, this one included.
    """

    cost: RouteCost
    long: bool
    started: float
    running_at_start: int = 0

    def is_long_at(self, now: float, factor: float) -> bool:
        """Return True if it is long by route or ran far beyond its cost."""
        usual_s = self.cost.median.estimate / MS_PER_S
        return self.long or now - self.started > usual_s * factor


@dataclass(slots=True)
class SlotTable:
    """Slots in use and the limits on them.

    Attributes:
        slots: Calls that the upstream announced it can run at the same time.
        running: Calls that hold a slot by attempt.
        costs: Learned service times.
        limiter: Adapts the calls that may run below the slots.
        slowness: Service times as multiples of those that are usual here.
    """

    slots: int
    running: dict[str, RunningCall] = field(default_factory=dict)
    costs: RouteCosts = field(default_factory=RouteCosts)
    limiter: ConcurrencyLimit | ContentionLimit = field(
        default_factory=lambda: ConcurrencyLimit(0)
    )
    slowness: Slowness = field(default_factory=Slowness)

    def limit(self, now: float) -> int:
        """Return the calls that may run now."""
        if self.limiter.slots != self.slots:
            self.limiter.resize(self.slots)
        return self.limiter.current(now)

    def free(self, now: float) -> int:
        """Return the slots that a call may take now."""
        return self.limit(now) - len(self.running)

    def long_count(self, now: float) -> int:
        """Return the calls that run and are long."""
        factor = self.costs.long_factor
        return sum(
            call.is_long_at(now, factor) for call in self.running.values()
        )

    def long_limit(self, now: float) -> int:
        """Return the slots that long calls may hold now."""
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
        """Return True while long calls hold less than they are assured of."""
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
        """Take a slot back and learn from the call's service time."""
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
        """Return how much longer a call takes beside those that run now.

        The share of slots in use counts a little in any case, so that equal
        upstreams fill up evenly.
        """
        running = len(self.running)
        share = running / max(self.slots, 1)
        return self.limiter.expected_ratio(running + 1) * (
            1 + share * OCCUPANCY_WEIGHT
        )

    def present_slowness(self, now: float) -> float:
        """Return the slowness as if overdue calls ended now."""
        slowness = self.slowness.read(now)
        for call in self.running.values():
            elapsed_ms = (now - call.started) * MS_PER_S
            ratio = elapsed_ms / call.cost.baseline.estimate
            if ratio > max(slowness, OVERDUE_RATIO):
                slowness = step_towards(ratio, slowness)
        return slowness

    def wait_ms(self, work_ms: float, now: float, *, long: bool) -> float:
        """Return the wait behind some work of a class of calls in ms."""
        holders = [one for one in self.running.values() if one.long is long]
        if long:
            slots = self.long_limit(now)
        else:
            slots = max(self.limit(now) - self.long_count(now), 1)
        remaining = sum(one.cost.median.estimate for one in holders) / 2
        if len(holders) < slots:
            remaining = 0
        return (work_ms + remaining / max(len(holders), 1)) / max(slots, 1)
