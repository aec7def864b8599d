"""Latency histograms in us, their percentiles, and least-squares lines."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from itertools import chain

import msgspec
from hdrh.histogram import HdrHistogram

from devtools.bench.plan import CallFigures

US_PER_S = 1_000_000
US_PER_MS = 1000
MAX_LATENCY_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 99, 99.9)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with a range of 1 us to two minutes."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time in s, clamped to the range of the histogram."""
    microseconds = int(seconds * US_PER_S)
    histogram.record_value(min(max(microseconds, 1), MAX_LATENCY_US))


def encode(histogram: HdrHistogram) -> str:
    """Return a histogram in the HdrHistogram text encoding."""
    return str(histogram.encode().decode())


def merge(texts: Iterable[str]) -> HdrHistogram:
    """Return the sum of encoded histograms."""
    total = new_histogram()
    for text in texts:
        total.decode_and_add(text.encode())
    return total


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in ms."""
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a report.

    Attributes:
        label: Label of the steps.
        kind: Kind of call.
        calls: Calls sent.
        good: Complete answers within the latency limit.
        outcomes: Calls by outcome.
        p50_ms: Median latency in ms.
        p99_ms: 99th percentile latency in ms.
        p999_ms: 99.9th percentile latency in ms.
        lag_p99_ms: 99th percentile of the delay between the scheduled and
            the actual send time in ms.
        cpu_ms: Median over the steps of the CPU time per call in ms.
    """

    label: str
    kind: str
    calls: int
    good: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    lag_p99_ms: float
    cpu_ms: float = 0


def rows_of(figures: Sequence[CallFigures]) -> list[Row]:
    """Return one row for each label and kind, summed over load processes."""
    groups: dict[tuple[str, str], list[CallFigures]] = {}
    for figure in figures:
        groups.setdefault((figure.label, figure.kind), []).append(figure)
    return [_row_of(group) for group in groups.values()]


def _row_of(group: Sequence[CallFigures]) -> Row:
    latency = merge(figure.latency for figure in group)
    lag = merge(figure.lag for figure in group)
    outcomes: dict[str, int] = {}
    cpu_ms = list(chain.from_iterable(figure.cpu_ms for figure in group))
    for figure in group:
        for outcome, count in figure.outcomes.items():
            outcomes[outcome] = outcomes.get(outcome, 0) + count
    p50, p99, p999 = (percentile_ms(latency, one) for one in PERCENTILES)
    return Row(
        label=group[0].label,
        kind=group[0].kind,
        calls=sum(figure.calls for figure in group),
        good=sum(figure.good for figure in group),
        outcomes=outcomes,
        p50_ms=p50,
        p99_ms=p99,
        p999_ms=p999,
        lag_p99_ms=percentile_ms(lag, 99),
        cpu_ms=statistics.median(cpu_ms) if cpu_ms else 0,
    )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the gradient and intercept of the least-squares line."""
    mean_x = sum(x_value for x_value, _ in points) / len(points)
    mean_y = sum(y_value for _, y_value in points) / len(points)
    variance_sum = sum((x_value - mean_x) ** 2 for x_value, _ in points)
    if not variance_sum:
        raise ValueError('a line needs at least two different x values')
    covariance_sum = sum(
        (x_value - mean_x) * (y_value - mean_y) for x_value, y_value in points
    )
    gradient = covariance_sum / variance_sum
    return gradient, mean_y - gradient * mean_x
