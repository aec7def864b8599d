"""Metrics that are updated on each scrape."""

from __future__ import annotations

from collections.abc import Iterable

from burdocklead.connection.control_client import ControlClient
from burdocklead.events import EventRing
from burdocklead.metrics import (
    CLOCK_IGNORED,
    CONTROL_BYTES,
    CONTROL_MESSAGES,
    EVENTS_OVERWRITTEN,
    MEMBERS,
    RETRY_BUDGET,
    UPSTREAM_CALLS,
    UPSTREAM_LIMIT,
    UPSTREAM_SLOTS,
    UPSTREAMS,
    VERSION,
    MetricSet,
)
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.directory import DaemonDirectory
from burdocklead.process.local_member import LocalMember
from burdocklead.request.dispatch import Dispatcher
from burdocklead.values import Member


def measure_events(metrics: MetricSet, events: EventRing) -> None:
    """Update the metrics of the event ring and its clock."""
    metrics.set(EVENTS_OVERWRITTEN, events.overwritten)
    metrics.set(CLOCK_IGNORED, events.clock.ignored)


def measure_control_traffic(
    metrics: MetricSet, clients: Iterable[ControlClient]
) -> None:
    """Update the metrics of the requests to control replicas."""
    clients = tuple(clients)
    sent = sum(client.bytes_sent for client in clients)
    received = sum(client.bytes_received for client in clients)
    metrics.set(CONTROL_BYTES, sent, 'sent')
    metrics.set(CONTROL_BYTES, received, 'received')
    messages = sum(client.messages for client in clients)
    metrics.set(CONTROL_MESSAGES, messages)


def measure_members(metrics: MetricSet, members: Iterable[Member]) -> None:
    """Update the metrics of the membership."""
    draining = [member.draining for member in members]
    metrics.set(MEMBERS, draining.count(False), 'serving')
    metrics.set(MEMBERS, draining.count(True), 'draining')


def measure_upstream(metrics: MetricSet, local_member: LocalMember) -> None:
    """Update the metrics of the local upstream."""
    load = local_member.executor.load()
    metrics.set(UPSTREAM_CALLS, load.busy, 'running')
    metrics.set(UPSTREAM_CALLS, load.queued, 'queued')
    metrics.set(UPSTREAM_LIMIT, load.slots)
    metrics.set(UPSTREAM_SLOTS, local_member.member.slots)


def measure_entry(
    metrics: MetricSet, directory: DaemonDirectory, dispatcher: Dispatcher
) -> None:
    """Update the metrics of a daemon in its role as entry daemon."""
    metrics.set(VERSION, directory.version)
    measure_members(metrics, directory.members.values())
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
