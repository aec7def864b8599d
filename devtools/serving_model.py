"""Model checks which value of a register replicas serve.

Explores every interleaving of one change, the end of its proposer at any
moment, and what the replicas do by themselves: each may read its register from
a quorum, and tell the others what it serves. Messages are delayed, delivered
or, when their sender ends, lost. The decisions are the production functions.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import msgspec
from minicheck import Protocol, check_safety

from burdocklead.durable.configuration import (
    CONFIGURATION_KEY,
    NO_FILE,
    AcceptedFile,
    decide_apply,
    decode_accepted_file,
)
from burdocklead.durable.decided_register import DecidedRegister
from burdocklead.durable.register import (
    EMPTY_REGISTER,
    Accept,
    Accepted,
    Ballot,
    Conflict,
    Held,
    Phase,
    PhaseReply,
    Prepare,
    Promise,
    Read,
    Register,
    choose_value,
    handle_phase,
    quorum_size,
    read_value,
)

KEY = CONFIGURATION_KEY
MAX_STATES = 3_000_000
NAMES = ('a', 'b', 'c')
PROPOSER = 'a'
TEXT = b'x'
CHANGE_BALLOT = Ballot(1, 1, PROPOSER)
MAX_COUNTER = 2  # Of rounds; those of the replicas that confirm begin with 2.
ONLY_DECIDED = 'only decided values are served'
ALL_SERVED = 'what was acknowledged is served by all replicas in the end'


class Node(msgspec.Struct, frozen=True):
    """A replica.

    Attributes:
        name: Its name.
        register: State of its register.
        served: Value that it hands to daemons, empty before the first.
        running: False once it has ended.
    """

    name: str
    register: Register = EMPTY_REGISTER
    served: bytes = b''
    running: bool = True


class Task(msgspec.Struct, frozen=True):
    """A change or a confirmation by one replica.

    Attributes:
        name: Replica that proposes.
        sent: The latest phase, which may be delivered at any later time.
        local: State of its own register when it began.
        replies: Replies to the latest phase, by replica.
        gave_up: True if it lost more rounds than the model follows.
    """

    name: str
    sent: Phase | None = None
    local: Register = EMPTY_REGISTER
    replies: tuple[tuple[str, PhaseReply], ...] = ()
    gave_up: bool = False


class State(msgspec.Struct, frozen=True):
    """State of the whole system.

    Attributes:
        nodes: The replicas.
        tasks: One task per replica.
        accepts: Ballots with the replicas that have accepted them.
        acknowledged: Value that the operator knows to be in force.
    """

    nodes: tuple[Node, ...]
    tasks: tuple[Task, ...]
    accepts: frozenset[tuple[Ballot, bytes, str]] = frozenset()
    acknowledged: bytes = b''


@dataclass(frozen=True, slots=True)
class ServingModel:
    """A model and its transitions.

    Attributes:
        name: Name of the model.
        confirms: False if replicas never read their registers by themselves.
        reads_quorum: False if they serve what their own register holds.
    """

    name: str
    confirms: bool = True
    reads_quorum: bool = True

    def initial(self) -> State:
        """Return the initial state: a change that was just sent.

        The proposer changed the register before and skips the first phase.
        """
        file = decide_apply(NO_FILE, 1, TEXT)[0]
        value = msgspec.msgpack.encode(file)
        tasks = [Task(name) for name in NAMES]
        tasks[0] = Task(PROPOSER, Accept(KEY, CHANGE_BALLOT, value))
        return State(tuple(map(Node, NAMES)), tuple(tasks))

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and next state of every possible step."""
        yield from _end_steps(state)
        for index, task in enumerate(state.tasks):
            yield from _delivery_steps(state, index)
            if state.nodes[index].running and task.sent is not None:
                yield from _advance_steps(state, index)
            elif self.confirms and state.nodes[index].running:
                yield from self._confirm_steps(state, index)
        yield from _announce_steps(state)

    def _confirm_steps(
        self, state: State, index: int
    ) -> Iterator[tuple[str, State]]:
        node = state.nodes[index]
        if state.tasks[index].gave_up or not _holds_newer(node):
            return
        if not self.reads_quorum:
            serving = _with_served(state, index, node.register.value)
            yield f'{node.name} serves its register', serving
            return
        phase = Read(KEY, node.register.accepted)
        reading = Task(node.name, phase, node.register)
        yield f'{node.name} confirms', _with_task(state, index, reading)


def _end_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yield the ends of the proposer: its messages are late or lost."""
    if not state.nodes[0].running:
        return
    ended = msgspec.structs.replace(state.nodes[0], running=False)
    following = _with_node(state, 0, ended)
    yield f'{PROPOSER} ends', following
    silent = Task(PROPOSER, gave_up=True)
    yield f'{PROPOSER} ends, messages lost', _with_task(following, 0, silent)


def _delivery_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
    task = state.tasks[index]
    if task.sent is None:
        return
    answered = dict(task.replies)
    for position, node in enumerate(state.nodes):
        if node.running and node.name not in answered:
            label = f'{node.name} handles {type(task.sent).__name__}'
            yield label, _delivered(state, index, position, task.sent)


def _delivered(state: State, index: int, position: int, phase: Phase) -> State:
    """Return the state after a replica has handled a phase of a task."""
    task, node = state.tasks[index], state.nodes[position]
    register, reply = cached_handle_phase(node.register, phase)
    updated = msgspec.structs.replace(node, register=register)
    following = _with_node(state, position, updated)
    if isinstance(phase, Accept) and isinstance(reply, Accepted):
        accept = (phase.ballot, phase.value, node.name)
        following = msgspec.structs.replace(
            following, accepts=following.accepts | {accept}
        )
    replies = sorted((*task.replies, (node.name, reply)), key=_first)
    replied = msgspec.structs.replace(task, replies=tuple(replies))
    return _with_task(following, index, replied)


def _first(pair: tuple[str, PhaseReply]) -> str:
    return pair[0]


def _advance_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
    task = state.tasks[index]
    replies = [reply for _, reply in task.replies]
    agreed = [reply for reply in replies if not isinstance(reply, Conflict)]
    if len(agreed) >= quorum_size(len(NAMES)):
        yield f'{task.name} goes on', _advanced(state, index, agreed)
    elif len(replies) - len(agreed) > len(NAMES) - quorum_size(len(NAMES)):
        yield f'{task.name} lost a round', _restarted(state, index)


def _advanced(state: State, index: int, agreed: Sequence[PhaseReply]) -> State:
    """Return the state after the latest phase of a task has won."""
    task = state.tasks[index]
    match task.sent:
        case Read():
            held = [reply for reply in agreed if isinstance(reply, Held)]
            value = read_value(held, task.local)
            if value is None:
                return _restarted(state, index)
            return _decided(state, index, value)
        case Prepare(ballot=ballot):
            promises = [one for one in agreed if isinstance(one, Promise)]
            value = choose_value(promises, task.local)
            phase = Accept(KEY, ballot, value)
            accepting = msgspec.structs.replace(task, sent=phase, replies=())
            return _with_task(state, index, accepting)
        case Accept(value=value):
            return _decided(state, index, value)
    raise ValueError(task)


def _decided(state: State, index: int, value: bytes) -> State:
    """Return the state after a replica knows a decided value."""
    task = state.tasks[index]
    following = _with_task(state, index, Task(task.name))
    if task.name == PROPOSER and isinstance(task.sent, Accept):
        following = msgspec.structs.replace(following, acknowledged=value)
    if _version(value) > _version(state.nodes[index].served):
        following = _with_served(following, index, value)
    return following


def _restarted(state: State, index: int) -> State:
    """Return the state after a task starts its next round."""
    task = state.tasks[index]
    counter = 1
    if isinstance(task.sent, Prepare | Accept):
        counter = task.sent.ballot.counter
    if counter == MAX_COUNTER or task.name == PROPOSER:
        return _with_task(state, index, Task(task.name, gave_up=True))
    local = state.nodes[index].register
    ballot = Ballot(counter + 1, 1, task.name)
    phase = Prepare(KEY, ballot, local.accepted)
    return _with_task(state, index, Task(task.name, phase, local))


def _announce_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yield what a running replica learns from the one that serves most."""
    running = [node for node in state.nodes if node.running]
    newest = max(running, key=_served_version)
    for position, node in enumerate(state.nodes):
        if node.running and _served_version(node) < _served_version(newest):
            label = f'{node.name} learns from {newest.name}'
            yield label, _with_served(state, position, newest.served)


def _served_version(node: Node) -> int:
    return _version(node.served)


def _holds_newer(node: Node) -> bool:
    decided = DecidedRegister(
        KEY, decode_accepted_file, _version_of, _ignore, _file(node.served)
    )
    return decided.holds_newer(node.register)


def _ignore(file: AcceptedFile) -> None:
    """Do nothing with a newer file."""


def _version_of(file: AcceptedFile) -> int:
    return file.version


@lru_cache(maxsize=None)
def _file(value: bytes) -> AcceptedFile:
    return decode_accepted_file(value) if value else NO_FILE


def _version(value: bytes) -> int:
    return _file(value).version


def _with_node(state: State, position: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[position] = node
    return msgspec.structs.replace(state, nodes=tuple(nodes))


def _with_served(state: State, position: int, value: bytes) -> State:
    node = msgspec.structs.replace(state.nodes[position], served=value)
    return _with_node(state, position, node)


def _with_task(state: State, index: int, task: Task) -> State:
    tasks = list(state.tasks)
    tasks[index] = task
    return msgspec.structs.replace(state, tasks=tuple(tasks))


def only_decided(view: dict[str, Any]) -> bool:
    """Return True if all served values were accepted by a quorum."""
    counts = Counter((ballot, value) for ballot, value, _ in view['accepts'])
    decided = {
        value
        for (_, value), count in counts.items()
        if count >= quorum_size(len(NAMES))
    }
    return all(
        not node.served or node.served in decided for node in view['nodes']
    )


def all_served(view: dict[str, Any]) -> bool:
    """Return True unless nothing more happens and a replica serves less."""
    state = State(
        view['nodes'], view['tasks'], view['accepts'], view['acknowledged']
    )
    if not state.acknowledged or any(task.gave_up for task in state.tasks[1:]):
        return True
    if next(view['model'].steps(state), None) is not None:
        return True
    return all(
        node.served == state.acknowledged
        for node in state.nodes
        if node.running
    )


def check(model: ServingModel) -> dict[str, Any]:
    """Return the result of minicheck for a model."""

    def next_states(state: tuple[Any, ...]) -> list[tuple[str, Any]]:
        return [
            (label, _fields(following))
            for label, following in model.steps(State(*state))
        ]

    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=('nodes', 'tasks', 'accepts', 'acknowledged'),
        initial=_fields(model.initial()),
        transitions=next_states,
        invariants={
            ONLY_DECIDED: only_decided,
            ALL_SERVED: lambda view: all_served({**view, 'model': model}),
        },
    )
    result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
    return result


def _fields(state: State) -> tuple[Any, ...]:
    return state.nodes, state.tasks, state.accepts, state.acknowledged


cached_handle_phase = lru_cache(maxsize=None)(handle_phase)
SERVING = ServingModel('serving')
WITHOUT_CONFIRMATION = ServingModel('serving, no confirmation', confirms=False)
WITHOUT_QUORUM = ServingModel('serving, no quorum read', reads_quorum=False)
EXPECTED = {
    SERVING: {ONLY_DECIDED: True, ALL_SERVED: True},
    WITHOUT_CONFIRMATION: {ONLY_DECIDED: True, ALL_SERVED: False},
    WITHOUT_QUORUM: {ONLY_DECIDED: False, ALL_SERVED: True},
}


def main() -> int:
    """Check all models and return the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    failed = 0
    for model, expected in EXPECTED.items():
        started = time.monotonic()
        result = check(model)
        elapsed = time.monotonic() - started
        states = result['reachable_states']
        holds = {
            name: found['holds'] for name, found in result['properties'].items()
        }
        failed += holds != expected
        print(f'{model.name}: {states} states in {elapsed:.1f} s, {holds}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
