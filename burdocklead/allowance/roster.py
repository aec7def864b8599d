"""Fallback shares of the daemons as the lease holder knows them, without I/O.

A daemon that hears from no lease holder uses a fixed share of each limit. The
lease holder reserves the shares of the daemons that may do so now. The shares
of all daemons are in the lease register before a daemon is told its share, so
that the next lease holder reserves them too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdocklead.allowance.limits import AllowanceRules
from burdocklead.allowance.messages import GrantRequest

MAX_UNCONFIRMED = 64
NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class SentReply:
    """A reply whose receipt the daemon has not confirmed.

    Attributes:
        number: Number of the reply.
        at: Boot time in s at which its request was received.
        share: Fallback share in the reply.
    """

    number: int
    at: float
    share: float


@dataclass(slots=True)
class DaemonRecord:
    """What the lease holder knows of one daemon.

    Attributes:
        heard_at: Boot time in s of its last request.
        confirmed_at: Boot time in s of the last request whose reply it is
            known to have received.
        in_force: Largest fallback share that it may use.
        registered: Its share in the lease register.
        incarnation: Start time of its process in ns.
        number: Number of the last reply to it.
        sent: Replies that it has not confirmed.
    """

    heard_at: float
    confirmed_at: float = NEVER
    in_force: float = 0
    registered: float = 0
    incarnation: int = 0
    number: int = 0
    sent: deque[SentReply] = field(
        default_factory=lambda: deque(maxlen=MAX_UNCONFIRMED)
    )

    def confirm(self, heard: int) -> None:
        """Note that the daemon received a reply."""
        while self.sent and self.sent[0].number < heard:
            self.sent.popleft()
        if not self.sent or self.sent[0].number != heard:
            return
        confirmed = self.sent.popleft()
        self.confirmed_at = confirmed.at
        later = (one.share for one in self.sent)
        self.in_force = max(confirmed.share, *later, 0)


@dataclass(slots=True)
class Roster:
    """The daemons of one term of the lease holder.

    Attributes:
        rules: Time limits.
        term: Term of the lease holder.
        records: Daemons by name.
    """

    rules: AllowanceRules
    term: int
    records: dict[str, DaemonRecord] = field(default_factory=dict)

    def adopt(self, shares: Iterable[tuple[str, float]], now: float) -> None:
        """Add the daemons of earlier terms, which may be in fallback."""
        for name, share in shares:
            self.records[name] = DaemonRecord(
                now, in_force=share, registered=share
            )

    def hear(self, request: GrantRequest, now: float) -> DaemonRecord:
        """Note a request that arrived now and return the daemon's record."""
        record = self.records.get(request.daemon_id)
        if record is None:
            record = DaemonRecord(now, now)
            self.records[request.daemon_id] = record
        if record.incarnation != request.incarnation:
            record.incarnation = request.incarnation
            record.sent.clear()
        record.heard_at = now
        if request.term == self.term:
            record.confirm(request.heard)
        return record

    def next_share(self, record: DaemonRecord, now: float) -> float:
        """Return the share to tell a daemon, and note that it is told.

        A share is told only after the register contains it.
        """
        record.number += 1
        share = min(record.registered, 1 / len(self.records))
        record.sent.append(SentReply(record.number, now, share))
        record.in_force = max(record.in_force, share)
        return share

    def open_share(self, now: float) -> float:
        """Return the share that no daemon may use in fallback now."""
        limit = now - self.rules.reserve_after_s
        reserved = sum(
            record.in_force
            for record in self.records.values()
            if record.confirmed_at <= limit
        )
        return max(1 - reserved, 0)

    def plan(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the shares for the register; their sum is at most 1.

        Daemons whose share has expired are removed. Until the change of the
        register is accepted, daemons are told the smaller of both shares.
        """
        oldest = now - self.rules.share_lifetime_s
        for name, record in tuple(self.records.items()):
            if record.heard_at < oldest:
                self.records.pop(name)
        target = 1 / max(len(self.records), 1)
        left = 1 - sum(one.in_force for one in self.records.values())
        planned: list[tuple[str, float]] = []
        for name, record in sorted(self.records.items()):
            added = max(min(target - record.in_force, left), 0)
            left -= added
            share = record.in_force + added
            planned.append((name, share))
            record.registered = min(record.registered, share)
        return tuple(planned)

    def registered(self, shares: Iterable[tuple[str, float]]) -> None:
        """Note that the register contains these shares."""
        for name, share in shares:
            record = self.records.get(name)
            if record is not None:
                record.registered = share
