"""What the daemon beside an upstream records of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    Lost,
    Refusal,
)
from burdocklead.events import EventKind, EventRing
from burdocklead.metrics import ATTEMPTS, QUEUE_SECONDS, MetricSet


@dataclass(frozen=True, slots=True)
class AttemptJournal:
    """Events and metrics of the attempts at one upstream."""

    events: EventRing
    metrics: MetricSet

    def start(self, attempt: Attempt) -> None:
        """Record that an attempt arrived."""
        self.events.record(
            EventKind.attempt_started,
            call_id=attempt.call_id,
            service=attempt.service,
            detail=f'{attempt.route} attempt {attempt.number}',
        )

    def admit(self, waited_s: float) -> None:
        """Record the time that an attempt waited for its slot."""
        self.metrics.observe(QUEUE_SECONDS, waited_s)

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        label, detail = _described(result)
        self.metrics.count(ATTEMPTS, label)
        self.events.record(
            EventKind.attempt_finished,
            call_id=attempt.call_id,
            service=attempt.service,
            detail=detail,
        )


def _described(result: AttemptResult) -> tuple[str, str]:
    match result:
        case Answer():
            return 'answered', f'answered {result.status}'
        case Refusal():
            return 'refused', f'refused {result.cause}'
        case Lost():
            return 'lost', f'lost: {result.reason}'
