"""Model checks the register protocol with the production functions.

Explores every interleaving of the messages of two concurrent applies, with
each message lost, delayed or delivered. Some models add a replica set change
that replaces one replica. As a replica may fail to respond at any time, they
include the loss of a second replica right after the replacement.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import msgspec
from minicheck import Protocol, check_safety

from burdocklead.durable.configuration import decide_apply, decode_accepted_file
from burdocklead.durable.register import (
    EMPTY_REGISTER,
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    PhaseReply,
    Prepare,
    Promise,
    Register,
    RoundPhase,
    choose_value,
    handle_phase,
    merge_registers,
)
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import (
    SetChange,
    finish_change,
    start_change,
)
from burdocklead.durable.tally import PhaseResult, Tally
from burdocklead.values import Address

PROPERTY = 'one digest per version'
MAX_STATES = 2_000_000
KEY = 'configuration'
UNUSED_ADDRESS = Address('127.0.0.1', 0)
FIELDS = ('acceptors', 'proposers', 'change')


class AcceptorState(msgspec.Struct, frozen=True):
    """A replica with its epoch and register."""

    name: str
    epoch: int = 1
    register: Register = EMPTY_REGISTER


class ProposerState(msgspec.Struct, frozen=True):
    """A proposer with the phases it sent and the replies to the latest.

    Attributes:
        name: Replica that proposes.
        texts: Contents to apply in order, with versions from 1.
        epoch: Epoch of the round.
        sent: Phases sent; each may be delivered at any later time.
        replies: Replies to the latest phase with the names of their replicas.
        rounds: Number of rounds started.
        answers: Version and digest of each decision; 0 if it was refused.
    """

    name: str
    texts: tuple[bytes, ...]
    epoch: int = 0
    sent: tuple[RoundPhase, ...] = ()
    replies: tuple[tuple[str, PhaseReply], ...] = ()
    rounds: int = 0
    answers: tuple[tuple[int, str], ...] = ()


class ChangeState(msgspec.Struct, frozen=True):
    """Progress of the replica set change.

    Attributes:
        sets: Replica sets decided so far, in order of epoch from 1.
        caught_up_from: Replicas from which the joining one has caught up.
    """

    sets: tuple[ReplicaSet, ...]
    caught_up_from: frozenset[str] = frozenset()


class SystemState(msgspec.Struct, frozen=True):
    """State of the whole system."""

    acceptors: tuple[AcceptorState, ...]
    proposers: tuple[ProposerState, ...]
    change: ChangeState


@dataclass(frozen=True, slots=True)
class Model:
    """Parameters of a model and its transitions.

    Attributes:
        name: Name of the model.
        names: Replicas of the first set.
        applies: Contents that each proposer applies.
        joining: Replica that replaces the last one, empty for no change.
        first_ballots: True if proposers start with the first ballot.
        chained: False if first ballots promise no following ballot.
        max_rounds: Maximum number of rounds of each proposer.
        catch_up: False if the change ends without a catch-up.
        epochs: Epochs in which each proposer may start a round.
        lost_replies: True if a reply that its proposer waits for may be lost;
            otherwise only replies that no proposer waits for are lost.
    """

    name: str
    names: tuple[str, ...]
    applies: tuple[tuple[bytes, ...], ...]
    joining: str = ''
    first_ballots: bool = False
    chained: bool = True
    max_rounds: int = 1
    catch_up: bool = True
    epochs: tuple[tuple[int, ...], ...] = ((1,), (1,))
    lost_replies: bool = False

    def initial(self) -> SystemState:
        """Return the initial state."""
        replicas = tuple(Replica(name, UNUSED_ADDRESS) for name in self.names)
        all_names = (*self.names, *filter(None, (self.joining,)))
        return SystemState(
            tuple(AcceptorState(name) for name in all_names),
            tuple(
                ProposerState(self.names[index], texts)
                for index, texts in enumerate(self.applies)
            ),
            ChangeState((ReplicaSet(1, replicas),)),
        )

    def steps(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yield the label and next state of every possible step."""
        for index, proposer in enumerate(state.proposers):
            for label, following in self._proposer_steps(state, index):
                yield label, _with_proposer(state, index, following)
            for position, _ in enumerate(state.acceptors):
                yield from self._deliveries(state, index, position)
        if self.joining:
            yield from self._change_steps(state)

    def _proposer_steps(
        self, state: SystemState, index: int
    ) -> Iterator[tuple[str, ProposerState]]:
        proposer = state.proposers[index]
        following = _advance(state, proposer)
        if following is not None:
            yield f'{proposer.name} continues', following
        if proposer.rounds >= self.max_rounds:
            return
        if len(proposer.answers) < len(proposer.texts):
            for epoch in self.epochs[index]:
                if epoch <= len(state.change.sets):
                    label = f'{proposer.name} starts a round in epoch {epoch}'
                    yield label, self._start_round(proposer, epoch)

    def _start_round(
        self, proposer: ProposerState, epoch: int
    ) -> ProposerState:
        rounds = proposer.rounds + 1
        ballot = Ballot(rounds * 2, 1, proposer.name)
        phase: RoundPhase = Prepare(KEY, ballot)
        if self.first_ballots and rounds == 1:
            value = _decide(proposer, b'')[0]
            first = Ballot(0, 1, proposer.name)
            following = Ballot(1, 1, proposer.name)
            if not self.chained:
                following = NO_BALLOT
            phase = Accept(KEY, first, value, following)
        return msgspec.structs.replace(
            proposer,
            epoch=epoch,
            rounds=rounds,
            sent=(*proposer.sent, phase),
            replies=(),
        )

    def _deliveries(
        self, state: SystemState, index: int, position: int
    ) -> Iterator[tuple[str, SystemState]]:
        proposer = state.proposers[index]
        acceptor = state.acceptors[position]
        if not _can_reach(state, proposer, acceptor):
            return
        for phase in proposer.sent:
            register, reply = cached_handle_phase(acceptor.register, phase)
            awaited = _is_awaited(proposer, acceptor, phase, reply)
            updated = msgspec.structs.replace(acceptor, register=register)
            following = _with_acceptor(state, position, updated)
            label = f'{acceptor.name} handles {type(phase).__name__}'
            if register != acceptor.register and (
                self.lost_replies or not awaited
            ):
                yield f'{label} of {proposer.name}', following
            if awaited:
                replied = _with_reply(proposer, acceptor, reply)
                yield (
                    f'{label} of {proposer.name}, answered',
                    _with_proposer(following, index, replied),
                )

    def _change_steps(
        self, state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        newest = state.change.sets[-1]
        if newest.epoch == 1:
            yield (
                'change starts',
                _with_replica_set(state, self._start_change(state)),
            )
        if newest.following:
            yield from self._catch_up_steps(state)
            before = ReplicaSet(replicas=newest.replicas)
            if not self.catch_up or before.is_quorum(
                state.change.caught_up_from
            ):
                finished = finish_change(newest, newest.epoch)
                yield 'change ends', _with_replica_set(state, finished)
        for position, acceptor in enumerate(state.acceptors):
            if acceptor.epoch < newest.epoch:
                updated = msgspec.structs.replace(acceptor, epoch=newest.epoch)
                label = f'{acceptor.name} learns of epoch {newest.epoch}'
                yield label, _with_acceptor(state, position, updated)

    def _start_change(self, state: SystemState) -> ReplicaSet:
        all_names = frozenset(one.name for one in state.acceptors)
        change = SetChange(
            self.names[-1], Replica(self.joining, UNUSED_ADDRESS)
        )
        return start_change(state.change.sets[-1], change, all_names)

    def _catch_up_steps(
        self, state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        if not self.catch_up:
            return
        epoch = state.change.sets[-1].epoch
        if state.acceptors[-1].epoch != epoch:
            return
        for other in state.acceptors[:-1]:
            if (
                other.epoch == epoch
                and other.name not in state.change.caught_up_from
            ):
                yield f'catches up with {other.name}', _caught_up(state, other)


def _caught_up(state: SystemState, other: AcceptorState) -> SystemState:
    """Return the state after the joining replica catches up from another."""
    joining = state.acceptors[-1]
    merged = merge_registers(joining.register, other.register)
    caught_up_from = state.change.caught_up_from | {other.name}
    following = _with_acceptor(
        state,
        len(state.acceptors) - 1,
        msgspec.structs.replace(joining, register=merged),
    )
    change = msgspec.structs.replace(
        state.change, caught_up_from=caught_up_from
    )
    return msgspec.structs.replace(following, change=change)


def _advance(
    state: SystemState, proposer: ProposerState
) -> ProposerState | None:
    """Return the proposer after its phase has won, None if it has not."""
    if not proposer.sent:
        return None
    last = proposer.sent[-1]
    tally = Tally(
        state.change.sets[proposer.epoch - 1],
        unanimous=isinstance(last, Accept) and last.ballot.counter == 0,
        replies=dict(proposer.replies),
    )
    if tally.result() is not PhaseResult.won:
        return None
    if isinstance(last, Prepare):
        promises = [
            reply for _, reply in proposer.replies if isinstance(reply, Promise)
        ]
        value = _decide(proposer, choose_value(promises))[0]
        following = Ballot(last.ballot.counter + 1, 1, proposer.name)
        phase = Accept(KEY, last.ballot, value, following)
        return _send(proposer, phase)
    return _answer(proposer, last)


def _answer(proposer: ProposerState, last: Accept) -> ProposerState | None:
    """Return the proposer after its answer, with the phase of the next apply.

    The next apply uses the value and the following ballot of the last phase,
    as the production proposer does with its cache.
    """
    index = len(proposer.answers)
    if index == len(proposer.texts):
        return None
    answer = _decide(proposer, last.value)[1]
    answered = msgspec.structs.replace(
        proposer, answers=(*proposer.answers, answer)
    )
    if index + 1 == len(proposer.texts):
        return answered
    value = _decide(answered, last.value)[0]
    return _send(answered, Accept(KEY, last.following, value, NO_BALLOT))


def _send(proposer: ProposerState, phase: RoundPhase) -> ProposerState:
    return msgspec.structs.replace(
        proposer, sent=(*proposer.sent, phase), replies=()
    )


@lru_cache(maxsize=None)
def _decide(
    proposer: ProposerState, value: bytes
) -> tuple[bytes, tuple[int, str]]:
    """Return the new value of the register and the decision."""
    index = len(proposer.answers)
    text = proposer.texts[index]
    file, result = decide_apply(decode_accepted_file(value), index + 1, text)
    decision = (result.version, result.digest) if result.accepted else (0, '')
    return msgspec.msgpack.encode(file), decision


def _can_reach(
    state: SystemState, proposer: ProposerState, acceptor: AcceptorState
) -> bool:
    """Return True if an acceptor handles the phases of a proposer."""
    if acceptor.epoch != proposer.epoch:
        return False
    return acceptor.name in state.change.sets[proposer.epoch - 1].names


def _is_awaited(
    proposer: ProposerState,
    acceptor: AcceptorState,
    phase: RoundPhase,
    reply: PhaseReply,
) -> bool:
    """Return True if the proposer waits for this reply."""
    if not isinstance(reply, Promise | Accepted):
        return False
    answered = any(name == acceptor.name for name, _ in proposer.replies)
    return phase is proposer.sent[-1] and not answered


def _with_reply(
    proposer: ProposerState, acceptor: AcceptorState, reply: PhaseReply
) -> ProposerState:
    replies = (*proposer.replies, (acceptor.name, reply))
    return msgspec.structs.replace(
        proposer, replies=tuple(sorted(replies, key=lambda pair: pair[0]))
    )


def _with_proposer(
    state: SystemState, index: int, proposer: ProposerState
) -> SystemState:
    proposers = list(state.proposers)
    proposers[index] = proposer
    return msgspec.structs.replace(state, proposers=tuple(proposers))


def _with_acceptor(
    state: SystemState, position: int, acceptor: AcceptorState
) -> SystemState:
    acceptors = list(state.acceptors)
    acceptors[position] = acceptor
    return msgspec.structs.replace(state, acceptors=tuple(acceptors))


def _with_replica_set(
    state: SystemState, replica_set: ReplicaSet
) -> SystemState:
    change = msgspec.structs.replace(
        state.change, sets=(*state.change.sets, replica_set)
    )
    return msgspec.structs.replace(state, change=change)


def one_digest_per_version(view: dict[str, Any]) -> bool:
    """Return True if no version was accepted with two digests."""
    digests: dict[int, str] = {}
    for proposer in view['proposers']:
        for version, digest in proposer.answers:
            if version and digests.setdefault(version, digest) != digest:
                return False
    return True


def check(model: Model) -> dict[str, Any]:
    """Return the result of minicheck for a model."""

    def next_states(state: tuple[Any, ...]) -> list[tuple[str, Any]]:
        return [
            (label, _fields(following))
            for label, following in model.steps(SystemState(*state))
        ]

    invariant: Callable[[dict[str, Any]], bool] = one_digest_per_version
    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=FIELDS,
        initial=_fields(model.initial()),
        transitions=next_states,
        invariants={PROPERTY: invariant},
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


def _fields(state: SystemState) -> tuple[Any, ...]:
    return state.acceptors, state.proposers, state.change


cached_handle_phase = lru_cache(maxsize=None)(handle_phase)
REPLICA_NAMES = ('a', 'b', 'c')
CONCURRENT_APPLIES = ((b'x',), (b'y',))
CHAINED_APPLIES = ((b'x', b'x2'), (b'y', b'y2'))
MODELS = (
    Model('two applies race', REPLICA_NAMES, CONCURRENT_APPLIES, max_rounds=2),
    Model(
        'chained applies race',
        REPLICA_NAMES,
        CHAINED_APPLIES,
        lost_replies=True,
    ),
    Model(
        'first ballots',
        REPLICA_NAMES,
        CONCURRENT_APPLIES,
        first_ballots=True,
        max_rounds=2,
    ),
    Model(
        'first ballots alone',
        REPLICA_NAMES,
        CONCURRENT_APPLIES,
        first_ballots=True,
        chained=False,
        max_rounds=2,
    ),
    Model(
        'replace',
        REPLICA_NAMES,
        CONCURRENT_APPLIES,
        'd',
        epochs=((1,), (1, 2, 3)),
    ),
    Model(
        'replace, applies after',
        REPLICA_NAMES,
        CONCURRENT_APPLIES,
        'd',
        epochs=((2,), (3,)),
    ),
)
WITHOUT_CATCH_UP = Model(
    'no catch-up',
    REPLICA_NAMES,
    CONCURRENT_APPLIES,
    'd',
    epochs=((1,), (3,)),
    catch_up=False,
)


def main() -> int:
    """Check all models and return the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    failed = 0
    for model in MODELS:
        started = time.monotonic()
        result = check(model)
        elapsed = time.monotonic() - started
        holds = result['properties'][PROPERTY]['holds']
        failed += not holds
        states = result['reachable_states']
        print(f'{model.name}: {states} states in {elapsed:.1f} s, {holds}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
