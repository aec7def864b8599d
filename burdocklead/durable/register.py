"""Single-value registers by CASPaxos, as functions of state and message.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number, unique over all replicas.

    Attributes:
        counter: Grows with every round of a proposer.
        replica_id: Replica that proposes.
    """

    counter: int = 0
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
    """Second phase of a round on one register."""

    key: str
    ballot: Ballot
    value: bytes


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
    following = Register(message.ballot, message.ballot, message.value)
    return following, Accepted(message.ballot)


def choose_value(promises: Iterable[Promise]) -> bytes:
    """Return the value that a proposer must start from."""
    return max(promises, key=lambda promise: promise.accepted).value


def quorum_size(replica_count: int) -> int:
    """Return the size of a majority."""
    return replica_count // 2 + 1


def next_ballot(
    replica_id: str, last: Ballot, seen: Sequence[Ballot] = ()
) -> Ballot:
    """Return a ballot of this replica above all ballots given."""
    highest = max((last, *seen))
    return Ballot(highest.counter + 1, replica_id)
