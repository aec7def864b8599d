"""Simulation of entry daemons and upstreams in virtual time.

It runs the dispatcher, upstream selection and admission of the product.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from burdocklead.connection.frames import Answer, Lost, Refusal
from burdocklead.connection.load_queries import LoadReply
from burdocklead.exceptions import LinkError
from burdocklead.fairness.tickets import Refused, Ticket
from burdocklead.metrics import MetricSet
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.attempt_runner import NO_LOAD, AttemptRunner
from burdocklead.request.call import Call
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.measuring import MeasuringBudget
from burdocklead.request.placement import Placement
from burdocklead.request.probing import ProbingSelector
from burdocklead.request.routing import Router
from burdocklead.request.slot_gate import SlotGate
from burdocklead.request.upstream_load import UpstreamLoad
from burdocklead.values import Address, Member
from burdocklead.version.deployment import Measuring, Route, Service
from burdocklead.version.route_table import HOST_ROUTE_RETRY_RATIO, RouteMatch
from devtools.fuzz.virtual_loop import run_virtually
from tests.steps.routing_simulation import candidates_for

ZONES = ('vancouver', 'victoria', 'nanaimo')
UPSTREAMS = 12
SLOTS = 6
COST_MS = 100
OBJECTIVE_MS = 300
DEADLINE_MS = 1000
LOCAL_DELAY_S = 0.0002
CROSS_ZONE_DELAY_S = 0.0014
REPORT_INTERVAL_S = 0.02
REPORTS_PER_PACE = 8
MS_PER_S = 1000
ROUTE = Route(
    name='view',
    method='ANY',
    path='/',
    idempotent=True,
    timeout_ms=DEADLINE_MS,
    cost_ms=COST_MS,
)
SERVICE = Service(
    routes=(ROUTE,), max_attempts=2, retry_ratio=HOST_ROUTE_RETRY_RATIO
)
MATCH = RouteMatch('sheets', SERVICE, ROUTE, '/', 1, OBJECTIVE_MS)


@dataclass
class SimulatedUpstream:
    """One upstream with its admission queue.

    Attributes:
        slowdown: Factor on its service times.
        has_slow_phases: True if it slows down for short periods.
        unresponsive: True if it answers neither probes nor attempts.
        refusing: True if it accepts no new work.
        incarnation: Incarnation of the daemon beside it.
        ran: Number of calls that were started.
        waited_s: Total queue time in s.
    """

    member: Member
    rng: random.Random
    slowdown: float = 1
    has_slow_phases: bool = False
    unresponsive: bool = False
    refusing: bool = False
    incarnation: int = 1
    ran: int = 0
    waited_s: float = 0
    arrivals: list = field(default_factory=list)

    def start(self):
        """Create the slot gate; requires a running loop."""
        self.gate = SlotGate(paced_admission_for(SLOTS))
        if self.has_slow_phases:
            self.pace_task = asyncio.create_task(self._change_pace())

    async def _change_pace(self):
        for report in itertools.count():
            if report % REPORTS_PER_PACE == 0:
                slow = self.rng.choices((5, 1), (1, 3))[0]
            now = asyncio.get_running_loop().time()
            pace = self.gate.queue.pace
            pace.observe(UpstreamLoad(0, 0, SLOTS, slow), now)
            self.gate.set_pace(pace, now)
            await asyncio.sleep(REPORT_INTERVAL_S)

    def reply(self, number, route, cost_ms):
        """Return the reply to a load query."""
        estimate = None
        if not self.refusing:
            estimate = self.gate.estimate(route, cost_ms)
        return LoadReply(number, self.incarnation, self.gate.load(), estimate)

    async def execute(self, attempt):
        """Run an attempt as the daemon beside the upstream does."""
        loop = asyncio.get_running_loop()
        self.arrivals.append(loop.time())
        deadline = loop.time() + attempt.remaining_ms / MS_PER_S
        if self.unresponsive:
            await asyncio.sleep(attempt.remaining_ms / MS_PER_S)
            return Lost(attempt.attempt_id, 'silent', False, NO_LOAD)
        arrived = loop.time()
        verdict = await self.gate.admit(
            Ticket(
                attempt.attempt_id,
                MATCH.key,
                attempt.rank,
                attempt.cost_ms,
                deadline,
                attempt.queue_limit,
                arrived + attempt.objective_ms / MS_PER_S,
                attempt.may_queue,
            )
        )
        if isinstance(verdict, Refused):
            return Refusal(attempt.attempt_id, verdict.cause, self.gate.load())
        self.waited_s += loop.time() - arrived
        return await self._run(attempt, loop.time())

    async def _run(self, attempt, started):
        self.ran += 1
        pace = self.gate.queue.pace.pace
        service_s = COST_MS / MS_PER_S * self.rng.uniform(0.8, 1.2)
        try:
            await asyncio.sleep(service_s * self.slowdown * pace)
        finally:
            now = asyncio.get_running_loop().time()
            self.gate.release(
                attempt.attempt_id,
                (now - started) * MS_PER_S,
                finished=True,
                pace=pace,
            )
        return Answer(attempt.attempt_id, 200, (), b'', self.gate.load())


@dataclass
class SimulatedLink:
    """Link from an entry daemon to an upstream with a network delay."""

    target: SimulatedUpstream
    delay_s: float

    async def open(self, incarnation):
        """Connect at once."""

    async def run_attempt(self, attempt):
        """Run an attempt on the upstream, with the delay in each direction."""
        await asyncio.sleep(self.delay_s)
        result = await self.target.execute(attempt)
        await asyncio.sleep(self.delay_s)
        return result

    async def withdraw(self, cancel):
        """Fail, as if the upstream gave no verdict in time."""
        raise LinkError('no verdict in time', step='query', peer='u')

    def cancel(self, cancel):
        """Do nothing; a cancelled attempt releases its slot itself."""


class SimulatedSocket:
    """Load query socket of one entry daemon."""

    def __init__(self, deployment, zone):
        self.deployment = deployment
        self.zone = zone
        self.numbers = itertools.count()
        self.probes = []
        self.unanswered = 0
        self.stalled = False

    def send_query(self, address, route, cost_ms):
        """Record a probe; return its number and the future of the reply."""
        loop = asyncio.get_running_loop()
        upstream = self.deployment.upstreams[address.port]
        self.probes.append((loop.time(), address.port))
        reply = loop.create_future()
        number = next(self.numbers)
        if upstream.unresponsive or self.stalled:
            self.unanswered += upstream.unresponsive
            return number, reply
        delay_s = self.deployment.delay_s(self.zone, upstream)

        def answer():
            if not reply.done():
                reply.set_result(upstream.reply(number, route, cost_ms))

        loop.call_later(2 * delay_s, answer)
        return number, reply

    def forget(self, number):
        """Do nothing."""


class SimulatedEntry:
    """Entry daemon with the dispatcher of the product."""

    def __init__(self, deployment, number, probe_count):
        self.deployment = deployment
        self.zone = ZONES[number % len(ZONES)]
        rng = random.Random(number)
        self.router = Router(self.zone, rng)
        self.socket = SimulatedSocket(deployment, self.zone)
        limits = Measuring(
            messages_per_second=deployment.budget,
            bytes_per_second=1000000,
            asked_upstreams=probe_count,
        )
        self.selector = ProbingSelector(
            f'entry-{number}',
            self.router,
            self.socket,
            lambda: limits,
            MetricSet(),
            MeasuringBudget(),
        )
        self.dispatcher = Dispatcher(
            f'e{number}',
            self,
            AttemptRunner(self, self.router),
            Placement(self, self.router, self.selector),
            rng,
        )

    def candidates(self, service):
        """Return all upstreams; membership has not noticed any fault."""
        members = [upstream.member for upstream in self.deployment.upstreams]
        return candidates_for(self.zone, members)

    def find_member(self, daemon_id):
        """Return an upstream by name."""
        return self.deployment.upstream_of(daemon_id).member

    def link_to(self, target_member):
        """Return a link to an upstream and record the attempt."""
        upstream = self.deployment.upstream_of(target_member.daemon_id)
        self.deployment.sent.append((self.zone, target_member))
        return SimulatedLink(
            upstream, self.deployment.delay_s(self.zone, upstream)
        )


class SimulatedDeployment:
    """Entry daemons and upstreams of one simulation.

    Attributes:
        results: Latency in ms and outcome of each call.
        sent: Zone of the entry daemon and upstream of each attempt.
    """

    def __init__(self, entry_count, probe_count, budget=100000):
        self.budget = budget
        self.entry_count = entry_count
        self.probe_count = probe_count
        self.upstreams = [
            SimulatedUpstream(_member(number), random.Random(number))
            for number in range(UPSTREAMS)
        ]
        self.results = []
        self.sent = []
        self.entries = []

    def upstream_of(self, daemon_id):
        """Return an upstream by name."""
        return self.upstreams[int(daemon_id.removeprefix('u'))]

    def delay_s(self, zone, upstream):
        """Return the one-way network delay from a zone in s."""
        is_local = zone == upstream.member.zone
        return LOCAL_DELAY_S if is_local else CROSS_ZONE_DELAY_S

    def run(self, rate, seconds, zone=''):
        """Send calls in virtual time and return this deployment."""
        failures = run_virtually(
            lambda loop: self._run(rate, seconds, zone),
        )
        assert not failures, failures
        return self

    def start(self):
        """Create the parts that require a running loop."""
        for upstream in self.upstreams:
            upstream.start()
        self.entries = [
            SimulatedEntry(self, number, self.probe_count)
            for number in range(self.entry_count)
        ]

    async def _run(self, rate, seconds, zone):
        self.start()
        rng = random.Random(5)
        senders = [one for one in self.entries if zone in {'', one.zone}]
        loop = asyncio.get_running_loop()
        calls = []
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(rate))
            entry = rng.choice(senders)
            calls.append(asyncio.create_task(self._call(entry, len(calls))))
        await asyncio.gather(*calls)

    async def _call(self, entry, number):
        now = asyncio.get_running_loop().time()
        call = Call(
            f'c{number}',
            MATCH,
            'GET',
            (),
            b'',
            '',
            now + DEADLINE_MS / MS_PER_S,
            now + OBJECTIVE_MS / MS_PER_S,
        )
        result = await entry.dispatcher.run(call)
        elapsed = asyncio.get_running_loop().time() - now
        self.results.append((elapsed * MS_PER_S, result.outcome.value))

    def count_late(self):
        """Count the calls that missed their objective."""
        return sum(
            elapsed > OBJECTIVE_MS or outcome != 'answered'
            for elapsed, outcome in self.results
        )


def _member(number):
    return Member(
        daemon_id=f'u{number}',
        incarnation=1,
        revision=1,
        zone=ZONES[number % len(ZONES)],
        link=Address('127.0.0.1', number),
        http=Address('127.0.0.1', number),
        service='sheets',
        slots=SLOTS,
    )
