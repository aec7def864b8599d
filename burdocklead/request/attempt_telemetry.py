"""Log entries, events and metrics of attempts at a daemon's upstream."""

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
from burdocklead.log_events import ATTEMPT_ADMITTED, ATTEMPT_NOT_ANSWERED
from burdocklead.metrics import ATTEMPTS, QUEUE_SECONDS, MetricSet

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class AttemptTelemetry:
    """Emits log entries, events and metrics of the attempts at one upstream."""

    events: EventRing
    metrics: MetricSet

    def start(self, attempt: Attempt) -> None:
        """Record the arrival of an attempt."""
        self.events.record(
            EventKind.attempt_started,
            call_id=attempt.call_id,
            service=attempt.service,
            detail=f'{attempt.route} attempt {attempt.number}',
        )

    def admit(self, attempt: Attempt, waited_s: float, pace: float) -> None:
        """Record that an attempt got a slot.

        Args:
            attempt: The attempt.
            waited_s: Time in seconds that it waited for the slot.
            pace: Pace of the upstream at that time.
        """
        self.metrics.observe(QUEUE_SECONDS, waited_s)
        ATTEMPT_ADMITTED.write(
            call=attempt.call_id,
            attempt=attempt.attempt_id,
            service=attempt.service,
            route=attempt.route,
            rank=attempt.rank,
            waited_ms=round(waited_s * MS_PER_S, 1),
            pace=pace,
        )

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        label, detail = _describe(result)
        self.metrics.count(ATTEMPTS, label)
        if not isinstance(result, Answer):
            ATTEMPT_NOT_ANSWERED.write(
                call=attempt.call_id,
                attempt=attempt.attempt_id,
                service=attempt.service,
                route=attempt.route,
                outcome=label,
                cause=detail,
                running=result.load.busy,
                waiting=result.load.queued,
                slots=result.load.slots,
            )
        self.events.record(
            EventKind.attempt_finished,
            call_id=attempt.call_id,
            service=attempt.service,
            detail=detail,
        )


def _describe(result: AttemptResult) -> tuple[str, str]:
    match result:
        case Answer():
            return 'answered', f'answered {result.status}'
        case Refusal():
            return 'refused', f'refused {result.cause}'
        case Lost():
            return 'lost', f'lost: {result.reason}'
