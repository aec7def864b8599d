"""Resource use of an idle daemon as a function of the number of members."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator

from devtools.bench.histograms import fit_line
from devtools.bench.machine import Usage
from devtools.bench.members import INTERVAL_S, make_client, send_heartbeats
from devtools.bench.scenario import (
    Layout,
    Options,
    ScenarioResult,
    running_deployment,
    usage,
)
from devtools.local_deployment import LocalDeployment, wait_until

MEMBER_COUNTS = (1, 30, 300)
SETTLE_S = 3
SERVICE = 'job-sheets'
DAEMON = f'{SERVICE}-0'
CONTROL = 'control-0'
EXTRA_MEMBER_NUMBER = 1_000_000


def run_idle_cost(options: Options) -> ScenarioResult:
    """Measure one daemon and its replica with increasing member counts."""
    result = ScenarioResult(settings={'heartbeat interval s': 0.5})
    points: list[tuple[int, float]] = []
    seconds = options.seconds / len(MEMBER_COUNTS)
    with running_deployment(Layout({SERVICE: 1}, controls=1)) as deployment:
        for count in MEMBER_COUNTS:
            with simulated_members(deployment, count):
                measure(deployment, count, seconds, result)
            memory = result.facts[f'daemon, {count} members, memory MiB']
            points.append((count, memory))
    gradient, intercept = fit_line(points)
    result.facts['daemon memory per member KiB'] = gradient * 1024
    result.facts['daemon memory MiB without members'] = intercept
    return result


@contextlib.contextmanager
def simulated_members(
    deployment: LocalDeployment, count: int
) -> Iterator[None]:
    """Run simulated members while the context is open.

    The context is entered once the daemon sees all of them and has had
    ``SETTLE_S`` to settle.
    """
    arguments = [
        '--control',
        deployment.replica_list.partition('=')[2],
        '--count',
        str(count),
    ]
    process = subprocess.Popen(
        [sys.executable, '-m', 'devtools.bench.members', *arguments]
    )
    try:
        wait_until(lambda: sees_members(deployment, count), f'{count} members')
        time.sleep(SETTLE_S)
        yield
    finally:
        process.terminate()
        process.wait()


def measure(
    deployment: LocalDeployment,
    count: int,
    seconds: float,
    result: ScenarioResult,
) -> None:
    """Measure the daemon and its replica for a duration in s."""
    processes = {
        'daemon': deployment.daemons[DAEMON],
        'control': deployment.controls[CONTROL],
    }
    before = {name: usage(one) for name, one in processes.items()}
    traffic = asyncio.run(heartbeat_traffic(deployment, seconds))
    for name, process in processes.items():
        label = f'{name}, {count} members'
        result.facts.update(
            usage_facts(label, before[name], usage(process), seconds)
        )
    result.facts[f'daemon, {count} members, control bytes a s'] = traffic


def usage_facts(
    label: str, before: Usage, after: Usage, seconds: float
) -> dict[str, float]:
    """Return the resource use of a process over a duration in s."""
    return {
        f'{label}, share of a core': (after.cpu_s - before.cpu_s) / seconds,
        f'{label}, wake-ups a s': (after.wakeups - before.wakeups) / seconds,
        f'{label}, memory MiB': after.memory_mib,
        f'{label}, threads': after.threads,
    }


def sees_members(deployment: LocalDeployment, count: int) -> bool:
    """Return True if the daemon sees at least ``count`` simulated members."""
    status = deployment.daemon_status(deployment.daemons[DAEMON])
    known = [
        member
        for member in status['members']
        if member['daemon_id'].startswith('stand-in')
    ]
    return len(known) >= count


async def heartbeat_traffic(
    deployment: LocalDeployment, seconds: float
) -> float:
    """Return the bytes per second of the heartbeats of one additional member.

    The first heartbeat is not counted, as it fetches the whole membership.
    """
    client = make_client(deployment.replica_list.partition('=')[2])
    heartbeats = asyncio.create_task(
        send_heartbeats(client, EXTRA_MEMBER_NUMBER, INTERVAL_S)
    )
    await asyncio.sleep(INTERVAL_S)
    before = client.bytes_sent + client.bytes_received
    await asyncio.sleep(seconds)
    heartbeats.cancel()
    return (client.bytes_sent + client.bytes_received - before) / seconds
