"""Faults of a soak, drawn from a seed and injected from outside the product."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from typing import assert_never

from devtools.processes import ManagedProcess
from devtools.soak.cluster import NO_LIMIT, SoakCluster
from devtools.soak.records import Disruption, SoakRecord

FAULT_INTERVAL_S = (0.05, 0.9)
PAUSE_S = (0.3, 3.0)
DISRUPTION_S = (0.5, 4.0)
DOWNTIME_S = (0, 1.5)
REJOIN_S = 1.5  # A restarted process first has to learn of the others.
STOP_LIMIT_S = 12.0
FULL_DISK_BYTES = 1
INDEX_LIMIT = 1000
FORWARDER_MODES = ('swallow', 'swallow-back', 'delay', 'reset')
BEHAVIOURS: tuple[dict[str, object], ...] = (
    {'stalled': True},
    {'slowdown': 20},
    {'shed_share': 0.6},
    {'long_share': 0.2, 'long_factor': 20},
    {'shed_share': 0.4, 'repeat_share': 0.5},
    {'endless_share': 0.4},
    {'trickle_share': 0.2},
)


@dataclass(frozen=True, slots=True)
class KillDaemon:
    """Kill a daemon and restart it."""

    index: int
    downtime_s: float


@dataclass(frozen=True, slots=True)
class StopDaemon:
    """Stop a daemon gracefully and restart it."""

    index: int


@dataclass(frozen=True, slots=True)
class PauseDaemon:
    """Pause a daemon."""

    index: int
    pause_s: float


@dataclass(frozen=True, slots=True)
class DisruptControl:
    """Kill or pause a control replica.

    Attributes:
        index: Index of the replica.
        duration_s: Time in s after which it is restarted or resumed.
        kill: True to kill it, False to pause it.
    """

    index: int
    duration_s: float
    kill: bool


@dataclass(frozen=True, slots=True)
class KillAllControls:
    """Kill all control replicas and restart them."""

    downtime_s: float


@dataclass(frozen=True, slots=True)
class FillDisk:
    """Fail the writes of a control replica."""

    index: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class DisruptConnections:
    """Disrupt the connections to a process in its forwarder.

    Attributes:
        index: Index of the process, daemons before replicas.
        mode: Forwarder mode, which says what happens to the bytes.
        affects_new: True to disrupt connections opened meanwhile too.
        duration_s: Time in s after which the forwarder passes bytes again.
    """

    index: int
    mode: str
    affects_new: bool
    duration_s: float


@dataclass(frozen=True, slots=True)
class DisruptUpstream:
    """Kill an upstream or change its behaviour.

    Attributes:
        index: Index of the daemon beside it.
        behaviour: Index of the behaviour, None to kill it.
        duration_s: Time in s after which the default behaviour is restored.
    """

    index: int
    behaviour: int | None
    duration_s: float


Fault = (
    KillDaemon
    | StopDaemon
    | PauseDaemon
    | DisruptControl
    | KillAllControls
    | FillDisk
    | DisruptConnections
    | DisruptUpstream
)


def draw_faults(rng: random.Random) -> Iterator[tuple[float, Fault]]:
    """Yield faults without end, each with the delay before it in s.

    The index of a fault is taken modulo the number of processes.
    """
    for _ in itertools.count():
        draw = rng.choices(DRAWS, WEIGHTS)[0]
        yield (
            rng.uniform(*FAULT_INTERVAL_S),
            draw(rng, rng.randrange(INDEX_LIMIT)),
        )


def _draw_control(rng: random.Random, index: int) -> Fault:
    return DisruptControl(
        index, rng.uniform(*DISRUPTION_S), rng.choice((True, False))
    )


def _draw_connections(rng: random.Random, index: int) -> Fault:
    affects_new = rng.choice((True, False))
    return DisruptConnections(
        index,
        rng.choice(FORWARDER_MODES),
        affects_new,
        rng.uniform(*DISRUPTION_S),
    )


def _draw_upstream(rng: random.Random, index: int) -> Fault:
    behaviour = rng.choice((None, *range(len(BEHAVIOURS))))
    return DisruptUpstream(index, behaviour, rng.uniform(*DISRUPTION_S))


DRAWS: tuple[Callable[[random.Random, int], Fault], ...] = (
    lambda rng, index: KillDaemon(index, rng.uniform(*DOWNTIME_S)),
    lambda rng, index: StopDaemon(index),
    lambda rng, index: PauseDaemon(index, rng.uniform(*PAUSE_S)),
    _draw_control,
    lambda rng, index: KillAllControls(rng.uniform(*DOWNTIME_S)),
    lambda rng, index: FillDisk(index, rng.uniform(*DISRUPTION_S)),
    _draw_connections,
    _draw_upstream,
)
WEIGHTS = (3, 2, 2, 3, 1, 1, 5, 3)


class FaultInjector:
    """Injects faults; those of one process never overlap, others do.

    Attributes:
        disrupted: Names of the processes and forwarders with a fault now.
        disrupted_controls: Names of the control replicas with a fault now.
    """

    def __init__(self, cluster: SoakCluster, record: SoakRecord) -> None:
        """Initialize an injector for a cluster."""
        self.cluster = cluster
        self.record = record
        self.disrupted: set[str] = set()
        self.disrupted_controls: set[str] = set()

    async def run(self, rng: random.Random) -> None:
        """Inject faults until cancelled, without waiting for each to end."""
        async with asyncio.TaskGroup() as group:
            for interval_s, fault in draw_faults(rng):
                await asyncio.sleep(interval_s)
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        match fault:
            case KillDaemon(index, downtime_s):
                await self._kill_daemon(self._daemon(index), downtime_s)
            case StopDaemon(index):
                await self._stop_daemon(self._daemon(index))
            case PauseDaemon(index, pause_s):
                await self._pause(self._daemon(index), pause_s)
            case DisruptControl():
                await self._disrupt_control(fault)
            case KillAllControls(downtime_s):
                await self._kill_all_controls(downtime_s)
            case FillDisk(index, duration_s):
                await self._fill_disk(self._control(index), duration_s)
            case DisruptConnections():
                await self._disrupt_connections(fault)
            case DisruptUpstream():
                await self._disrupt_upstream(fault)
            case _:
                assert_never(fault)

    def _daemon(self, index: int) -> ManagedProcess:
        daemons = list(self.cluster.deployment.daemons.values())
        return daemons[index % len(daemons)]

    def _control(self, index: int) -> ManagedProcess:
        controls = list(self.cluster.deployment.controls.values())
        return controls[index % len(controls)]

    @contextlib.asynccontextmanager
    async def _record_disruption(
        self, process: ManagedProcess
    ) -> AsyncIterator[None]:
        """Record the period in which a process is disrupted.

        A cancelled fault lasts until the cluster is healed.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        ended = math.inf
        self.disrupted.add(process.name)
        try:
            yield
            ended = loop.time() + REJOIN_S
        finally:
            self.record.disruptions.append(
                Disruption(process.name, started, ended)
            )
            self.disrupted.discard(process.name)

    async def _kill_daemon(
        self, process: ManagedProcess, downtime_s: float
    ) -> None:
        if process.name in self.disrupted:
            return
        async with self._record_disruption(process):
            process.kill()
            await asyncio.sleep(downtime_s)
            await asyncio.to_thread(self.cluster.restart, process)

    async def _stop_daemon(self, process: ManagedProcess) -> None:
        if process.name in self.disrupted:
            return
        loop = asyncio.get_running_loop()
        async with self._record_disruption(process):
            started = loop.time()
            self.cluster.stopping.add(process.name)
            process.send_signal(signal.SIGHUP)
            process.ask_to_stop()
            await asyncio.to_thread(process.wait_stopped)
            if loop.time() - started > STOP_LIMIT_S:
                reason = f'{process.name} did not stop within the limit'
                self.record.problems.append(reason)
            await asyncio.to_thread(self.cluster.restart, process)
            self.cluster.stopping.discard(process.name)

    async def _pause(self, process: ManagedProcess, pause_s: float) -> None:
        if process.name in self.disrupted:
            return
        async with self._record_disruption(process):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            process.send_signal(signal.SIGCONT)

    async def _disrupt_control(self, fault: DisruptControl) -> None:
        process = self._control(fault.index)
        if self.disrupted_controls:
            return
        with self._mark_disrupted(process):
            stop = signal.SIGKILL if fault.kill else signal.SIGSTOP
            process.send_signal(stop)
            await asyncio.sleep(fault.duration_s)
            if fault.kill:
                process.kill()
                await asyncio.to_thread(self.cluster.restart, process)
            else:
                process.send_signal(signal.SIGCONT)

    async def _kill_all_controls(self, downtime_s: float) -> None:
        processes = list(self.cluster.deployment.controls.values())
        if self.disrupted_controls:
            return
        with self._mark_disrupted(*processes):
            for process in processes:
                process.kill()
            await asyncio.sleep(downtime_s)
            for process in processes:
                await asyncio.to_thread(self.cluster.restart, process)

    async def _fill_disk(
        self, process: ManagedProcess, duration_s: float
    ) -> None:
        if self.disrupted_controls:
            return
        with self._mark_disrupted(process):
            self.cluster.limit_file_size(process.name, FULL_DISK_BYTES)
            await asyncio.sleep(duration_s)
            self.cluster.limit_file_size(process.name, NO_LIMIT)

    @contextlib.contextmanager
    def _mark_disrupted(self, *processes: ManagedProcess) -> Iterator[None]:
        """Exclude further faults of replicas while some are disrupted."""
        names = {process.name for process in processes}
        self.disrupted_controls |= names
        try:
            yield
        finally:
            self.disrupted_controls -= names

    async def _disrupt_connections(self, fault: DisruptConnections) -> None:
        forwarders = list(self.cluster.forwarders().values())
        forwarder = forwarders[fault.index % len(forwarders)]
        if forwarder.process.name in self.disrupted:
            return
        self.disrupted.add(forwarder.process.name)
        if fault.affects_new and fault.mode != 'reset':
            await asyncio.to_thread(forwarder.set_new_mode, fault.mode)
        await asyncio.to_thread(forwarder.set_mode, fault.mode)
        await asyncio.sleep(fault.duration_s)
        await asyncio.to_thread(forwarder.set_new_mode, 'pass')
        if fault.mode == 'delay':
            await asyncio.to_thread(forwarder.set_mode, 'pass')
        self.disrupted.discard(forwarder.process.name)

    async def _disrupt_upstream(self, fault: DisruptUpstream) -> None:
        name = self._daemon(fault.index).name
        upstream = self.cluster.deployment.upstreams[name]
        if name in self.disrupted or not upstream.is_running():
            return
        self.disrupted.add(name)
        if fault.behaviour is None:
            upstream.kill()
            await asyncio.to_thread(self.cluster.restart_upstream, name)
        else:
            behaviour = BEHAVIOURS[fault.behaviour]
            await asyncio.to_thread(
                lambda: self.cluster.set_behaviour(name, **behaviour)
            )
            await asyncio.sleep(fault.duration_s)
            await asyncio.to_thread(self.cluster.set_behaviour, name)
        self.disrupted.discard(name)
