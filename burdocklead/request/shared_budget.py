"""Retries that all daemons together may send, without I/O.

Each daemon takes a fixed part of the retries that need no first attempts, so
that the sum over all daemons keeps to the limit without any message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_BUCKETS = 20  # The error of the window is one bucket, 5% of it.
DIRECT_RETRY_SHARE = (
    0.45  # The rest is for calls that repeated runs make again.
)
JOINING_MARGIN = 1.25  # Daemons that join before this one learns of them.


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """What all daemons together may send.

    Attributes:
        ratio: Retries for each first attempt in the window.
        floor: Retries in a window beyond those.
        window_s: Length of the sliding window in s.
    """

    ratio: float
    floor: float
    window_s: float


@dataclass(slots=True)
class AttemptWindow:
    """First attempts and retries of one service at this daemon.

    Attributes:
        first_attempts: Start in s and number of each bucket of first attempts.
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
        """Forget what left the window."""
        while self.first_attempts and self.first_attempts[0][0] < oldest:
            self.first_attempts.popleft()
        while self.retries and self.retries[0] < oldest:
            self.retries.popleft()

    def count_first_attempts(self) -> int:
        """Return the first attempts in the window."""
        return sum(count for _, count in self.first_attempts)


@dataclass(slots=True)
class SharedRetryBudget:
    """This daemon's part of the retries of each service.

    Attributes:
        limit: What all daemons together may send.
        daemons: Returns the number of daemons that send retries.
        clock: Returns the monotonic time in s.
        rounding: Part of a retry that this daemon rounds up by, from 0 to
            1; drawn at random, so that the sum over many daemons with less
            than a retry each is not rounded down.
        peak_daemons: Largest number of daemons seen.
        windows: Ledgers by service.
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
        """Take one retry; return False if there is none."""
        now = self.clock()
        window = self._window_of(service)
        window.forget_before(now - self.limit.window_s)
        if (
            len(window.retries) + 1
            > self._allowed_retries(window) + self.rounding
        ):
            return False
        window.retries.append(now)
        return True

    def left(self, service: str) -> float:
        """Return the retries that may be sent now."""
        window = self._window_of(service)
        window.forget_before(self.clock() - self.limit.window_s)
        return max(self._allowed_retries(window) - len(window.retries), 0)

    def _allowed_retries(self, window: AttemptWindow) -> float:
        self.peak_daemons = max(self.peak_daemons, self.daemons())
        floor_share = self.limit.floor / (self.peak_daemons * JOINING_MARGIN)
        earned = self.limit.ratio * window.count_first_attempts()
        return (floor_share + earned) * DIRECT_RETRY_SHARE

    def _window_of(self, service: str) -> AttemptWindow:
        window = self.windows.get(service)
        if window is None:
            window = AttemptWindow()
            self.windows[service] = window
        return window
