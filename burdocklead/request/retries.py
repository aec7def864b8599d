"""Rules for retries and hedges, and their budget per daemon, without I/O."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from burdocklead.connection.frames import Answer, AttemptResult, Lost, Refusal
from burdocklead.request.call import Call, CallResult, result_of_attempts
from burdocklead.values import Outcome, RefusalCause

MS_PER_S = 1000
MAX_BUDGET_TOKENS = 10.0
BACKOFF_BASE_S = 0.005
BACKOFF_LIMIT_S = 0.1
RETRYABLE_STATUSES = frozenset((500, 502, 503))
BUSY_CAUSES = frozenset(
    (
        RefusalCause.queue_full,
        RefusalCause.shed,
        RefusalCause.deadline,
        RefusalCause.overloaded,
        RefusalCause.upstream_refused,
        RefusalCause.not_at_once,
        RefusalCause.cold_upstream,
        RefusalCause.zone_evacuated,
    )
)
# The call goes to another upstream at once, without a backoff.
ELSEWHERE_CAUSES = frozenset(
    (
        RefusalCause.not_at_once,
        RefusalCause.cold_upstream,
        RefusalCause.zone_evacuated,
    )
)
REACHED_CAUSES = frozenset((RefusalCause.upstream_refused,))
MIN_RETRY_AFTER_S = 0.05  # Queues change little within a shorter time.
NOT_READY_CAUSES = frozenset(
    (
        RefusalCause.no_upstream.value,
        RefusalCause.no_configuration.value,
        RefusalCause.zone_evacuated.value,
    )
)
NOT_READY_RETRY_AFTER_S = 0.3  # A new daemon knows the others within 0.4 s.
MAX_RETRY_AFTER_SHARE = 1 / 3  # Of the time until the caller's deadline.
NON_RETRYABLE_CAUSES = frozenset(
    (RefusalCause.crash_suspect, RefusalCause.unknown_api_key)
)


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries and hedges to a share of the calls.

    Attributes:
        ratio: Tokens added by each first attempt.
        tokens: Retries and hedges that may be sent now.
    """

    ratio: float
    tokens: float = MAX_BUDGET_TOKENS

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(self.tokens + self.ratio, MAX_BUDGET_TOKENS)

    def spend(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self.ratio <= 0 or self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(call: Call, result: AttemptResult) -> bool:
    """Return True if a call may be sent again after a result.

    A call that is not idempotent is sent again only if it did not run.
    """
    match result:
        case Refusal(cause=cause):
            return cause not in NON_RETRYABLE_CAUSES
        case Lost():
            return call.match.route.idempotent
        case Answer(status=status) if status in RETRYABLE_STATUSES:
            service = call.match.service
            return call.match.route.idempotent and service.retry_server_errors
        case _:
            return False


def reached_upstream(result: AttemptResult) -> bool:
    """Return True if the attempt may have reached an upstream."""
    match result:
        case Refusal(cause=cause):
            return cause in REACHED_CAUSES
        case _:
            return True


def may_hedge(call: Call, reached: int) -> bool:
    """Return True if the attempt that starts now may be hedged.

    Args:
        call: The call.
        reached: Earlier attempts that may have reached an upstream.
    """
    if not call.match.route.idempotent:
        return False
    return reached + 2 <= call.match.service.max_attempts


def backoff_s(attempt_count: int, rng: random.Random) -> float:
    """Return the exponential backoff before a retry in s, with full jitter.

    Args:
        attempt_count: Attempts so far that count towards ``max_attempts``;
            0 if only daemons refused the call.
        rng: Source of the jitter.
    """
    ceiling = min(BACKOFF_BASE_S * 2 ** (attempt_count - 1), BACKOFF_LIMIT_S)
    return rng.uniform(0, ceiling)


def jittered_retry_after_s(
    wait_s: float, left_s: float, rng: random.Random
) -> float:
    """Return the time after which a refused caller should retry, in s.

    It is one to two times the expected wait, at random, so that refused
    callers do not all retry at once.

    Args:
        wait_s: Expected wait of a new call in s.
        left_s: Time until the caller's deadline in s.
        rng: Source of the jitter.
    """
    wanted_s = max(wait_s, MIN_RETRY_AFTER_S) * rng.uniform(1, 2)
    return max(min(wanted_s, left_s * MAX_RETRY_AFTER_SHARE), 0)


def with_retry_after(
    call: Call, results: Sequence[AttemptResult], rng: random.Random
) -> CallResult:
    """Return the outcome of a call, with a retry time if it did not run."""
    result = result_of_attempts(results)
    if result.outcome is not Outcome.not_run:
        return result
    if result.cause == RefusalCause.unknown_api_key.value:
        return result
    left_s = call.deadline - asyncio.get_running_loop().time()
    if result.cause in NOT_READY_CAUSES:
        return replace(
            result,
            retry_after_s=jittered_retry_after_s(
                NOT_READY_RETRY_AFTER_S, left_s, rng
            ),
        )
    waits_ms = [
        one.load.expected_wait_ms for one in results if isinstance(one, Refusal)
    ]
    wait_s = min(waits_ms, default=0) / MS_PER_S
    return replace(
        result, retry_after_s=jittered_retry_after_s(wait_s, left_s, rng)
    )


def count_busy_refusals(results: Iterable[AttemptResult]) -> int:
    """Return how many attempts were refused for lack of capacity."""
    return sum(
        isinstance(one, Refusal) and one.cause in BUSY_CAUSES for one in results
    )
