"""Carrying a call to an upstream: choice, attempts, outcome."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdocklead.connection.frames import Attempt, AttemptResult, Lost
from burdocklead.metrics import HEDGES, RETRIES, MetricSet
from burdocklead.request.attempt_runner import AttemptRunner, Directory
from burdocklead.request.block_list import Standing, fingerprint_of
from burdocklead.request.call import Call, CallResult, not_run, outcome_of
from burdocklead.request.crash_guard import CrashGuard
from burdocklead.request.hedging import HedgeResult, run_hedged
from burdocklead.request.placement import Placement
from burdocklead.request.progress import CallProgress
from burdocklead.request.retries import (
    RetryBudget,
    backoff_s,
    count_busy,
    may_hedge,
    may_repeat,
    reached_upstream,
    with_return_time,
)
from burdocklead.request.shared_budget import SharedRetryBudget
from burdocklead.values import Member, RefusalCause

MS_PER_S = 1000
MAX_PLACES = 8  # Daemons asked for one call, those that refused included.


@dataclass(slots=True)
class Dispatcher:
    """Carries calls of this entry daemon to upstreams.

    Attributes:
        prefix: Start of all attempt ids of this process.
        directory: Upstreams and links.
        runner: Carries one attempt to its result.
        placement: Chooses the upstream.
        rng: Source of jitter.
        metrics: Counts retries and hedges.
        guard: Knows requests that crash upstreams, None without it.
        budgets: Retry budgets by service.
        shared_budget: Repeats at upstreams that all daemons together may
            send, None if only ``budgets`` bound them.
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
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def new_id(self) -> str:
        """Return an id that no other process or call uses."""
        return f'{self.prefix}.{next(self.numbers):x}'

    async def choose(self, call: Call, tried: set[str]) -> Member | None:
        """Return the upstream for the next attempt, None if there is none."""
        place = self._trial_place(call)
        if place is not None and place.daemon_id not in tried:
            return place
        return await self.placement.choose(call, tried)

    async def run(self, call: Call) -> CallResult:
        """Return the result of a call without a key."""
        if self._is_blocked(call):
            return not_run(RefusalCause.crash_suspect)
        self._earn(call)
        progress = CallProgress()
        while True:
            member = await self.choose(call, progress.tried)
            if member is None:
                return with_return_time(call, progress.results, self.rng)
            progress.record(await self._run_or_hedge(call, member, progress))
            if self._crashed_enough(call, progress.results):
                return outcome_of(progress.results)
            if not await self._try_again(call, progress):
                return with_return_time(call, progress.results, self.rng)

    async def _run_or_hedge(
        self, call: Call, member: Member, progress: CallProgress
    ) -> HedgeResult:
        """Return the results of an attempt and of its hedge, if any."""
        first = self._attempt(call, member, progress)
        after_s = self.placement.hedge_after_s(call, member)
        if after_s is None or not may_hedge(call, progress.reached):
            return HedgeResult((await first,))

        async def start_hedge() -> Coroutine[Any, Any, AttemptResult] | None:
            other = await self.choose(call, progress.tried)
            if other is None or other.daemon_id in progress.tried:
                return None
            if not self._spend(call, reached=True):
                self.metrics.count(HEDGES, 'over-budget')
                return None
            return self._attempt(call, other, progress, hedge=True)

        found = await run_hedged(first, start_hedge, after_s)
        if found.hedged:
            self.metrics.count(HEDGES, 'started')
            self.metrics.count(HEDGES, 'cancelled', amount=found.cancelled)
        return found

    def _is_blocked(self, call: Call) -> bool:
        if self.guard is None or not self.guard.block_list.reports:
            return False
        return self.guard.standing(_fingerprint(call)) is Standing.blocked

    def _trial_place(self, call: Call) -> Member | None:
        if self.guard is None or not self.guard.block_list.reports:
            return None
        service = call.match.service_name
        return self.guard.trial_place(service, _fingerprint(call))

    def _crashed_enough(self, call: Call, results: list[AttemptResult]) -> bool:
        """Return True if enough crashes of upstreams are laid on a call.

        An attempt beside the one that crashed its upstream is lost as well,
        but is not to blame.
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
        """Note an attempt and return what carries it to its result.

        A hedge never waits for a slot: it would take one from a call that
        runs nowhere yet.
        """
        number = progress.next_number()
        progress.tried.add(member.daemon_id)
        attempt = self.attempt_of(call, member, self.new_id(), number)
        if hedge:
            attempt = msgspec.structs.replace(attempt, may_queue=False)
        return self.runner.run(call, member, attempt)

    async def _try_again(self, call: Call, progress: CallProgress) -> bool:
        """Return True after the backoff if the call may be attempted again.

        Only attempts that may have arrived at an upstream count as attempts;
        daemons that refused are not counted.
        """
        members = self.directory.candidates(call.match.service_name).members
        busy = count_busy(progress.results)
        if progress.next_number() > MAX_PLACES or busy >= len(members):
            return False
        if progress.has_bounced():
            return progress.reached < call.match.service.max_attempts
        return await self.repeat_allowed(
            call, progress.results[-1], progress.reached
        )

    def _earn(self, call: Call) -> None:
        self.budget_of(call).earn()
        if self.shared_budget is not None:
            self.shared_budget.earn(call.match.service_name)

    def _spend(self, call: Call, *, reached: bool) -> bool:
        if self.shared_budget is not None and reached:
            return self.shared_budget.spend(call.match.service_name)
        return self.budget_of(call).spend()

    async def repeat_allowed(
        self, call: Call, result: AttemptResult, number: int
    ) -> bool:
        """Return True after the backoff if the call may be attempted again."""
        service = call.match.service
        if not may_repeat(call, result) or number >= service.max_attempts:
            return False
        loop = asyncio.get_running_loop()
        pause = backoff_s(number, self.rng)
        if loop.time() + pause >= call.deadline:
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
        """Return the frame of an attempt at an upstream."""
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
            objective_ms=_left_ms(call.objective, now),
            may_queue=self.placement.is_patient(call, member, number),
        )


def _left_ms(objective: float, now: float) -> float | None:
    return (objective - now) * MS_PER_S if objective else None


def _fingerprint(call: Call) -> str:
    rules = call.match
    return fingerprint_of(
        rules.service_name, call.method, rules.path, call.body
    )
