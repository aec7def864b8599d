"""Runs the soak with one or more seeds and reports each violated guarantee."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from burdocklead.values import Outcome
from devtools.processes import use_repository_sources
from devtools.soak.cluster import SoakCluster
from devtools.soak.faults import REJOIN_S, FaultInjector
from devtools.soak.mutations import MUTATIONS, mutated_sources
from devtools.soak.records import (
    SoakRecord,
    count_executions,
    find_problems,
    read_flood_bytes,
    summary_of,
)
from devtools.soak.traffic import Caller, Operator, watch_versions

CALLERS = 10
RECOVERY_TIMEOUT_S = 15.0
FINAL_CALLS = 60
# Calls whose caller gave up may still start within their deadline.
SETTLE_S = 2.5
EXIT_VIOLATIONS = 1
SEEDS_FILE = Path(__file__).with_name('seeds.txt')
MAX_SHOWN_PROBLEMS = 12


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of one run.

    Attributes:
        seed: Seed of the faults, callers and the operator.
        seconds: Time for which faults are injected in s.
        daemons: Daemons of each of the two services.
        mutation: Name of a mutation of the product, empty for none.
    """

    seed: int
    seconds: float
    daemons: int = 3
    mutation: str = ''


def run_soak(plan: SoakPlan, folder: Path) -> tuple[SoakRecord, list[str]]:
    """Run one soak in a folder; return its record and the problems found."""
    use_repository_sources()
    sources = mutated_sources(folder, plan.mutation)
    cluster = SoakCluster(folder, plan.daemons, sources)
    record = SoakRecord()
    try:
        cluster.start()
        asyncio.run(_run_phases(plan, cluster, record))
        lines = cluster.executions()
    finally:
        cluster.kill()
    record.flood_bytes = read_flood_bytes(lines)
    return record, find_problems(record, count_executions(lines))


async def _run_phases(
    plan: SoakPlan, cluster: SoakCluster, record: SoakRecord
) -> None:
    operator = Operator(cluster, record, plan.seed)
    async with aiohttp.ClientSession() as session:
        while not record.accepted:
            await operator.apply_once(session)
    await asyncio.to_thread(cluster.wait_in_force, 1, RECOVERY_TIMEOUT_S)
    callers = [
        Caller(cluster, record, f's{plan.seed}c{index}', plan.seed + index)
        for index in range(CALLERS)
    ]
    background = [
        asyncio.create_task(work)
        for work in (
            operator.run(),
            watch_versions(cluster, record),
            *(caller.run() for caller in callers),
        )
    ]
    injector = FaultInjector(cluster, record)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(plan.seconds):
            await injector.run(random.Random(plan.seed))
    await asyncio.to_thread(cluster.heal)
    record.end_disruptions(asyncio.get_running_loop().time() + REJOIN_S)
    background[0].cancel()
    await _check_recovery(cluster, record, callers[0])
    for task in background:
        task.cancel()
    results = await asyncio.gather(*background, return_exceptions=True)
    record.problems.extend(
        f'the soak itself failed: {error!r}'
        for error in results
        if isinstance(error, Exception)
    )
    await asyncio.sleep(SETTLE_S)


async def _check_recovery(
    cluster: SoakCluster, record: SoakRecord, caller: Caller
) -> None:
    """Check that the newest accepted version serves and calls are answered."""
    version = record.newest_accepted()
    try:
        await asyncio.to_thread(
            cluster.wait_in_force, version, RECOVERY_TIMEOUT_S
        )
    except TimeoutError as error:
        record.problems.append(
            f'not reached within {RECOVERY_TIMEOUT_S:g} s: {error}'
        )
        return
    async with aiohttp.ClientSession() as session:
        calls = [await caller.call_once(session) for _ in range(FINAL_CALLS)]
    answered = sum(call.outcome == Outcome.answered for call in calls)
    if answered < FINAL_CALLS:
        record.problems.append(
            f'{answered} of {FINAL_CALLS} calls were answered at the end'
        )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the soak and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=int(time.time()))
    parser.add_argument(
        '--count', type=int, default=1, help='number of consecutive seeds'
    )
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument(
        '--daemons',
        type=int,
        default=3,
        help='daemons of each of the two services',
    )
    parser.add_argument('--mutation', choices=sorted(MUTATIONS), default='')
    parser.add_argument(
        '--keep', type=Path, help='folder that keeps failed runs'
    )
    parser.add_argument(
        '--again', action='store_true', help='run the seeds that failed before'
    )
    flags = parser.parse_args(arguments)
    plans = regression_plans() if flags.again else _plans_from_flags(flags)
    failed = [plan for plan in plans if _run_and_report(plan, flags.keep)]
    return EXIT_VIOLATIONS if failed else 0


def regression_plans() -> list[SoakPlan]:
    """Return the runs listed in the seeds file."""
    lines = SEEDS_FILE.read_text().splitlines()
    rows = [line.split() for line in lines if not line.startswith('#')]
    return [
        SoakPlan(int(seed), float(seconds), int(daemons))
        for seed, seconds, daemons, *_ in rows
    ]


def _plans_from_flags(flags: argparse.Namespace) -> list[SoakPlan]:
    return [
        SoakPlan(seed, flags.seconds, flags.daemons, flags.mutation)
        for seed in range(flags.seed, flags.seed + flags.count)
    ]


def _run_and_report(plan: SoakPlan, keep: Path | None) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        record, problems = run_soak(plan, Path(folder))
        print(f'seed {plan.seed}: {summary_of(record)}', flush=True)
        for problem in problems[:MAX_SHOWN_PROBLEMS]:
            print(f'  problem: {problem}', flush=True)
        if len(problems) > MAX_SHOWN_PROBLEMS:
            print(f'  {len(problems)} in total', flush=True)
        if problems and keep is not None:
            Path(folder).rename(keep / f'seed-{plan.seed}')
            Path(folder).mkdir()
    return bool(problems)


if __name__ == '__main__':
    sys.exit(main())
