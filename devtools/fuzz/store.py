"""Fuzzes the register store against a dictionary, with disk faults."""

# Hypothesis decorators are untyped for mypy.
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

Values = dict[str, bytes]


class StoreMachine(RuleBasedStateMachine):
    """Generates commits, disk faults, crashes and restarts of one store.

    Attributes:
        layer: The simulated disk.
        counter: Counter of the latest ballot.
        committed: Values after the latest successful commit.
        uncommitted: Values of failed commits; a crash may restore one of them.
        store: The store under test.
    """

    def __init__(self) -> None:
        """Start with an empty disk."""
        super().__init__()
        self.layer = FaultyFileLayer()
        self.counter = 0
        self.committed: Values = {}
        self.uncommitted: list[Values] = []
        self.store = self.open_store()

    def open_store(self) -> RegisterStore:
        """Open a store on the simulated disk."""
        return RegisterStore(self.layer, FOLDER, COMPACTION_BYTES)

    def values(self) -> Values:
        """Return the values that the store holds."""
        return {
            key: register.value
            for key, register in self.store.registers.items()
        }

    @rule(batch=batches)
    def commit(self, batch: Values) -> None:
        """Commit a batch; a failed commit must not become visible."""
        self.counter += 1
        ballot = Ballot(self.counter, 1, 'a')
        changes = {
            key: Register(ballot, ballot, value) for key, value in batch.items()
        }
        following = {**self.committed, **batch}
        try:
            self.store.commit(changes)
        except StorageError:
            self.uncommitted.append(following)
            return
        self.committed = following
        self.uncommitted = []

    @rule(operation=operations, number=errors)
    def plan_fault(self, operation: str, number: int) -> None:
        """Make the next operation of a kind fail."""
        self.layer.faults.clear()
        self.layer.faults.append((operation, number))

    @rule()
    def fill_disk(self) -> None:
        """Leave little or no free space on the disk."""
        self.layer.capacity = max(SMALL_DISK_BYTES, self.layer.used())

    @rule()
    def free_disk(self) -> None:
        """Remove the limit of the disk space."""
        self.layer.capacity = None

    @rule(number=st.integers(0, 9999))
    def crash(self, number: int) -> None:
        """Crash and restart; every successful commit must be restored."""
        self.layer.crash(random.Random(number))
        self.store = self.open_store()
        restored = self.values()
        allowed = [self.committed, *self.uncommitted]
        assert restored in allowed, (restored, allowed)
        self.committed = restored
        self.uncommitted = []

    @rule()
    def recover(self) -> None:
        """Remove all faults; the next commit must succeed."""
        self.layer.faults.clear()
        self.layer.capacity = None
        self.store.commit({})
        self.uncommitted = []

    @invariant()
    def check_values(self) -> None:
        """Check that the store holds the committed values only."""
        assert self.values() == self.committed


def run_fuzzer(*, seed: int, count: int, derandomize: bool = False) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_machine(StoreMachine, seed, count, STEPS, derandomize=derandomize)
