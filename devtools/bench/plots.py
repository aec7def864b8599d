"""Plots the latency percentiles of a run."""

from __future__ import annotations

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from devtools.bench.report import BenchResult

WIDTH_IN = 9
ROW_HEIGHT_IN = 0.35
MARGIN_IN = 1.5
MARKERS = (('p50', 'o'), ('p99', 's'), ('p99.9', '^'))


def write_plot(result: BenchResult, path: Path) -> Path:
    """Write a PNG plot of the percentiles of all rows and return its path.

    Args:
        result: The run.
        path: JSON file of the run; the image has the same name with the
            suffix ``.png``.

    Raises:
        ValueError: If the run has no latencies.
    """
    if not result.rows:
        raise ValueError('the run has no latencies to plot')
    height = MARGIN_IN + ROW_HEIGHT_IN * len(result.rows)
    figure = Figure(figsize=(WIDTH_IN, height), layout='constrained')
    axes = figure.subplots()
    names = [f'{row.label}, {row.kind}' for row in result.rows]
    times = zip(
        *((row.p50_ms, row.p99_ms, row.p999_ms) for row in result.rows),
        strict=True,
    )
    for (name, marker), series in zip(MARKERS, times, strict=True):
        axes.plot(series, names, marker, label=name)
    axes.set_xscale('log')
    axes.set_xlabel('latency from the scheduled send time, ms')
    axes.set_title(f'{result.scenario}, revision {result.revision}')
    axes.invert_yaxis()
    axes.legend()
    image = path.with_suffix('.png')
    FigureCanvasAgg(figure).print_png(str(image))
    return image
