"""Simulation of services whose upstreams call each other, in virtual time.

It runs the dispatcher, upstream selection and admission of the product. There
is an entry daemon beside each upstream, as in a real deployment.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from burdocklead.connection.frames import Answer, Refusal
from burdocklead.fairness.nested_calls import ParentCalls
from burdocklead.fairness.tickets import Refused, Ticket
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.call import Call
from burdocklead.request.shared_budget import RetryLimit, SharedRetryBudget
from burdocklead.request.slot_gate import SlotGate
from burdocklead.values import Address, Member
from burdocklead.version.deployment import Route, Service
from burdocklead.version.route_table import RouteMatch
from devtools.fuzz.virtual_loop import run_virtually
from tests.steps.probing_simulation import (
    ZONES,
    SimulatedDeployment,
    SimulatedEntry,
    SimulatedUpstream,
)
from tests.steps.routing_simulation import candidates_for

MS_PER_S = 1000
OBJECTIVE_SHARE = 0.95
INITIAL_COST_RATIO = 0.5
SERVER_ERROR = 500
FOREVER = float('inf')
RETRY_LIMIT = RetryLimit(0.2, 40, 10)


@dataclass(frozen=True)
class Kind:
    """A kind of call.

    Attributes:
        rate: Calls of clients a second.
        nested: Kind of the calls that it makes, empty if it makes none.
        nested_share: Share of its calls that make one.
    """

    name: str
    service: str
    work_ms: float
    objective_ms: float
    deadline_ms: float
    rate: float = 0
    idempotent: bool = True
    nested: str = ''
    nested_share: float = 0
    rank: int = 1

    def match(self):
        """Return the route match, as the route table builds it."""
        route = Route(
            name=self.name,
            method='ANY',
            path='/',
            idempotent=self.idempotent,
            timeout_ms=int(self.deadline_ms),
            cost_ms=self.objective_ms * INITIAL_COST_RATIO,
        )
        service = Service(
            routes=(route,),
            max_attempts=3,
            retry_ratio=0.5,
            retry_server_errors=True,
            hedge_learned=True,
        )
        return RouteMatch(
            self.service, service, route, '/', self.rank, self.objective_ms
        )


@dataclass(frozen=True)
class CallRecord:
    """The result of one call of a client; times in s and ms."""

    kind: Kind
    at: float
    elapsed_ms: float
    status: int
    team: str = ''

    @property
    def in_time(self):
        """Return True if it was answered within its objective."""
        return self.status == 200 and self.elapsed_ms <= self.kind.objective_ms


@dataclass
class CapacityUpstream(SimulatedUpstream):
    """An upstream that makes nested calls through the daemon beside it."""

    slots: int = 6
    deployment: object = None
    parents: ParentCalls = field(default_factory=ParentCalls)
    numbers: object = field(default_factory=itertools.count)

    def start(self):
        """Create the slot gate; requires a running loop."""
        self.gate = SlotGate(paced_admission_for(self.slots))

    async def execute(self, attempt):
        """Run an attempt as the daemon beside the upstream does."""
        arrived = asyncio.get_running_loop().time()
        ticket = Ticket(
            attempt.attempt_id,
            f'{attempt.service}/{attempt.route}',
            attempt.rank,
            attempt.cost_ms,
            arrived + attempt.remaining_ms / MS_PER_S,
            attempt.queue_limit,
            arrived + attempt.objective_ms / MS_PER_S,
            attempt.may_queue,
            attempt.nested,
            attempt.team,
        )
        verdict = await self.gate.admit(ticket)
        if isinstance(verdict, Refused):
            return Refusal(attempt.attempt_id, verdict.cause, self.gate.load())
        self.waited_s += asyncio.get_running_loop().time() - arrived
        self.ran += 1
        with self.parents.track(attempt.call_id):
            return await self._serve(attempt)

    async def _serve(self, attempt):
        loop = asyncio.get_running_loop()
        started = loop.time()
        kind = self.deployment.kinds[attempt.route]
        factor = self.rng.uniform(0.8, 1.2) * self.slowdown
        work_s = kind.work_ms / MS_PER_S * factor
        status = 200
        try:
            await asyncio.sleep(work_s / 2)
            if self.rng.random() < kind.nested_share:
                status = await self._call_nested(kind, attempt)
            if status == 200:
                await asyncio.sleep(work_s / 2)
        finally:
            service_ms = (loop.time() - started) * MS_PER_S
            self.gate.release(attempt.attempt_id, service_ms, finished=True)
        return Answer(attempt.attempt_id, status, (), b'', self.gate.load())

    async def _call_nested(self, kind, attempt):
        """Return 200, or 500 if the nested call was not answered."""
        call_id = f'{attempt.call_id}.{next(self.numbers):x}'
        entry = self.deployment.entry_beside(self)
        nested = self.deployment.recognizes_nested and self.parents.recognize(
            call_id
        )
        record = await self.deployment.call(
            entry, self.deployment.kinds[kind.nested], call_id, nested=nested
        )
        return 200 if record.status == 200 else SERVER_ERROR


class CapacityEntry(SimulatedEntry):
    """Entry daemon that knows the upstreams of each service."""

    def __init__(self, deployment, number, probe_count):
        """Add the shared retry budget."""
        super().__init__(deployment, number, probe_count)
        self.dispatcher.shared_budget = SharedRetryBudget(
            RETRY_LIMIT,
            lambda: len(deployment.upstreams),
            asyncio.get_running_loop().time,
            random.Random(number).random(),
        )

    def candidates(self, service):
        """Return the upstreams of a service."""
        members = [
            one.member
            for one in self.deployment.upstreams
            if one.member.service == service
        ]
        return candidates_for(self.zone, members)


class CapacityDeployment(SimulatedDeployment):
    """Services of several upstreams with their clients' load.

    Attributes:
        kinds: Kinds of call by name.
        recognizes_nested: False to treat nested calls like any other.
        factors: Functions of the time in s that scale the rate, by kind.
        records: Results of the calls of clients.
    """

    def __init__(self, kinds, upstream_counts, slots=6):
        """Create the upstreams of each service."""
        super().__init__(0, 3)
        self.kinds = {kind.name: kind for kind in kinds}
        self.recognizes_nested = True
        self.factors = {}
        self.slowdowns = {}
        self.teams = {}
        self.records = []
        numbers = itertools.count()
        self.upstreams = [
            CapacityUpstream(
                _member(next(numbers), service, slots),
                random.Random(index),
                slots=slots,
                deployment=self,
            )
            for service, count in upstream_counts.items()
            for index in range(count)
        ]
        self.entry_count = len(self.upstreams)

    def start(self):
        """Create the parts that require a running loop."""
        for upstream in self.upstreams:
            upstream.start()
        self.entries = [
            CapacityEntry(self, number, self.probe_count)
            for number in range(self.entry_count)
        ]

    def entry_beside(self, upstream):
        """Return the entry daemon beside an upstream."""
        return self.entries[self.upstreams.index(upstream)]

    def run_for(self, seconds):
        """Send the calls of all kinds in virtual time."""
        failures = run_virtually(lambda loop: self._run_all(seconds))
        assert not failures, failures
        return self

    async def call(self, entry, kind, call_id, *, nested=False, team=''):
        """Send one call and return its record."""
        now = asyncio.get_running_loop().time()
        call = Call(
            call_id,
            kind.match(),
            'GET',
            (),
            b'',
            '',
            now + kind.deadline_ms / MS_PER_S,
            now + kind.objective_ms * OBJECTIVE_SHARE / MS_PER_S,
            nested=nested,
            team=team,
        )
        result = await entry.dispatcher.run(call)
        elapsed = asyncio.get_running_loop().time() - now
        return CallRecord(kind, now, elapsed * MS_PER_S, result.status, team)

    def share_in_time(self, name, begin=0, end=FOREVER):
        """Return the share of the calls of a kind that were in time."""
        records = self.of_kind(name, begin, end)
        return sum(one.in_time for one in records) / len(records)

    def of_kind(self, name, begin=0, end=FOREVER):
        """Return the calls of clients of a kind that came in a period."""
        return [
            one
            for one in self.records
            if one.kind.name == name and begin <= one.at < end
        ]

    async def _run_all(self, seconds):
        self.start()
        async with asyncio.TaskGroup() as group:
            for at, service, slowdown in self.slowdowns.get('steps', ()):
                asyncio.get_running_loop().call_later(
                    at, self._slow_down, service, slowdown
                )
            for number, kind in enumerate(self.kinds.values()):
                if kind.rate:
                    rng = random.Random(number)
                    group.create_task(self._send(kind, rng, seconds, group))

    def _slow_down(self, service, slowdown):
        for upstream in self.upstreams:
            if upstream.member.service == service:
                upstream.slowdown = slowdown

    async def _send(self, kind, rng, seconds, group):
        loop = asyncio.get_running_loop()
        factor = self.factors.get(kind.name, lambda now: 1)
        team_of = self.teams.get(kind.name, lambda now, rng: '')
        highest = max(factor(at / 10) for at in range(int(seconds * 10)))
        for number in itertools.count():
            await asyncio.sleep(rng.expovariate(kind.rate * highest))
            if loop.time() >= seconds:
                return
            if rng.random() * highest > factor(loop.time()):
                continue
            entry = rng.choice(self.entries)
            team = team_of(loop.time(), rng)
            call_id = f'{kind.name}{number}'
            group.create_task(self._record(entry, kind, call_id, team))

    async def _record(self, entry, kind, call_id, team):
        self.records.append(await self.call(entry, kind, call_id, team=team))


def _member(number, service, slots):
    return Member(
        daemon_id=f'u{number}',
        incarnation=1,
        revision=1,
        zone=ZONES[number % len(ZONES)],
        link=Address('127.0.0.1', number),
        http=Address('127.0.0.1', number),
        service=service,
        slots=slots,
    )
