"""Records the attempts of an entry daemon in its event ring and log."""

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
MAX_LOAD_AGE_MS = 1e6  # Logged if no load was ever reported.


@dataclass(frozen=True, slots=True)
class RecordingRunner(AttemptRunner):
    """Runs attempts and records when they are sent and how they end.

    The end of an answered attempt is only logged, not recorded as an event.

    Attributes:
        events: Event ring of the entry daemon.
    """

    events: EventRing

    async def run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        """Run one attempt, record it, and return its result."""
        kind = EventKind.attempt_sent
        if attempt.number > 1:
            kind = EventKind.attempt_retried
        self._record(kind, member, attempt, f'attempt {attempt.number}')
        loop = asyncio.get_running_loop()
        started = loop.time()
        view = self.router.view_of(member.daemon_id)
        load_age_ms = (started - view.load_at) * MS_PER_S
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
            told_ms=_reported_ms(view, call.match.key),
            load_age_ms=round(min(load_age_ms, MAX_LOAD_AGE_MS), 1),
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


def _reported_ms(view: UpstreamView, route: str) -> float | None:
    """Return the last reported estimate for a route, None without one."""
    reported = view.estimates.get(route)
    return None if reported is None else round(reported.estimate.expected_ms, 1)


def _cause_of(result: AttemptResult) -> str:
    match result:
        case Answer(status=status):
            return str(status)
        case Refusal(cause=cause):
            return cause.value
        case Lost(reason=reason):
            return reason
