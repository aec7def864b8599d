"""Metrics of a daemon that are updated on each scrape."""

from __future__ import annotations

from burdocklead.metrics import (
    EVACUATED_ZONES,
    RETRY_BUDGET,
    UPSTREAM_CALLS,
    UPSTREAM_COLD_TIME,
    UPSTREAM_LIMIT,
    UPSTREAM_SLOTS,
    UPSTREAMS,
    VERSION,
    MetricSet,
)
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.directory import DaemonDirectory
from burdocklead.process.local_member import LocalMember
from burdocklead.process.measurements import (
    measure_control_traffic,
    measure_members,
    measure_memory,
)
from burdocklead.request.dispatch import Dispatcher

MS_PER_S = 1000


def measure_upstream(metrics: MetricSet, local_member: LocalMember) -> None:
    """Update the metrics of the local upstream."""
    load = local_member.executor.load()
    metrics.set(UPSTREAM_CALLS, load.busy, 'running')
    metrics.set(UPSTREAM_CALLS, load.queued, 'queued')
    metrics.set(UPSTREAM_LIMIT, load.slots)
    metrics.set(UPSTREAM_COLD_TIME, load.cold_ms / MS_PER_S)
    metrics.set(UPSTREAM_SLOTS, local_member.member.slots)


def measure_entry(
    metrics: MetricSet, directory: DaemonDirectory, dispatcher: Dispatcher
) -> None:
    """Update the metrics of a daemon in its role as entry daemon."""
    metrics.set(VERSION, directory.version)
    measure_members(metrics, directory.members.values())
    evacuated = directory.evacuations.known
    metrics.set(EVACUATED_ZONES, len(evacuated.zones) if evacuated else 0)
    deployment = directory.deployment()
    for name in deployment.services if deployment else ():
        metrics.set(UPSTREAMS, len(directory.candidates(name).members), name)
    for service, budget in dispatcher.budgets.items():
        metrics.set(RETRY_BUDGET, budget.tokens, service)


def measure_daemon(
    components: DaemonComponents, local_member: LocalMember
) -> None:
    """Update all metrics of a daemon."""
    measure_entry(
        components.metrics, components.directory, components.dispatcher
    )
    measure_control_traffic(components.metrics, components.control.clients)
    measure_upstream(components.metrics, local_member)
    measure_memory(components.metrics, components.budget)
