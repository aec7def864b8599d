"""Attempts known to the daemon beside an upstream, without I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from burdocklead.connection.frames import AttemptResult, AttemptState

REMEMBERED_ATTEMPTS = 10_000


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """What is known of one attempt.

    Attributes:
        state: ``never_seen`` means that the attempt was fenced.
        result: The result once done.
    """

    state: AttemptState
    result: AttemptResult | None = None


@dataclass(slots=True)
class AttemptTable:
    """Runs each attempt at most once and refuses fenced ones.

    Attributes:
        limit: Finished and fenced attempts that are remembered.
        records: Records by attempt, oldest first.
    """

    limit: int = REMEMBERED_ATTEMPTS
    records: OrderedDict[str, AttemptRecord] = field(
        default_factory=OrderedDict
    )

    def begin(self, attempt_id: str) -> AttemptRecord | None:
        """Note an attempt; return its record if it was known before."""
        known = self.records.get(attempt_id)
        if known is None:
            self.records[attempt_id] = AttemptRecord(AttemptState.running)
        return known

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Note the result of an attempt."""
        self.records[attempt_id] = AttemptRecord(AttemptState.done, result)
        self.records.move_to_end(attempt_id)
        self._forget_oldest()

    def query(self, attempt_id: str) -> AttemptRecord:
        """Return the record of an attempt; fence it if it was never seen."""
        known = self.records.get(attempt_id)
        if known is None:
            known = AttemptRecord(AttemptState.never_seen)
            self.records[attempt_id] = known
        return known

    def _forget_oldest(self) -> None:
        while len(self.records) > self.limit:
            attempt_id, record = self.records.popitem(last=False)
            if record.state is AttemptState.running:
                self.records[attempt_id] = record
                return
