"""State of one upstream as seen by an entry daemon, without I/O."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from burdocklead.request.slowness import DecayingValue, Slowness
from burdocklead.values import Estimate, LoadReport

MS_PER_S = 1000
REPORT_DECAY_S = 0.02
ESTIMATE_MAX_AGE_S = 0.03  # Load changes per call, the pace every 150 ms.
OTHERS_LOAD_SMOOTHING = 0.1
PENALTY_DECAY_S = 1.0
PENALTY_LIMIT = 20.0
OVERDUE_FACTOR = 4


def _new_penalty() -> DecayingValue:
    return DecayingValue(0, PENALTY_DECAY_S)


@dataclass(frozen=True, slots=True)
class ReceivedEstimate:
    """Latency estimate received from the daemon of an upstream.

    Attributes:
        estimate: The estimate.
        received_at: Monotonic time of its arrival in s.
    """

    estimate: Estimate
    received_at: float


@dataclass(slots=True)
class UpstreamView:
    """State of one upstream as seen by an entry daemon.

    Attributes:
        in_flight: Attempts of this daemon without a result, by route.
        in_flight_count: Sum of ``in_flight``.
        load: Last load report, None before the first.
        load_at: Monotonic time of that report in s.
        others_load: Calls of other daemons, running or queued, by the last
            report.
        others_load_mean: Moving average of ``others_load``.
        slowness: Latency as a multiple of the route's median.
        penalty: Decaying sum of the weights of recent failures.
        avoid_until: Monotonic time in s until which it is a last resort.
        answer_due_at: Monotonic time in s by which an answer is due.
        estimates: Last latency estimate by route.
        unresponsive_until: Monotonic time in s until which it is a last
            resort, for probes as well, after a probe without a reply.
    """

    in_flight: Counter[str] = field(default_factory=Counter)
    in_flight_count: int = 0
    load: LoadReport | None = None
    load_at: float = -math.inf
    others_load: float = 0
    others_load_mean: float = 0
    slowness: Slowness = field(default_factory=Slowness)
    penalty: DecayingValue = field(default_factory=_new_penalty)
    avoid_until: float = 0
    answer_due_at: float = math.inf
    estimates: dict[str, ReceivedEstimate] = field(default_factory=dict)
    unresponsive_until: float = 0

    def start(self, route: str, median_ms: float, now: float) -> None:
        """Record the start of an attempt."""
        self.in_flight[route] += 1
        self.in_flight_count += 1
        self.answer_due_at = min(
            self.answer_due_at, now + _overdue_after_s(median_ms)
        )

    def finish(self, route: str) -> None:
        """Record that an attempt has a result or was cancelled."""
        self.in_flight_count -= 1
        self.in_flight[route] -= 1
        if self.in_flight[route] <= 0:
            self.in_flight.pop(route)
        if not self.in_flight_count:
            self.answer_due_at = math.inf

    def record_answer(
        self, ratio: float, longest_in_flight_ms: float, now: float
    ) -> None:
        """Record an answer.

        Args:
            ratio: Its latency as a multiple of the route's median.
            longest_in_flight_ms: Highest median in ms of the routes in flight.
            now: Monotonic time in s.
        """
        self.slowness.observe(ratio, now)
        if self.in_flight_count:
            self.answer_due_at = now + _overdue_after_s(longest_in_flight_ms)

    def add_penalty(self, weight: float, now: float) -> None:
        """Add the weight of a failure, up to a limit."""
        penalty = self.penalty.read(now) + weight
        self.penalty.write(min(penalty, PENALTY_LIMIT), now)

    def record_load(self, load: LoadReport, now: float) -> None:
        """Record a load report."""
        self.load = load
        self.load_at = now
        self.others_load = max(
            load.busy + load.queued - self.in_flight_count, 0
        )
        self.others_load_mean += (
            self.others_load - self.others_load_mean
        ) * OTHERS_LOAD_SMOOTHING

    def fresh_estimate(self, route: str, now: float) -> Estimate | None:
        """Return the last estimate for a route unless it is stale."""
        received = self.estimates.get(route)
        if received is None or now - received.received_at > ESTIMATE_MAX_AGE_S:
            return None
        return received.estimate

    def report_weight(self, now: float) -> float:
        """Return the weight of the last load report, from 0 to 1."""
        age_s = now - self.load_at
        return math.exp(-age_s / REPORT_DECAY_S)

    def used_slots(self, now: float) -> float:
        """Return the estimated number of calls running or queued now."""
        report_weight = self.report_weight(now)
        others_load = (
            report_weight * self.others_load
            + (1 - report_weight) * self.others_load_mean
        )
        return self.in_flight_count + others_load

    def overdue_ms(self, now: float) -> float:
        """Return the time for which an answer is overdue in ms."""
        return max(now - self.answer_due_at, 0) * MS_PER_S


def _overdue_after_s(median_ms: float) -> float:
    return median_ms * OVERDUE_FACTOR / MS_PER_S
