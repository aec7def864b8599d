"""When a call may be attempted again or hedged, without I/O."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from burdocklead.connection.frames import Answer, AttemptResult, Lost, Refusal
from burdocklead.request.call import Call, CallResult, outcome_of
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
    )
)
REACHED_CAUSES = frozenset((RefusalCause.upstream_refused,))
MIN_RETRY_AFTER_S = 0.05  # A queue changes little within less.
UNAVAILABLE_CAUSES = frozenset(
    (RefusalCause.no_upstream.value, RefusalCause.no_configuration.value)
)
UNAVAILABLE_RETRY_AFTER_S = (
    0.3  # A daemon that starts knows the others within 0.4 s.
)
MAX_RETRY_AFTER_SHARE = (
    1 / 3
)  # Callers wait no longer than this part of their time.
FINAL_CAUSES = frozenset((RefusalCause.crash_suspect,))


@dataclass(slots=True)
class RetryBudget:
    """Retries and hedges allowed as a share of first attempts.

    Attributes:
        ratio: Tokens earned by each first attempt.
        tokens: Retries and hedges that may be spent now.
    """

    ratio: float
    tokens: float = MAX_BUDGET_TOKENS

    def earn(self) -> None:
        """Earn a share of a retry by a first attempt."""
        self.tokens = min(self.tokens + self.ratio, MAX_BUDGET_TOKENS)

    def spend(self) -> bool:
        """Take one retry; return False if there is none."""
        if self.ratio <= 0 or self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(call: Call, result: AttemptResult) -> bool:
    """Return True if another attempt cannot run the call a second time."""
    match result:
        case Refusal(cause=cause):
            return cause not in FINAL_CAUSES
        case Lost():
            return call.match.route.idempotent
        case Answer(status=status) if status in RETRYABLE_STATUSES:
            service = call.match.service
            return call.match.route.idempotent and service.retry_server_errors
        case _:
            return False


def reached_upstream(result: AttemptResult) -> bool:
    """Return True if the attempt may have arrived at an upstream."""
    match result:
        case Refusal(cause=cause):
            return cause in REACHED_CAUSES
        case _:
            return True


def may_hedge(call: Call, reached: int) -> bool:
    """Return True if a second attempt may run beside one that starts.

    Args:
        call: The call.
        reached: Attempts before that may have arrived at an upstream.
    """
    if not call.match.route.idempotent:
        return False
    return reached + 2 <= call.match.service.max_attempts


def backoff_s(number: int, rng: random.Random) -> float:
    """Return the wait before an attempt in s, with full jitter.

    Args:
        number: Number of the attempt that failed, from 1.
        rng: Source of the jitter.
    """
    ceiling = min(BACKOFF_BASE_S * 2 ** (number - 1), BACKOFF_LIMIT_S)
    return rng.uniform(0, ceiling)


def jittered_retry_after_s(
    wait_s: float, left_s: float, rng: random.Random
) -> float:
    """Return when a refused caller should come back, in s.

    Returns are spread over twice the wait, so that they do not meet.

    Args:
        wait_s: Expected wait of a new call in s.
        left_s: Time that the caller has left in s.
        rng: Source of the spread.
    """
    wanted_s = max(wait_s, MIN_RETRY_AFTER_S) * rng.uniform(1, 2)
    return max(min(wanted_s, left_s * MAX_RETRY_AFTER_SHARE), 0)


def with_retry_after(
    call: Call, results: Sequence[AttemptResult], rng: random.Random
) -> CallResult:
    """Return the outcome of a call; a refusal tells when to come back."""
    result = outcome_of(results)
    if result.outcome is not Outcome.not_run:
        return result
    left_s = call.deadline - asyncio.get_running_loop().time()
    if result.cause in UNAVAILABLE_CAUSES:
        return replace(
            result,
            retry_after_s=jittered_retry_after_s(
                UNAVAILABLE_RETRY_AFTER_S, left_s, rng
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
    """Return how many attempts were refused for lack of room."""
    return sum(
        isinstance(one, Refusal) and one.cause in BUSY_CAUSES for one in results
    )
