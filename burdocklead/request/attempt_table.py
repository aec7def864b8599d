"""Table of the attempts that a daemon has seen for its upstream, without I/O.

An attempt ID ends with a number that increases within one entry process. When
a record is evicted, the low-water mark of that process is raised to its
number. An attempt without a record at or below the mark is forgotten: it isn't
run, and nothing is claimed about its outcome.
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
    """State of one attempt.

    Attributes:
        state: ``never_seen`` means that the attempt was fenced.
        result: The result, None until the attempt is done.
    """

    state: AttemptState
    result: AttemptResult | None = None

    def size(self) -> int:
        """Return the approximate memory use of the record in bytes."""
        body = self.result.body if isinstance(self.result, Answer) else b''
        return RECORD_OVERHEAD_BYTES + len(body)


@dataclass(frozen=True, slots=True)
class AttemptIdParts:
    """The parts of an attempt ID.

    Attributes:
        entry_id: ID of the entry daemon that created the attempt.
        incarnation: Incarnation of that daemon.
        number: Increases with each attempt of that incarnation.
    """

    entry_id: str
    incarnation: int
    number: int


def parse_attempt_id(attempt_id: str) -> AttemptIdParts:
    """Return the parts of an attempt ID; a malformed ID gets number 0."""
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
        limit: Maximum number of entry processes with a mark.
        highest_evicted: Marks by entry ID and incarnation, least recently
            updated first.
        retired: Highest incarnation whose mark was dropped, by entry ID.
            Attempts of incarnations up to it count as forgotten.
    """

    limit: int = MAX_ENTRY_PROCESSES
    highest_evicted: OrderedDict[tuple[str, int], int] = field(
        default_factory=OrderedDict
    )
    retired: dict[str, int] = field(default_factory=dict)

    def note_eviction(self, parts: AttemptIdParts) -> None:
        """Raise the mark of an entry process to an evicted attempt."""
        process = (parts.entry_id, parts.incarnation)
        self.highest_evicted[process] = max(
            self.highest_evicted.get(process, 0), parts.number
        )
        self.highest_evicted.move_to_end(process)
        while len(self.highest_evicted) > self.limit:
            entry_id, incarnation = self.highest_evicted.popitem(last=False)[0]
            earlier = self.retired.get(entry_id, 0)
            self.retired[entry_id] = max(earlier, incarnation)

    def covers(self, parts: AttemptIdParts) -> bool:
        """Return True if the attempt may have been evicted."""
        mark = self.highest_evicted.get((parts.entry_id, parts.incarnation))
        if mark is not None:
            return parts.number <= mark
        return parts.incarnation <= self.retired.get(parts.entry_id, -1)


@dataclass(slots=True)
class AttemptTable:
    """Ensures that an attempt runs at most once, and never after fencing.

    Records of running attempts are never evicted, so they may exceed the
    limits.

    Attributes:
        limit: Maximum number of records.
        max_bytes: Maximum memory use of the records in bytes.
        records: Records by attempt ID, oldest first.
        marks: Low-water marks of evicted attempts.
        bytes_held: Memory use of all records in bytes.
    """

    limit: int = REMEMBERED_ATTEMPTS
    max_bytes: int = REMEMBERED_BYTES
    records: OrderedDict[str, AttemptRecord] = field(
        default_factory=OrderedDict
    )
    marks: LowWaterMarks = field(default_factory=LowWaterMarks)
    bytes_held: int = 0

    def begin(self, attempt_id: str) -> AttemptRecord | None:
        """Record an attempt as running unless it is already known.

        Returns the existing record, None if the attempt may start.
        """
        known = self._find(attempt_id)
        if known is None:
            self._store(attempt_id, AttemptRecord(AttemptState.running))
        return known

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Store the result of an attempt."""
        self._store(attempt_id, AttemptRecord(AttemptState.done, result))

    def query(self, attempt_id: str) -> AttemptRecord:
        """Return the record of an attempt; an unseen attempt is fenced."""
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
        examined = 0
        while self._is_over_limit() and examined < len(self.records):
            examined += 1
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
