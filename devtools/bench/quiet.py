"""Which slices of a run the machine left alone, from /proc/stat."""

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
    """Ticks of all cores since the start of the machine.

    Attributes:
        total: Ticks of every kind.
        idle: Ticks without work.
        steal: Ticks that the hypervisor gave to others.
    """

    total: int
    idle: int
    steal: int


def parse_ticks(line: str) -> MachineTicks:
    """Return the ticks of the first line of /proc/stat."""
    fields = [int(text) for text in line.split()[1:]]
    counted = fields[: STEAL_FIELD + 1]
    return MachineTicks(sum(counted), fields[IDLE_FIELD], fields[STEAL_FIELD])


def read_ticks() -> MachineTicks:
    """Return the present ticks."""
    with Path('/proc/stat').open() as stream:
        return parse_ticks(stream.readline())


def is_quiet(before: MachineTicks, after: MachineTicks) -> bool:
    """Return True if cores were idle and almost none was taken away."""
    total = after.total - before.total
    if not total:
        return False
    steal = (after.steal - before.steal) / total
    idle = (after.idle - before.idle) / total
    return steal <= MAX_STEAL_SHARE and idle >= MIN_IDLE_SHARE
