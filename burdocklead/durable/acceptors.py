"""Acceptors: the local one, and remote ones that are sent batches."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from burdocklead.durable.group_commit import GroupCommit
from burdocklead.durable.register import (
    Accept,
    Conflict,
    Phase,
    PhaseReply,
    Read,
    Register,
    handle_phase,
)
from burdocklead.exceptions import BurdockleadError, ControlError

MAX_BATCH_PHASES = 256
MAX_BATCH_BYTES = 262144
MAX_BATCHES_IN_FLIGHT = 1
PHASE_OVERHEAD_BYTES = 100

WaitingPhase = tuple[Phase, asyncio.Future[PhaseReply]]
BatchSender = Callable[[tuple[Phase, ...]], Awaitable[Sequence[PhaseReply]]]


@dataclass(slots=True)
class LocalAcceptor:
    """Handles phases on the registers of this replica."""

    commits: GroupCommit

    def submit(self, phase: Phase) -> asyncio.Future[PhaseReply]:
        """Handle a phase; the reply is set once its change is synced."""
        future: asyncio.Future[PhaseReply]
        future = asyncio.get_running_loop().create_future()
        replies, synced = self.handle((phase,))

        def complete(done: asyncio.Future[None]) -> None:
            error = done.exception()
            if future.done():
                return
            if error is None:
                future.set_result(replies[0])
            else:
                future.set_exception(error)

        if synced is None:
            future.set_result(replies[0])
        else:
            synced.add_done_callback(complete)
        return future

    async def reply_to(self, phases: Sequence[Phase]) -> tuple[PhaseReply, ...]:
        """Handle a batch and return its replies once all changes are synced.

        Raises:
            StorageError: If the changes could not be written.
        """
        replies, synced = self.handle(phases)
        if synced is not None:
            await asyncio.shield(synced)
        return replies

    def handle(
        self, phases: Sequence[Phase]
    ) -> tuple[tuple[PhaseReply, ...], asyncio.Future[None] | None]:
        """Return the replies and the sync that they must wait for, if any.

        A repeated phase is written again, because its first write may not
        be synced yet. The reply to a read waits until the state that it
        reports is synced.
        """
        changes: dict[str, Register] = {}
        replies = []
        unsynced = False
        for phase in phases:
            register = changes.get(phase.key) or self.commits.read(phase.key)
            updated, reply = handle_phase(register, phase)
            if isinstance(phase, Read):
                unsynced = unsynced or self.commits.is_unsynced(phase.key)
            elif not isinstance(reply, Conflict):
                changes[phase.key] = updated
            replies.append(reply)
        if changes or unsynced:
            return tuple(replies), self.commits.write(changes)
        return tuple(replies), None


@dataclass(slots=True)
class BatchingAcceptor:
    """Sends phases to a remote replica; queued phases share a message.

    Attributes:
        name: Name of the replica.
        send: Sends one batch and returns its replies.
        waiting: Queued phases, with the futures of their replies.
        in_flight: Number of batches without a reply.
    """

    name: str
    send: BatchSender
    waiting: deque[WaitingPhase] = field(default_factory=deque)
    in_flight: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def submit(self, phase: Phase) -> asyncio.Future[PhaseReply]:
        """Queue a phase for the next batch and return its reply."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[PhaseReply] = loop.create_future()
        self.waiting.append((phase, future))
        if len(self.waiting) == 1:
            loop.call_soon(self._start_batch)
        return future

    def _start_batch(self) -> None:
        if not self.waiting or self.in_flight >= MAX_BATCHES_IN_FLIGHT:
            return
        batch = self._take_batch()
        self.in_flight += 1
        task = asyncio.get_running_loop().create_task(self._run_batch(batch))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _take_batch(self) -> list[WaitingPhase]:
        batch: list[WaitingPhase] = []
        size = 0
        while self.waiting and len(batch) < MAX_BATCH_PHASES:
            size += _estimated_size(self.waiting[0][0])
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self.waiting.popleft())
        return batch

    async def _run_batch(self, batch: list[WaitingPhase]) -> None:
        phases = tuple(phase for phase, _ in batch)
        try:
            replies = await self.send(phases)
        except BurdockleadError as error:
            self._fail([*batch, *self.waiting], error)
            self.waiting.clear()
        else:
            self._complete(batch, replies)
        finally:
            self.in_flight -= 1
        self._start_batch()

    def _complete(
        self,
        batch: list[WaitingPhase],
        replies: Sequence[PhaseReply],
    ) -> None:
        if len(replies) != len(batch):
            reason = f'{len(replies)} replies to {len(batch)} phases'
            error = ControlError(reason, step='propose', peer=self.name)
            self._fail(batch, error)
            return
        for (_, future), reply in zip(batch, replies, strict=True):
            if not future.done():
                future.set_result(reply)

    def _fail(
        self,
        batch: Sequence[WaitingPhase],
        error: BurdockleadError,
    ) -> None:
        for _, future in batch:
            if not future.done():
                future.set_exception(error)


def _estimated_size(phase: Phase) -> int:
    if isinstance(phase, Accept):
        return PHASE_OVERHEAD_BYTES + len(phase.value)
    return PHASE_OVERHEAD_BYTES
