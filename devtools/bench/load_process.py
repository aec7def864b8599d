"""A load generator: reads a plan from stdin and writes its result to stdout."""

from __future__ import annotations

import asyncio
import random
import resource
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import msgspec
import uvloop
from hdrh.histogram import HdrHistogram
from yarl import URL

from burdocklead.request.headers import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
)
from burdocklead.values import Outcome
from devtools.bench.arrivals import AddressChooser, step_schedule
from devtools.bench.histograms import encode, new_histogram, record
from devtools.bench.machine import cpu_of_pids
from devtools.bench.plan import (
    CallFigures,
    CallKind,
    LoadResult,
    Plan,
    Policy,
    Step,
    starts_of,
)
from devtools.bench.quiet import QUIET_LABEL, is_quiet, read_ticks
from devtools.upstream import WORK_HEADER, ReportedLoad

START_DELAY_S = 0.2
BUSY_POLL_S = 0.003
CALL_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.1
MS_PER_S = 1000
OK_STATUS = 200


@dataclass(frozen=True, slots=True)
class Sample:
    """One completed call.

    Attributes:
        kind: Kind of call.
        outcome: Outcome, status or name of the client error.
        lag: Delay of the send after its scheduled time in s.
        latency: Time from the scheduled send to the end of the call in s.
    """

    kind: CallKind
    outcome: str
    lag: float
    latency: float

    @property
    def is_good(self) -> bool:
        """Return True if a complete answer arrived within the limit."""
        in_time = self.latency * MS_PER_S <= self.kind.limit_ms
        return in_time and self.outcome == Outcome.answered


@dataclass(slots=True)
class CallStatistics:
    """Statistics of one kind of call under one label."""

    calls: int = 0
    good: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=new_histogram)
    lag: HdrHistogram = field(default_factory=new_histogram)
    cpu_ms: list[float] = field(default_factory=list)

    def add(self, sample: Sample) -> None:
        """Count one call."""
        self.calls += 1
        self.good += sample.is_good
        self.outcomes[sample.outcome] += 1
        record(self.latency, sample.latency)
        record(self.lag, sample.lag)


@dataclass(slots=True)
class StepRun:
    """The calls of one step.

    Attributes:
        step: The step.
        samples: Completed calls.
        quiet: True if other load hardly disturbed the machine meanwhile.
        cpu_s: CPU time of the arm's processes during the step in s.
    """

    step: Step
    samples: list[Sample] = field(default_factory=list)
    quiet: bool = False
    cpu_s: float = 0


class LoadGenerator:
    """Sends the calls of a plan at their scheduled times.

    Attributes:
        runs: The steps started so far.
    """

    def __init__(self, plan: Plan, session: aiohttp.ClientSession) -> None:
        """Prepare the choosers and the URLs."""
        self.plan = plan
        self.session = session
        self.rng = random.Random(plan.seed)
        self.choosers = {
            name: AddressChooser(arm, random.Random(plan.seed))
            for name, arm in plan.arms.items()
        }
        self.urls: dict[tuple[str, str], URL] = {}
        self.runs: list[StepRun] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def url_of(self, address: str, path: str) -> URL:
        """Return the parsed URL of a call, from a cache."""
        if (address, path) not in self.urls:
            self.urls[address, path] = URL(f'http://{address}{path}')
        return self.urls[address, path]

    async def run(self) -> None:
        """Send all calls and wait for their answers."""
        pollers = [
            asyncio.create_task(self.poll_forever(chooser))
            for chooser in self.choosers.values()
            if chooser.arm.policy is Policy.least_stale
        ]
        start = time.perf_counter() + START_DELAY_S
        for step_start in starts_of(self.plan.steps):
            await self.run_step(start + step_start.offset, step_start.step)
        await asyncio.gather(*self.tasks)
        for poller in pollers:
            poller.cancel()

    async def run_step(self, start: float, step: Step) -> None:
        """Send the calls of one step without waiting for answers."""
        run = StepRun(step)
        self.runs.append(run)
        arm = self.plan.arms[step.arm]
        calls = step_schedule(self.rng, step, arm.kinds)
        await wait_until_time(start)
        before = read_ticks()
        cpu_before = cpu_of_pids(arm.pids)
        for offset, kind in calls:
            await wait_until_time(start + offset)
            task = asyncio.create_task(self.send(start + offset, run, kind))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await wait_until_time(start + step.seconds)
        run.cpu_s = cpu_of_pids(arm.pids) - cpu_before
        run.quiet = is_quiet(before, read_ticks())

    async def send(self, due: float, run: StepRun, kind: CallKind) -> None:
        """Send one call and record its latency from the scheduled time."""
        lag = time.perf_counter() - due
        address = self.choosers[run.step.arm].choose()
        outcome = await self.outcome_of(self.url_of(address, kind.path), kind)
        latency = time.perf_counter() - due
        run.samples.append(Sample(kind, outcome, lag, latency))

    def statistics_by_kind(self) -> dict[tuple[str, str], CallStatistics]:
        """Return statistics by label and kind.

        Quiet steps also count under their label with ``QUIET_LABEL``.
        """
        statistics_by_kind: dict[tuple[str, str], CallStatistics] = {}
        for run in self.runs:
            labels = [run.step.label]
            if run.quiet:
                labels.append(run.step.label + QUIET_LABEL)
            for label in labels:
                _add_step_run(statistics_by_kind, label, run)
        return statistics_by_kind

    async def outcome_of(self, url: URL, kind: CallKind) -> str:
        """Send a request and return its outcome."""
        headers = {
            WORK_HEADER: str(kind.work_ms),
            DEADLINE_HEADER: str(kind.limit_ms),
        }
        body = b'x' * kind.body_bytes or None
        try:
            async with self.session.request(
                kind.method, url, headers=headers, data=body
            ) as response:
                await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return type(error).__name__
        return _outcome_from_headers(response)

    async def poll_forever(self, chooser: AddressChooser) -> None:
        """Poll the load of an arm's upstreams at an interval."""
        while True:
            for address in chooser.arm.addresses:
                async with self.session.get(f'http://{address}/-/load') as got:
                    load = msgspec.json.decode(
                        await got.read(), type=ReportedLoad
                    )
                chooser.busy_shares[address] = load.busy / load.slots
            await asyncio.sleep(POLL_INTERVAL_S)


def _add_step_run(
    statistics_by_kind: dict[tuple[str, str], CallStatistics],
    label: str,
    run: StepRun,
) -> None:
    for sample in run.samples:
        key = (label, sample.kind.name)
        statistics_by_kind.setdefault(key, CallStatistics()).add(sample)
    names = {sample.kind.name for sample in run.samples}
    for name in names:
        cpu_ms = run.cpu_s * MS_PER_S / len(run.samples)
        statistics_by_kind[label, name].cpu_ms.append(cpu_ms)


def _outcome_from_headers(response: aiohttp.ClientResponse) -> str:
    if NOT_RUN_HEADER in response.headers:
        return Outcome.not_run
    is_answer = response.status == OK_STATUS
    status = Outcome.answered if is_answer else str(response.status)
    return response.headers.get(OUTCOME_HEADER, status)


async def wait_until_time(moment: float) -> None:
    """Wait until a time of ``time.perf_counter``.

    Event loop timers have a resolution of 1 ms, so the last part of the wait
    polls the clock.
    """
    left = moment - time.perf_counter()
    if left > BUSY_POLL_S:
        await asyncio.sleep(left - BUSY_POLL_S)
    while time.perf_counter() < moment:
        await asyncio.sleep(0)


async def run_plan(plan: Plan) -> LoadResult:
    """Run a plan and return its result."""
    started = time.perf_counter()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
    ) as session:
        load = LoadGenerator(plan, session)
        await load.run()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    process_cpu_s = usage.ru_utime + usage.ru_stime
    figures = tuple(
        CallFigures(
            label,
            kind,
            statistics.calls,
            statistics.good,
            dict(statistics.outcomes),
            encode(statistics.latency),
            encode(statistics.lag),
            statistics.cpu_ms,
        )
        for (label, kind), statistics in load.statistics_by_kind().items()
    )
    return LoadResult(figures, process_cpu_s / (time.perf_counter() - started))


def main() -> None:
    """Run the plan on standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    sys.stdout.buffer.write(msgspec.json.encode(uvloop.run(run_plan(plan))))


if __name__ == '__main__':
    main()
