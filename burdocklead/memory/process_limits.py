"""Limits of a process that follow the resources that it is given."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1000000
# A daemon without connections takes 37 MB. The rest is for the heap's unused
# parts and for what is too small to be counted.
PROCESS_BYTES = 56 * BYTES_PER_MB
MIN_BUDGET_BYTES = 16777216
REMEMBERED_SHARE = 0.125
MAX_CONNECTIONS = 10000
MAX_BACKLOG = 1024
CALLER_SHARE = 0.5
LINK_SHARE = 0.125
SIDE_PORT_SHARE = 1 / 32
BACKLOG_SHARE = 0.125
MIN_SIDE_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class PortLimits:
    """Limits on the connections of one listening port.

    Attributes:
        max_connections: Most open connections.
        backlog: Connections that the kernel may keep before they are accepted.
    """

    max_connections: int = MAX_CONNECTIONS
    backlog: int = MAX_BACKLOG


def memory_budget_of(memory_mb: float) -> int:
    """Return the budget in bytes of a process with a memory limit in MB."""
    spare = int(memory_mb * BYTES_PER_MB) - PROCESS_BYTES
    return max(spare, MIN_BUDGET_BYTES)


def remembered_bytes_of(budget_bytes: int, most: int) -> int:
    """Return the memory in bytes for results that may be asked for again."""
    return min(most, int(budget_bytes * REMEMBERED_SHARE))


def caller_port_limits(max_descriptors: int) -> PortLimits:
    """Return the limits of the port for callers; 0 descriptors: no limit."""
    if not max_descriptors:
        return PortLimits()
    return PortLimits(
        min(MAX_CONNECTIONS, int(max_descriptors * CALLER_SHARE)),
        min(MAX_BACKLOG, int(max_descriptors * BACKLOG_SHARE)),
    )


def side_port_limits(max_descriptors: int) -> PortLimits:
    """Return the limits of a port that few peers use; 0: no limit."""
    if not max_descriptors:
        return PortLimits()
    most = max(MIN_SIDE_CONNECTIONS, int(max_descriptors * SIDE_PORT_SHARE))
    return PortLimits(most, most)


def max_links_of(max_descriptors: int, most: int) -> int:
    """Return the most links of other daemons; 0 descriptors: no limit."""
    if not max_descriptors:
        return most
    return min(most, int(max_descriptors * LINK_SHARE))
