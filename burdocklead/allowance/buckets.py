"""Token buckets of the lease holder, without I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_WAIT_S = 10.0  # A bucket that doesn't fill is asked for again after this.


@dataclass(slots=True)
class TokenBucket:
    """Calls of one team that may be granted now.

    Attributes:
        at: Boot time in s up to which it is filled.
        tokens: Calls that may be granted.
    """

    at: float
    tokens: float = 0

    def fill(self, now: float, rate: float, capacity: float) -> None:
        """Add the tokens since the last fill.

        Args:
            now: Boot time in s.
            rate: Tokens per s since the last fill.
            capacity: Most tokens; a lower one than before clamps the tokens.
        """
        elapsed_s = max(now - self.at, 0)
        self.tokens = min(self.tokens + rate * elapsed_s, capacity)
        self.at = max(now, self.at)

    def take(self, calls: int) -> int:
        """Take tokens for calls; return for how many there were enough."""
        granted = max(min(calls, math.floor(self.tokens)), 0)
        self.tokens -= granted
        return granted

    def wait_s(self, rate: float) -> float:
        """Return the time in s until there is a token for one call."""
        if self.tokens >= 1:
            return 0
        missing = 1 - self.tokens
        return missing / rate if rate * MAX_WAIT_S > missing else MAX_WAIT_S
