"""Counts the replies to one phase; without I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdocklead.durable.register import (
    NO_BALLOT,
    Ballot,
    Conflict,
    PhaseReply,
)
from burdocklead.durable.replica_set import ReplicaSet


class PhaseResult(enum.Enum):
    """Outcome of a phase."""

    won = 'won'
    conflict = 'conflict'
    no_quorum = 'no quorum'


@dataclass(slots=True)
class Tally:
    """Replies to one phase.

    Attributes:
        replicas: The replica set in force.
        unanimous: True if every replica must agree.
        replies: Positive replies, by replica.
        failed: Replicas that reported a conflict or did not reply.
        promised: Highest ballot reported by a conflict.
    """

    replicas: ReplicaSet
    unanimous: bool = False
    replies: dict[str, PhaseReply] = field(default_factory=dict)
    failed: set[str] = field(default_factory=set)
    promised: Ballot = NO_BALLOT

    def add(self, replica_id: str, reply: PhaseReply | None) -> None:
        """Record the reply of a replica, None if it did not reply."""
        match reply:
            case Conflict(promised):
                self.failed.add(replica_id)
                self.promised = max(self.promised, promised)
            case None:
                self.failed.add(replica_id)
            case _:
                self.replies[replica_id] = reply

    def result(self) -> PhaseResult | None:
        """Return the result, None while it depends on further replies."""
        agreed = self.replies.keys()
        if self._suffices(agreed):
            return PhaseResult.won
        if self._suffices(self.replicas.names - self.failed):
            return None
        if self.promised == NO_BALLOT:
            return PhaseResult.no_quorum
        return PhaseResult.conflict

    def _suffices(self, names: Iterable[str]) -> bool:
        present = frozenset(names)
        if self.unanimous:
            return present >= self.replicas.names
        return self.replicas.is_quorum(present)
