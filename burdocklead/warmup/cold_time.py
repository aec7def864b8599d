"""Until when an upstream is cold, by its own reports, without I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

HEARTBEAT_LATENESS_S = 5.0
ROUNDING_MS = 1.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ReportedColdTime:
    """Remaining cold time in the answer to a health check.

    Attributes:
        instance: Instance that answered, empty if not reported.
        remaining_ms: Remaining time in ms; not a number if it can't be read.
    """

    instance: str
    remaining_ms: float


def is_plausible(remaining_ms: float, longest_s: float) -> bool:
    """Return True if an upstream can have reported a remaining time.

    Args:
        remaining_ms: Reported time in ms.
        longest_s: Longest cold time in s.
    """
    longest_ms = longest_s * MS_PER_S + ROUNDING_MS
    return math.isfinite(remaining_ms) and 0 <= remaining_ms <= longest_ms


@dataclass(slots=True)
class ColdTime:
    """The cold time of one upstream.

    Health checks are answered at once, heartbeats may arrive seconds late.

    Attributes:
        remaining_ms: Remaining time in ms in the last report that counted.
        reported_at: Monotonic time of that report in s.
        assumed_at: Monotonic time in s since which the upstream is assumed to
            be cold, None once it has reported.
        checked_at: Monotonic time in s of the last report of a health check.
        trusts_heartbeats: True if health checks report no cold time, so that
            heartbeats count also for an upstream that is assumed cold.
    """

    remaining_ms: float = 0
    reported_at: float = -math.inf
    assumed_at: float | None = None
    checked_at: float = -math.inf
    trusts_heartbeats: bool = True

    def assume(self, now: float) -> None:
        """Assume that a cold time starts now, as nothing is known."""
        self.assumed_at = now
        self.checked_at = -math.inf

    def remaining_s(self, longest_s: float, now: float) -> float:
        """Return the remaining cold time in s, 0 if the upstream is warm.

        Args:
            longest_s: Longest cold time in s.
            now: Monotonic time in s.
        """
        if self.assumed_at is not None:
            return max(self.assumed_at + longest_s - now, 0)
        # The longest time may not have been known at the report.
        reported_s = min(self.remaining_ms / MS_PER_S, longest_s)
        return max(self.reported_at + reported_s - now, 0)

    def record_check(self, remaining_ms: float | None, now: float) -> None:
        """Record the answer to a health check.

        Args:
            remaining_ms: Plausible remaining time in ms, None if the answer
                reports none.
            now: Monotonic time in s.
        """
        self.trusts_heartbeats = remaining_ms is None
        if remaining_ms is not None:
            self.checked_at = now
            self._record(remaining_ms, now)

    def record_heartbeat(self, remaining_ms: float, now: float) -> None:
        """Record a plausible remaining time in ms from a heartbeat."""
        if now - self.checked_at < HEARTBEAT_LATENESS_S:
            return
        if self.assumed_at is None or self.trusts_heartbeats:
            self._record(remaining_ms, now)

    def _record(self, remaining_ms: float, now: float) -> None:
        self.assumed_at = None
        self.remaining_ms = remaining_ms
        self.reported_at = now
