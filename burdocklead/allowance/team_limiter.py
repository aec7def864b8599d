"""Admits the calls of teams at a daemon within their limits."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from burdocklead.allowance.borrower import (
    Admitted,
    AskHolder,
    Borrower,
    Decision,
    Refused,
)
from burdocklead.allowance.holder_link import HolderLink
from burdocklead.allowance.limits import (
    AllowanceRules,
    TeamLimit,
    team_limits,
)
from burdocklead.allowance.messages import GrantRequest, TeamDemand
from burdocklead.clock import boot_time_s
from burdocklead.exceptions import ControlError
from burdocklead.log_events import FALLBACK_ENTERED, FALLBACK_LEFT
from burdocklead.metrics import (
    FALLBACK_SECONDS,
    TEAM_CALLS_ADMITTED,
    TEAM_REFUSALS,
    MetricSet,
)
from burdocklead.request.call import Call, CallResult, not_run
from burdocklead.values import RefusalCause
from burdocklead.version.deployment import Deployment

MAX_REQUESTS = 2  # Calls that arrive meanwhile share the next request.
SEARCH_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.01
MS_PER_S = 1000
IDLE_CHECK_S = 0.5


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for a grant.

    Attributes:
        team: Name of its team.
        limit: Limit of the team when the call arrived.
        decided: Receives the decision.
    """

    team: str
    limit: TeamLimit
    decided: asyncio.Future[Decision]


class TeamLimiter:
    """Asks the lease holder for calls of teams that have a limit.

    Attributes:
        link: Sends requests to the lease holder.
        borrower: Grants and fallback share of this daemon.
        deployment: Returns the configuration in force.
        metrics: Counts admitted and refused calls.
        clock: Returns the boot time in s.
        limits: Limits of the teams by name.
        waiting: Calls that are not in a request yet.
        requests: Requests without a reply.
        sent_at: Boot time in s of the last request.
        maintained_at: Boot time in s of the last look at the fallback.
        fallback_logged: True if the last logged state is the fallback.
    """

    def __init__(
        self,
        identity: tuple[str, int],
        link: HolderLink,
        rules: AllowanceRules,
        deployment: Callable[[], Deployment | None],
        metrics: MetricSet,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create a limiter that has heard no lease holder.

        Args:
            identity: Name and incarnation of this daemon.
            link: Sends requests to the lease holder.
            rules: Tolerance of the limits and the times of the protocol.
            deployment: Returns the configuration in force.
            metrics: Counts admitted and refused calls.
            clock: Returns the boot time in s.
        """
        self.identity = identity
        self.link = link
        self.borrower = Borrower(rules)
        self.deployment = deployment
        self.metrics = metrics
        self.clock = clock
        self.known: Deployment | None = None
        self.limits: Mapping[str, TeamLimit] = {}
        self.waiting: list[WaitingCall] = []
        self.requests: set[asyncio.Task[None]] = set()
        self.sent_at = float('-inf')
        self.maintained_at = float('-inf')
        self.fallback_logged = False

    async def refusal(self, call: Call) -> CallResult | None:
        """Return the refusal of a call, None if it may run.

        An admitted call is counted, however many attempts it needs.
        """
        limit = self._use_limits().get(call.team) if call.team else None
        if limit is None:
            return None
        decision = self.borrower.decide(call.team, limit, self.clock())
        if isinstance(decision, AskHolder):
            decision = await self._ask(call, limit)
        if isinstance(decision, Refused):
            self.metrics.count(TEAM_REFUSALS, decision.reason.value)
            refused = not_run(RefusalCause.team_limit, decision.reason.value)
            return replace(refused, retry_after_s=decision.wait_s)
        by = 'share' if decision == Admitted(fallback=True) else 'grant'
        self.metrics.count(TEAM_CALLS_ADMITTED, by)
        return None

    async def run_forever(self) -> None:
        """Keep the session with the lease holder alive until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._maintain())
        finally:
            for task in self.requests:
                task.cancel()
            self.link.close()

    def _maintain(self) -> float:
        """Send a request if one is due; return the time in s to the next."""
        if not self._use_limits():
            return IDLE_CHECK_S
        now = self.clock()
        self._observe_fallback(now)
        rules = self.borrower.rules
        silent = now - self.borrower.replied_at > 2 * rules.keepalive_s
        interval_s = SEARCH_INTERVAL_S if silent else rules.keepalive_s
        if now - self.sent_at >= interval_s:
            self._send()
        elif self.waiting:
            self._flush()
        return SEARCH_INTERVAL_S

    def _observe_fallback(self, now: float) -> None:
        """Log and count the time in fallback."""
        elapsed_s = max(now - self.maintained_at, 0)
        self.maintained_at = now
        is_active = self.borrower.in_fallback(now)
        if is_active:
            self.metrics.count(FALLBACK_SECONDS, amount=elapsed_s)
        if is_active == self.fallback_logged:
            return
        self.fallback_logged = is_active
        if is_active:
            FALLBACK_ENTERED.write(share=round(self.borrower.share, 6))
        else:
            FALLBACK_LEFT.write(peer=self.link.name)

    async def _ask(self, call: Call, limit: TeamLimit) -> Decision:
        """Wait for the decision of the lease holder for a limited time."""
        loop = asyncio.get_running_loop()
        waiting = WaitingCall(call.team, limit, loop.create_future())
        self.waiting.append(waiting)
        loop.call_soon(self._flush)
        wait_s = min(
            self.borrower.rules.grant_wait_s, call.deadline - loop.time()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(wait_s, 0)):
                return await waiting.decided
        return self.borrower.decide_unanswered(call.team, limit, self.clock())

    def _use_limits(self) -> Mapping[str, TeamLimit]:
        """Return the limits of the configuration in force."""
        deployment = self.deployment()
        if deployment is not self.known:
            self.known = deployment
            had_limits = bool(self.limits)
            self.limits = team_limits(deployment)
            if not had_limits:
                # There was no need to hear the lease holder before.
                self.borrower.replied_at = self.clock()
                self.maintained_at = self.clock()
            self.borrower.forget(frozenset(self.limits))
        return self.limits

    def _flush(self) -> None:
        """Send the calls that wait, unless enough requests are on the way."""
        self.waiting = [one for one in self.waiting if not one.decided.done()]
        if self.waiting and len(self.requests) < MAX_REQUESTS:
            self._send()

    def _send(self) -> None:
        """Start a request for all calls that wait."""
        if len(self.requests) > MAX_REQUESTS:
            return
        batch = [one for one in self.waiting if not one.decided.done()]
        self.waiting = []
        self.sent_at = self.clock()
        task = asyncio.create_task(self._exchange(batch, self.sent_at))
        self.requests.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self.requests.discard(task)
        if self.waiting:
            self._flush()

    async def _exchange(self, batch: list[WaitingCall], sent_at: float) -> None:
        demand = Counter(one.team for one in batch)
        daemon_id, incarnation = self.identity
        message = GrantRequest(
            daemon_id=daemon_id,
            incarnation=incarnation,
            term=self.borrower.term,
            heard=self.borrower.heard,
            version=self.known.version if self.known else 0,
            demand=tuple(TeamDemand(*pair) for pair in demand.items()),
        )
        try:
            reply = await self.link.request(message)
        except ControlError:
            # Calls that still wait are part of the next request.
            await asyncio.sleep(RETRY_DELAY_S)
            self.waiting.extend(batch)
            return
        is_new_term = reply.term > self.borrower.term
        self.borrower.apply(reply, sent_at, self.clock())
        self._decide_all(batch)
        if is_new_term:
            # Until it is confirmed, the holder reserves this daemon's share.
            self.sent_at = float('-inf')

    def _decide_all(self, batch: list[WaitingCall]) -> None:
        """Decide on the calls of a request after its reply."""
        for waiting in batch:
            if waiting.decided.done():
                continue
            decision = self.borrower.decide_unanswered(
                waiting.team, waiting.limit, self.clock()
            )
            waiting.decided.set_result(decision)
