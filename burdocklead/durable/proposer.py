"""The CASPaxos proposer: reads and changes registers through a quorum."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from burdocklead.durable.key_locks import KeyLocks
from burdocklead.durable.register import (
    EMPTY_REGISTER,
    NO_BALLOT,
    Accept,
    Ballot,
    Held,
    Phase,
    PhaseReply,
    Prepare,
    Promise,
    Read,
    Register,
    choose_value,
    read_value,
)
from burdocklead.durable.replica_set import ReplicaSet
from burdocklead.durable.tally import PhaseResult, Tally
from burdocklead.exceptions import BurdockleadError, QuorumError

MAX_ROUNDS = 60
MIN_ROUND_TIME_S = 0.005
PHASE_TIMEOUT_S = 2.0
FIRST_BALLOT_TIMEOUT_S = 0.25
FIRST_BALLOT_PAUSE_S = 5.0
MAX_CACHED_REGISTERS = 8192
MAX_CACHED_BYTES = 4096
MAX_BALLOT_LEAD = 1024
PREEMPTION_WINDOW_S = 1.0
MAX_YIELD_S = 0.5
MAX_YIELD_DOUBLINGS = 10
MAX_PREEMPTED_REGISTERS = 1024
STEP = 'propose'

Update = Callable[[bytes], bytes]


def _always() -> bool:
    return True


def _empty_register(key: str) -> Register:
    return EMPTY_REGISTER


@dataclass(frozen=True, slots=True)
class Preemption:
    """Other proposers took over a register that this one wrote last.

    Attributes:
        at: Loop time in s of the last time.
        count: Number of times in a row, each soon after the one before.
    """

    at: float
    count: int


class Acceptor(Protocol):
    """A replica that handles phases, local or remote."""

    def submit(self, phase: Phase) -> asyncio.Future[PhaseReply]:
        """Send a phase; the future holds its reply or an error."""


@dataclass(slots=True)
class Proposer:
    """Runs rounds on registers.

    Attributes:
        replica_id: Replica that proposes.
        start: Start count of this replica.
        replicas: The replica set in force.
        acceptors: Acceptors by name, the local one included.
        counter: Counter of the last ballot; each ballot is used once.
        cached: Promised ballot and value of registers that this proposer
            wrote last, by key.
        preempted: Registers that other proposers took over recently, by key.
        first_ballots_paused_until: Loop time in s before which no first
            ballot is tried.
        all_reachable: Returns True if every replica answered recently; a
            first ballot needs all of them.
        read_local: Returns the state of a register at the local acceptor.
    """

    replica_id: str
    start: int
    replicas: ReplicaSet
    acceptors: Mapping[str, Acceptor]
    jitter: random.Random = field(default_factory=random.Random)
    counter: int = 0
    cached: OrderedDict[str, tuple[Ballot, bytes]] = field(
        default_factory=OrderedDict
    )
    preempted: OrderedDict[str, Preemption] = field(default_factory=OrderedDict)
    first_ballots_paused_until: float = 0
    all_reachable: Callable[[], bool] = _always
    read_local: Callable[[str], Register] = _empty_register
    locks: KeyLocks = field(default_factory=KeyLocks)

    async def change(
        self, key: str, update: Update, *, maybe_new: bool = False
    ) -> bytes:
        """Apply an update to a register and return the new value.

        Args:
            key: Key of the register.
            update: Returns the new value; may be called more than once.
            maybe_new: True if the register was probably never written.

        Raises:
            QuorumError: If no quorum answered or rounds kept conflicting;
                the update may still take effect.
        """
        loop = asyncio.get_running_loop()
        async with self.locks.hold(key):
            value = await self._run_fast_path(key, update, maybe_new)
            for lost_rounds in range(MAX_ROUNDS):
                if value is not None:
                    return value
                started = loop.time()
                value = await self._run_round(key, update, lost_rounds)
                if value is None:
                    await self._pause(loop.time() - started)
        raise QuorumError('other proposers kept winning', step=STEP)

    async def read(self, key: str) -> bytes:
        """Return the latest chosen value of a register.

        A quorum that accepted one ballot proves its value without a round.

        Raises:
            QuorumError: If no quorum answered or rounds kept conflicting.
        """
        local = self.read_local(key)
        tally = Tally(self.replicas)
        message = Read(key, local.accepted)
        if not await self._gather(message, tally, PHASE_TIMEOUT_S):
            self._check_quorum(tally)
            return await self.change(key, bytes)
        held = [
            reply for reply in tally.replies.values() if isinstance(reply, Held)
        ]
        value = read_value(held, local)
        return await self.change(key, bytes) if value is None else value

    async def _pause(self, round_time: float) -> None:
        """Wait for a random time of up to two rounds.

        The limit does not grow with the number of lost rounds: a proposer
        that lost would wait longer and longer, while the winner starts its
        next round at once and wins again.
        """
        limit = 2 * max(round_time, MIN_ROUND_TIME_S)
        await asyncio.sleep(limit * self.jitter.random())

    async def _run_fast_path(
        self, key: str, update: Update, maybe_new: bool
    ) -> bytes | None:
        cached = self.cached.pop(key, None)
        if cached is not None:
            return await self._change_cached(key, *cached, update)
        now = asyncio.get_running_loop().time()
        if now < self.first_ballots_paused_until or not self.all_reachable():
            return None
        if not maybe_new:
            return None
        return await self._accept_first_ballot(key, update(b''))

    async def _change_cached(
        self, key: str, ballot: Ballot, value: bytes, update: Update
    ) -> bytes | None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        accepted = await self._accept(key, ballot, update(value))
        if accepted is None:
            await self._yield_register(key, loop.time() - started)
        return accepted

    async def _yield_register(self, key: str, phase_time: float) -> None:
        """Wait for the proposer that took a register over.

        The wait doubles each time until it exceeds a round of the other
        proposer, which would lose each round to a faster one otherwise.
        """
        now = asyncio.get_running_loop().time()
        last = self.preempted.pop(key, None)
        is_repeated = last and now - last.at < PREEMPTION_WINDOW_S
        count = last.count + 1 if last and is_repeated else 0
        count = min(count, MAX_YIELD_DOUBLINGS)
        self.preempted[key] = Preemption(now, count)
        if len(self.preempted) > MAX_PREEMPTED_REGISTERS:
            self.preempted.popitem(last=False)
        limit = max(phase_time, MIN_ROUND_TIME_S) * ((1 << count) - 1)
        await asyncio.sleep(min(limit, MAX_YIELD_S))

    async def _accept_first_ballot(
        self, key: str, value: bytes
    ) -> bytes | None:
        ballot = Ballot(0, self.start, self.replica_id)
        tally = Tally(self.replicas, unanimous=True)
        message = Accept(key, ballot, value, self._next_ballot())
        if await self._gather(message, tally, FIRST_BALLOT_TIMEOUT_S):
            self._cache(key, message)
            return value
        if tally.promised == NO_BALLOT:
            now = asyncio.get_running_loop().time()
            self.first_ballots_paused_until = now + FIRST_BALLOT_PAUSE_S
        return None

    async def _run_round(
        self, key: str, update: Update, lost_rounds: int
    ) -> bytes | None:
        ballot = self._next_ballot(_ballot_lead(lost_rounds))
        tally = Tally(self.replicas)
        local = self.read_local(key)
        message = Prepare(key, ballot, local.accepted)
        won = await self._gather(message, tally, PHASE_TIMEOUT_S)
        if not won:
            self._check_quorum(tally)
            return None
        promises = [
            reply
            for reply in tally.replies.values()
            if isinstance(reply, Promise)
        ]
        return await self._accept(
            key, ballot, update(choose_value(promises, local))
        )

    async def _accept(
        self, key: str, ballot: Ballot, value: bytes
    ) -> bytes | None:
        message = Accept(key, ballot, value, self._next_ballot())
        tally = Tally(self.replicas)
        if await self._gather(message, tally, PHASE_TIMEOUT_S):
            self._cache(key, message)
            return value
        self._check_quorum(tally)
        return None

    async def _gather(
        self, message: Phase, tally: Tally, timeout: float
    ) -> bool:
        """Send a phase to all replicas; return True once it succeeded.

        If the replica set changed meanwhile, the replies may come from
        either epoch, so the phase counts as failed.
        """
        decided: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        for name in tally.replicas.names:
            future = self.acceptors[name].submit(message)
            future.add_done_callback(_reply_recorder(name, tally, decided))
        try:
            async with asyncio.timeout(timeout):
                won = await decided
        except TimeoutError:
            won = False
        if not won:
            # A winner that outbid the conflicts of a minority would keep any
            # slower proposer from ever reaching a quorum.
            self.counter = max(self.counter, tally.promised.counter)
        return won and self.replicas is tally.replicas

    def use_replica_set(
        self, replicas: ReplicaSet, acceptors: Mapping[str, Acceptor]
    ) -> None:
        """Switch to another replica set; rounds in progress start again."""
        self.replicas = replicas
        self.acceptors = acceptors
        self.cached.clear()

    def _check_quorum(self, tally: Tally) -> None:
        if self.replicas is not tally.replicas:
            return
        if tally.promised == NO_BALLOT:
            count = len(tally.replies)
            total = len(tally.replicas.names)
            reason = f'{count} of {total} replicas answered'
            raise QuorumError(reason, step=STEP)

    def _cache(self, key: str, message: Accept) -> None:
        if len(message.value) > MAX_CACHED_BYTES:
            return
        self.cached[key] = (message.following, message.value)
        if len(self.cached) > MAX_CACHED_REGISTERS:
            self.cached.popitem(last=False)

    def _next_ballot(self, lead: int = 1) -> Ballot:
        self.counter += lead
        return Ballot(self.counter, self.start, self.replica_id)


def _ballot_lead(lost_rounds: int) -> int:
    """Return by how much the next ballot exceeds the highest known one.

    While a ballot travels, a proposer that keeps its promise between changes
    raises the promised ballot with each change. Only a ballot above all of
    these wins, so the lead doubles with each lost round.
    """
    return min(1 << lost_rounds, MAX_BALLOT_LEAD)


def _reply_recorder(
    name: str, tally: Tally, decided: asyncio.Future[bool]
) -> Callable[[asyncio.Future[PhaseReply]], None]:
    def record(future: asyncio.Future[PhaseReply]) -> None:
        tally.add(name, _reply_of(future))
        result = tally.result()
        if result is not None and not decided.done():
            decided.set_result(result is PhaseResult.won)

    return record


def _reply_of(future: asyncio.Future[PhaseReply]) -> PhaseReply | None:
    if future.cancelled():
        return None
    error = future.exception()
    if error is None:
        return future.result()
    if isinstance(error, BurdockleadError):
        return None
    raise error
