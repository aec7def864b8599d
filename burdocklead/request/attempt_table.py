"""Attempts known to the daemon beside an upstream, without I/O.

An attempt id ends with a number that grows within one entry process. When a
record is evicted, its number becomes the low-water mark of that process: an
unknown attempt at or below the mark is forgotten, neither run nor vouched
for.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from burdocklead.connection.frames import Answer, AttemptResult, AttemptState

REMEMBERED_ATTEMPTS = 10_000
REMEMBERED_BYTES = 16 * 1024 * 1024
MAX_ENTRY_PROCESSES = 4096
RECORD_OVERHEAD_BYTES = 300
HEXADECIMAL = 16


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """What is known of one attempt.

    Attributes:
        state: ``never_seen`` means that the attempt was fenced.
        result: The result once done.
    """

    state: AttemptState
    result: AttemptResult | None = None

    def size(self) -> int:
        """Return the memory that the record takes, roughly, in bytes."""
        body = self.result.body if isinstance(self.result, Answer) else b''
        return RECORD_OVERHEAD_BYTES + len(body)


@dataclass(frozen=True, slots=True)
class AttemptIdParts:
    """The parts of an attempt id.

    Attributes:
        entry_id: Daemon that made the attempt.
        incarnation: Incarnation of that daemon.
        number: Grows with each attempt of that incarnation.
    """

    entry_id: str
    incarnation: int
    number: int


def parse_attempt_id(attempt_id: str) -> AttemptIdParts:
    """Return the parts of an attempt id; ids of no form have number 0."""
    entry, _, number = attempt_id.rpartition('.')
    entry_id, _, incarnation = entry.rpartition('.')
    try:
        return AttemptIdParts(
            entry_id, int(incarnation, HEXADECIMAL), int(number, HEXADECIMAL)
        )
    except ValueError:
        return AttemptIdParts(attempt_id, 0, 0)


@dataclass(slots=True)
class LowWaterMarks:
    """Highest evicted attempt number of each entry process.

    Attributes:
        limit: Entry processes that are told apart.
        highest_evicted: Marks by entry and incarnation, least recent first.
        retired: By entry, the highest incarnation whose mark was dropped;
            all attempts up to it count as forgotten.
    """

    limit: int = MAX_ENTRY_PROCESSES
    highest_evicted: OrderedDict[tuple[str, int], int] = field(
        default_factory=OrderedDict
    )
    retired: dict[str, int] = field(default_factory=dict)

    def note_eviction(self, name: AttemptIdParts) -> None:
        """Note that the record of an attempt was evicted."""
        process = (name.entry_id, name.incarnation)
        self.highest_evicted[process] = max(
            self.highest_evicted.get(process, 0), name.number
        )
        self.highest_evicted.move_to_end(process)
        while len(self.highest_evicted) > self.limit:
            entry_id, incarnation = self.highest_evicted.popitem(last=False)[0]
            earlier = self.retired.get(entry_id, 0)
            self.retired[entry_id] = max(earlier, incarnation)

    def covers(self, name: AttemptIdParts) -> bool:
        """Return True if an attempt may be one that was evicted."""
        mark = self.highest_evicted.get((name.entry_id, name.incarnation))
        if mark is not None:
            return name.number <= mark
        return name.incarnation <= self.retired.get(name.entry_id, -1)


@dataclass(slots=True)
class AttemptTable:
    """Runs each attempt at most once and refuses fenced ones.

    Attributes:
        limit: Finished and fenced attempts that are remembered.
        max_bytes: Memory for those in bytes.
        records: Records by attempt, oldest first.
        marks: What is known of evicted attempts.
        bytes_held: Memory of all records in bytes.
    """

    limit: int = REMEMBERED_ATTEMPTS
    max_bytes: int = REMEMBERED_BYTES
    records: OrderedDict[str, AttemptRecord] = field(
        default_factory=OrderedDict
    )
    marks: LowWaterMarks = field(default_factory=LowWaterMarks)
    bytes_held: int = 0

    def begin(self, attempt_id: str) -> AttemptRecord | None:
        """Note an attempt; return its record if it must not start now."""
        known = self._find(attempt_id)
        if known is None:
            self._store(attempt_id, AttemptRecord(AttemptState.running))
        return known

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Note the result of an attempt."""
        self._store(attempt_id, AttemptRecord(AttemptState.done, result))

    def query(self, attempt_id: str) -> AttemptRecord:
        """Return the record of an attempt; fence it if it was never seen."""
        known = self._find(attempt_id)
        if known is None:
            known = AttemptRecord(AttemptState.never_seen)
            self._store(attempt_id, known)
        return known

    def _find(self, attempt_id: str) -> AttemptRecord | None:
        known = self.records.get(attempt_id)
        if known is not None:
            return known
        if self.marks.covers(parse_attempt_id(attempt_id)):
            return AttemptRecord(AttemptState.forgotten)
        return None

    def _store(self, attempt_id: str, record: AttemptRecord) -> None:
        earlier = self.records.pop(attempt_id, None)
        if earlier is not None:
            self.bytes_held -= earlier.size()
        self.records[attempt_id] = record
        self.bytes_held += record.size()
        self._evict()

    def _evict(self) -> None:
        looked_at = 0
        while self._is_over_limit() and looked_at < len(self.records):
            looked_at += 1
            self._evict_oldest()

    def _is_over_limit(self) -> bool:
        return (
            len(self.records) > self.limit or self.bytes_held > self.max_bytes
        )

    def _evict_oldest(self) -> None:
        attempt_id, record = self.records.popitem(last=False)
        if record.state is AttemptState.running:
            self.records[attempt_id] = record
            return
        self.bytes_held -= record.size()
        self.marks.note_eviction(parse_attempt_id(attempt_id))
