"""Measures the rate, latency, syncs and bytes written of claims."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import statistics
import tempfile
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import requests

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.durable.claims import (
    Claim,
    ClaimFinish,
    ClaimStart,
    ClaimState,
    StoredAnswer,
    claim_key,
)
from burdocklead.options import SocketAddress
from devtools.local_deployment import LocalDeployment, wait_until

ANSWER_BYTES = 500
MS_PER_S = 1000
REQUEST_TIMEOUT_S = 20
WARM_UP_CLAIMS = 20
PERCENTILES = 100


def replica_status(deployment: LocalDeployment) -> list[dict[str, Any]]:
    """Return the status of each replica."""
    return [
        msgspec.json.decode(
            requests.get(
                f'http://{process.addresses["admin"]}/v1/status', timeout=9
            ).content,
            type=dict[str, Any],
        )
        for process in deployment.controls.values()
    ]


async def run_claims(
    client: ControlClient, first: int, count: int, concurrency: int
) -> list[float]:
    """Start and finish claims; return the latency of each in s."""
    numbers = iter(range(first, first + count))
    latencies: list[float] = []

    async def run_worker() -> None:
        for number in numbers:
            started = time.perf_counter()
            await _run_claim(client, number)
            latencies.append(time.perf_counter() - started)

    await asyncio.gather(*(run_worker() for _ in range(concurrency)))
    return latencies


async def _run_claim(client: ControlClient, number: int) -> None:
    key = claim_key('measured', str(number))
    claim = Claim('f' * 64, f'attempt-{number}', 'daemon', 1)
    await client.request(ClaimStart(key, claim), REQUEST_TIMEOUT_S)
    answer = StoredAnswer(200, (), b'a' * ANSWER_BYTES)
    finished = msgspec.structs.replace(
        claim, state=ClaimState.finished, answer=answer
    )
    await client.request(ClaimFinish(key, finished), REQUEST_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class ClaimRun:
    """Measurements of a run.

    Attributes:
        latencies: Time of each claim from start to finish in s.
        elapsed: Duration of the run in s, without warm-up.
        syncs: Syncs of all replicas, with warm-up.
        written: Bytes written by all replicas, with warm-up.
    """

    latencies: list[float]
    elapsed: float
    syncs: float
    written: float

    def format_line(self, concurrency: int) -> str:
        """Return the measurements as one line of text."""
        total = len(self.latencies) + WARM_UP_CLAIMS
        percentiles = statistics.quantiles(self.latencies, n=PERCENTILES)
        median = statistics.median(self.latencies)
        return (
            f'{len(self.latencies)} claims, concurrency {concurrency}: '
            f'{len(self.latencies) / self.elapsed:.0f} per second, '
            f'median {median * MS_PER_S:.1f} ms, '
            f'99th percentile {percentiles[-1] * MS_PER_S:.1f} ms, '
            f'{self.syncs / total:.2f} syncs and '
            f'{self.written / total:.0f} bytes per claim (3 replicas)'
        )


def measure(
    deployment: LocalDeployment, count: int, concurrency: int
) -> ClaimRun:
    """Measure claims that are sent to the first replica."""
    first = deployment.replica_list.partition(',')[0]
    name, _, address = first.partition('=')
    client = ControlClient(
        name, SocketAddress().parse(address), PeerCredentials(ClusterKey(b''))
    )

    async def run() -> tuple[list[float], float]:
        await run_claims(client, -WARM_UP_CLAIMS, WARM_UP_CLAIMS, 4)
        started = time.perf_counter()
        latencies = await run_claims(client, 0, count, concurrency)
        return latencies, time.perf_counter() - started

    before = replica_status(deployment)
    latencies, elapsed = asyncio.run(run())
    after = replica_status(deployment)
    return ClaimRun(
        latencies,
        elapsed,
        _total(after, 'syncs') - _total(before, 'syncs'),
        _total(after, 'bytes_written') - _total(before, 'bytes_written'),
    )


def _total(statuses: list[dict[str, Any]], name: str) -> float:
    return float(sum(status[name] for status in statuses))


def _is_ready(deployment: LocalDeployment) -> bool:
    return all(status['quorum'] for status in replica_status(deployment))


def main() -> None:
    """Start three replicas, measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=1000)
    parser.add_argument('--concurrency', type=int, default=16)
    flags = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
        deployment = LocalDeployment(Path(folder))
        with contextlib.ExitStack() as stack:
            stack.callback(deployment.kill)
            deployment.start_controls()
            wait_until(partial(_is_ready, deployment), 'a quorum')
            run = measure(deployment, flags.count, flags.concurrency)
            print(run.format_line(flags.concurrency))


if __name__ == '__main__':
    main()
