"""Fuzzes the attempt table against an oracle that evicts nothing."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import strategies

from burdocklead.connection.frames import Answer, AttemptState
from burdocklead.request.attempt_table import AttemptTable, LowWaterMarks
from burdocklead.values import LoadReport
from devtools.fuzz.examples import run_examples

ENTRIES = ('a.1', 'a.2', 'b.1')
MAX_NUMBER = 5
STATUS = 200
MAX_OPERATIONS = 40

Operation = tuple[str, str]


def operation_lists() -> strategies.SearchStrategy[list[Operation]]:
    """Return the strategy for lists of operations on attempts."""
    attempt_id = strategies.builds(
        '{0}.{1:x}'.format,
        strategies.sampled_from(ENTRIES),
        strategies.integers(0, MAX_NUMBER),
    )
    operation = strategies.sampled_from(('begin', 'finish', 'query'))
    return strategies.lists(
        strategies.tuples(operation, attempt_id), max_size=MAX_OPERATIONS
    )


@dataclass(slots=True)
class TableOracle:
    """Keeps the state of every attempt and checks the table against it.

    Attributes:
        table: The table under test; small limits force evictions.
        running: Attempts begun and not finished.
        begun: Attempts that the table let begin.
        fenced: Attempts that a query reported as never seen.
    """

    table: AttemptTable
    running: set[str] = field(default_factory=set)
    begun: set[str] = field(default_factory=set)
    fenced: set[str] = field(default_factory=set)

    def apply(self, operation: str, attempt_id: str) -> None:
        """Apply one operation; raise AssertionError on a violation."""
        match operation:
            case 'begin':
                self.begin(attempt_id)
            case 'finish':
                self.finish(attempt_id)
            case 'query':
                self.query(attempt_id)
        max_records = self.table.limit + len(self.running)
        assert len(self.table.records) <= max_records, (
            'the table exceeds its limit'
        )

    def begin(self, attempt_id: str) -> None:
        """Begin an attempt unless the table reports a record of it."""
        if self.table.begin(attempt_id) is not None:
            return
        assert attempt_id not in self.begun, f'{attempt_id} was begun twice'
        assert attempt_id not in self.fenced, (
            f'{attempt_id} was begun after a fence'
        )
        self.begun.add(attempt_id)
        self.running.add(attempt_id)

    def finish(self, attempt_id: str) -> None:
        """Finish an attempt if it is running."""
        if attempt_id not in self.running:
            return
        self.running.remove(attempt_id)
        load = LoadReport(0, 0, 1)
        body = attempt_id.encode()
        self.table.finish(
            attempt_id, Answer(attempt_id, STATUS, (), body, load)
        )

    def query(self, attempt_id: str) -> None:
        """Query an attempt; the state must agree with the oracle."""
        state = self.table.query(attempt_id).state
        valid_states = {AttemptState.never_seen, AttemptState.forgotten}
        if attempt_id in self.running:
            valid_states = {AttemptState.running}
        elif attempt_id in self.begun:
            valid_states = {AttemptState.done, AttemptState.forgotten}
        assert state in valid_states, f'{attempt_id} is reported as {state}'
        if state is AttemptState.never_seen:
            self.fenced.add(attempt_id)


def check_table(operations: Sequence[Operation]) -> None:
    """Run operations on a table that remembers at most two attempts."""
    marks = LowWaterMarks(limit=1)
    oracle = TableOracle(AttemptTable(limit=2, max_bytes=2000, marks=marks))
    for operation, attempt_id in operations:
        oracle.apply(operation, attempt_id)


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_examples(check_table, operation_lists(), seed, count, shrink=shrink)
