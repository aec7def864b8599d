"""Model check of the registers over the product's own functions.

Every interleaving of the messages of two operators' applies is explored,
each message lost, late or delivered. The second model adds a replica set
change that replaces one replica; as any replica may stay silent at any time,
the loss of a second one right after the repair is among the runs.
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

from burdocklead.durable.configuration import decide_apply, decode_file
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

PROPERTY = 'one digest a version'
MAX_STATES = 2_000_000
KEY = 'configuration'
NOWHERE = Address('127.0.0.1', 0)
FIELDS = ('acceptors', 'proposers', 'change')


class AcceptorState(msgspec.Struct, frozen=True):
    """One replica: the epoch it is in and its register."""

    name: str
    epoch: int = 1
    register: Register = EMPTY_REGISTER


class ProposerState(msgspec.Struct, frozen=True):
    """One apply: its phases sent so far and the replies to the last.

    Attributes:
        name: Replica that proposes.
        texts: Files to apply, one after the other, versions from 1.
        epoch: Epoch of its round.
        sent: Phases that may still arrive anywhere.
        replies: Replies to the last phase, by replica.
        rounds: Rounds begun.
        answers: Decisions told to the operator: version and digest.
    """

    name: str
    texts: tuple[bytes, ...]
    epoch: int = 0
    sent: tuple[RoundPhase, ...] = ()
    replies: tuple[tuple[str, PhaseReply], ...] = ()
    rounds: int = 0
    answers: tuple[tuple[int, str], ...] = ()


class ChangeState(msgspec.Struct, frozen=True):
    """How far the change of the replica set is.

    Attributes:
        sets: Replica sets decided so far, by epoch from 1.
        read: Replicas that the joining one has caught up with.
    """

    sets: tuple[ReplicaSet, ...]
    read: frozenset[str] = frozenset()


class SystemState(msgspec.Struct, frozen=True):
    """The whole system."""

    acceptors: tuple[AcceptorState, ...]
    proposers: tuple[ProposerState, ...]
    change: ChangeState


@dataclass(frozen=True, slots=True)
class Model:
    """What is explored.

    Attributes:
        name: Name of the model.
        names: Replicas of the first set.
        applies: Files of each operator.
        joining: Replica that replaces the last one, empty for no change.
        first_ballots: True if proposers try first ballots.
        chained: False if first ballots promise no following ballot.
        max_rounds: Rounds of each proposer.
        catch_up: False leaves out the rule that a replica catches up.
        epochs: Epochs in which each proposer may begin.
        lost_replies: True if a delivered phase may stay unanswered while
            its proposer still waits; else it is only answered or late.
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
        """Return the state before anything happened."""
        replicas = tuple(Replica(name, NOWHERE) for name in self.names)
        everyone = (*self.names, *filter(None, (self.joining,)))
        return SystemState(
            tuple(AcceptorState(name) for name in everyone),
            tuple(
                ProposerState(self.names[index], texts)
                for index, texts in enumerate(self.applies)
            ),
            ChangeState((ReplicaSet(1, replicas),)),
        )

    def steps(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Return every step that is possible."""
        for index, proposer in enumerate(state.proposers):
            for label, following in self._proposer_steps(state, index):
                yield label, _with_proposer(state, index, following)
            for place, _ in enumerate(state.acceptors):
                yield from self._deliveries(state, index, place)
        if self.joining:
            yield from self._change_steps(state)

    def _proposer_steps(
        self, state: SystemState, index: int
    ) -> Iterator[tuple[str, ProposerState]]:
        proposer = state.proposers[index]
        following = _advance(state, proposer)
        if following is not None:
            yield f'{proposer.name} goes on', following
        if proposer.rounds >= self.max_rounds:
            return
        if len(proposer.answers) < len(proposer.texts):
            for epoch in self.epochs[index]:
                if epoch <= len(state.change.sets):
                    label = f'{proposer.name} begins in epoch {epoch}'
                    yield label, self._begin(proposer, epoch)

    def _begin(self, proposer: ProposerState, epoch: int) -> ProposerState:
        rounds = proposer.rounds + 1
        ballot = Ballot(rounds * 2, 1, proposer.name)
        phase: RoundPhase = Prepare(KEY, ballot)
        if self.first_ballots and rounds == 1:
            value = _updated(proposer, b'')[0]
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
        self, state: SystemState, index: int, place: int
    ) -> Iterator[tuple[str, SystemState]]:
        proposer = state.proposers[index]
        acceptor = state.acceptors[place]
        if not _reaches(state, proposer, acceptor):
            return
        for phase in proposer.sent:
            register, reply = handled(acceptor.register, phase)
            counts = _counts(proposer, acceptor, phase, reply)
            moved = msgspec.structs.replace(acceptor, register=register)
            following = _with_acceptor(state, place, moved)
            label = f'{acceptor.name} handles {type(phase).__name__}'
            if register != acceptor.register and (
                self.lost_replies or not counts
            ):
                yield f'{label} of {proposer.name}', following
            if counts:
                heard = _heard(proposer, acceptor, reply)
                yield (
                    f'{label} of {proposer.name}, answered',
                    _with_proposer(following, index, heard),
                )

    def _change_steps(
        self, state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        newest = state.change.sets[-1]
        if newest.epoch == 1:
            yield 'change starts', _with_set(state, self._started(state))
        if newest.following:
            yield from self._catch_up_steps(state)
            before = ReplicaSet(replicas=newest.replicas)
            if not self.catch_up or before.is_quorum(state.change.read):
                finished = finish_change(newest, newest.epoch)
                yield 'change ends', _with_set(state, finished)
        for place, acceptor in enumerate(state.acceptors):
            if acceptor.epoch < newest.epoch:
                moved = msgspec.structs.replace(acceptor, epoch=newest.epoch)
                label = f'{acceptor.name} learns of epoch {newest.epoch}'
                yield label, _with_acceptor(state, place, moved)

    def _started(self, state: SystemState) -> ReplicaSet:
        everyone = frozenset(one.name for one in state.acceptors)
        wanted = SetChange(self.names[-1], Replica(self.joining, NOWHERE))
        return start_change(state.change.sets[-1], wanted, everyone)

    def _catch_up_steps(
        self, state: SystemState
    ) -> Iterator[tuple[str, SystemState]]:
        if not self.catch_up:
            return
        epoch = state.change.sets[-1].epoch
        if state.acceptors[-1].epoch != epoch:
            return
        for other in state.acceptors[:-1]:
            if other.epoch == epoch and other.name not in state.change.read:
                yield f'catches up with {other.name}', _caught_up(state, other)


def _caught_up(state: SystemState, other: AcceptorState) -> SystemState:
    """Return the state after the joining replica read another one."""
    joining = state.acceptors[-1]
    merged = merge_registers(joining.register, other.register)
    read = state.change.read | {other.name}
    following = _with_acceptor(
        state,
        len(state.acceptors) - 1,
        msgspec.structs.replace(joining, register=merged),
    )
    change = msgspec.structs.replace(state.change, read=read)
    return msgspec.structs.replace(following, change=change)


def _advance(
    state: SystemState, proposer: ProposerState
) -> ProposerState | None:
    """Return the proposer after it acts on its replies, None if it waits."""
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
        value = _updated(proposer, choose_value(promises))[0]
        following = Ballot(last.ballot.counter + 1, 1, proposer.name)
        phase = Accept(KEY, last.ballot, value, following)
        return _send(proposer, phase)
    return _answer(proposer, last)


def _answer(proposer: ProposerState, last: Accept) -> ProposerState | None:
    """Return the proposer after its answer; it goes on from its cache."""
    index = len(proposer.answers)
    if index == len(proposer.texts):
        return None
    answer = _updated(proposer, last.value)[1]
    answered = msgspec.structs.replace(
        proposer, answers=(*proposer.answers, answer)
    )
    if index + 1 == len(proposer.texts):
        return answered
    value = _updated(answered, last.value)[0]
    return _send(answered, Accept(KEY, last.following, value, NO_BALLOT))


def _send(proposer: ProposerState, phase: RoundPhase) -> ProposerState:
    return msgspec.structs.replace(
        proposer, sent=(*proposer.sent, phase), replies=()
    )


@lru_cache(maxsize=None)
def _updated(
    proposer: ProposerState, value: bytes
) -> tuple[bytes, tuple[int, str]]:
    """Return the register's new value and the decision, as the product."""
    index = len(proposer.answers)
    text = proposer.texts[index]
    file, result = decide_apply(decode_file(value), index + 1, text)
    decision = (result.version, result.digest) if result.accepted else (0, '')
    return msgspec.msgpack.encode(file), decision


def _reaches(
    state: SystemState, proposer: ProposerState, acceptor: AcceptorState
) -> bool:
    """Return True if an acceptor handles the phases of a proposer."""
    if acceptor.epoch != proposer.epoch:
        return False
    return acceptor.name in state.change.sets[proposer.epoch - 1].names


def _counts(
    proposer: ProposerState,
    acceptor: AcceptorState,
    phase: RoundPhase,
    reply: PhaseReply,
) -> bool:
    """Return True if the proposer still waits for this reply."""
    if not isinstance(reply, Promise | Accepted):
        return False
    answered = any(name == acceptor.name for name, _ in proposer.replies)
    return phase is proposer.sent[-1] and not answered


def _heard(
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
    state: SystemState, place: int, acceptor: AcceptorState
) -> SystemState:
    acceptors = list(state.acceptors)
    acceptors[place] = acceptor
    return msgspec.structs.replace(state, acceptors=tuple(acceptors))


def _with_set(state: SystemState, replica_set: ReplicaSet) -> SystemState:
    change = msgspec.structs.replace(
        state.change, sets=(*state.change.sets, replica_set)
    )
    return msgspec.structs.replace(state, change=change)


def one_digest_a_version(view: dict[str, Any]) -> bool:
    """Return True if no version was accepted with two contents."""
    seen: dict[int, str] = {}
    for proposer in view['proposers']:
        for version, digest in proposer.answers:
            if version and seen.setdefault(version, digest) != digest:
                return False
    return True


def check(model: Model) -> dict[str, Any]:
    """Return minicheck's result for a model."""

    def transitions(state: tuple[Any, ...]) -> list[tuple[str, Any]]:
        return [
            (label, _fields(following))
            for label, following in model.steps(SystemState(*state))
        ]

    invariant: Callable[[dict[str, Any]], bool] = one_digest_a_version
    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=FIELDS,
        initial=_fields(model.initial()),
        transitions=transitions,
        invariants={PROPERTY: invariant},
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


def _fields(state: SystemState) -> tuple[Any, ...]:
    return state.acceptors, state.proposers, state.change


handled = lru_cache(maxsize=None)(handle_phase)
THREE = ('a', 'b', 'c')
RACE = ((b'x',), (b'y',))
CHAINS = ((b'x', b'x2'), (b'y', b'y2'))
MODELS = (
    Model('two applies race', THREE, RACE, max_rounds=2),
    Model('chained applies race', THREE, CHAINS, lost_replies=True),
    Model('first ballots', THREE, RACE, first_ballots=True, max_rounds=2),
    Model(
        'first ballots alone',
        THREE,
        RACE,
        first_ballots=True,
        chained=False,
        max_rounds=2,
    ),
    Model('replace', THREE, RACE, 'd', epochs=((1,), (1, 2, 3))),
    Model('replace, applies after', THREE, RACE, 'd', epochs=((2,), (3,))),
)
WITHOUT_CATCH_UP = Model(
    'no catch-up', THREE, RACE, 'd', epochs=((1,), (3,)), catch_up=False
)


def main() -> int:
    """Check every model and return the exit code."""
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
