"""Metrics of a process: one declared metric a line, none unbounded."""

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
)


class MetricKind(enum.Enum):
    """How a metric behaves."""

    counter = Counter
    gauge = Gauge
    histogram = Histogram


@dataclass(frozen=True, slots=True)
class Metric:
    """One declared metric.

    Attributes:
        name: Name by the Prometheus conventions, in base units.
        kind: Counter, gauge or histogram of seconds.
        help: What it counts.
        labels: Names of its labels; each has few values.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


def _counter(name: str, text: str, *labels: str) -> Metric:
    return Metric(f'burdocklead_{name}_total', MetricKind.counter, text, labels)


def _gauge(name: str, text: str, *labels: str) -> Metric:
    return Metric(f'burdocklead_{name}', MetricKind.gauge, text, labels)


def _seconds(name: str, text: str, *labels: str) -> Metric:
    full_name = f'burdocklead_{name}_seconds'
    return Metric(full_name, MetricKind.histogram, text, labels)


CALLS = _counter('calls', 'Calls of clients.', 'service', 'outcome')
CALL_SECONDS = _seconds('call', 'Time of calls.', 'service', 'outcome')
REFUSALS = _counter('refusals', 'Calls refused to clients.', 'cause')
ATTEMPTS = _counter('attempts', 'Attempts by result.', 'result')
CONTROL_BYTES = _counter('control_bytes', 'Control traffic.', 'direction')
CONTROL_UNPROVED = _counter(
    'control_unproved', 'Control messages without proof of the cluster key.'
)
CONTROL_BAD = _counter('control_bad', 'Control messages not decoded.')
CRASH_REPORTS = _counter('crash_reports', 'Requests at crashes seen here.')
RETRIES = _counter('retries', 'Retries started or refused.', 'result')
HEDGES = _counter('hedges', 'Hedges by what became of them.', 'result')
PROBES = _counter('probes', 'Probes of upstreams.', 'result')
MEASURING_MESSAGES = _counter('measuring_messages', 'Probes and their replies.')
MEASURING_BYTES = _counter(
    'measuring_bytes', 'Bytes of those with packet headers.'
)
SIGNAL_DEAD = _counter(
    'signal_dead', 'Load signals found dead under traffic.', 'reason'
)
INTERNAL_ERRORS = _counter('internal_errors', 'Calls that failed within.')
LATE_RESULTS = _counter('late_results', 'Results that nobody waited for.')
LINK_ENDS = _counter('link_ends', 'Links ended by reason.', 'reason')
LINK_PINGS = _counter('link_pings', 'Pings on links in use.')
LINKS_OPEN = _gauge('links_open', 'Links of other daemons.')
VERSION = _gauge('version_in_force', 'Configuration version in force.')

DECLARED = (
    CALLS,
    CALL_SECONDS,
    REFUSALS,
    ATTEMPTS,
    CONTROL_BYTES,
    CONTROL_UNPROVED,
    CONTROL_BAD,
    CRASH_REPORTS,
    RETRIES,
    HEDGES,
    PROBES,
    MEASURING_MESSAGES,
    MEASURING_BYTES,
    SIGNAL_DEAD,
    INTERNAL_ERRORS,
    LATE_RESULTS,
    LINK_ENDS,
    LINK_PINGS,
    LINKS_OPEN,
    VERSION,
)


SeriesKey = tuple[Metric, tuple[str, ...]]


class MetricSet:
    """The metrics of one process.

    A counter of the library builds its key from the labels at each call, so
    counts are kept here and handed to the library for each scrape.

    Attributes:
        counts: Counts not yet handed over.
        histograms: Histograms of the library by metric and labels.
    """

    def __init__(self) -> None:
        """Register every declared metric."""
        self.registry = Registry()
        self.collectors = {
            metric.name: self._collector_of(metric) for metric in DECLARED
        }
        self.counts: dict[SeriesKey, float] = {}
        self.histograms: dict[SeriesKey, Any] = {}

    def count(self, metric: Metric, *labels: str, amount: float = 1) -> None:
        """Add to a counter."""
        key = (metric, labels)
        self.counts[key] = self.counts.get(key, 0) + amount

    def set(self, metric: Metric, number: float, *labels: str) -> None:
        """Set a gauge."""
        self.collectors[metric.name].set(_named(metric, labels), number)

    def observe(self, metric: Metric, seconds: float, *labels: str) -> None:
        """Add a time in s to a histogram."""
        histogram = self.histograms.get((metric, labels))
        if histogram is None:
            histogram = self._histogram_of(metric, labels)
        histogram.observe(seconds)

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page for a scraper and its headers."""
        for (metric, labels), amount in self.counts.items():
            named = _named(metric, labels)
            self.collectors[metric.name].add(named, amount)
        self.counts.clear()
        content, headers = render(self.registry, accepted)
        return content, headers

    def _histogram_of(self, metric: Metric, labels: tuple[str, ...]) -> Any:
        collector = self.collectors[metric.name]
        named = _named(metric, labels)
        histogram = BucketCounts(*LATENCY_BOUNDS_S)
        collector.set_value(named, histogram)
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


def _named(metric: Metric, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(metric.labels, labels, strict=True))
