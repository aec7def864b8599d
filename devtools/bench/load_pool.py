"""Runs a plan on one or more load processes and merges their results."""

from __future__ import annotations

import subprocess
import sys

import msgspec

from devtools.bench.histograms import Row, rows_of
from devtools.bench.plan import CallFigures, LoadResult, Plan

SEED_STEP = 1000


class MergedLoadResult(msgspec.Struct, frozen=True):
    """The merged result of a plan.

    Attributes:
        rows: Results by label and kind.
        cpu_shares: Share of a core that each load process used.
    """

    rows: list[Row]
    cpu_shares: list[float]

    def has_row(self, label: str) -> bool:
        """Return True if calls with this label were sent."""
        return any(row.label == label for row in self.rows)

    def row(self, label: str, kind: str = '') -> Row:
        """Return the row of a label, and of a kind if one is given.

        Raises:
            KeyError: If there is no such row.
        """
        for row in self.rows:
            if row.label == label and kind in {'', row.kind}:
                return row
        raise KeyError(label, kind)


def run_load(plan: Plan, processes: int = 1) -> MergedLoadResult:
    """Run a plan, with its rate divided evenly among the load processes."""
    running = [
        _start_load_process(_plan_share(plan, number, processes))
        for number in range(processes)
    ]
    loads: list[LoadResult] = []
    for process in running:
        output, _ = process.communicate()
        loads.append(msgspec.json.decode(output, type=LoadResult))
    figures: list[CallFigures] = []
    for load in loads:
        figures.extend(load.figures)
    return MergedLoadResult(
        rows_of(figures), [load.cpu_share for load in loads]
    )


def _plan_share(plan: Plan, number: int, processes: int) -> Plan:
    steps = tuple(
        msgspec.structs.replace(step, rate=step.rate / processes)
        for step in plan.steps
    )
    seed = plan.seed * SEED_STEP + number
    return msgspec.structs.replace(plan, seed=seed, steps=steps)


def _start_load_process(plan: Plan) -> subprocess.Popen[bytes]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'devtools.bench.load_process'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    if process.stdin is not None:
        process.stdin.write(msgspec.json.encode(plan))
        process.stdin.close()
        process.stdin = None
    return process
