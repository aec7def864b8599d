"""Choice of an upstream by what the daemons beside a few tell just now.

An entry that sends few calls to many upstreams hears of each of them too
rarely to know its load, so it asks before it sends.
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
    CROSS_ZONE_MS,
    LEAVING_S,
    Candidates,
    Router,
)
from burdocklead.request.upstream_view import ToldEstimate
from burdocklead.values import Member
from burdocklead.version.deployment import Measuring

MS_PER_S = 1000
REPLY_LIMIT_S = 0.02  # Zones are 1.5 ms apart; a busy daemon takes some ms.
PAUSED_S = 0.1  # A process that stood still for so long missed the replies.
UNHEARD_S = 1.0
UNHEARD_WEIGHT = 2
MESSAGES = 2
MESSAGE_BYTES = 180  # Question and reply with the headers of their packets.
NEAR_SHARE = 0.7  # Of the time to the objective; a usual call varies by 30 %.
FAR_SHARE = 0.1  # Of the objective that a call must gain to leave the zone.
USUAL_FACTOR = 2


@dataclass(slots=True)
class LoadAsker:
    """Asks a few upstreams before a call and takes the best of them.

    Attributes:
        own_id: This daemon, which is asked without a message.
        router: Keeps what was told.
        socket: Carries questions and replies.
        limits: Returns the limits on measuring in force.
        metrics: Counts questions, messages and bytes.
        budget: Messages and bytes that may be spent.
    """

    own_id: str
    router: Router
    socket: LoadSocket
    limits: Callable[[], Measuring]
    metrics: MetricSet
    budget: MeasuringBudget = field(default_factory=MeasuringBudget)

    async def choose(self, candidates: Candidates, call: Call) -> Member | None:
        """Return the best of those asked, None without candidates.

        Upstreams of other availability zones are asked only if none of the
        own zone is likely to meet the objective.
        """
        loop = asyncio.get_running_loop()
        count = self.limits().asked_upstreams
        near = self._draw(candidates.local or candidates.members, count)
        await self._ask(near, call)
        best = self._best(near, call)
        if not candidates.local or self._is_good(best, call, loop.time()):
            return best
        others = [
            one for one in candidates.members if one.zone != self.router.zone
        ]
        far = self._draw(others, count)
        await self._ask(far, call)
        return self._best([*near, *far], call)

    def _draw(self, members: Sequence[Member], count: int) -> list[Member]:
        """Return a few members, those heard of lately if there are any."""
        now = asyncio.get_running_loop().time()
        heard = [
            one
            for one in members
            if self.router.view_of(one.daemon_id).unheard_until <= now
        ]
        return self.router.sample(heard or members, count)

    def _best(self, members: Sequence[Member], call: Call) -> Member | None:
        now = asyncio.get_running_loop().time()
        route = call.match.key
        usual_ms = self.router.usual_ms(route, call.match.route.cost_ms)
        far_ms = max(call.match.objective_ms * FAR_SHARE, CROSS_ZONE_MS)
        return min(
            members,
            key=lambda one: self.router.score(
                one, usual_ms, now, far_ms, route
            ),
            default=None,
        )

    def _is_good(self, member: Member | None, call: Call, now: float) -> bool:
        """Return True if a call is likely to meet its objective there."""
        if member is None:
            return False
        route = call.match.key
        usual_ms = self.router.usual_ms(route, call.match.route.cost_ms)
        expected_ms = self.router.score(member, usual_ms, now, 0, route)
        left_ms = ((call.objective or call.deadline) - now) * MS_PER_S
        return expected_ms <= max(left_ms * NEAR_SHARE, usual_ms * USUAL_FACTOR)

    async def _ask(self, members: Sequence[Member], call: Call) -> None:
        """Bring what is known of some upstreams up to date."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        self.budget.limits = self.limits()
        questions: dict[asyncio.Future[LoadReply], tuple[int, Member]] = {}
        for member in members:
            if self._needs_question(member, call, asked_at):
                number, reply = self.socket.ask(
                    member.link, call.match.key, call.match.route.cost_ms
                )
                questions[reply] = (number, member)
        if not questions:
            return
        await asyncio.wait(questions, timeout=REPLY_LIMIT_S)
        now = loop.time()
        for reply, (number, member) in questions.items():
            if reply.done():
                self._take(member, reply.result(), call, now)
            else:
                self.socket.forget(number)
                self._note_unheard(member, asked_at, now)

    def _needs_question(self, member: Member, call: Call, now: float) -> bool:
        view = self.router.view_of(member.daemon_id)
        route = call.match.key
        if member.daemon_id == self.own_id:
            source = self.socket.source
            estimate = source.estimate(route, call.match.route.cost_ms)
            if estimate is not None:
                view.told[route] = ToldEstimate(estimate, now)
            return False
        if view.fresh_estimate(route, now) is not None:
            return False
        if not self.budget.try_spend(MESSAGES, MESSAGE_BYTES, now):
            self.metrics.count(PROBES, 'over-budget')
            return False
        self.metrics.count(MEASURING_MESSAGES, amount=MESSAGES)
        self.metrics.count(MEASURING_BYTES, amount=MESSAGE_BYTES)
        return True

    def _take(
        self, member: Member, reply: LoadReply, call: Call, now: float
    ) -> None:
        self.metrics.count(PROBES, 'answered')
        view = self.router.view_of(member.daemon_id)
        if reply.incarnation != member.incarnation or reply.estimate is None:
            view.avoid_until = now + LEAVING_S
            return
        view.told[call.match.key] = ToldEstimate(reply.estimate, now)
        self.router.observe_load(member.daemon_id, reply.load, now)

    def _note_unheard(
        self, member: Member, asked_at: float, now: float
    ) -> None:
        self.metrics.count(PROBES, 'unanswered')
        if now - asked_at > PAUSED_S:
            return
        view = self.router.view_of(member.daemon_id)
        view.unheard_until = now + UNHEARD_S
        view.punish(UNHEARD_WEIGHT, now)
