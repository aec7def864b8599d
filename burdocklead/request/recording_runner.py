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
from burdocklead.request.attempt_runner import AttemptRunner
from burdocklead.request.call import Call
from burdocklead.values import Member, RefusalCause


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
        try:
            result = await AttemptRunner.run(self, call, member, attempt)
        except asyncio.CancelledError:
            kind = EventKind.attempt_given_up
            self._record(kind, member, attempt, 'cancelled')
            raise
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
