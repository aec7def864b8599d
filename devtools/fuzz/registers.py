"""Fuzzes concurrent applies on three replicas against a model in memory.

Messages are delayed, duplicated or lost, links drop replies only, and replicas
crash between write and sync and restart from their files.
"""

# Hypothesis decorators are untyped for mypy.
# mypy: disable-error-code="misc,untyped-decorator"

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from burdocklead.durable.configuration import (
    ApplyResult,
    decide_apply,
    decode_accepted_file,
)
from burdocklead.durable.register import (
    EMPTY_REGISTER,
    Accept,
    Ballot,
    Held,
    Prepare,
    Promise,
    Read,
    Register,
    RoundPhase,
    choose_value,
    handle_phase,
    read_value,
)
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.store import RegisterStore
from burdocklead.durable.tally import PhaseResult, Tally
from burdocklead.exceptions import StorageError
from burdocklead.values import Address
from devtools.faulty_files import FaultyFileLayer
from devtools.fuzz.examples import run_machine

KEY = 'configuration'
FOLDER = Path('data')
NAMES = ('a', 'b', 'c')
UNUSED_ADDRESS = Address('127.0.0.1', 0)
REPLICAS = ReplicaSet(1, tuple(Replica(name, UNUSED_ADDRESS) for name in NAMES))
COMPACTION_BYTES = 800
STEPS = 60
MAX_MESSAGES = 60

names = st.sampled_from(NAMES)


@dataclass(slots=True)
class SimulatedReplica:
    """A replica with its simulated disk."""

    layer: FaultyFileLayer = field(default_factory=FaultyFileLayer)
    store: RegisterStore | None = None

    def open(self) -> RegisterStore:
        """Return the store; opens it if the replica is down."""
        if self.store is None:
            self.store = RegisterStore(self.layer, FOLDER, COMPACTION_BYTES)
        return self.store


@dataclass(slots=True)
class Round:
    """One apply, or one read, by one proposer.

    Attributes:
        version: Version of the configuration file, 0 for a read.
        text: Content of the configuration file.
        phase: The latest phase.
        tally: Replies to the latest phase.
        own: Register of the proposer's replica when the round started.
        result: Result reported to the operator, None before the decision.
    """

    version: int
    text: bytes
    phase: RoundPhase
    tally: Tally
    own: Register = EMPTY_REGISTER
    result: ApplyResult | None = None


@dataclass(frozen=True, slots=True)
class Message:
    """A phase in transit to a replica."""

    round: Round
    phase: RoundPhase
    target: str


def is_message_in_transit(machine: RegisterMachine) -> bool:
    """Return True if a message is in transit."""
    return bool(machine.messages)


class RegisterMachine(RuleBasedStateMachine):
    """Generates applies, deliveries, faults and crashes.

    Attributes:
        replicas: Replicas by name.
        messages: Messages in transit, oldest first.
        accepted: Expected state: digest by accepted version.
        cut: Pairs of proposer and replica whose replies are lost.
        isolated: Replica that receives no messages, empty if none.
        counter: Counter of the latest ballot.
    """

    def __init__(self) -> None:
        """Start three replicas with empty disks."""
        super().__init__()
        self.replicas = {name: SimulatedReplica() for name in NAMES}
        for replica in self.replicas.values():
            replica.open()
        self.messages: list[Message] = []
        self.accepted: dict[int, str] = {}
        self.cut: set[tuple[str, str]] = set()
        self.isolated = ''
        self.counter = 0

    @rule(name=names, version=st.integers(1, 4), text=st.sampled_from('xyz'))
    def start_apply(self, name: str, version: int, text: str) -> None:
        """Start an apply; others may be in progress."""
        self.counter += 1
        own = self.read_register(name)
        ballot = Ballot(self.counter, 1, name)
        phase = Prepare(KEY, ballot, own.accepted)
        self.send_phase(
            Round(version, text.encode(), phase, Tally(REPLICAS), own)
        )

    @rule(name=names, text=st.sampled_from('xyz'))
    def start_old_ballot(self, name: str, text: str) -> None:
        """Start an apply with a ballot that may be lower than earlier ones."""
        start = self.counter + 2
        own = self.read_register(name)
        ballot = Ballot(1 + self.counter // 2, start, name)
        phase = Prepare(KEY, ballot, own.accepted)
        self.counter += 1
        self.send_phase(Round(1, text.encode(), phase, Tally(REPLICAS), own))

    @precondition(is_message_in_transit)
    @rule(index=st.integers(0, MAX_MESSAGES), keep=st.booleans())
    def deliver(self, index: int, *, keep: bool) -> None:
        """Deliver a message; a kept one can be delivered again."""
        position = index % len(self.messages)
        message = self.messages[position]
        if not keep:
            self.messages.pop(position)
        self.handle(message)

    @rule()
    def deliver_all(self) -> None:
        """Deliver the messages in transit, in order."""
        for _ in range(MAX_MESSAGES):
            if not self.messages:
                return
            self.handle(self.messages.pop(0))

    @rule(name=names, other=names)
    def cut_link(self, name: str, other: str) -> None:
        """Start or stop losing the replies of a replica to a proposer."""
        self.cut ^= {(name, other)}

    @rule(name=st.sampled_from(('', *NAMES)))
    def isolate(self, name: str) -> None:
        """Drop all messages to a replica; an empty name ends this."""
        self.isolated = name

    @rule(name=names, number=st.integers(0, 9999))
    def crash(self, name: str, number: int) -> None:
        """Crash a replica and restart it from its synced files."""
        replica = self.replicas[name]
        replica.layer.crash(random.Random(number))
        replica.store = None
        replica.open()

    @rule(name=names, operation=st.sampled_from(['append', 'sync', 'rename']))
    def plan_fault(self, name: str, operation: str) -> None:
        """Make the next disk operation of a kind fail on a replica."""
        faults = self.replicas[name].layer.faults
        faults.clear()
        faults.append((operation, errno.EIO))

    @rule(name=names)
    def read(self, name: str) -> None:
        """Remove all faults and check that a quorum read returns the newest."""
        self.messages.clear()
        self.cut.clear()
        self.isolated = ''
        for replica in self.replicas.values():
            replica.layer.faults.clear()
        self.counter += 1
        ballot = Ballot(self.counter + MAX_MESSAGES, 1, name)
        self.counter += MAX_MESSAGES
        own = self.read_register(name)
        phase = Prepare(KEY, ballot, own.accepted)
        round_ = Round(0, b'', phase, Tally(REPLICAS), own)
        targets = [one for one in NAMES if one != name]
        for target in targets:
            self.handle(Message(round_, phase, target))
        promises = received_promises(round_)
        held = decode_accepted_file(choose_value(promises, own))
        newest = max(self.accepted, default=0)
        assert held.version >= newest, (held, self.accepted)
        if newest and held.version == newest:
            assert held.digest == self.accepted[newest]

    @rule(name=names, skipped=names)
    def read_without_round(self, name: str, skipped: str) -> None:
        """Read without a ballot; a value that was read must stay in force."""
        own = self.read_register(name)
        replies = [
            handle_phase(self.read_register(one), Read(KEY, own.accepted))[1]
            for one in NAMES
            if one != skipped
        ]
        value = read_value(
            [reply for reply in replies if isinstance(reply, Held)], own
        )
        if value is None:
            return
        file = decode_accepted_file(value)
        assert file.version >= max(self.accepted, default=0), self.accepted
        if file.version:
            digest = self.accepted.setdefault(file.version, file.digest)
            assert digest == file.digest, (file, self.accepted)

    def read_register(self, name: str) -> Register:
        """Return the register of a replica."""
        return self.replicas[name].open().read(KEY)

    def send_phase(self, round_: Round) -> None:
        """Send the latest phase of a round to all replicas."""
        for target in NAMES:
            self.messages.append(Message(round_, round_.phase, target))
        del self.messages[:-MAX_MESSAGES]

    def handle(self, message: Message) -> None:
        """Deliver a message to its replica and the reply to the proposer."""
        if message.target == self.isolated:
            return
        store = self.replicas[message.target].open()
        register, reply = handle_phase(store.read(KEY), message.phase)
        try:
            store.commit({KEY: register})
        except StorageError:
            return
        round_ = message.round
        proposer = message.phase.ballot.replica_id
        lost = (proposer, message.target) in self.cut
        if lost or round_.phase is not message.phase or round_.result:
            return
        round_.tally.add(message.target, reply)
        if round_.version and round_.tally.result() is PhaseResult.won:
            self.advance(round_)

    def advance(self, round_: Round) -> None:
        """Continue a round after its phase has won."""
        if isinstance(round_.phase, Accept):
            current = decode_accepted_file(round_.phase.value)
            result = decide_apply(current, round_.version, round_.text)[1]
            round_.result = result
            if result.accepted:
                digest = self.accepted.setdefault(result.version, result.digest)
                assert digest == result.digest, (result, self.accepted)
            return
        value = choose_value(received_promises(round_), round_.own)
        file = decide_apply(
            decode_accepted_file(value), round_.version, round_.text
        )[0]
        encoded = msgspec.msgpack.encode(file)
        round_.phase = Accept(KEY, round_.phase.ballot, encoded)
        round_.tally = Tally(REPLICAS)
        self.send_phase(round_)


def received_promises(round_: Round) -> list[Promise]:
    """Return the promises that a round has received."""
    replies = round_.tally.replies.values()
    return [reply for reply in replies if isinstance(reply, Promise)]


def run_fuzzer(
    *, seed: int, count: int, derandomize: bool = False, shrink: bool = True
) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_machine(
        RegisterMachine,
        seed,
        count,
        STEPS,
        derandomize=derandomize,
        shrink=shrink,
    )
