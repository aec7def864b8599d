"""Stateful fuzzer of the attempt table against an oracle that never forgets."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import strategies

from burdocklead.connection.frames import Answer, AttemptState
from burdocklead.request.attempt_table import AttemptTable, LowWaterMarks
from burdocklead.values import LoadReport
from devtools.fuzz.examples import run_examples

ENTRIES = ('a.1', 'a.2', 'b.1')
NUMBERS = 5
STATUS = 200
MAX_STEPS = 40

Operation = tuple[str, str]


def operations() -> strategies.SearchStrategy[list[Operation]]:
    """Return steps: an operation and the attempt that it is about."""
    attempt_id = strategies.builds(
        '{0}.{1:x}'.format,
        strategies.sampled_from(ENTRIES),
        strategies.integers(0, NUMBERS),
    )
    operation = strategies.sampled_from(('begin', 'finish', 'query'))
    return strategies.lists(
        strategies.tuples(operation, attempt_id), max_size=MAX_STEPS
    )


@dataclass(slots=True)
class TableOracle:
    """Remembers everything that the table was asked.

    Attributes:
        table: The table under test, with very small bounds.
    """

    table: AttemptTable
    running: set[str] = field(default_factory=set)
    begun: set[str] = field(default_factory=set)
    fenced: set[str] = field(default_factory=set)

    def take(self, operation: str, attempt_id: str) -> None:
        """Do one step; raise AssertionError if the table breaks a promise."""
        match operation:
            case 'begin':
                self.begin(attempt_id)
            case 'finish':
                self.finish(attempt_id)
            case 'query':
                self.query(attempt_id)
        bound = self.table.limit + len(self.running)
        assert len(self.table.records) <= bound, 'table has no bound'

    def begin(self, attempt_id: str) -> None:
        """Let an attempt arrive."""
        if self.table.begin(attempt_id) is not None:
            return
        assert attempt_id not in self.begun, f'{attempt_id} began twice'
        assert attempt_id not in self.fenced, f'{attempt_id} was fenced'
        self.begun.add(attempt_id)
        self.running.add(attempt_id)

    def finish(self, attempt_id: str) -> None:
        """Let a running attempt be done."""
        if attempt_id not in self.running:
            return
        self.running.remove(attempt_id)
        load = LoadReport(0, 0, 1)
        body = attempt_id.encode()
        self.table.finish(
            attempt_id, Answer(attempt_id, STATUS, (), body, load)
        )

    def query(self, attempt_id: str) -> None:
        """Ask what became of an attempt."""
        state = self.table.query(attempt_id).state
        true_states = {AttemptState.never_seen, AttemptState.forgotten}
        if attempt_id in self.running:
            true_states = {AttemptState.running}
        elif attempt_id in self.begun:
            true_states = {AttemptState.done, AttemptState.forgotten}
        assert state in true_states, f'{attempt_id} is told as {state}'
        if state is AttemptState.never_seen:
            self.fenced.add(attempt_id)


def check_table(steps: Sequence[Operation]) -> None:
    """Raise AssertionError if the table breaks a promise."""
    marks = LowWaterMarks(limit=1)
    oracle = TableOracle(AttemptTable(limit=2, max_bytes=2000, marks=marks))
    for operation, attempt_id in steps:
        oracle.take(operation, attempt_id)


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run a number of examples; a failing one raises AssertionError."""
    run_examples(check_table, operations(), seed, count, shrink=shrink)
