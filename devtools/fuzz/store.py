"""Fuzzes the register store against a dictionary, with faults of the disk."""

# The type checker does not read hypothesis.
# mypy: disable-error-code="misc,untyped-decorator"

from __future__ import annotations

import errno
import random
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from burdocklead.durable.register import Ballot, Register
from burdocklead.durable.store import RegisterStore
from burdocklead.exceptions import StorageError
from devtools.faulty_files import FaultyFileLayer
from devtools.fuzz.examples import run_machine

FOLDER = Path('data')
COMPACTION_BYTES = 600
SMALL_DISK_BYTES = 900
STEPS = 40

keys = st.sampled_from(['configuration', 'claim/1', 'claim/2', 'claim/3'])
batches = st.dictionaries(keys, st.binary(max_size=60), min_size=1, max_size=3)
operations = st.sampled_from(
    ['append', 'sync', 'create', 'rename', 'sync_folder', 'open']
)
errors = st.sampled_from([errno.ENOSPC, errno.EIO])

State = dict[str, bytes]


class StoreMachine(RuleBasedStateMachine):
    """Commits, faults, crashes and restarts of one store.

    Attributes:
        answered: What was told to be synced.
        unanswered: States that a crash may leave besides that one.
    """

    def __init__(self) -> None:
        """Start with an empty disk."""
        super().__init__()
        self.layer = FaultyFileLayer()
        self.counter = 0
        self.answered: State = {}
        self.unanswered: list[State] = []
        self.store = self.open_store()

    def open_store(self) -> RegisterStore:
        """Return a store on the disk as it is."""
        return RegisterStore(self.layer, FOLDER, COMPACTION_BYTES)

    def values(self) -> State:
        """Return the values that the store holds."""
        return {
            key: register.value
            for key, register in self.store.registers.items()
        }

    @rule(batch=batches)
    def commit(self, batch: State) -> None:
        """Commit a batch; it counts only if there was no error."""
        self.counter += 1
        ballot = Ballot(self.counter, 1, 'a')
        changes = {
            key: Register(ballot, ballot, value) for key, value in batch.items()
        }
        following = {**self.answered, **batch}
        try:
            self.store.commit(changes)
        except StorageError:
            self.unanswered.append(following)
            return
        self.answered = following
        self.unanswered = []

    @rule(operation=operations, number=errors)
    def plan_fault(self, operation: str, number: int) -> None:
        """Let an operation fail when it comes next."""
        self.layer.faults.clear()
        self.layer.faults.append((operation, number))

    @rule()
    def fill_disk(self) -> None:
        """Let the disk be full soon."""
        self.layer.capacity = max(SMALL_DISK_BYTES, self.layer.used())

    @rule()
    def free_disk(self) -> None:
        """Give space back."""
        self.layer.capacity = None

    @rule(number=st.integers(0, 9999))
    def crash(self, number: int) -> None:
        """Crash and start again; nothing answered may be missing."""
        self.layer.crash(random.Random(number))
        self.store = self.open_store()
        held = self.values()
        allowed = [self.answered, *self.unanswered]
        assert held in allowed, (held, allowed)
        self.answered = held
        self.unanswered = []

    @rule()
    def recover(self) -> None:
        """With a sound disk the next commit must work."""
        self.layer.faults.clear()
        self.layer.capacity = None
        self.store.commit({})
        self.unanswered = []

    @invariant()
    def check_values(self) -> None:
        """Nothing that was not answered shows."""
        assert self.values() == self.answered


def run_fuzzer(*, seed: int, count: int, derandomize: bool = False) -> None:
    """Run a number of examples; a failing one raises AssertionError."""
    run_machine(StoreMachine, seed, count, STEPS, derandomize=derandomize)
