"""Carrying a call to an upstream: choice, attempts, outcome."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from burdocklead.connection.frames import Attempt, AttemptResult
from burdocklead.request.attempt_runner import AttemptRunner, Directory
from burdocklead.request.call import Call, CallResult, outcome_of
from burdocklead.request.retries import RetryBudget, backoff_s, may_repeat
from burdocklead.request.routing import Router
from burdocklead.values import Member

MS_PER_S = 1000


@dataclass(slots=True)
class Dispatcher:
    """Carries calls of this entry daemon to upstreams.

    Attributes:
        prefix: Start of all attempt ids of this process.
        directory: Upstreams and links.
        runner: Carries one attempt to its result.
        router: Chooses the upstream.
        rng: Source of jitter.
        budgets: Retry budgets by service.
    """

    prefix: str
    directory: Directory
    runner: AttemptRunner
    router: Router
    rng: random.Random
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def new_id(self) -> str:
        """Return an id that no other process or call uses."""
        return f'{self.prefix}.{next(self.numbers):x}'

    def choose(self, call: Call, tried: set[str]) -> Member | None:
        """Return the upstream for the next attempt, None if there is none."""
        candidates = self.directory.candidates(call.match.service_name)
        now = asyncio.get_running_loop().time()
        return self.router.choose(
            candidates.without(tried), call.match.key, now
        )

    async def run(self, call: Call) -> CallResult:
        """Return the result of a call without a key."""
        self.budget_of(call).earn()
        tried: set[str] = set()
        results: list[AttemptResult] = []
        for number in itertools.count(1):
            member = self.choose(call, tried)
            if member is None:
                return outcome_of(results)
            attempt = self.attempt_of(call, member, self.new_id(), number)
            result = await self.runner.run(call, member, attempt)
            results.append(result)
            if not await self.repeat_allowed(call, result, number):
                return outcome_of(results)
            tried.add(member.daemon_id)
        raise AssertionError('unreachable')

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
        if not self.budget_of(call).spend():
            return False
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
            priority=rules.route.priority,
            cost_ms=rules.route.cost_ms,
            number=number,
            queue_limit=rules.service.queue_limit,
        )
