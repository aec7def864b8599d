"""Simulation of the request path with an oracle.

Daemons run the production code for links, attempts and keyed calls; the
network, the upstreams and the claim registers are fakes that inject faults.
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
MEMBER_UPDATE_DELAY_S = (0.01, 1.0)
MAX_ANSWER_BYTES = 64
SETTLE_S = 30
REFUSAL_PROBABILITY = 0.1
RUN_TIMES_S = (0.002, 0.005, 0.01, 0.05, 0.3, 3)
DEADLINES_S = (0.1, 0.5, 1, 2)
# Bounds of a number from 0 to 1 that is drawn for each faulty request; a
# request with a number above both is applied again later.
REQUEST_LOST_BELOW = 0.3
REPLY_LOST_BELOW = 0.6
REPLY_TIMEOUT_S = 0.5
current_process: contextvars.ContextVar[Any] = contextvars.ContextVar('process')
metrics = MetricSet()


@dataclass(slots=True)
class Oracle:
    """Records executions and the results returned to callers.

    Attributes:
        runs_by_payload: Executions by the body of the call.
        runs_by_call: Executions by call id.
        results_by_payload: Results by payload, in order.
        not_run: Ids of the calls whose outcome was ``not_run``.
        waiting: Payloads of calls in progress by call id.
    """

    runs_by_payload: Counter[bytes] = field(default_factory=Counter)
    runs_by_call: Counter[str] = field(default_factory=Counter)
    results_by_payload: dict[bytes, list[CallResult]] = field(
        default_factory=dict
    )
    not_run: set[str] = field(default_factory=set)
    waiting: dict[str, bytes] = field(default_factory=dict)

    def record_result(self, call: Call, result: CallResult) -> None:
        """Record a result returned to a caller."""
        payload = bytes(call.body)
        self.results_by_payload.setdefault(payload, []).append(result)
        if result.outcome is Outcome.not_run:
            self.not_run.add(call.call_id)

    def check(self, non_idempotent: set[bytes]) -> None:
        """Raise AssertionError if an invariant is violated.

        Args:
            non_idempotent: Payloads of non-idempotent calls.
        """
        for payload in non_idempotent:
            assert self.runs_by_payload[payload] <= 1, (
                f'{payload!r} ran more than once'
            )
        for call_id in self.not_run:
            assert not self.runs_by_call[call_id], (
                f'{call_id} ran but was reported as not run'
            )
        for payload, results in self.results_by_payload.items():
            self._check_answers(payload, results, payload in non_idempotent)
        assert not self.waiting, f'calls without a result: {self.waiting}'

    def check_no_unknown_outcome(self) -> None:
        """Check that only late or cancelled calls have an unknown outcome."""
        for payload, results in self.results_by_payload.items():
            for result in results:
                is_known = result.outcome is not Outcome.unknown
                late = result.cause in {'deadline passed', 'cancelled'}
                assert is_known or late, (
                    f'{payload!r} has an unknown outcome: {result.cause}'
                )

    def _check_answers(
        self,
        payload: bytes,
        results: Sequence[CallResult],
        non_idempotent: bool,
    ) -> None:
        bodies = {
            bytes(result.body)
            for result in results
            if result.outcome is Outcome.answered
        }
        for body in bodies:
            owner = body.partition(b'|')[0]
            assert owner == payload, f'{payload!r} got the answer to {owner!r}'
            assert self.runs_by_payload[payload], (
                f'{payload!r} was answered but never ran'
            )
        assert not non_idempotent or len(bodies) <= 1, (
            f'{payload!r} got different answers: {bodies}'
        )


class FakeUpstream:
    """Counts executions; can be down, be slow, refuse attempts or crash."""

    def __init__(self, simulation: Simulation) -> None:
        """Start the upstream."""
        self.simulation = simulation
        self.down = False
        self.crashed = asyncio.Event()

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Run or refuse an attempt."""
        rng = self.simulation.rng
        if self.down:
            return UpstreamRefused(RefusalCause.upstream_unreachable)
        if rng.random() < REFUSAL_PROBABILITY:
            return UpstreamRefused(RefusalCause.upstream_refused)
        payload = bytes(attempt.body)
        self.simulation.oracle.runs_by_payload[payload] += 1
        self.simulation.oracle.runs_by_call[attempt.call_id] += 1
        count = self.simulation.oracle.runs_by_payload[payload]
        duration = rng.choice(RUN_TIMES_S)
        try:
            async with asyncio.timeout(duration):
                await self.crashed.wait()
        except TimeoutError:
            return UpstreamAnswer(200, (), payload + b'|%d' % count)
        return UpstreamLost('closed', crash_suspected=True)

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""

    def crash(self) -> None:
        """Go down and fail all attempts in progress."""
        self.down = True
        self.crashed.set()

    def restart(self) -> None:
        """Accept attempts again."""
        self.down = False
        self.crashed = asyncio.Event()


class Daemon:
    """A simulated daemon process that runs the production components."""

    def __init__(
        self, simulation: Simulation, index: int, incarnation: int
    ) -> None:
        """Start a process whose code runs in a separate context."""
        self.simulation = simulation
        self.alive = True
        self.tasks: set[asyncio.Task[Any]] = set()
        self.context = contextvars.copy_context()
        self.context.run(current_process.set, self)
        self.settings = simulation.settings[index]
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
            hello, PeerCredentials(ClusterKey(b'fuzz')), simulation.events.clock
        )
        self.executor = AttemptExecutor(
            self.settings,
            incarnation,
            AttemptTelemetry(simulation.events, metrics),
        )
        self.executor.gate.queue = admission_for(SLOTS)
        self.executor.client = simulation.upstreams[index]
        self.executor.upstream = Upstream(self.member.link)
        self.executor.service = SERVICE
        self.server = LinkServer(
            self.executor,
            self.identity,
            self.settings,
            metrics,
            simulation.events,
        )
        self.members: dict[str, Member] = dict(simulation.members)
        self.links: dict[str, PeerLink] = {}
        router = Router(ZONE, simulation.rng)
        self.dispatcher = Dispatcher(
            f'{self.name}.{incarnation:x}',
            self,
            AttemptRunner(self, router),
            Placement(self, router),
            simulation.rng,
            metrics,
        )
        self.keyed_calls = KeyedCalls(
            self.dispatcher, self.request_claim, lambda: MAX_ANSWER_BYTES
        )

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of a new inbound connection."""
        return self.server.accept()

    def candidates(self, service: str) -> Candidates:
        """Return the members that may get new attempts."""
        members = tuple(
            one for one in self.members.values() if not one.draining
        )
        return Candidates(members, members)

    def find_member(self, daemon_id: str) -> Member | None:
        """Return a known daemon, or None."""
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
        """Send a request to the claim registers."""
        return await self.simulation.claims.request(message, timeout)

    def apply_member(self, member: Member, gone: bool) -> None:
        """Apply an update of a member or its departure."""
        known = self.members.get(member.daemon_id)
        if gone:
            if known and known.incarnation == member.incarnation:
                self.members.pop(member.daemon_id)
        elif known is None or _update_order(known) < _update_order(member):
            self.members[member.daemon_id] = member

    def crash(self) -> None:
        """Kill the process: close its links and cancel its tasks."""
        self.alive = False
        self.simulation.network.close_links(self)
        for task in self.tasks:
            task.cancel()


@dataclass(slots=True)
class FakeClaims:
    """Claim registers behind a lossy connection.

    Attributes:
        rng: Source of randomness of delays and faults.
        fault_rate: Probability of a fault of a request.
        down: True if there is no quorum.
        registers: Claims by key.
    """

    rng: random.Random
    fault_rate: float
    down: bool = False
    registers: dict[str, Claim] = field(default_factory=dict)

    async def request(
        self, message: ClaimStart | ClaimFinish, timeout: float
    ) -> ControlReply:
        """Apply a request; inject a lost request, lost reply or duplicate."""
        await asyncio.sleep(min(self.rng.uniform(0.001, 0.02), timeout))
        if self.down or timeout <= 0:
            raise ControlError('no quorum', step='claim')
        fault = self.rng.random() / self.fault_rate if self.fault_rate else 1
        if fault < REQUEST_LOST_BELOW:
            await asyncio.sleep(min(timeout, REPLY_TIMEOUT_S))
            raise ControlError('request lost', step='claim')
        reply = ClaimReply(self.apply(message))
        if fault < REPLY_LOST_BELOW:
            await asyncio.sleep(min(timeout, REPLY_TIMEOUT_S))
            raise ControlError('reply lost', step='claim')
        if fault < 1:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.01, 2), self.apply, message
            )
        return reply

    def apply(self, message: ClaimStart | ClaimFinish) -> Claim:
        """Apply a request and return the claim in force."""
        current = self.registers.get(message.key)
        if isinstance(message, ClaimStart):
            following = start_claim(current, message)
        else:
            following = finish_claim(current, message)
        self.registers[message.key] = following
        return following


class Simulation:
    """Daemons, upstreams, claim registers and callers of one example."""

    def __init__(
        self,
        seed: int,
        rates: FaultRates,
        remembered_attempts: int,
        daemons: int = 3,
    ) -> None:
        """Start all daemons; requires a running event loop."""
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng, rates, current_process)
        self.oracle = Oracle()
        self.events = EventRing('fuzz', HybridClock())
        self.claims = FakeClaims(self.rng, rates.lost * 2)
        self.members: dict[str, Member] = {}
        self.incarnations = itertools.count(1)
        self.non_idempotent: set[bytes] = set()
        self.callers: list[asyncio.Task[None]] = []
        indexes = range(daemons)
        self.settings = [
            daemon_settings(one, remembered_attempts) for one in indexes
        ]
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
        """Send a member update to all daemons, each after a random delay."""
        if not gone:
            self.members[member.daemon_id] = member
        loop = asyncio.get_running_loop()
        for daemon in getattr(self, 'daemons', ()):
            delay = self.rng.uniform(*MEMBER_UPDATE_DELAY_S)
            loop.call_later(delay, daemon.apply_member, member, gone)

    def crash_daemon(self, index: int) -> None:
        """Kill a daemon; others see it leave when its lease expires."""
        daemon = self.daemons[index]
        if daemon.alive:
            daemon.crash()
            asyncio.get_running_loop().call_later(
                LEASE_S, lambda: self.publish(daemon.member, gone=True)
            )

    def restart_daemon(self, index: int) -> None:
        """Restart a daemon that was killed."""
        if not self.daemons[index].alive:
            self.daemons[index] = self.start_daemon(index)

    def drain(self, index: int, draining: bool) -> None:
        """Start or stop draining a daemon."""
        daemon = self.daemons[index]
        daemon.executor.draining = draining
        daemon.member = msgspec.structs.replace(
            daemon.member,
            draining=draining,
            revision=daemon.member.revision + 1,
        )
        self.publish(daemon.member, gone=False)

    def call(
        self, index: int, payload: bytes, *, idempotent: bool, keyed: bool
    ) -> None:
        """Start a call through a daemon unless it is down."""
        daemon = self.daemons[index]
        if not daemon.alive:
            return
        if not idempotent:
            self.non_idempotent.add(payload)
        call = self._make_call(daemon, payload, idempotent, keyed)
        runner = daemon.keyed_calls if keyed else daemon.dispatcher
        self.oracle.waiting[call.call_id] = payload
        loop = asyncio.get_running_loop()
        handler = daemon.context.run(loop.create_task, runner.run(call))
        self.callers.append(loop.create_task(self._wait(daemon, call, handler)))

    def _make_call(
        self, daemon: Daemon, payload: bytes, idempotent: bool, keyed: bool
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
            body=payload,
            key=payload.decode() if keyed else '',
            deadline=now + self.rng.choice(DEADLINES_S),
        )

    async def _wait(
        self, daemon: Daemon, call: Call, handler: asyncio.Task[CallResult]
    ) -> None:
        await asyncio.wait({handler})
        if daemon.alive and not handler.cancelled():
            self.oracle.record_result(call, handler.result())
        self.oracle.waiting.pop(call.call_id)

    def cancel_caller(self, number: int) -> None:
        """Cancel a call, as when its caller disconnects."""
        if self.callers:
            self.callers[number % len(self.callers)].cancel()

    async def settle(self) -> None:
        """Wait long enough for all work in progress to end."""
        await asyncio.sleep(SETTLE_S)


def daemon_settings(index: int, remembered_attempts: int) -> DaemonSettings:
    """Return the settings of a simulated daemon."""
    return read_settings(
        DaemonSettings,
        {
            'daemon_id': f'daemon-{index}',
            'zone': ZONE,
            'control': 'none=127.0.0.1:1',
            'remembered_attempts': str(remembered_attempts),
            'finish_limit': '5',
        },
        {},
    )


def create_tracked_task(
    loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
) -> asyncio.Task[Any]:
    """Create a task and record it at the process whose code created it."""
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
    process = current_process.get(None)
    if process is not None:
        process.tasks.add(task)
        task.add_done_callback(process.tasks.discard)
    return task


def _update_order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision
