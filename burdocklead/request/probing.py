"""Choice of an upstream by load queries that are sent before each call.

An entry daemon that sends few calls to many upstreams hears from each of them
too rarely to know its load, so it probes a few of them with load queries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from burdocklead.connection.load_queries import LoadReply, LoadSocket
from burdocklead.metrics import (
    MEASURING_BYTES,
    MEASURING_MESSAGES,
    PROBES,
    MetricSet,
)
from burdocklead.request.call import Call
from burdocklead.request.measuring import MeasuringBudget
from burdocklead.request.routing import (
    AVOID_UNAVAILABLE_S,
    CROSS_ZONE_MS,
    Candidates,
    Router,
)
from burdocklead.request.upstream_view import ReceivedEstimate
from burdocklead.values import Member
from burdocklead.version.deployment import Measuring

MS_PER_S = 1000
REPLY_TIMEOUT_S = 0.02  # Zones are 1.5 ms apart; a busy daemon adds a few ms.
# After a longer wait this process itself stalled and missed the replies.
STALL_THRESHOLD_S = 0.1
UNRESPONSIVE_S = 1.0
UNRESPONSIVE_PENALTY = 2
MESSAGES_PER_LOAD_QUERY = 2
BYTES_PER_LOAD_QUERY = 180  # Query and reply, packet headers included.
# Share of the time left to the objective; a typical call varies by 30 %.
SAME_ZONE_TIME_SHARE = 0.7
# Share of the objective that a remote zone must save.
PROBED_CROSS_ZONE_GAIN_SHARE = 0.1
ACCEPTABLE_MEDIAN_FACTOR = 2


@dataclass(slots=True)
class ProbingSelector:
    """Probes a few upstreams before each call and chooses the best of them.

    Attributes:
        daemon_id: ID of this daemon, whose load is read without a message.
        router: Stores the replies and scores the upstreams.
        socket: Sends load queries and receives the replies.
        limits: Returns the limits on measuring in force.
        metrics: Counts probes, messages and bytes.
        budget: Budget of messages and bytes for probes.
    """

    daemon_id: str
    router: Router
    socket: LoadSocket
    limits: Callable[[], Measuring]
    metrics: MetricSet
    budget: MeasuringBudget = field(default_factory=MeasuringBudget)

    async def choose(self, candidates: Candidates, call: Call) -> Member | None:
        """Return the best probed upstream, None without candidates.

        Upstreams of other availability zones are probed only if no probed
        upstream of the own zone is likely to meet the objective.
        """
        loop = asyncio.get_running_loop()
        count = self.limits().asked_upstreams
        sampled = self._sample_responsive(
            candidates.same_zone or candidates.members, count
        )
        await self._probe(sampled, call)
        best = self._best(sampled, call)
        if not candidates.same_zone or self._meets_objective(
            best, call, loop.time()
        ):
            return best
        remote_members = [
            one for one in candidates.members if one.zone != self.router.zone
        ]
        remote = self._sample_responsive(remote_members, count)
        await self._probe(remote, call)
        return self._best([*sampled, *remote], call)

    def _sample_responsive(
        self, members: Sequence[Member], count: int
    ) -> list[Member]:
        """Sample members; unresponsive ones only if there are no others."""
        now = asyncio.get_running_loop().time()
        responsive = [
            one
            for one in members
            if self.router.view_of(one.daemon_id).unresponsive_until <= now
        ]
        return self.router.sample(responsive or members, count)

    def _best(self, members: Sequence[Member], call: Call) -> Member | None:
        now = asyncio.get_running_loop().time()
        route = call.match.key
        median_ms = self.router.median_latency_ms(
            route, call.match.route.cost_ms
        )
        cross_zone_ms = max(
            call.match.objective_ms * PROBED_CROSS_ZONE_GAIN_SHARE,
            CROSS_ZONE_MS,
        )
        return min(
            members,
            key=lambda one: self.router.score(
                one, median_ms, now, cross_zone_ms, route
            ),
            default=None,
        )

    def _meets_objective(
        self, member: Member | None, call: Call, now: float
    ) -> bool:
        """Return True if an upstream is likely to meet the objective."""
        if member is None:
            return False
        route = call.match.key
        median_ms = self.router.median_latency_ms(
            route, call.match.route.cost_ms
        )
        expected_ms = self.router.score(member, median_ms, now, 0, route)
        remaining_ms = ((call.objective or call.deadline) - now) * MS_PER_S
        return expected_ms <= max(
            remaining_ms * SAME_ZONE_TIME_SHARE,
            median_ms * ACCEPTABLE_MEDIAN_FACTOR,
        )

    async def _probe(self, members: Sequence[Member], call: Call) -> None:
        """Refresh the estimates of some upstreams."""
        loop = asyncio.get_running_loop()
        probed_at = loop.time()
        self.budget.limits = self.limits()
        probes: dict[asyncio.Future[LoadReply], tuple[int, Member]] = {}
        for member in members:
            if self._should_probe(member, call, probed_at):
                number, reply = self.socket.send_query(
                    member.link, call.match.key, call.match.route.cost_ms
                )
                probes[reply] = (number, member)
        if not probes:
            return
        await asyncio.wait(probes, timeout=REPLY_TIMEOUT_S)
        now = loop.time()
        for reply, (number, member) in probes.items():
            if reply.done():
                self._record_reply(member, reply.result(), call, now)
            else:
                self.socket.forget(number)
                self._record_timeout(member, probed_at, now)

    def _should_probe(self, member: Member, call: Call, now: float) -> bool:
        view = self.router.view_of(member.daemon_id)
        route = call.match.key
        if member.daemon_id == self.daemon_id:
            source = self.socket.source
            estimate = source.estimate(route, call.match.route.cost_ms)
            if estimate is not None:
                view.estimates[route] = ReceivedEstimate(estimate, now)
            return False
        if view.fresh_estimate(route, now) is not None:
            return False
        if not self.budget.try_spend(
            MESSAGES_PER_LOAD_QUERY, BYTES_PER_LOAD_QUERY, now
        ):
            self.metrics.count(PROBES, 'over-budget')
            return False
        self.metrics.count(MEASURING_MESSAGES, amount=MESSAGES_PER_LOAD_QUERY)
        self.metrics.count(MEASURING_BYTES, amount=BYTES_PER_LOAD_QUERY)
        return True

    def _record_reply(
        self, member: Member, reply: LoadReply, call: Call, now: float
    ) -> None:
        self.metrics.count(PROBES, 'answered')
        view = self.router.view_of(member.daemon_id)
        if reply.incarnation != member.incarnation or reply.estimate is None:
            view.avoid_until = now + AVOID_UNAVAILABLE_S
            return
        view.estimates[call.match.key] = ReceivedEstimate(reply.estimate, now)
        self.router.observe_load(member.daemon_id, reply.load, now)

    def _record_timeout(
        self, member: Member, probed_at: float, now: float
    ) -> None:
        self.metrics.count(PROBES, 'unanswered')
        if now - probed_at > STALL_THRESHOLD_S:
            return
        view = self.router.view_of(member.daemon_id)
        view.unresponsive_until = now + UNRESPONSIVE_S
        view.add_penalty(UNRESPONSIVE_PENALTY, now)
