"""Dispatch of calls: choice of an upstream, retries and hedged attempts."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    Lost,
    Refusal,
)
from burdocklead.metrics import HEDGES, RETRIES, MetricSet
from burdocklead.request.attempt_runner import AttemptRunner, Directory
from burdocklead.request.block_list import SuspectState, fingerprint_of
from burdocklead.request.call import (
    Call,
    CallResult,
    not_run,
    result_after_revocation,
    result_of_attempts,
)
from burdocklead.request.crash_guard import CrashGuard
from burdocklead.request.hedging import HedgeResult, run_hedged
from burdocklead.request.placement import Placement
from burdocklead.request.progress import CallProgress
from burdocklead.request.retries import (
    RetryBudget,
    backoff_s,
    count_busy_refusals,
    may_hedge,
    may_retry,
    reached_upstream,
    with_retry_after,
)
from burdocklead.request.shared_budget import SharedRetryBudget
from burdocklead.request.work_limit import WorkLimit
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import LoadReport, Member, RefusalCause

MS_PER_S = 1000
MAX_TRIED_DAEMONS = 8  # Includes daemons that refused the call.


@dataclass(slots=True)
class Dispatcher:
    """Dispatches the calls that this daemon receives to upstreams.

    Attributes:
        prefix: Prefix of all IDs that this process generates.
        directory: Upstreams of each service.
        runner: Runs one attempt.
        placement: Chooses the upstream.
        rng: Source of jitter.
        metrics: Counts retries and hedges.
        guard: Blocks requests that crash upstreams, None if disabled.
        budgets: Retry budgets of this daemon by service.
        shared_budget: This daemon's part of the cluster-wide budget for
            hedges and for retries of attempts that may have reached an
            upstream, None if only ``budgets`` limits them.
        work_limit: End of all calls while this daemon stops.
        numbers: Source of the numbers in new IDs.
        keys: API keys of the configuration in force.
    """

    prefix: str
    directory: Directory
    runner: AttemptRunner
    placement: Placement
    rng: random.Random
    metrics: MetricSet = field(default_factory=MetricSet)
    guard: CrashGuard | None = None
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    shared_budget: SharedRetryBudget | None = None
    work_limit: WorkLimit = field(default_factory=WorkLimit)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    keys: CurrentKeys = field(default_factory=CurrentKeys)

    def new_id(self) -> str:
        """Return an ID that is unique over all processes."""
        return f'{self.prefix}.{next(self.numbers):x}'

    async def choose(self, call: Call, tried: set[str]) -> Member | None:
        """Return the upstream for the next attempt, None if there is none."""
        member = self._trial_member(call)
        if member is not None and member.daemon_id not in tried:
            return member
        return await self.placement.choose(call, tried)

    async def run(self, call: Call) -> CallResult:
        """Run a call without an idempotency key and return its result."""
        if self._is_blocked(call):
            return not_run(RefusalCause.crash_suspect)
        self.earn(call)
        progress = CallProgress()
        while True:
            member = await self.choose(call, progress.tried)
            if self.keys.is_revoked(call.key_proof):
                return result_after_revocation(progress.results)
            if member is None:
                results = progress.results or self._why_unplaced(call)
                return with_retry_after(call, results, self.rng)
            progress.record(await self._run_or_hedge(call, member, progress))
            if self._is_blocked_after_crash(call, progress.results):
                return result_of_attempts(progress.results)
            if not await self._wait_for_next_attempt(call, progress):
                return with_retry_after(call, progress.results, self.rng)

    def _why_unplaced(self, call: Call) -> list[AttemptResult]:
        """Return a refusal if all upstreams are in evacuated zones."""
        name = call.match.service_name
        if not self.directory.candidates(name).evacuated:
            return []
        load = LoadReport(0, 0, 0)
        return [Refusal('', RefusalCause.zone_evacuated, load)]

    async def _run_or_hedge(
        self, call: Call, member: Member, progress: CallProgress
    ) -> HedgeResult:
        """Run an attempt, with a hedge if it is slow; return the results."""
        first = self._attempt(call, member, progress)
        after_s = self.placement.hedge_after_s(call, member)
        if after_s is None or not may_hedge(call, progress.reached):
            return HedgeResult((await first,))

        async def start_hedge() -> Coroutine[Any, Any, AttemptResult] | None:
            other = await self.choose(call, progress.tried)
            if other is None or other.daemon_id in progress.tried:
                return None
            if self.keys.is_revoked(call.key_proof):
                return None
            if not self._spend(call, reached=True):
                self.metrics.count(HEDGES, 'over-budget')
                return None
            return self._attempt(call, other, progress, hedge=True)

        result = await run_hedged(first, start_hedge, after_s)
        if result.hedged:
            self.metrics.count(HEDGES, 'started')
            self.metrics.count(HEDGES, 'cancelled', amount=result.cancelled)
        return result

    def _is_blocked(self, call: Call) -> bool:
        if self.guard is None or not self.guard.block_list.reports:
            return False
        return self.guard.state_of(_fingerprint(call)) is SuspectState.blocked

    def _trial_member(self, call: Call) -> Member | None:
        if self.guard is None or not self.guard.block_list.reports:
            return None
        service = call.match.service_name
        return self.guard.trial_member(service, _fingerprint(call))

    def _is_blocked_after_crash(
        self, call: Call, results: list[AttemptResult]
    ) -> bool:
        """Return True if the call is blocked after a crash in its results.

        An attempt that ran next to a suspect that crashed the upstream is
        lost as well, but carries no crash report.
        """
        if self.guard is None:
            return False
        crashed = [
            one
            for one in results
            if isinstance(one, Lost) and one.crash_suspected
        ]
        for lost in crashed:
            self.guard.merge(lost.crashes)
        return bool(crashed) and self._is_blocked(call)

    def _attempt(
        self,
        call: Call,
        member: Member,
        progress: CallProgress,
        *,
        hedge: bool = False,
    ) -> Coroutine[Any, Any, AttemptResult]:
        """Record a new attempt and return the coroutine that runs it.

        A hedge never waits for a slot: it would take the slot from a call
        that is not running anywhere yet.
        """
        number = progress.next_attempt_number()
        progress.tried.add(member.daemon_id)
        attempt = self.attempt_of(call, member, self.new_id(), number)
        if hedge:
            attempt = msgspec.structs.replace(attempt, may_queue=False)
        return self.runner.run(call, member, attempt)

    async def _wait_for_next_attempt(
        self, call: Call, progress: CallProgress
    ) -> bool:
        """Wait as needed; return False if no attempt may follow.

        Only attempts that may have reached an upstream count towards the
        service's ``max_attempts``; refusals by daemons do not.
        """
        members = self.directory.candidates(call.match.service_name).members
        busy = count_busy_refusals(progress.results)
        if progress.next_attempt_number() > MAX_TRIED_DAEMONS or busy >= len(
            members
        ):
            return False
        if progress.should_go_elsewhere():
            return progress.reached < call.match.service.max_attempts
        return await self.wait_for_retry(
            call, progress.results[-1], progress.reached
        )

    def _spend(self, call: Call, *, reached: bool) -> bool:
        if self.shared_budget is not None and reached:
            return self.shared_budget.spend(call.match.service_name)
        return self.budget_of(call).spend()

    def earn(self, call: Call) -> None:
        """Add the first attempt of a call to the budgets for retries."""
        self.budget_of(call).earn()
        if self.shared_budget is not None:
            self.shared_budget.earn(call.match.service_name)

    async def wait_for_retry(
        self, call: Call, result: AttemptResult, attempt_count: int
    ) -> bool:
        """Wait for the backoff; return False if no retry may be sent.

        Args:
            call: The call.
            result: Result of its last attempt.
            attempt_count: Attempts so far that count towards the service's
                ``max_attempts``.
        """
        service = call.match.service
        if not may_retry(call, result) or attempt_count >= service.max_attempts:
            return False
        loop = asyncio.get_running_loop()
        pause = backoff_s(attempt_count, self.rng)
        if loop.time() + pause >= min(call.deadline, self.work_limit.ends_at):
            return False
        if not self._spend(call, reached=reached_upstream(result)):
            self.metrics.count(RETRIES, 'over-budget')
            return False
        self.metrics.count(RETRIES, 'started')
        await asyncio.sleep(pause)
        return True

    def budget_of(self, call: Call) -> RetryBudget:
        """Return the retry budget of the call's service."""
        name = call.match.service_name
        ratio = call.match.service.retry_ratio
        budget = self.budgets.get(name)
        if budget is None or budget.ratio != ratio:
            budget = RetryBudget(ratio)
            self.budgets[name] = budget
        return budget

    def attempt_of(
        self, call: Call, member: Member, attempt_id: str, number: int
    ) -> Attempt:
        """Return the frame that asks a daemon to run an attempt."""
        now = asyncio.get_running_loop().time()
        rules = call.match
        return Attempt(
            attempt_id=attempt_id,
            call_id=call.call_id,
            incarnation=member.incarnation,
            service=rules.service_name,
            route=rules.route.name,
            method=call.method,
            path=rules.path,
            headers=call.headers,
            body=call.body,
            remaining_ms=max((call.deadline - now) * MS_PER_S, 0),
            idempotent=rules.route.idempotent,
            rank=rules.rank,
            cost_ms=rules.route.cost_ms,
            number=number,
            queue_limit=rules.service.queue_limit,
            objective_ms=_remaining_ms(call.objective, now),
            may_queue=self.placement.may_queue(call, member, number),
            team=call.team,
            nested=call.nested,
            key_proof=call.key_proof,
        )


def _remaining_ms(objective: float, now: float) -> float | None:
    return (objective - now) * MS_PER_S if objective else None


def _fingerprint(call: Call) -> str:
    rules = call.match
    return fingerprint_of(
        rules.service_name, call.method, rules.path, call.body
    )
