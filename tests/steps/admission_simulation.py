"""A discrete-event simulation of an admission queue and its upstream."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field, replace

from burdocklead.fairness.tickets import (
    Admitted,
    Decision,
    OfferResult,
    Queued,
    Refused,
    Ticket,
)
from burdocklead.request.slot_table import SlotTable
from burdocklead.values import RefusalCause
from burdocklead.version.deployment import RANKS, Priority

SLOTS = 20
COST_MS = 50
S_PER_MS = 0.001
NEVER = (0, 0)
FOREVER = float('inf')


@dataclass(frozen=True)
class Arrival:
    """One call: its arrival time, ticket and true service time in s."""

    at: float
    ticket: Ticket
    service: float


class FixedSlots(SlotTable):
    """Slots without the adaptive limit."""

    def limit(self, now):
        """Return the slots."""
        return self.slots


@dataclass
class Fifo:
    """A bounded first-in, first-out queue."""

    table: FixedSlots = field(default_factory=lambda: FixedSlots(SLOTS))
    running: set = field(default_factory=set)
    waiting: deque = field(default_factory=deque)

    def offer(self, ticket, now):
        """Run, queue or refuse a call."""
        if len(self.running) < SLOTS:
            self.running.add(ticket.attempt_id)
            return OfferResult(Admitted())
        if len(self.waiting) >= ticket.queue_limit:
            return OfferResult(Refused(RefusalCause.queue_full))
        self.waiting.append(ticket)
        return OfferResult(Queued())

    def release(self, attempt_id, service_ms, now):
        """Start the next call."""
        self.running.discard(attempt_id)
        if not self.waiting:
            return []
        ticket = self.waiting.popleft()
        self.running.add(ticket.attempt_id)
        return [Decision(ticket, Admitted())]


@dataclass(frozen=True)
class Upstream:
    """A model of service times that depend on time and concurrency.

    Attributes:
        lost_share: Share of the capacity that a neighbour takes.
        factor: Slowdown of each call at any concurrency.
        slow_period: Begin and end in s of the period in which both apply.
        cold_calls: Number of first calls, which take ten times longer.
    """

    lost_share: float = 0
    factor: float = 1
    slow_period: tuple[float, float] = NEVER
    cold_calls: int = 0

    def service(self, arrival, now, busy, served):
        """Return the service time of a call that starts now in s."""
        service = arrival.service
        if served <= self.cold_calls:
            service *= 10
        begin, end = self.slow_period
        if not begin <= now < end:
            return service
        capacity = SLOTS * (1 - self.lost_share)
        return service * self.factor * max(busy / capacity, 1) ** 1.5


DEFAULT_UPSTREAM = Upstream()


@dataclass
class Run:
    """The result of a simulation.

    Attributes:
        started: Start of each call in s.
        ended: End of each call in s.
        refused: Refusal cause of each refused call.
        limits: Concurrency limit at each event, with its time in s.
    """

    started: dict = field(default_factory=dict)
    ended: dict = field(default_factory=dict)
    refused: dict = field(default_factory=dict)
    limits: list = field(default_factory=list)

    def in_time(self, arrivals, begin=0, end=FOREVER):
        """Return the calls that were answered before their deadline."""
        return [
            arrival
            for arrival in arrivals
            if begin <= arrival.at < end
            and self.ended.get(arrival.ticket.attempt_id, FOREVER)
            <= arrival.ticket.deadline
        ]


class Simulation:
    """Passes arrivals through an admission queue and its upstream."""

    def __init__(self, queue, upstream):
        """Start without events."""
        self.queue = queue
        self.upstream = upstream
        self.run = Run()
        self.events = []
        self.sequence = itertools.count()

    def push(self, at, kind, arrival):
        """Add an event."""
        heapq.heappush(self.events, (at, next(self.sequence), kind, arrival))

    def apply_verdict(self, arrival, verdict, now):
        """Record an admission decision and start an admitted call."""
        name = arrival.ticket.attempt_id
        if isinstance(verdict, Queued):
            return
        if isinstance(verdict, Refused):
            self.run.refused[name] = verdict.cause
            return
        self.run.started[name] = now
        busy = len(self.queue.table.running)
        served = len(self.run.started)
        service = self.upstream.service(arrival, now, busy, served)
        self.push(now + service, 'end', arrival)

    def step(self, by_id):
        """Handle the next event."""
        now, _, kind, arrival = heapq.heappop(self.events)
        ticket = arrival.ticket
        self.run.limits.append((now, self.queue.table.limit(now)))
        if kind == 'end':
            name = ticket.attempt_id
            self.run.ended[name] = now
            service_ms = (now - self.run.started[name]) / S_PER_MS
            late = self.queue.release(name, service_ms, now)
        else:
            offer = self.queue.offer(ticket, now)
            late = offer.displaced
            self.apply_verdict(arrival, offer.verdict, now)
        for decision in late:
            waited = by_id[decision.ticket.attempt_id]
            self.apply_verdict(waited, decision.verdict, now)


def simulate(queue, arrivals, upstream=DEFAULT_UPSTREAM):
    """Simulate all arrivals and return the result."""
    simulation = Simulation(queue, upstream)
    for arrival in arrivals:
        simulation.push(arrival.at, 'arrive', arrival)
    by_id = {arrival.ticket.attempt_id: arrival for arrival in arrivals}
    while simulation.events:
        simulation.step(by_id)
    return simulation.run


def poisson_arrivals(rng, rate, seconds, make):
    """Return Poisson arrivals at a mean rate per s, built by ``make``."""
    arrivals = []
    now = float(0)
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now >= seconds:
            return arrivals
        arrivals.append(make(number, now))


def usual_call(rng, timeout=0.3, priority=Priority.normal):
    """Return a factory of calls of one route."""

    def make(number, now):
        ticket = Ticket(
            f'a{number}',
            'sheets/view',
            RANKS[priority],
            COST_MS,
            now + timeout,
            1000,
        )
        return Arrival(now, ticket, rng.uniform(0.8, 1.2) * COST_MS * S_PER_MS)

    return make


def mixed_call(rng, long_share, factor):
    """Return a factory of short calls with a share of long ones."""

    def make(number, now):
        long = rng.random() < long_share
        name = 'archive/search' if long else 'sheets/view'
        ticket = Ticket(
            f'a{number}', name, RANKS[Priority.normal], 5, now + 30, 1000
        )
        service = rng.uniform(0.8, 1.2) * 5 * S_PER_MS
        if long:
            service *= factor
        return Arrival(now, ticket, service)

    return make


def priority_call(rng):
    """Return a factory of calls of three priorities."""
    single_route = usual_call(rng)

    def make(number, now):
        arrival = single_route(number, now)
        priority = rng.choice(list(Priority))
        return replace(
            arrival, ticket=replace(arrival.ticket, rank=RANKS[priority])
        )

    return make


def saturation_rate():
    """Return the maximum throughput of the upstream in calls per s."""
    return SLOTS / (COST_MS * S_PER_MS)


def seeded(seed):
    """Return a random number generator."""
    return random.Random(seed)
