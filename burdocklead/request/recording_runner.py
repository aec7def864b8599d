"""Attempts of an entry daemon, recorded on the time line."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    Lost,
    Refusal,
)
from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import ATTEMPT_ENDED
from burdocklead.request.attempt_runner import AttemptRunner
from burdocklead.request.call import Call
from burdocklead.request.upstream_view import UpstreamView
from burdocklead.values import Member, RefusalCause

MS_PER_S = 1000
NEVER_MS = 1e6  # Shown for a load that was never reported.


@dataclass(frozen=True, slots=True)
class RecordingRunner(AttemptRunner):
    """Records each attempt sent, and how it ended unless it was answered.

    Attributes:
        events: Ring of the entry daemon.
    """

    events: EventRing

    async def run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        """Return the result of one attempt, resolved as far as possible."""
        kind = EventKind.attempt_sent
        if attempt.number > 1:
            kind = EventKind.attempt_retried
        self._record(kind, member, attempt, f'attempt {attempt.number}')
        loop = asyncio.get_running_loop()
        started = loop.time()
        view = self.router.view_of(member.daemon_id)
        told_age_ms = (started - view.load_at) * MS_PER_S
        try:
            result = await AttemptRunner.run(self, call, member, attempt)
        except asyncio.CancelledError:
            kind = EventKind.attempt_given_up
            self._record(kind, member, attempt, 'cancelled')
            raise
        ATTEMPT_ENDED.write(
            call=call.call_id,
            attempt=attempt.attempt_id,
            peer=member.daemon_id,
            zone=member.zone,
            service=attempt.service,
            told_ms=_told_ms(view, call.match.key),
            load_age_ms=round(min(told_age_ms, NEVER_MS), 1),
            in_flight=view.in_flight_count,
            elapsed_ms=round((loop.time() - started) * MS_PER_S, 1),
            outcome=type(result).__name__.lower(),
            cause=_cause_of(result),
        )
        match result:
            case Answer():
                return result
            case Refusal(_, cause):
                kind = EventKind.attempt_refused
                if cause is RefusalCause.fenced:
                    kind = EventKind.attempt_fenced
                self._record(kind, member, attempt, cause)
            case Lost(_, reason):
                kind = EventKind.attempt_lost
                self._record(kind, member, attempt, reason)
        return result

    def _record(
        self, kind: EventKind, member: Member, attempt: Attempt, detail: str
    ) -> None:
        self.events.record(
            kind,
            call_id=attempt.call_id,
            service=attempt.service,
            peer=member.daemon_id,
            detail=detail,
        )


def _told_ms(view: UpstreamView, route: str) -> float | None:
    """Return what the upstream's daemon told last, None if nothing."""
    told = view.estimates.get(route)
    return None if told is None else round(told.estimate.usual_ms, 1)


def _cause_of(result: AttemptResult) -> str:
    match result:
        case Answer(status=status):
            return str(status)
        case Refusal(cause=cause):
            return cause.value
        case Lost(reason=reason):
            return reason
