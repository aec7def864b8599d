"""Starts a small deployment, sends calls and checks their outcomes."""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from burdocklead.request.headers import KEY_HEADER, OUTCOME_HEADER
from burdocklead.values import Outcome
from devtools.local_deployment import LocalDeployment
from devtools.processes import source_root

CALLS_PER_KIND = 200
CONCURRENCY = 16
UPSTREAM_COUNTS = {'job-sheets': 3, 'work-orders': 3, 'archive': 3}
US_PER_S = 1_000_000
US_PER_MS = 1000
MAX_LATENCY_US = 60_000_000
ROW = '{:<14}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}'


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call in the demo."""

    name: str
    method: str
    target: str
    keyed: bool = False


@dataclass(slots=True)
class CallStatistics:
    """Statistics of one kind of call.

    Attributes:
        outcomes: Calls by outcome.
        mismatched: Answers that don't belong to their call.
        latency_us: Histogram of latencies in us.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    mismatched: int = 0
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )


KINDS = (
    CallKind('view-sheet', 'GET', '/job-sheets/sheets/17'),
    CallKind('issue-order', 'POST', '/work-orders/orders', keyed=True),
    CallKind('look-up', 'GET', '/archive/records/9'),
)


async def send_calls(
    deployment: LocalDeployment, kind: CallKind, stats: CallStatistics
) -> None:
    """Send all calls of one kind through the daemons in round robin."""
    daemons = itertools.cycle(sorted(deployment.daemons))
    semaphore = asyncio.Semaphore(CONCURRENCY)
    async with aiohttp.ClientSession() as session:

        async def send(number: int, daemon: str) -> None:
            async with semaphore:
                url = deployment.url(daemon, kind.target)
                await send_call(session, url, kind, number, stats)

        await asyncio.gather(
            *(send(number, next(daemons)) for number in range(CALLS_PER_KIND))
        )


async def send_call(
    session: aiohttp.ClientSession,
    url: str,
    kind: CallKind,
    number: int,
    stats: CallStatistics,
) -> None:
    """Send one call, record it and check that the answer belongs to it."""
    mark = f'{kind.name}-{number}'
    headers = {'Mark': mark}
    if kind.keyed:
        headers[KEY_HEADER] = mark
    started = time.perf_counter()
    async with session.request(kind.method, url, headers=headers) as response:
        body = await response.text()
    elapsed = time.perf_counter() - started
    outcome = response.headers.get(OUTCOME_HEADER, 'none')
    stats.outcomes[outcome] += 1
    stats.latency_us.record_value(int(elapsed * US_PER_S))
    if outcome == Outcome.answered and not body.startswith(f'{mark}\n'):
        stats.mismatched += 1


def print_table(
    stats_by_kind: dict[str, CallStatistics], executions: dict[str, int]
) -> None:
    """Print one row for each kind of call."""
    head = ('kind', 'calls', 'answered', 'not run', 'unknown', 'p50 ms', 'p99')
    print(ROW.format(*head))
    for name, stats in stats_by_kind.items():
        row = (
            stats.outcomes.total(),
            stats.outcomes[Outcome.answered],
            stats.outcomes[Outcome.not_run],
            stats.outcomes[Outcome.unknown],
            f'{stats.latency_us.get_value_at_percentile(50) / US_PER_MS:.2f}',
            f'{stats.latency_us.get_value_at_percentile(99) / US_PER_MS:.2f}',
        )
        print(ROW.format(name, *row))
    max_executions = max(executions.values(), default=0)
    print(
        f'keys: {len(executions)}, most executions of one key: {max_executions}'
    )


def all_answered_correctly(
    stats_by_kind: dict[str, CallStatistics], executions: dict[str, int]
) -> bool:
    """Return True if all calls were answered and each key ran exactly once."""
    all_answered = all(
        stats.outcomes[Outcome.answered] == CALLS_PER_KIND
        and not stats.mismatched
        for stats in stats_by_kind.values()
    )
    return all_answered and set(executions.values()) == {1}


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = LocalDeployment(Path(folder))
        try:
            return run_demo(deployment)
        finally:
            deployment.stop()


def run_demo(deployment: LocalDeployment) -> int:
    """Run the demo on a deployment that is not started yet."""
    deployment.start_controls()
    deployment.start_daemons_with_upstreams(UPSTREAM_COUNTS)
    deployment.apply(source_root() / 'examples' / 'cedarline.toml')
    deployment.wait_in_force(1)
    stats_by_kind = {kind.name: CallStatistics() for kind in KINDS}
    for kind in KINDS:
        asyncio.run(send_calls(deployment, kind, stats_by_kind[kind.name]))
    executions = deployment.executions('by_key')
    print_table(stats_by_kind, executions)
    if all_answered_correctly(stats_by_kind, executions):
        print('every call was answered correctly, each key was executed once')
        return 0
    print('some calls were not answered correctly or executed exactly once')
    return 1


if __name__ == '__main__':
    sys.exit(main())
