"""Writes the result of a run as JSON and as a text table."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from devtools.bench.histograms import Row
from devtools.bench.machine import Machine

HEAD = (
    'label',
    'kind',
    'calls',
    'good',
    'p50 ms',
    'p99',
    'p99.9',
    'lag p99',
    'cpu',
)
LINE = '{:<34} {:<10}{:>7}{:>7}{:>9}{:>9}{:>9}{:>9}{:>7}'
FACT_LINE = '{:<58}{:>14}'
DECIMALS = 3


class BenchResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one benchmark run.

    Attributes:
        scenario: Name of the scenario.
        revision: Git revision of the sources.
        seed: Seed of all schedules.
        seconds: Requested duration in s.
        machine: Machine and its load at the start.
        load_average_after: One-minute load average at the end.
        settings: Settings of the scenario.
        rows: Latencies by label and kind.
        facts: Scalar results by name; the name includes the unit.
        load_cpu_shares: Share of a core that each load process used.
    """

    scenario: str
    revision: str
    seed: int
    seconds: float
    machine: Machine
    load_average_after: float
    settings: dict[str, float | str]
    rows: list[Row]
    facts: dict[str, float]
    load_cpu_shares: list[float]


def table(result: BenchResult) -> str:
    """Return a run as a plain-text table."""
    machine = result.machine
    lines = [
        f'{result.scenario}, seed {result.seed}, {result.seconds} s, '
        f'revision {result.revision}',
        f'{machine.cores} cores, {machine.model}, load average '
        f'{machine.load_average} before, {result.load_average_after} after',
    ]
    if result.rows:
        lines.append(LINE.format(*HEAD))
        lines.extend(row_text(row) for row in result.rows)
    lines.extend(fact_lines(result.facts))
    return '\n'.join(lines)


def row_text(row: Row) -> str:
    """Return one line of the table."""
    times = (row.p50_ms, row.p99_ms, row.p999_ms, row.lag_p99_ms)
    texts = [f'{time:.2f}' for time in times]
    cpu = f'{row.cpu_ms:.3f}'
    return LINE.format(row.label, row.kind, row.calls, row.good, *texts, cpu)


def fact_lines(facts: dict[str, float]) -> Sequence[str]:
    """Return one line for each scalar result."""
    return [
        FACT_LINE.format(name, f'{number:.{DECIMALS}f}')
        for name, number in facts.items()
    ]


def write_result(result: BenchResult, folder: Path) -> Path:
    """Write a run as JSON and return the path of the file."""
    folder.mkdir(parents=True, exist_ok=True)
    variant = result.settings.get('shape', 'all')
    name = f'{result.scenario}-{variant}-{result.revision}-{result.seed}.json'
    path = folder / name
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=2)
    path.write_bytes(encoded)
    return path
