"""Duration of claims, configuration rollouts and replica restarts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import requests

from burdocklead.connection.control_client import ControlClient
from burdocklead.durable.claims import Claim, ClaimStart
from devtools.bench.histograms import fit_line
from devtools.bench.members import make_client
from devtools.bench.scenario import (
    Layout,
    Options,
    ScenarioResult,
    running_deployment,
)
from devtools.local_deployment import (
    HTTP_TIMEOUT_S,
    LocalDeployment,
    wait_until,
)

DAEMON_COUNTS = (2, 5, 10)
FILE_COUNTS = (20, 100, 300)
CHANGES = 5
CLAIMERS = (1, 16)
CLAIM_TIMEOUT_S = 10
MS_PER_S = 1000
SERVICE = 'job-sheets'


def run_rollout(options: Options) -> ScenarioResult:
    """Measure how rollout time grows with the number of daemons."""
    result = ScenarioResult(settings={'changes': CHANGES})
    points: list[tuple[float, float]] = []
    for count in DAEMON_COUNTS:
        layout = Layout({SERVICE: count})
        with running_deployment(layout) as deployment:
            times = [
                rollout_time(deployment, layout, version)
                for version in range(2, 2 + CHANGES)
            ]
        name = f'{count} daemons, slowest change in force ms'
        result.facts[name] = max(times) * MS_PER_S
        mean = sum(times) / len(times) * MS_PER_S
        result.facts[f'{count} daemons, mean in force ms'] = mean
        points.append((count, mean))
    gradient, intercept = fit_line(points)
    result.facts['in force, ms per daemon'] = gradient
    result.facts['in force, ms without daemons'] = intercept
    return result


def text_with_version(source: Path, version: int) -> str:
    """Return a configuration file's text with another version."""
    return source.read_text().replace('version = 1', f'version = {version}', 1)


def rollout_time(
    deployment: LocalDeployment, layout: Layout, version: int
) -> float:
    """Return the time in s from the request until all daemons serve it."""
    started = time.monotonic()
    apply_configuration(deployment, text_with_version(layout.file, version))
    deployment.wait_in_force(version)
    return time.monotonic() - started


def apply_configuration(deployment: LocalDeployment, text: str) -> None:
    """Apply a configuration through the first replica."""
    control = next(iter(deployment.controls.values()))
    requests.put(
        f'http://{control.addresses["admin"]}/v1/configuration',
        data=text.encode(),
        timeout=HTTP_TIMEOUT_S,
    ).raise_for_status()


def run_restart(options: Options) -> ScenarioResult:
    """Measure how a replica's restart time grows with the files applied."""
    result = ScenarioResult()
    points: list[tuple[float, float]] = []
    layout = Layout({SERVICE: 1})
    with running_deployment(layout) as deployment:
        applied = 1
        for count in FILE_COUNTS:
            rate = apply_rate(deployment, layout, applied, count)
            applied = count
            result.facts[f'up to {count} files, applies a s'] = rate
            restart_ms = restart_time(deployment) * MS_PER_S
            result.facts[f'{count} files, restart ms'] = restart_ms
            result.facts[f'{count} files, data KiB'] = data_kib(deployment)
            points.append((count, restart_ms))
    gradient, intercept = fit_line(points)
    result.facts['restart, ms per file'] = gradient
    result.facts['restart, ms without files'] = intercept
    return result


def apply_rate(
    deployment: LocalDeployment, layout: Layout, applied: int, last: int
) -> float:
    """Apply the versions after ``applied`` to ``last``; return the rate."""
    started = time.monotonic()
    for version in range(applied + 1, last + 1):
        apply_configuration(deployment, text_with_version(layout.file, version))
    return (last - applied) / (time.monotonic() - started)


def restart_time(deployment: LocalDeployment) -> float:
    """Return the time in s from the start of a killed replica until ready."""
    replica = list(deployment.controls.values())[-1]
    replica.kill()
    started = time.monotonic()
    replica.start()
    replica.wait_ready()
    url = f'http://{replica.addresses["admin"]}/readyz'
    wait_until(_readiness_check(url), 'replica ready')
    return time.monotonic() - started


def _readiness_check(url: str) -> Callable[[], bool]:
    def is_ready() -> bool:
        return requests.get(url, timeout=HTTP_TIMEOUT_S).ok

    return is_ready


def data_kib(deployment: LocalDeployment) -> float:
    """Return the size of the last replica's data folder in KiB."""
    folder = deployment.folder / list(deployment.controls)[-1]
    sizes = [path.stat().st_size for path in folder.rglob('*')]
    return sum(sizes) / 1024


def run_claims(options: Options) -> ScenarioResult:
    """Measure the rate of claims by the number of concurrent claimers."""
    result = ScenarioResult()
    with running_deployment(Layout({SERVICE: 1})) as deployment:
        for claimers in CLAIMERS:
            seconds = options.seconds / len(CLAIMERS)
            count, mean_ms = asyncio.run(
                measure_claims(deployment, claimers, seconds)
            )
            result.facts[f'{claimers} claimers, claims a s'] = count / seconds
            result.facts[f'{claimers} claimers, mean ms'] = mean_ms
    return result


async def measure_claims(
    deployment: LocalDeployment, claimers: int, seconds: float
) -> tuple[int, float]:
    """Return the number of claims in a period and their mean time in ms."""
    first = deployment.replica_list.partition(',')[0]
    client = make_client(first.partition('=')[2])
    deadline = time.monotonic() + seconds
    counts = await asyncio.gather(
        *(
            claim_new_keys(client, number, deadline)
            for number in range(claimers)
        )
    )
    client.close()
    return sum(counts), seconds * claimers / sum(counts) * MS_PER_S


async def claim_new_keys(
    client: ControlClient, number: int, deadline: float
) -> int:
    """Claim new keys sequentially until the deadline; return how many."""
    count = 0
    while time.monotonic() < deadline:
        key = f'claim/{time.time_ns()}-{number}-{count}'
        claimed = Claim('fingerprint', key, 'daemon', 1)
        await client.request(ClaimStart(key, claimed), CLAIM_TIMEOUT_S)
        count += 1
    return count
