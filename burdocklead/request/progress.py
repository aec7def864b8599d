"""How far one call is: where it went and what came of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.connection.frames import AttemptResult, Refusal
from burdocklead.request.hedging import HedgeResult
from burdocklead.request.retries import reached_upstream
from burdocklead.values import RefusalCause


@dataclass(slots=True)
class CallProgress:
    """Attempts of one call so far.

    Attributes:
        tried: Daemons that were asked to run it.
        results: Results of the attempts, the last one last.
        reached: Attempts that may have arrived at an upstream, with those
            that were cancelled before their result.
    """

    tried: set[str] = field(default_factory=set)
    results: list[AttemptResult] = field(default_factory=list)
    reached: int = 0

    def next_attempt_number(self) -> int:
        """Return the number of the next attempt, from 1."""
        return len(self.tried) + 1

    def record(self, hedge_result: HedgeResult) -> None:
        """Take note of an attempt and its hedge, if it had one."""
        self.results.extend(hedge_result.results)
        self.reached += hedge_result.cancelled
        self.reached += sum(map(reached_upstream, hedge_result.results))

    def last_refused_not_at_once(self) -> bool:
        """Return True if the last attempt was refused as it would wait."""
        match self.results[-1]:
            case Refusal(cause=RefusalCause.not_at_once):
                return True
            case _:
                return False
