"""When a call may be attempted again, without I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass

from burdocklead.connection.frames import AttemptResult, Lost, Refusal
from burdocklead.request.call import Call

BUDGET_LIMIT = 10.0
BACKOFF_BASE_S = 0.005
BACKOFF_LIMIT_S = 0.1


@dataclass(slots=True)
class RetryBudget:
    """Retries allowed as a share of first attempts.

    Attributes:
        ratio: Retries earned by each first attempt.
        tokens: Retries that may be spent now.
    """

    ratio: float
    tokens: float = BUDGET_LIMIT

    def earn(self) -> None:
        """Earn a share of a retry by a first attempt."""
        self.tokens = min(self.tokens + self.ratio, BUDGET_LIMIT)

    def spend(self) -> bool:
        """Take one retry; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_repeat(call: Call, result: AttemptResult) -> bool:
    """Return True if another attempt cannot run the call a second time."""
    match result:
        case Refusal():
            return True
        case Lost():
            return call.match.route.idempotent
        case _:
            return False


def backoff_s(number: int, rng: random.Random) -> float:
    """Return the wait before an attempt in s, with full jitter.

    Args:
        number: Number of the attempt that failed, from 1.
        rng: Source of the jitter.
    """
    ceiling = min(BACKOFF_BASE_S * 2 ** (number - 1), BACKOFF_LIMIT_S)
    return rng.uniform(0, ceiling)
