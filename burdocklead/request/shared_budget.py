"""Cluster-wide retry budget, without I/O.

Each daemon may use an equal part of the retries that are allowed regardless
of traffic, so that all daemons together stay within the limit without
exchanging messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_BUCKETS = 20  # The window is exact to one bucket, 5% of it.
# The rest covers nested calls, which the upstream of a retried call sends
# again.
DIRECT_RETRY_SHARE = 0.45
JOINING_MARGIN = 1.25  # For daemons that joined but are not known here yet.


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Retries that all daemons together may send in a sliding window.

    Attributes:
        ratio: Retries for each first attempt in the window.
        min_retries: Retries in a window regardless of traffic, added to those.
        window_s: Length of the window in s.
    """

    ratio: float
    min_retries: float
    window_s: float


@dataclass(slots=True)
class AttemptWindow:
    """First attempts and retries of one service at this daemon.

    Attributes:
        first_attempts: Start in s and count of each bucket.
        retries: Times of the retries in s.
    """

    first_attempts: deque[tuple[float, int]] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def add_first_attempt(self, now: float, bucket_s: float) -> None:
        """Count a first attempt."""
        if self.first_attempts and now - self.first_attempts[-1][0] < bucket_s:
            start, count = self.first_attempts.pop()
            self.first_attempts.append((start, count + 1))
        else:
            self.first_attempts.append((now, 1))

    def forget_before(self, oldest: float) -> None:
        """Remove all attempts before a time."""
        while self.first_attempts and self.first_attempts[0][0] < oldest:
            self.first_attempts.popleft()
        while self.retries and self.retries[0] < oldest:
            self.retries.popleft()

    def count_first_attempts(self) -> int:
        """Return the number of first attempts in the window."""
        return sum(count for _, count in self.first_attempts)


@dataclass(slots=True)
class SharedRetryBudget:
    """This daemon's part of the cluster-wide retry budget.

    Attributes:
        limit: Limit for all daemons together, for each service.
        daemons: Returns the number of daemons that send retries.
        clock: Returns the monotonic time in s.
        rounding: Added to this daemon's quota of retries, from 0 to 1. Drawn
            at random, so that many daemons with a quota below one retry
            still use the sum of their quotas.
        peak_daemons: Largest number of daemons seen.
        windows: Attempts in the window by service.
    """

    limit: RetryLimit
    daemons: Callable[[], int]
    clock: Callable[[], float]
    rounding: float = 0
    peak_daemons: int = 1
    windows: dict[str, AttemptWindow] = field(default_factory=dict)

    def earn(self, service: str) -> None:
        """Count a first attempt."""
        bucket_s = self.limit.window_s / WINDOW_BUCKETS
        self._window_of(service).add_first_attempt(self.clock(), bucket_s)

    def spend(self, service: str) -> bool:
        """Count a retry; return False if the quota is used up."""
        now = self.clock()
        window = self._window_of(service)
        window.forget_before(now - self.limit.window_s)
        if len(window.retries) + 1 > self._quota(window) + self.rounding:
            return False
        window.retries.append(now)
        return True

    def left(self, service: str) -> float:
        """Return the number of retries that may be sent now."""
        window = self._window_of(service)
        window.forget_before(self.clock() - self.limit.window_s)
        return max(self._quota(window) - len(window.retries), 0)

    def _quota(self, window: AttemptWindow) -> float:
        self.peak_daemons = max(self.peak_daemons, self.daemons())
        min_retries_share = self.limit.min_retries / (
            self.peak_daemons * JOINING_MARGIN
        )
        earned = self.limit.ratio * window.count_first_attempts()
        return (min_retries_share + earned) * DIRECT_RETRY_SHARE

    def _window_of(self, service: str) -> AttemptWindow:
        window = self.windows.get(service)
        if window is None:
            window = AttemptWindow()
            self.windows[service] = window
        return window
