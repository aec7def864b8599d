"""State of one call: daemons tried and results so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.connection.frames import AttemptResult, Refusal
from burdocklead.request.hedging import HedgeResult
from burdocklead.request.retries import ELSEWHERE_CAUSES, reached_upstream


@dataclass(slots=True)
class CallProgress:
    """Attempts of one call so far.

    Attributes:
        tried: Daemons that were chosen for an attempt.
        results: Results of the attempts, in order.
        reached: Attempts that may have reached an upstream, including those
            that were cancelled before their result.
    """

    tried: set[str] = field(default_factory=set)
    results: list[AttemptResult] = field(default_factory=list)
    reached: int = 0

    def next_attempt_number(self) -> int:
        """Return the number of the next attempt, from 1."""
        return len(self.tried) + 1

    def record(self, hedge_result: HedgeResult) -> None:
        """Record an attempt and its hedge, if any."""
        self.results.extend(hedge_result.results)
        self.reached += hedge_result.cancelled
        self.reached += sum(map(reached_upstream, hedge_result.results))

    def should_go_elsewhere(self) -> bool:
        """Return True if another upstream should be tried at once."""
        match self.results[-1]:
            case Refusal(cause=cause):
                return cause in ELSEWHERE_CAUSES
            case _:
                return False
