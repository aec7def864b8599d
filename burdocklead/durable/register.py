"""Single-value registers by CASPaxos, as functions of state and message.

Two shortcuts save the first phase. An accept may carry the ballot of the
proposer's next round, which the acceptor promises at once. And a first
ballot (counter 0) needs no promise: an acceptor takes it only into an empty
register, and its value is chosen only once *every* acceptor holds it. Then
all promises of any later quorum show that value; if they do not all show
it, it was never chosen and can't be any more.

A ballot above the first ones stands for one value, so an acceptor leaves the
value out of its reply if the proposer holds the same ballot. A value that a
quorum holds under one ballot is chosen, so it can be read without a round.

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
    """First phase of a round on one register.

    Attributes:
        key: The register.
        ballot: Ballot of this round.
        known: Ballot of the value that the proposer holds.
    """

    key: str
    ballot: Ballot
    known: Ballot = NO_BALLOT


class Read(msgspec.Struct, frozen=True, tag=True):
    """Ask what is held of one register, without a round.

    Attributes:
        key: The register.
        known: Ballot of the value that the reader holds.
    """

    key: str
    known: Ballot = NO_BALLOT


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
    """The acceptor promised the ballot and tells what it holds.

    Attributes:
        accepted: Ballot of the value held.
        value: The value held, None if it is the one that the proposer knows.
    """

    accepted: Ballot
    value: bytes | None


class Held(msgspec.Struct, frozen=True, tag=True):
    """Reply to a read: what the acceptor holds, see ``Promise``."""

    accepted: Ballot
    value: bytes | None


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The acceptor holds the value of the ballot."""

    ballot: Ballot


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """The acceptor promised a higher ballot before."""

    promised: Ballot


RoundPhase = Prepare | Accept
Phase = RoundPhase | Read
PhaseReply = Promise | Accepted | Conflict | Held


def handle_phase(
    register: Register, message: Phase
) -> tuple[Register, PhaseReply]:
    """Return the acceptor's next state and its reply to a phase."""
    match message:
        case Prepare():
            return handle_prepare(register, message)
        case Accept():
            return handle_accept(register, message)
        case Read():
            value = _value_unless_known(register, message.known)
            return register, Held(register.accepted, value)


def handle_prepare(
    register: Register, message: Prepare
) -> tuple[Register, Promise | Conflict]:
    """Return the acceptor's next state and its reply to a prepare."""
    if message.ballot <= register.promised:
        return register, Conflict(register.promised)
    updated = msgspec.structs.replace(register, promised=message.ballot)
    value = _value_unless_known(register, message.known)
    return updated, Promise(register.accepted, value)


def handle_accept(
    register: Register, message: Accept
) -> tuple[Register, Accepted | Conflict]:
    """Return the acceptor's next state and its reply to an accept."""
    if message.ballot < register.promised:
        return register, Conflict(register.promised)
    if is_first(message.ballot) and register != EMPTY_REGISTER:
        return register, Conflict(register.promised)
    promised = max(message.ballot, message.following)
    updated = Register(promised, message.ballot, message.value)
    return updated, Accepted(message.ballot)


def merge_registers(local: Register, other: Register) -> Register:
    """Return the state of an acceptor that catches up with another one.

    It holds whichever value has the higher ballot, as if the accept of the
    other one had reached it late, and keeps the promises of both.
    """
    newer = max(local, other, key=lambda register: register.accepted)
    promised = max(local.promised, other.promised)
    return msgspec.structs.replace(newer, promised=promised)


def is_first(ballot: Ballot) -> bool:
    """Return True for a ballot that needs an empty register."""
    return ballot.counter == 0


def _value_unless_known(register: Register, known: Ballot) -> bytes | None:
    """Return the value for a peer, None if it holds the same one.

    First ballots are left out: one may stand for the values of two tries.
    """
    same = register.accepted == known and not is_first(known)
    return None if same else register.value


def choose_value(
    promises: Iterable[Promise], local: Register = EMPTY_REGISTER
) -> bytes:
    """Return the value that a proposer must start from.

    Args:
        promises: Promises of a quorum.
        local: What the proposer told that it knows.
    """
    newest = max(promises, key=lambda promise: promise.accepted)
    return local.value if newest.value is None else newest.value


def read_value(replies: Iterable[Held], local: Register) -> bytes | None:
    """Return the chosen value, None if the replies do not show it.

    Args:
        replies: Replies of a quorum.
        local: What the reader told that it knows.
    """
    held = list(replies)
    ballots = {reply.accepted for reply in held}
    newest = held[0]
    if len(ballots) > 1 or is_first(newest.accepted):
        return None
    return local.value if newest.value is None else newest.value


def quorum_size(replica_count: int) -> int:
    """Return the size of a majority."""
    return replica_count // 2 + 1
