"""Detects steps without interference from other load, from /proc/stat."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

QUIET_LABEL = ' (quiet)'
MAX_STEAL_SHARE = 0.02
MIN_IDLE_SHARE = 0.3
IDLE_FIELD = 3
STEAL_FIELD = 7


@dataclass(frozen=True, slots=True)
class MachineTicks:
    """CPU ticks of all cores since boot.

    Attributes:
        total: Ticks of every kind.
        idle: Idle ticks.
        steal: Ticks that the hypervisor gave to other guests.
    """

    total: int
    idle: int
    steal: int


def parse_ticks(line: str) -> MachineTicks:
    """Parse the first line of /proc/stat."""
    fields = [int(text) for text in line.split()[1:]]
    counted = fields[: STEAL_FIELD + 1]
    return MachineTicks(sum(counted), fields[IDLE_FIELD], fields[STEAL_FIELD])


def read_ticks() -> MachineTicks:
    """Return the current ticks."""
    with Path('/proc/stat').open() as stream:
        return parse_ticks(stream.readline())


def is_quiet(before: MachineTicks, after: MachineTicks) -> bool:
    """Return True if there was enough idle time and almost no steal time."""
    total = after.total - before.total
    if not total:
        return False
    steal = (after.steal - before.steal) / total
    idle = (after.idle - before.idle) / total
    return steal <= MAX_STEAL_SHARE and idle >= MIN_IDLE_SHARE
