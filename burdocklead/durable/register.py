"""CASPaxos registers, as pure functions of an acceptor's state and a message.

Two optimizations skip the prepare phase. An accept may carry the ballot of
the proposer's next round, which the acceptor promises together with the
accept. And a first ballot (counter 0) needs no promise: an acceptor accepts
it only while its register is empty, and its value is chosen only once
*every* acceptor has accepted it. All promises of any later quorum then
report that value; if they don't, it was not chosen and can't be any more.

A ballot with a counter above 0 stands for a single value, so an acceptor
omits the value from its reply if the proposer has the same ballot. A value
that a quorum has accepted under one ballot is chosen and can be read without
a round.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number, unique across replicas and their restarts.

    Attributes:
        counter: Incremented for each round of a proposer; 0 in first ballots.
        start: Start count of the proposer, stored in its data folder.
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
        accepted: Ballot of the accepted value.
        value: The accepted value, empty if none.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b''


EMPTY_REGISTER = Register()


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """First phase of a round on one register.

    Attributes:
        key: Key of the register.
        ballot: Ballot of this round.
        known: Ballot of the value that the proposer's replica has accepted.
    """

    key: str
    ballot: Ballot
    known: Ballot = NO_BALLOT


class Read(msgspec.Struct, frozen=True, tag=True):
    """Asks for the accepted value of one register, without a round.

    Attributes:
        key: Key of the register.
        known: Ballot of the value that the reader's replica has accepted.
    """

    key: str
    known: Ballot = NO_BALLOT


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Second phase of a round on one register.

    Attributes:
        key: Key of the register.
        ballot: Ballot of this round.
        value: The value to accept.
        following: Ballot to promise for the proposer's next round.
    """

    key: str
    ballot: Ballot
    value: bytes
    following: Ballot = NO_BALLOT


class Promise(msgspec.Struct, frozen=True, tag=True):
    """The acceptor promised the ballot and reports its accepted value.

    Attributes:
        accepted: Ballot of the accepted value.
        value: The accepted value, None if the proposer already has it.
    """

    accepted: Ballot
    value: bytes | None


class Held(msgspec.Struct, frozen=True, tag=True):
    """Reply to a read: the accepted value, as in ``Promise``."""

    accepted: Ballot
    value: bytes | None


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The acceptor accepted the value of the ballot."""

    ballot: Ballot


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """Rejection, with the highest ballot that the acceptor promised."""

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
    if is_first_ballot(message.ballot) and register != EMPTY_REGISTER:
        return register, Conflict(register.promised)
    promised = max(message.ballot, message.following)
    updated = Register(promised, message.ballot, message.value)
    return updated, Accepted(message.ballot)


def merge_registers(local: Register, other: Register) -> Register:
    """Return the state of an acceptor that catches up with another one.

    The value with the higher ballot wins, as if the accept that the other
    acceptor received had arrived here late. The promises of both are kept.
    """
    newer = max(local, other, key=lambda register: register.accepted)
    promised = max(local.promised, other.promised)
    return msgspec.structs.replace(newer, promised=promised)


def is_first_ballot(ballot: Ballot) -> bool:
    """Return True for a first ballot, which needs an empty register."""
    return ballot.counter == 0


def _value_unless_known(register: Register, known: Ballot) -> bytes | None:
    """Return the value for a peer, None if the peer has the same one.

    The value of a first ballot is always returned, because two attempts of a
    proposer may use the same first ballot for different values.
    """
    same = register.accepted == known and not is_first_ballot(known)
    return None if same else register.value


def choose_value(
    promises: Iterable[Promise], local: Register = EMPTY_REGISTER
) -> bytes:
    """Return the value that a proposer must build on.

    Args:
        promises: Promises of a quorum.
        local: State whose accepted ballot was sent as ``known``.
    """
    newest = max(promises, key=lambda promise: promise.accepted)
    return local.value if newest.value is None else newest.value


def read_value(replies: Iterable[Held], local: Register) -> bytes | None:
    """Return the chosen value, None if the replies do not prove one.

    Args:
        replies: Replies of a quorum.
        local: State whose accepted ballot was sent as ``known``.
    """
    held = list(replies)
    ballots = {reply.accepted for reply in held}
    newest = held[0]
    if len(ballots) > 1 or is_first_ballot(newest.accepted):
        return None
    return local.value if newest.value is None else newest.value


def quorum_size(replica_count: int) -> int:
    """Return the size of a majority."""
    return replica_count // 2 + 1
