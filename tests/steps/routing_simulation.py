"""Discrete-event simulation of entry daemons that share a few upstreams."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from burdocklead.connection.frames import Answer, Refusal
from burdocklead.fairness.tickets import Admitted, Queued, Ticket
from burdocklead.request.admission import admission_for
from burdocklead.request.routing import Candidates, Router
from burdocklead.values import Address, LoadReport, Member, RefusalCause
from burdocklead.version.deployment import RANKS, Priority

S_PER_MS = 0.001
ZONES = ('vancouver', 'victoria', 'nanaimo')
SLOTS = 4
COST_S = 0.02
UPSTREAMS = 6
MAX_ATTEMPTS = 3
LOCAL_DELAY_S = 0.00005
CROSS_DELAY_S = 0.0015
NOWHERE = Address('127.0.0.1', 1)


def member(number, zones=ZONES):
    """Return an upstream of the simulation."""
    return Member(
        daemon_id=f'u{number}',
        incarnation=1,
        revision=1,
        zone=zones[number % len(zones)],
        link=NOWHERE,
        http=NOWHERE,
        service='sheets',
        slots=SLOTS,
    )


def candidates_for(zone, members):
    """Return the candidates as seen by a daemon in a zone."""
    local = tuple(one for one in members if one.zone == zone)
    return Candidates(tuple(members), local)


class RandomChoice(Router):
    """Baseline: a random upstream."""

    def choose(self, candidates, route, now):
        """Return a random upstream."""
        return self.rng.choice(candidates.members)


class RoundRobin(Router):
    """Baseline: each upstream in turn."""

    counter: itertools.count = None

    def choose(self, candidates, route, now):
        """Return the next upstream."""
        if self.counter is None:
            self.counter = itertools.count(self.rng.randrange(UPSTREAMS))
        members = candidates.members
        return members[next(self.counter) % len(members)]


class LeastReported(Router):
    """Baseline: the upstream with the lowest last load report."""

    def score(self, member, median_ms, now):
        """Return the utilization, reported or from own attempts in flight."""
        view = self.view_of(member.daemon_id)
        reported = view.load.busy + view.load.queued if view.load else 0
        return max(view.in_flight_count, reported) / member.slots

    def choose(self, candidates, route, now):
        """Return the upstream with the lowest utilization."""
        return min(candidates.members, key=lambda one: self.score(one, 0, now))


class TwoChoices(LeastReported):
    """Baseline: the better of two random upstreams by the last reports."""

    def choose(self, candidates, route, now):
        """Return the better of two random upstreams."""
        sampled = self.rng.sample(candidates.members, 2)
        return min(sampled, key=lambda one: self.score(one, 0, now))


class NoZonePreference(Router):
    """Router that takes no extra sample from its own availability zone."""

    def choose(self, candidates, route, now):
        """Return the best of a sample from all zones."""
        return super().choose(Candidates(candidates.members), route, now)


@dataclass(frozen=True)
class UpstreamFault:
    """Fault of upstream ``u0`` for a period of time.

    Attributes:
        slowdown: Factor on its service times.
        reports_idle: True if it reports itself as idle.
        draining: True if it refuses all calls as draining.
        begin: Start of the period in s.
        end: End of the period in s.
    """

    slowdown: float = 1
    reports_idle: bool = False
    draining: bool = False
    begin: float = 0
    end: float = 0

    def is_active(self, name, now):
        """Return True if an upstream has the fault now."""
        return name == 'u0' and self.begin <= now < self.end


@dataclass
class SimulatedCall:
    """One call and its current attempt."""

    number: int
    entry: int
    at: float
    service: float
    target: Member | None = None
    sent_at: float = 0
    tried: set = field(default_factory=set)


@dataclass
class Outcome:
    """Latencies by time of arrival, failures and attempts by upstream."""

    latencies: list = field(default_factory=list)
    failed: list = field(default_factory=list)
    sent: list = field(default_factory=list)

    def p99(self, begin, end):
        """Return the 99th percentile latency in ms; a failure is infinite."""
        within = [
            latency for at, latency in self.latencies if begin <= at < end
        ]
        within.extend(float('inf') for at in self.failed if begin <= at < end)
        return sorted(within)[int(len(within) * 0.99)] / S_PER_MS

    def attempts(self, begin, end):
        """Count the attempts in a period by upstream."""
        return Counter(name for at, name, _ in self.sent if begin <= at < end)

    def local_share(self):
        """Return the share of attempts that stayed in their zone."""
        return sum(local for _, _, local in self.sent) / len(self.sent)


class Deployment:
    """Entry daemons and upstreams on one event queue."""

    def __init__(self, policy, seed, fault):
        """Create the routers and admission queues."""
        self.fault = fault
        self.members = [member(number) for number in range(UPSTREAMS)]
        self.queues = {
            one.daemon_id: admission_for(SLOTS) for one in self.members
        }
        self.routers = [
            policy(one.zone, random.Random(seed + number))
            for number, one in enumerate(self.members)
        ]
        self.outcome = Outcome()
        self.events = []
        self.order = itertools.count()
        self.calls = {}

    def schedule(self, at, handler, *details):
        """Add an event."""
        heapq.heappush(self.events, (at, next(self.order), handler, details))

    def run(self):
        """Handle all events and return the outcome."""
        while self.events:
            now, _, handler, details = heapq.heappop(self.events)
            handler(now, *details)
        return self.outcome

    def delay(self, call):
        """Return the one-way network delay to the target of a call in s."""
        own_zone = self.routers[call.entry].zone
        local = call.target.zone == own_zone
        return LOCAL_DELAY_S if local else CROSS_DELAY_S

    def send(self, now, call):
        """Choose an upstream and send the call."""
        router = self.routers[call.entry]
        candidates = candidates_for(router.zone, self.members)
        call.target = router.choose(
            candidates.without(call.tried), 'sheets/view', now
        )
        name = call.target.daemon_id
        local = call.target.zone == router.zone
        self.outcome.sent.append((now, name, local))
        call.sent_at = now
        call.tried.add(name)
        router.start_attempt(name, 'sheets/view', now)
        self.schedule(now + self.delay(call), self.arrive, call)

    def arrive(self, now, call):
        """Offer the call to the admission queue of the upstream."""
        name = call.target.daemon_id
        if self.fault.draining and self.fault.is_active(name, now):
            self.reply(now, call, RefusalCause.draining)
            return
        call_id = f'{call.number}.{len(call.tried)}'
        self.calls[call_id] = call
        ticket = Ticket(
            call_id, 'view', RANKS[Priority.normal], 20, call.at + 1, 100
        )
        offer = self.queues[name].offer(ticket, now)
        self.apply_verdict(now, call_id, offer.verdict)
        for one in offer.displaced:
            self.apply_verdict(now, one.ticket.attempt_id, one.verdict)

    def apply_verdict(self, now, call_id, verdict):
        """Start or refuse a call unless it is queued."""
        call = self.calls[call_id]
        if isinstance(verdict, Admitted):
            service = call.service
            if self.fault.is_active(call.target.daemon_id, now):
                service *= self.fault.slowdown
            self.schedule(now + service, self.end, call_id, now)
        elif not isinstance(verdict, Queued):
            self.reply(now, call, verdict.cause)

    def end(self, now, call_id, started):
        """Finish a call and start queued ones on the free slot."""
        call = self.calls[call_id]
        self.reply(now, call, None)
        queue = self.queues[call.target.daemon_id]
        for one in queue.release(call_id, (now - started) / S_PER_MS, now):
            self.apply_verdict(now, one.ticket.attempt_id, one.verdict)

    def reply(self, now, call, cause):
        """Send the result and a load report to the entry daemon."""
        name = call.target.daemon_id
        load = self.queues[name].load(now)
        if self.fault.reports_idle and self.fault.is_active(name, now):
            load = LoadReport(0, 0, SLOTS)
        back = now + self.delay(call)
        self.schedule(back, self.receive_result, call, cause, load)

    def receive_result(self, now, call, cause, load):
        """Record a result at the entry daemon; retry a refused call."""
        router = self.routers[call.entry]
        name = call.target.daemon_id
        router.finish_attempt(name, 'sheets/view')
        router.observe_load(name, load, now)
        if cause is None:
            answer = Answer('', 200, (), b'', load)
            self.observe(router, call, answer, now)
            self.outcome.latencies.append((call.at, now - call.at))
            return
        self.observe(router, call, Refusal('', cause, load), now)
        if len(call.tried) < MAX_ATTEMPTS:
            self.send(now, call)
            return
        self.outcome.failed.append(call.at)

    def observe(self, router, call, result, now):
        """Pass a result to the router of the entry daemon."""
        router.observe_result(
            call.target.daemon_id,
            'sheets/view',
            result,
            now - call.sent_at,
            now,
        )


def run_policy(policy, seed, load, seconds, fault):
    """Run calls at a share of the capacity and return the outcome."""
    rng = random.Random(seed)
    deployment = Deployment(policy, seed, fault)
    rate = load * UPSTREAMS * SLOTS / COST_S
    now = float(0)
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now >= seconds:
            break
        service = rng.uniform(0.8, 1.2) * COST_S
        call = SimulatedCall(number, rng.randrange(UPSTREAMS), now, service)
        deployment.schedule(now, deployment.send, call)
    return deployment.run()
