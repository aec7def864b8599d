"""Clocks: monotonic time for decisions, a hybrid logical clock for events."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

MAX_COUNT = 2**32 - 1
MAX_AHEAD_NS = 60_000_000_000


class HybridTime(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A timestamp that respects causal order.

    Attributes:
        wall_ns: Wall clock in ns, never behind an earlier timestamp.
        count: Orders timestamps of the same wall time.
    """

    wall_ns: int
    count: int


NO_TIME = HybridTime(0, 0)


def boot_time_s() -> float:
    """Return the time since the start of this VM in s, sleep included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class HybridClock:
    """Issues timestamps later than any issued or observed before.

    Attributes:
        wall_ns: Returns the wall clock in ns.
        last: Latest timestamp issued or observed.
        ignored: Timestamps ignored for being too far ahead of the wall clock.
    """

    wall_ns: Callable[[], int] = time.time_ns
    last: HybridTime = NO_TIME
    ignored: int = 0

    def issue(self) -> HybridTime:
        """Return a timestamp for a local event."""
        now_ns = self.wall_ns()
        if now_ns > self.last.wall_ns:
            self.last = HybridTime(now_ns, 0)
        elif self.last.count < MAX_COUNT:
            self.last = HybridTime(self.last.wall_ns, self.last.count + 1)
        else:
            self.last = HybridTime(self.last.wall_ns + 1, 0)
        return self.last

    def observe(self, timestamp: HybridTime) -> None:
        """Advance the clock past a timestamp from another process.

        A timestamp from far in the future is ignored; otherwise one VM with
        a wrong clock would move the clocks of all the others.
        """
        if timestamp <= self.last:
            return
        ahead_ns = timestamp.wall_ns - self.wall_ns()
        if ahead_ns > MAX_AHEAD_NS or timestamp.count > MAX_COUNT:
            self.ignored += 1
            return
        self.last = timestamp
