"""Load reports of the local upstream, without I/O.

An upstream that shares its VM may run work several times slower for a short
period. Work that starts in such a period stays slow to its end, so that a
short wait pays off.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

USUAL_PACE = 1.0
SLOW_FACTOR = 1.5  # Lower ratios are within the spread of service times.
BEST_WINDOW_S = 1.0  # A cold upstream has another usual pace for seconds.
FIRST_SLOW_PERIOD_S = 0.15  # Assumed length until one was observed.
SLOW_PERIOD_WEIGHT = 0.1  # Weight of one more slow period in the mean.
REPORT_WEIGHT = 0.02  # Weight of one more report; tens arrive a second.
REMAINING_SHARE = 0.6  # Of a period of equal steps, at a random moment.
PERSISTENT_FACTOR = 6  # A slow period of this many mean lengths will last.
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports.

    Attributes:
        running: Running calls.
        waiting: Calls waiting at the upstream.
        slots: Calls that it can run at the same time.
        pace: Current service time as a multiple of the usual, so that a
            higher pace is slower; None if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(slots=True)
class PaceView:
    """The pace of an upstream by its reports; a higher pace is slower.

    Attributes:
        pace: Pace in the last report.
        reported_at: Monotonic time of that report in s.
        is_reported: True if the upstream reports its pace.
        best: Lowest recent pace, which counts as the usual one.
        best_at: Monotonic time in s at which it was last reported.
        slow_since: Monotonic time in s at which the current slow period
            began, None outside of one.
        mean_slow_period_s: Mean length of a slow period in s.
        slow_share: Mean share of reports with a slow pace.
        slow_pace: Mean pace in slow periods.
    """

    pace: float = USUAL_PACE
    reported_at: float = -math.inf
    is_reported: bool = False
    best: float = USUAL_PACE
    best_at: float = -math.inf
    slow_since: float | None = None
    mean_slow_period_s: float = FIRST_SLOW_PERIOD_S
    slow_share: float = 0
    slow_pace: float = USUAL_PACE

    def observe(self, load: UpstreamLoad, now: float) -> None:
        """Record a report; a pace that is not positive is ignored."""
        pace = load.pace or 0
        if pace <= 0:
            return
        self.is_reported = True
        self.reported_at = now
        self.pace = pace
        if pace <= self.best or now - self.best_at > BEST_WINDOW_S:
            self.best = pace
            self.best_at = now
        slow = self.is_slow()
        self.slow_share += (slow - self.slow_share) * REPORT_WEIGHT
        if slow:
            self._observe_slow(now)
        elif self.slow_since is not None:
            self._end_slow_period(now - self.slow_since)

    def age_s(self, now: float) -> float:
        """Return the age of the last report in s."""
        return now - self.reported_at

    def is_slow(self) -> bool:
        """Return True if work that starts now takes longer than usual."""
        return self.pace > self.best * SLOW_FACTOR

    def expected_ms(self, cost_ms: float, now: float) -> float:
        """Return the expected time of a call that may wait for a better pace.

        The older the last report, the less it counts and the more the mean
        share of slow reports does.

        Args:
            cost_ms: Service time of the call at the usual pace in ms.
            now: Monotonic time in s.
        """
        if not self.is_reported:
            return cost_ms
        recency = math.exp(-self.age_s(now) / self.mean_slow_period_s)
        slow_share = recency * self.is_slow() + (1 - recency) * self.slow_share
        slow_pace = self.pace if self.is_slow() else self.slow_pace
        slow_ms = cost_ms * max(slow_pace / self.best, 1)
        if not self.is_persistent(now):
            wait_ms = self.mean_slow_period_s * REMAINING_SHARE * MS_PER_S
            slow_ms = min(slow_ms, cost_ms + wait_ms)
        return cost_ms + (slow_ms - cost_ms) * slow_share

    def is_persistent(self, now: float) -> bool:
        """Return True if the slow period is much longer than the mean."""
        if self.slow_since is None:
            return False
        return (
            now - self.slow_since > self.mean_slow_period_s * PERSISTENT_FACTOR
        )

    def is_worth_waiting(self, cost_ms: float, now: float) -> bool:
        """Return True if a call ends sooner when it waits for a better pace.

        Args:
            cost_ms: Service time of the call at the usual pace in ms.
            now: Monotonic time in s.
        """
        if not self.is_slow() or self.slow_since is None:
            return False
        if self.is_persistent(now):
            return False
        lost_ms = cost_ms * (self.pace / self.best - 1)
        return lost_ms > self.mean_slow_period_s * REMAINING_SHARE * MS_PER_S

    def _observe_slow(self, now: float) -> None:
        known = self.slow_pace > USUAL_PACE
        weight = SLOW_PERIOD_WEIGHT if known else 1
        self.slow_pace += (self.pace - self.slow_pace) * weight
        if self.slow_since is None:
            self.slow_since = now

    def _end_slow_period(self, length_s: float) -> None:
        self.mean_slow_period_s += (
            length_s - self.mean_slow_period_s
        ) * SLOW_PERIOD_WEIGHT
        self.slow_since = None
