"""Metrics of a control replica that are updated on each scrape."""

from __future__ import annotations

from burdocklead.metrics import (
    EVACUATED_ZONES,
    QUORUM_AGE,
    STORE_BYTES,
    STORE_SYNCS,
    VERSION,
    MetricSet,
)
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.measurements import (
    measure_control_traffic,
    measure_members,
    measure_memory,
)

MAX_QUORUM_AGE_S = 1e9


def measure_replica(metrics: MetricSet, replica: ControlReplica) -> None:
    """Update all metrics of a control replica."""
    metrics.set(VERSION, replica.configuration.current.version)
    evacuated = replica.evacuations.current
    metrics.set(EVACUATED_ZONES, len(evacuated.zones) if evacuated else 0)
    metrics.set(QUORUM_AGE, min(replica.quorum_age(), MAX_QUORUM_AGE_S))
    measure_members(metrics, replica.members.live())
    measure_memory(metrics, replica.budget)
    measure_control_traffic(metrics, replica.registers.clients.values())
    metrics.set(STORE_SYNCS, replica.registers.store.syncs)
    metrics.set(STORE_BYTES, replica.registers.store.bytes_written)
