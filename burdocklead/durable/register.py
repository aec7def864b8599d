"""Single-value registers by CASPaxos, as functions of state and message.

Two shortcuts save the first phase. An accept may carry the ballot of the
proposer's next round, which the acceptor promises at once. And a first
ballot (counter 0) needs no promise: an acceptor takes it only into an empty
register, and its value is chosen only once *every* acceptor holds it. Then
all promises of any later quorum show that value; if they do not all show
it, it was never chosen and can't be any more.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number, unique over all replicas and their restarts.

    Attributes:
        counter: Grows with every round of a proposer; 0 for first ballots.
        start: Number of the proposer's start, kept in its folder.
        replica_id: Replica that proposes.
    """

    counter: int = 0
    start: int = 0
    replica_id: str = ''


NO_BALLOT = Ballot()


class Register(msgspec.Struct, frozen=True, array_like=True):
    """The state of one register at one acceptor.

    Attributes:
        promised: Highest ballot promised.
        accepted: Ballot of the value held.
        value: The value held, empty if none.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b''


EMPTY_REGISTER = Register()


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """First phase of a round on one register."""

    key: str
    ballot: Ballot


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Second phase of a round on one register.

    Attributes:
        key: The register.
        ballot: Ballot of this round.
        value: The value to hold.
        following: Ballot to promise for the proposer's next round.
    """

    key: str
    ballot: Ballot
    value: bytes
    following: Ballot = NO_BALLOT


class Promise(msgspec.Struct, frozen=True, tag=True):
    """The acceptor promised the ballot and tells what it holds."""

    accepted: Ballot
    value: bytes


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The acceptor holds the value of the ballot."""

    ballot: Ballot


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """The acceptor promised a higher ballot before."""

    promised: Ballot


Phase = Prepare | Accept
PhaseReply = Promise | Accepted | Conflict


def handle_phase(
    register: Register, message: Phase
) -> tuple[Register, PhaseReply]:
    """Return the acceptor's next state and its reply to a phase."""
    match message:
        case Prepare():
            return handle_prepare(register, message)
        case Accept():
            return handle_accept(register, message)


def handle_prepare(
    register: Register, message: Prepare
) -> tuple[Register, Promise | Conflict]:
    """Return the acceptor's next state and its reply to a prepare."""
    if message.ballot <= register.promised:
        return register, Conflict(register.promised)
    following = msgspec.structs.replace(register, promised=message.ballot)
    return following, Promise(register.accepted, register.value)


def handle_accept(
    register: Register, message: Accept
) -> tuple[Register, Accepted | Conflict]:
    """Return the acceptor's next state and its reply to an accept."""
    if message.ballot < register.promised:
        return register, Conflict(register.promised)
    if is_first(message.ballot) and register != EMPTY_REGISTER:
        return register, Conflict(register.promised)
    promised = max(message.ballot, message.following)
    following = Register(promised, message.ballot, message.value)
    return following, Accepted(message.ballot)


def merge_registers(own: Register, other: Register) -> Register:
    """Return the state of an acceptor that catches up with another one.

    It holds whichever value has the higher ballot, as if the accept of the
    other one had reached it late, and keeps the promises of both.
    """
    newer = max(own, other, key=lambda register: register.accepted)
    promised = max(own.promised, other.promised)
    return msgspec.structs.replace(newer, promised=promised)


def is_first(ballot: Ballot) -> bool:
    """Return True for a ballot that needs an empty register."""
    return ballot.counter == 0


def choose_value(promises: Iterable[Promise]) -> bytes:
    """Return the value that a proposer must start from."""
    return max(promises, key=lambda promise: promise.accepted).value


def quorum_size(replica_count: int) -> int:
    """Return the size of a majority."""
    return replica_count // 2 + 1
