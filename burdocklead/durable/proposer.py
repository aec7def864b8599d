"""Changes of registers through a quorum of replicas."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from burdocklead.connection.control_messages import ControlReply
from burdocklead.durable.register import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Conflict,
    Prepare,
    Promise,
    choose_value,
    next_ballot,
    quorum_size,
)
from burdocklead.exceptions import ControlError, QuorumError

MAX_ROUNDS = 12
BACKOFF_S = 0.01
REPLY_TIMEOUT_S = 1.0

ReplyT = TypeVar('ReplyT', Promise, Accepted)
Update = Callable[[bytes], bytes]


class Acceptor(Protocol):
    """A replica as the proposer sees it."""

    async def request(
        self, message: Prepare | Accept, timeout: float
    ) -> ControlReply:
        """Return the reply to a phase, or raise ControlError."""


@dataclass(slots=True)
class Proposer:
    """Runs rounds on registers.

    Attributes:
        replica_id: Replica that proposes.
        acceptors: All replicas, this one included.
        highest: Highest ballot seen so far.
    """

    replica_id: str
    acceptors: Sequence[Acceptor]
    jitter: random.Random = field(default_factory=random.Random)
    highest: Ballot = NO_BALLOT

    async def change(self, key: str, update: Update) -> bytes:
        """Return the value after the update was applied to the register.

        Raises:
            QuorumError: If no quorum answered or rounds kept conflicting.
        """
        for attempt in range(MAX_ROUNDS):
            value = await self._run_round(key, update)
            if value is not None:
                return value
            pause = BACKOFF_S * (attempt + 1) * self.jitter.random()
            await asyncio.sleep(pause)
        raise QuorumError('other proposers kept winning', step='propose')

    async def _run_round(self, key: str, update: Update) -> bytes | None:
        ballot = next_ballot(self.replica_id, self.highest)
        self.highest = ballot
        promises = await self._gather(Prepare(key, ballot), Promise)
        if promises is None:
            return None
        value = update(choose_value(promises))
        accepted = await self._gather(Accept(key, ballot, value), Accepted)
        return None if accepted is None else value

    async def _gather(
        self, message: Prepare | Accept, wanted: type[ReplyT]
    ) -> list[ReplyT] | None:
        wanted_count = quorum_size(len(self.acceptors))
        pending = [
            asyncio.ensure_future(acceptor.request(message, REPLY_TIMEOUT_S))
            for acceptor in self.acceptors
        ]
        replies: list[ReplyT] = []
        conflicted = False
        for completed in asyncio.as_completed(pending):
            reply = await _reply_or_none(completed)
            match reply:
                case Conflict(promised):
                    conflicted = True
                    self.highest = max(self.highest, promised)
                case _ if isinstance(reply, wanted):
                    replies.append(reply)
            if len(replies) == wanted_count:
                return replies
        if conflicted:
            return None
        raise QuorumError(
            f'{len(replies)} of {len(pending)} replicas answered',
            step='propose',
        )


async def _reply_or_none(
    completed: Awaitable[ControlReply],
) -> ControlReply | None:
    try:
        return await completed
    except ControlError:
        return None
