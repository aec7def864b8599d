"""Choice of the upstream, queueing and hedge delay of each attempt."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from burdocklead.request.attempt_runner import Directory
from burdocklead.request.call import Call
from burdocklead.request.probing import ProbingSelector
from burdocklead.request.routing import CROSS_ZONE_MS, Router
from burdocklead.values import Member

MS_PER_S = 1000
# Share of the objective; a typical call takes up to half of its objective.
UNPROBED_CROSS_ZONE_GAIN_SHARE = 0.75
# Three of four calls finish within this multiple of the median.
HEDGE_RESERVE_FACTOR = 1.35
# Earlier hedges would use up the shared retry budget.
MIN_HEDGE_DELAY_FACTOR = 0.9
# All but the slowest tenth of the calls have finished by then.
MAX_HEDGE_DELAY_FACTOR = 1.2
# Two slow upstreams in a row are rare: a quarter is slow at any moment.
NO_QUEUE_ATTEMPTS = 2


@dataclass(slots=True)
class Placement:
    """Chooses upstreams for the attempts of an entry daemon.

    Attributes:
        directory: Upstreams that accept new work.
        router: Scores upstreams by their recorded state.
        selector: Probes upstreams before a call, None to choose by the
            recorded state alone.
    """

    directory: Directory
    router: Router
    selector: ProbingSelector | None = None

    async def choose(self, call: Call, tried: set[str]) -> Member | None:
        """Return the upstream for the next attempt, None if there is none."""
        candidates = self.directory.candidates(call.match.service_name)
        untried = candidates.without(tried)
        if self.selector is not None and self._probing_enabled():
            return await self.selector.choose(untried, call)
        now = asyncio.get_running_loop().time()
        return self.router.choose(
            untried, call.match.key, now, _cross_zone_ms(call)
        )

    def may_queue(self, call: Call, member: Member, number: int) -> bool:
        """Return False if an attempt should be refused rather than queued.

        With probing enabled, the first attempts in the daemon's zone move on
        to another upstream there instead of queueing. Later ones may queue,
        since all upstreams may be busy. A nested call always may, since it
        goes before new calls.
        """
        if call.nested:
            return True
        if not self._probing_enabled() or number > NO_QUEUE_ATTEMPTS:
            return True
        same_zone = self.directory.candidates(call.match.service_name).same_zone
        return member not in same_zone or len(same_zone) <= number

    def hedge_after_s(self, call: Call, member: Member) -> float | None:
        """Return the delay before a hedge in s, None for no hedge.

        A learned delay is close to the time in which the upstream answers
        most calls. Within that range, it leaves the hedge enough time to meet
        the objective.
        """
        service = call.match.service
        if service.hedge_after_ms:
            return service.hedge_after_ms / MS_PER_S
        now = asyncio.get_running_loop().time()
        route = call.match.key
        estimate = self.router.view_of(member.daemon_id).fresh_estimate(
            route, now
        )
        if estimate is None or not service.hedge_learned:
            return None
        median_s = self.router.median_latency_ms(route) / MS_PER_S
        tail_s = estimate.conservative_ms / MS_PER_S
        latest_delay_s = call.objective - now - median_s * HEDGE_RESERVE_FACTOR
        delay_s = min(
            max(latest_delay_s, tail_s * MIN_HEDGE_DELAY_FACTOR),
            tail_s * MAX_HEDGE_DELAY_FACTOR,
        )
        return delay_s if now + delay_s + median_s < call.deadline else None

    def _probing_enabled(self) -> bool:
        return (
            self.selector is not None
            and self.selector.limits().asked_upstreams > 0
        )


def _cross_zone_ms(call: Call) -> float:
    """Return the latency in ms that a remote zone must save.

    A call with an objective stays in its zone, where network traffic is free,
    as long as it is likely to meet the objective there.
    """
    return max(
        call.match.objective_ms * UNPROBED_CROSS_ZONE_GAIN_SHARE, CROSS_ZONE_MS
    )
