"""Sliding-window limit on the calls to one upstream, without I/O."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 1.0
# The process was frozen, or the machine too busy to run it: calls that were
# counted before may have been written only now.
STALL_S = 0.5


@dataclass(slots=True)
class SlidingWindow:
    """Times at which calls were sent within the last second.

    Attributes:
        sent_at: Monotonic times in s, oldest first.
        unknown_until: Monotonic time in s until which it is not known what was
            sent within the last second, None before the first tick.
        ticked_at: Monotonic time in s of the last tick.
    """

    sent_at: deque[float] = field(default_factory=deque)
    unknown_until: float | None = None
    ticked_at: float = 0

    def tick(self, now: float) -> None:
        """Record that the process runs; a long gap means that it stalled."""
        if self.unknown_until is None or now - self.ticked_at > STALL_S:
            self.unknown_until = now + WINDOW_S
        self.ticked_at = now

    def record(self, now: float) -> None:
        """Record a call that is sent."""
        self._forget_old(now)
        self.sent_at.append(now)

    def wait_s(self, rate: float, now: float) -> float:
        """Return the time in s after which a call may be sent, 0 for now.

        Args:
            rate: Calls per s, at least one.
            now: Monotonic time in s.
        """
        self.tick(now)
        self._forget_old(now)
        wait_s = float(0)
        if self.unknown_until is not None:
            wait_s = max(self.unknown_until - now, 0)
        limit = max(math.floor(rate), 1)
        if len(self.sent_at) >= limit:
            wait_s = max(wait_s, self.sent_at[-limit] + WINDOW_S - now)
        return wait_s

    def _forget_old(self, now: float) -> None:
        """Drop the times before the window."""
        while self.sent_at and self.sent_at[0] <= now - WINDOW_S:
            self.sent_at.popleft()
