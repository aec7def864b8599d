"""Declared metrics of all processes and their current values.

Each label has few values, which bounds the number of series.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as BucketCounts
from aioprometheus.renderer import render

LATENCY_BOUNDS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
    30,
)


class MetricKind(enum.Enum):
    """Prometheus type of a metric."""

    counter = Counter
    gauge = Gauge
    histogram = Histogram


@dataclass(frozen=True, slots=True)
class Metric:
    """One declared metric.

    Attributes:
        name: Name that follows the Prometheus conventions, in base units.
        kind: Counter, gauge or histogram of seconds.
        help: What it measures.
        labels: Names of its labels; each has few values.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


DECLARED: list[Metric] = []


def _declare(metric: Metric) -> Metric:
    DECLARED.append(metric)
    return metric


def _counter(name: str, text: str, *labels: str) -> Metric:
    full_name = f'burdocklead_{name}_total'
    return _declare(Metric(full_name, MetricKind.counter, text, labels))


def _gauge(name: str, text: str, *labels: str) -> Metric:
    full_name = f'burdocklead_{name}'
    return _declare(Metric(full_name, MetricKind.gauge, text, labels))


def _seconds(name: str, text: str, *labels: str) -> Metric:
    full_name = f'burdocklead_{name}_seconds'
    return _declare(Metric(full_name, MetricKind.histogram, text, labels))


CALLS = _counter('calls', 'Calls of clients.', 'service', 'outcome')
CALL_SECONDS = _seconds('call', 'Time of calls.', 'service', 'outcome')
TEAM_CALLS = _counter(
    'team_calls',
    'Calls of teams; from the 128th name on, the team is other.',
    'team',
    'outcome',
)
REFUSALS = _counter('refusals', 'Calls refused to clients.', 'cause')
ATTEMPTS = _counter('attempts', 'Attempts by result.', 'result')
QUEUE_SECONDS = _seconds('queue', 'Time attempts waited for a slot.')
RETRY_BUDGET = _gauge(
    'retry_budget_left', 'Retries that may be sent.', 'service'
)
MEMBERS = _gauge('members', 'Daemons known.', 'state')
UPSTREAMS = _gauge('upstreams', 'Upstreams that take new work.', 'service')
UPSTREAM_CALLS = _gauge('upstream_calls', 'Calls beside this daemon.', 'state')
UPSTREAM_LIMIT = _gauge('upstream_limit', 'Calls let run at the same time.')
UPSTREAM_SLOTS = _gauge('upstream_slots', 'Slots that the upstream announced.')
EVACUATED_ZONES = _gauge('evacuated_zones', 'Zones that are evacuated.')
UPSTREAM_COLD_TIME = _gauge(
    'upstream_cold_seconds', 'Time for which the upstream is still cold.'
)
QUORUM_AGE = _gauge('quorum_age_seconds', 'Time since a quorum was heard of.')
STORE_SYNCS = _counter('store_syncs', 'Syncs of the durable file.')
STORE_BYTES = _counter('store_written_bytes', 'Bytes written to that file.')
EVENTS_OVERWRITTEN = _counter('events_overwritten', 'Events overwritten.')
CLOCK_IGNORED = _counter('clock_ignored', 'Stamps too far ahead to observe.')
UNEXPECTED_ERRORS = _counter('unexpected_errors', 'Errors no code expected.')
READY = _gauge('ready', '1 if the process takes work, else 0.')
CONTROL_MESSAGES = _counter('control_messages', 'Requests to control.')
CONTROL_BYTES = _counter('control_bytes', 'Control traffic.', 'direction')
CONTROL_UNPROVED = _counter(
    'control_unproved', 'Control messages without proof of the cluster key.'
)
VERSIONS_NOT_USED = _counter(
    'versions_not_used', 'Configuration versions that could not be read.'
)
VALUES_CONFIRMED = _counter(
    'values_confirmed',
    'Newer values that a replica found in its own register and confirmed.',
    'register',
)
CONTROL_BAD = _counter('control_bad', 'Control messages not decoded.')
INTERNAL_ERRORS = _counter('internal_errors', 'Calls that failed within.')
LATE_RESULTS = _counter('late_results', 'Results that nobody waited for.')
LINK_ENDS = _counter('link_ends', 'Links ended by reason.', 'reason')
LINK_PINGS = _counter('link_pings', 'Pings on links in use.')
LINKS_OPEN = _gauge('links_open', 'Links of other daemons.')
CRASH_REPORTS = _counter('crash_reports', 'Requests at crashes seen here.')
RETRIES = _counter('retries', 'Retries started or refused.', 'result')
HEDGES = _counter('hedges', 'Hedges by what became of them.', 'result')
PROBES = _counter('probes', 'Probes of upstreams.', 'result')
MEASURING_MESSAGES = _counter('measuring_messages', 'Probes and their replies.')
MEASURING_BYTES = _counter(
    'measuring_bytes', 'Bytes of those with packet headers.'
)
SIGNAL_DEAD = _counter(
    'signal_dead',
    'Load signals found dead under traffic.',
    'reason',
)
TEAM_CALLS_ADMITTED = _counter(
    'team_calls_admitted',
    'Calls of teams with a limit that were admitted.',
    'by',
)
TEAM_REFUSALS = _counter(
    'team_refusals', 'Calls of teams with a limit that were refused.', 'reason'
)
FALLBACK_SECONDS = _counter(
    'team_fallback_seconds', 'Time with fixed shares of the team limits.'
)
GRANTED = _counter('team_calls_granted', 'Calls granted to daemons.')
MEMORY_RESERVED = _gauge(
    'memory_reserved_bytes', 'Bytes reserved in the memory budget.', 'use'
)
MEMORY_BUDGET = _gauge('memory_budget_bytes', 'The memory budget.')
MEMORY_WAITING = _gauge(
    'memory_waiting', 'Bodies left unread until there is memory.', 'use'
)
MEMORY_SHED_COUNT = _counter(
    'memory_shed',
    'Requests refused, frames skipped and connections closed for memory.',
    'cause',
)
VERSION = _gauge('version_in_force', 'Configuration version in force.')

SeriesKey = tuple[Metric, tuple[str, ...]]


class MetricSet:
    """The metrics of one process.

    A counter of aioprometheus builds its key from the labels at each call, so
    counts are kept here and passed to the library at each scrape.

    Attributes:
        registry: Registry of the library.
        collectors: Collectors of the library by metric name.
        counts: Counts not yet passed to the library.
        histograms: Histograms of the library by metric and label values.
    """

    def __init__(self) -> None:
        """Register every declared metric."""
        self.registry = Registry()
        self.collectors = {
            metric.name: self._collector_of(metric) for metric in DECLARED
        }
        self.counts: dict[SeriesKey, float] = {
            (metric, ()): 0
            for metric in DECLARED
            if metric.kind is MetricKind.counter and not metric.labels
        }
        self.histograms: dict[SeriesKey, Any] = {}

    def count(self, metric: Metric, *labels: str, amount: float = 1) -> None:
        """Add to a counter."""
        key = (metric, labels)
        self.counts[key] = self.counts.get(key, 0) + amount

    def set(self, metric: Metric, number: float, *labels: str) -> None:
        """Set a gauge, or a counter whose value is kept elsewhere."""
        self.collectors[metric.name].set(
            _labels_by_name(metric, labels), number
        )

    def observe(self, metric: Metric, seconds: float, *labels: str) -> None:
        """Add a duration in s to a histogram."""
        histogram = self.histograms.get((metric, labels))
        if histogram is None:
            histogram = self._histogram_of(metric, labels)
        histogram.observe(seconds)

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of the response to a scrape."""
        for (metric, labels), amount in self.counts.items():
            named_labels = _labels_by_name(metric, labels)
            self.collectors[metric.name].add(named_labels, amount)
        self.counts.clear()
        content, headers = render(self.registry, accepted)
        return content, headers

    def _histogram_of(self, metric: Metric, labels: tuple[str, ...]) -> Any:
        collector = self.collectors[metric.name]
        named_labels = _labels_by_name(metric, labels)
        histogram = BucketCounts(*LATENCY_BOUNDS_S)
        collector.set_value(named_labels, histogram)
        self.histograms[metric, labels] = histogram
        return histogram

    def _collector_of(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind is MetricKind.histogram:
            return Histogram(
                metric.name,
                metric.help,
                registry=self.registry,
                buckets=list(LATENCY_BOUNDS_S),
            )
        return metric.kind.value(
            metric.name, metric.help, registry=self.registry
        )


def _labels_by_name(metric: Metric, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(metric.labels, labels, strict=True))
