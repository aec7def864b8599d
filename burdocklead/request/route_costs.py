"""Service times learned per route, without I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MEDIAN_QUANTILE = 0.5
LOW_QUANTILE = 0.1
HIGH_QUANTILE = 0.9
MAX_HIGH_RATIO = 3
REFRESH_INTERVAL_S = 0.02
FIRST_STEP = 0.5
LAST_STEP = 0.05
STEP_DECAY_SAMPLES = 8
BASELINE_STEP = 0.01
MIN_ESTIMATE_MS = 0.01
MS_PER_S = 1000


@dataclass(slots=True)
class QuantileTracker:
    """Estimates a quantile of a stream in logarithmic steps of bounded size.

    A sample moves the estimate by at most one step, however large it is.

    Attributes:
        quantile: Share of samples below the estimate.
        estimate: Current estimate in the unit of the samples.
        last_step: Step size after many samples, as a natural logarithm.
        samples: Number of samples observed.
    """

    quantile: float
    estimate: float
    last_step: float = LAST_STEP
    samples: int = 0

    def __post_init__(self) -> None:
        """Raise the first estimate above 0, since estimates are divisors."""
        self.estimate = max(self.estimate, MIN_ESTIMATE_MS)

    def observe(self, sample: float) -> None:
        """Move the estimate one step towards a sample."""
        step = max(
            FIRST_STEP
            * STEP_DECAY_SAMPLES
            / (STEP_DECAY_SAMPLES + self.samples),
            self.last_step,
        )
        self.samples += 1
        if sample > self.estimate:
            self.estimate *= math.exp(step * self.quantile)
        else:
            self.estimate *= math.exp(-step * (1 - self.quantile))
        self.estimate = max(self.estimate, MIN_ESTIMATE_MS)


@dataclass(slots=True)
class RouteCost:
    """Service times of one route at one upstream.

    Attributes:
        median: Median service time in ms.
        low: Low quantile in ms; a call with less time left can hardly finish.
        high: High quantile in ms.
        baseline: Median in ms that adapts to a slowdown only slowly.
        last_seen: Monotonic time of the last call in s.
        demand: Mean number of slots in use, as a decaying average.
    """

    median: QuantileTracker
    low: QuantileTracker
    high: QuantileTracker
    baseline: QuantileTracker
    last_seen: float = 0
    demand: float = 0

    @classmethod
    def declared(cls, cost_ms: float) -> RouteCost:
        """Return the cost of a route without calls so far."""
        return cls(
            QuantileTracker(MEDIAN_QUANTILE, cost_ms),
            QuantileTracker(LOW_QUANTILE, cost_ms),
            QuantileTracker(HIGH_QUANTILE, cost_ms),
            QuantileTracker(MEDIAN_QUANTILE, cost_ms, BASELINE_STEP),
        )

    def observe(self, service_ms: float, *, contended: bool = False) -> None:
        """Record the service time of a finished call.

        Args:
            service_ms: Service time in ms.
            contended: True if nearly all slots were in use, which may have
                slowed the call; the baseline then ignores it.
        """
        self.median.observe(service_ms)
        self.low.observe(service_ms)
        self.high.observe(service_ms)
        if not contended:
            self.baseline.observe(service_ms)

    def conservative_ms(self) -> float:
        """Return the time in which most calls finish in ms."""
        return min(self.high.estimate, self.median.estimate * MAX_HIGH_RATIO)

    def observe_unfinished(self, service_ms: float) -> None:
        """Record that a call was abandoned after a time in ms."""
        if service_ms > self.median.estimate:
            self.median.observe(service_ms)

    def record_arrival(self, now: float, window: float) -> None:
        """Add a call to the demand.

        Args:
            now: Monotonic time in s.
            window: Time constant of the decay in s.
        """
        self.demand = self.demand_at(now, window)
        self.demand += self.median.estimate / MS_PER_S / window
        self.last_seen = now

    def demand_at(self, now: float, window: float) -> float:
        """Return the demand, decayed until now."""
        return self.demand * math.exp((self.last_seen - now) / window)


@dataclass(slots=True)
class RouteCosts:
    """Learned service times of all routes of one upstream.

    Attributes:
        window: Time constant in s of the demand; a route without calls for
            this long is not recent.
        long_factor: Multiple of the shortest recent route's cost from which
            a route is long.
        routes: Learned costs by route.
        long_threshold_ms: Median cost from which a route is long, in ms.
        long_seen: True if both short and long routes are recent.
        short_demand: Slots that the short routes need on average.
        refreshed_at: Monotonic time of the last refresh in s.
    """

    window: float = 10
    long_factor: float = 8
    routes: dict[str, RouteCost] = field(default_factory=dict)
    long_threshold_ms: float = math.inf
    long_seen: bool = False
    short_demand: float = 0
    refreshed_at: float = -math.inf

    def cost_of(self, route: str, declared_ms: float) -> RouteCost:
        """Return the cost of a route, initially its declared cost."""
        cost = self.routes.get(route)
        if cost is None:
            cost = RouteCost.declared(declared_ms)
            self.routes[route] = cost
            self.refreshed_at = -math.inf
        return cost

    def is_long(self, cost: RouteCost) -> bool:
        """Return True if a route is long compared with the recent ones."""
        return cost.median.estimate >= self.long_threshold_ms

    def refresh(self, now: float) -> None:
        """Update the totals over recent routes, at most once per interval."""
        if now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        self.refreshed_at = now
        recent = [
            cost
            for cost in self.routes.values()
            if cost.last_seen + self.window > now
        ]
        shortest = min(
            (cost.median.estimate for cost in recent), default=math.inf
        )
        self.long_threshold_ms = shortest * self.long_factor
        self.long_seen = any(self.is_long(cost) for cost in recent)
        self.short_demand = sum(
            cost.demand_at(now, self.window)
            for cost in recent
            if not self.is_long(cost)
        )
