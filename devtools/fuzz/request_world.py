"""A simulated deployment of the request path and its oracle.

Daemons run the product's own code for links, attempts and keyed calls; the
network, the upstreams and the claim registers are stand-ins with faults.
"""

from __future__ import annotations

import asyncio
import contextvars
import itertools
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdocklead.clock import HybridClock
from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_messages import ControlReply
from burdocklead.connection.frames import Attempt, Hello
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.connection.link_server import LinkServer
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.peer_link import PeerLink
from burdocklead.durable.claims import (
    Claim,
    ClaimFinish,
    ClaimReply,
    ClaimStart,
    finish_claim,
    start_claim,
)
from burdocklead.events import EventRing
from burdocklead.exceptions import ControlError
from burdocklead.metrics import MetricSet
from burdocklead.options import read_settings
from burdocklead.request.admission import admission_for
from burdocklead.request.attempt_runner import AttemptRunner, Link
from burdocklead.request.attempt_telemetry import AttemptTelemetry
from burdocklead.request.call import Call, CallResult
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.request.local_link import LocalLink
from burdocklead.request.placement import Placement
from burdocklead.request.routing import Candidates, Router
from burdocklead.request.upstream_client import (
    Upstream,
    UpstreamAnswer,
    UpstreamLost,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.settings import DaemonSettings
from burdocklead.values import (
    Address,
    LoadReport,
    Member,
    Outcome,
    RefusalCause,
)
from burdocklead.version.deployment import Route, Service
from burdocklead.version.route_table import RouteMatch
from devtools.fuzz.request_network import FakeNetwork, FaultRates

SERVICE = 'orders'
ZONE = 'vancouver'
SLOTS = 2
LEASE_S = 3.0
VIEW_DELAY_S = (0.01, 1.0)
ANSWER_LIMIT = 64
SETTLE_S = 30
REFUSED_SHARE = 0.1
WORK_S = (0.002, 0.005, 0.01, 0.05, 0.3, 3)
DEADLINES_S = (0.1, 0.5, 1, 2)
REQUEST_LOST = 0.3
REPLY_LOST = 0.6
REPLY_LIMIT_S = 0.5
current_process: contextvars.ContextVar[Any] = contextvars.ContextVar('process')
metrics = MetricSet()


@dataclass(slots=True)
class Oracle:
    """What really ran and what callers were told.

    Attributes:
        by_mark: Executions by the mark of a caller's call.
        by_call: Executions by call id.
        told: Results by mark, in the order of telling.
        not_run: Call ids that were told as not run.
        waiting: Calls whose caller still waits at a live entry.
    """

    by_mark: Counter[bytes] = field(default_factory=Counter)
    by_call: Counter[str] = field(default_factory=Counter)
    told: dict[bytes, list[CallResult]] = field(default_factory=dict)
    not_run: set[str] = field(default_factory=set)
    waiting: dict[str, bytes] = field(default_factory=dict)

    def tell(self, call: Call, result: CallResult) -> None:
        """Note what a caller was told."""
        self.told.setdefault(call.body, []).append(result)
        if result.outcome is Outcome.not_run:
            self.not_run.add(call.call_id)

    def check(self, once: set[bytes]) -> None:
        """Raise AssertionError if a promise was broken.

        Args:
            once: Marks of non-idempotent calls.
        """
        for mark in once:
            assert self.by_mark[mark] <= 1, f'{mark!r} ran twice'
        for call_id in self.not_run:
            assert not self.by_call[call_id], f'{call_id} ran, told not run'
        for mark, results in self.told.items():
            self._check_answers(mark, results, mark in once)
        assert not self.waiting, f'no answer: {self.waiting}'

    def check_known(self) -> None:
        """Raise AssertionError if an outcome is unknown without a fault."""
        for mark, results in self.told.items():
            for result in results:
                is_known = result.outcome is not Outcome.unknown
                late = result.cause in {'deadline passed', 'cancelled'}
                assert is_known or late, f'{mark!r} is told {result.cause}'

    def _check_answers(
        self, mark: bytes, results: Sequence[CallResult], once: bool
    ) -> None:
        bodies = {
            result.body
            for result in results
            if result.outcome is Outcome.answered
        }
        for body in bodies:
            owner = body.partition(b'|')[0]
            assert owner == mark, f'{mark!r} got the answer of {owner!r}'
            assert self.by_mark[mark], f'{mark!r} answered and never ran'
        assert not once or len(bodies) <= 1, f'{mark!r} got {bodies}'


class FakeUpstream:
    """Counts executions; may be down, slow, refuse or crash."""

    def __init__(self, world: World) -> None:
        """Start up."""
        self.world = world
        self.down = False
        self.crashed = asyncio.Event()

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Run an attempt, or not."""
        rng = self.world.rng
        if self.down:
            return UpstreamRefused(RefusalCause.upstream_unreachable)
        if rng.random() < REFUSED_SHARE:
            return UpstreamRefused(RefusalCause.upstream_refused)
        self.world.oracle.by_mark[attempt.body] += 1
        self.world.oracle.by_call[attempt.call_id] += 1
        count = self.world.oracle.by_mark[attempt.body]
        work = rng.choice(WORK_S)
        try:
            async with asyncio.timeout(work):
                await self.crashed.wait()
        except TimeoutError:
            return UpstreamAnswer(200, (), attempt.body + b'|%d' % count)
        return UpstreamLost('closed', crash_suspected=True)

    async def close(self) -> None:
        """Do nothing."""

    def crash(self) -> None:
        """End all exchanges."""
        self.down = True
        self.crashed.set()

    def restart(self) -> None:
        """Serve again."""
        self.down = False
        self.crashed = asyncio.Event()


class Daemon:
    """One daemon process with the product's own parts."""

    def __init__(self, world: World, index: int, incarnation: int) -> None:
        """Start a process; its code runs in a context of its own."""
        self.world = world
        self.alive = True
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(current_process.set, self)
        self.settings = world.settings[index]
        self.name = self.settings.daemon_id
        self.member = Member(
            daemon_id=self.name,
            incarnation=incarnation,
            revision=0,
            zone=ZONE,
            link=Address('127.0.0.1', index + 1),
            http=Address('127.0.0.1', 0),
            service=SERVICE,
            slots=SLOTS,
        )
        hello = Hello(self.name, incarnation)
        self.identity = LinkIdentity(
            hello, PeerCredentials(ClusterKey(b'fuzz')), world.events.clock
        )
        self.executor = AttemptExecutor(
            self.settings, incarnation, AttemptTelemetry(world.events, metrics)
        )
        self.executor.gate.queue = admission_for(SLOTS)
        self.executor.client = world.upstreams[index]
        self.executor.upstream = Upstream(self.member.link)
        self.executor.service = SERVICE
        self.server = LinkServer(
            self.executor, self.identity, self.settings, metrics, world.events
        )
        self.members: dict[str, Member] = dict(world.members)
        self.links: dict[str, PeerLink] = {}
        router = Router(ZONE, world.rng)
        self.dispatcher = Dispatcher(
            f'{self.name}.{incarnation:x}',
            self,
            AttemptRunner(self, router),
            Placement(self, router),
            world.rng,
            metrics,
        )
        self.keyed_calls = KeyedCalls(
            self.dispatcher, self.request_claim, lambda: ANSWER_LIMIT
        )

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        return self.server.accept()

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams that may get new work."""
        members = tuple(
            one for one in self.members.values() if not one.draining
        )
        return Candidates(members, members)

    def find_member(self, daemon_id: str) -> Member | None:
        """Return a present daemon."""
        return self.members.get(daemon_id)

    def link_to(self, member: Member) -> Link:
        """Return the link to a daemon."""
        if member.daemon_id == self.name:
            return LocalLink(self.executor)
        if member.daemon_id not in self.links:
            self.links[member.daemon_id] = PeerLink(
                self.identity,
                member.daemon_id,
                member.link,
                self.observe_load,
                self.settings,
                metrics,
            )
        return self.links[member.daemon_id]

    def observe_load(self, daemon_id: str, load: LoadReport) -> None:
        """Pass a load report to the router."""
        now = asyncio.get_running_loop().time()
        self.dispatcher.placement.router.observe_load(daemon_id, load, now)

    async def request_claim(
        self, message: ClaimStart | ClaimFinish, timeout: float
    ) -> ControlReply:
        """Send a request about a claim."""
        return await self.world.claims.request(message, timeout)

    def apply_member(self, member: Member, gone: bool) -> None:
        """Hear of a daemon's state."""
        known = self.members.get(member.daemon_id)
        if gone:
            if known and known.incarnation == member.incarnation:
                self.members.pop(member.daemon_id)
        elif known is None or _order(known) < _order(member):
            self.members[member.daemon_id] = member

    def crash(self) -> None:
        """End the process; nothing that it would still do has an effect."""
        self.alive = False
        self.world.network.cut(self)
        for task in self.tasks:
            task.cancel()


@dataclass(slots=True)
class FakeClaims:
    """Claim registers behind a lossy connection.

    Attributes:
        rng: Source of faults.
        faults: Share of requests that meet one.
        down: True if no quorum answers.
    """

    rng: random.Random
    faults: float
    down: bool = False
    registers: dict[str, Claim] = field(default_factory=dict)

    async def request(
        self, message: ClaimStart | ClaimFinish, timeout: float
    ) -> ControlReply:
        """Apply a request; it or its reply may be lost, or it comes twice."""
        await asyncio.sleep(min(self.rng.uniform(0.001, 0.02), timeout))
        if self.down or timeout <= 0:
            raise ControlError('no quorum', step='claim')
        fault = self.rng.random() / self.faults if self.faults else 1
        if fault < REQUEST_LOST:
            await asyncio.sleep(min(timeout, REPLY_LIMIT_S))
            raise ControlError('request lost', step='claim')
        reply = ClaimReply(self.apply(message))
        if fault < REPLY_LOST:
            await asyncio.sleep(min(timeout, REPLY_LIMIT_S))
            raise ControlError('reply lost', step='claim')
        if fault < 1:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.01, 2), self.apply, message
            )
        return reply

    def apply(self, message: ClaimStart | ClaimFinish) -> Claim:
        """Return the claim in force after a request."""
        current = self.registers.get(message.key)
        if isinstance(message, ClaimStart):
            following = start_claim(current, message)
        else:
            following = finish_claim(current, message)
        self.registers[message.key] = following
        return following


class World:
    """Daemons, upstreams, claims and callers of one example."""

    def __init__(
        self, seed: int, rates: FaultRates, remembered: int, daemons: int = 3
    ) -> None:
        """Start all daemons; needs a running loop."""
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng, rates, current_process)
        self.oracle = Oracle()
        self.events = EventRing('fuzz', HybridClock())
        self.claims = FakeClaims(self.rng, rates.lost * 2)
        self.members: dict[str, Member] = {}
        self.incarnations = itertools.count(1)
        self.once: set[bytes] = set()
        self.callers: list[asyncio.Task[None]] = []
        indexes = range(daemons)
        self.settings = [daemon_settings(one, remembered) for one in indexes]
        self.upstreams = [FakeUpstream(self) for _ in indexes]
        self.daemons = [self.start_daemon(index) for index in indexes]
        for daemon in self.daemons:
            daemon.members = dict(self.members)

    def start_daemon(self, index: int) -> Daemon:
        """Start a daemon process with a new incarnation."""
        daemon = Daemon(self, index, next(self.incarnations))
        self.network.processes[index + 1] = daemon
        self.publish(daemon.member, gone=False)
        return daemon

    def publish(self, member: Member, *, gone: bool) -> None:
        """Let all daemons hear of a member, each after a while."""
        if not gone:
            self.members[member.daemon_id] = member
        loop = asyncio.get_running_loop()
        for daemon in getattr(self, 'daemons', ()):
            delay = self.rng.uniform(*VIEW_DELAY_S)
            loop.call_later(delay, daemon.apply_member, member, gone)

    def crash_daemon(self, index: int) -> None:
        """End a daemon's process."""
        daemon = self.daemons[index]
        if daemon.alive:
            daemon.crash()
            asyncio.get_running_loop().call_later(
                LEASE_S, lambda: self.publish(daemon.member, gone=True)
            )

    def restart_daemon(self, index: int) -> None:
        """Start a daemon that ended."""
        if not self.daemons[index].alive:
            self.daemons[index] = self.start_daemon(index)

    def drain(self, index: int, wanted: bool) -> None:
        """Let a daemon drain, or no longer."""
        daemon = self.daemons[index]
        daemon.executor.draining = wanted
        daemon.member = msgspec.structs.replace(
            daemon.member, draining=wanted, revision=daemon.member.revision + 1
        )
        self.publish(daemon.member, gone=False)

    def call(
        self, index: int, mark: bytes, *, idempotent: bool, keyed: bool
    ) -> None:
        """Let a caller send a call through a daemon."""
        daemon = self.daemons[index]
        if not daemon.alive:
            return
        if not idempotent:
            self.once.add(mark)
        call = self._call_of(daemon, mark, idempotent, keyed)
        runs = daemon.keyed_calls if keyed else daemon.dispatcher
        self.oracle.waiting[call.call_id] = mark
        loop = asyncio.get_running_loop()
        handler = daemon.context.run(loop.create_task, runs.run(call))
        self.callers.append(loop.create_task(self._wait(daemon, call, handler)))

    def _call_of(
        self, daemon: Daemon, mark: bytes, idempotent: bool, keyed: bool
    ) -> Call:
        route = Route(
            name='one', method='POST', path='/', idempotent=idempotent
        )
        service = Service(routes=(route,), queue_limit=3)
        now = asyncio.get_running_loop().time()
        return Call(
            call_id=daemon.dispatcher.new_id(),
            match=RouteMatch(SERVICE, service, route, '/'),
            method='POST',
            headers=(),
            body=mark,
            key=mark.decode() if keyed else '',
            deadline=now + self.rng.choice(DEADLINES_S),
        )

    async def _wait(
        self, daemon: Daemon, call: Call, handler: asyncio.Task[CallResult]
    ) -> None:
        await asyncio.wait({handler})
        if daemon.alive and not handler.cancelled():
            self.oracle.tell(call, handler.result())
        self.oracle.waiting.pop(call.call_id)

    def leave(self, number: int) -> None:
        """Let a caller close its connection."""
        if self.callers:
            self.callers[number % len(self.callers)].cancel()

    async def settle(self) -> None:
        """Let everything that goes on come to its end."""
        await asyncio.sleep(SETTLE_S)


def daemon_settings(index: int, remembered: int) -> DaemonSettings:
    """Return the settings of one simulated daemon."""
    return read_settings(
        DaemonSettings,
        {
            'daemon_id': f'daemon-{index}',
            'zone': ZONE,
            'control': 'none=127.0.0.1:1',
            'remembered_attempts': str(remembered),
            'finish_limit': '5',
        },
        {},
    )


def track_tasks(
    loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
) -> asyncio.Task[Any]:
    """Make a task and note it at the process whose code made it."""
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
    process = current_process.get(None)
    if process is not None:
        process.tasks.add(task)
        task.add_done_callback(process.tasks.discard)
    return task


def _order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision
