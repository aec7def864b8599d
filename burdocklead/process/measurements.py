"""Metrics of any process that are updated on each scrape."""

from __future__ import annotations

from collections.abc import Iterable

from burdocklead.connection.control_client import ControlClient
from burdocklead.events import EventRing
from burdocklead.memory.budget import MemoryBudget
from burdocklead.metrics import (
    CLOCK_IGNORED,
    CONTROL_BYTES,
    CONTROL_MESSAGES,
    EVENTS_OVERWRITTEN,
    MEMBERS,
    MEMORY_BUDGET,
    MEMORY_RESERVED,
    MEMORY_SHED_COUNT,
    MEMORY_WAITING,
    MetricSet,
)
from burdocklead.values import Member


def measure_events(metrics: MetricSet, events: EventRing) -> None:
    """Update the metrics of the event ring and its clock."""
    metrics.set(EVENTS_OVERWRITTEN, events.overwritten)
    metrics.set(CLOCK_IGNORED, events.clock.ignored)


def measure_memory(metrics: MetricSet, budget: MemoryBudget) -> None:
    """Update the metrics of the memory budget."""
    metrics.set(MEMORY_BUDGET, budget.limits.total_bytes)
    metrics.set(MEMORY_WAITING, len(budget.answers), 'answers')
    metrics.set(MEMORY_WAITING, len(budget.requests), 'requests')
    metrics.set(MEMORY_RESERVED, budget.calls, 'calls')
    for use, reserved in budget.by_use.items():
        metrics.set(MEMORY_RESERVED, reserved, use.value)
    for reason, count in budget.shed.items():
        metrics.set(MEMORY_SHED_COUNT, count, reason.value)


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
