"""Lease on granting calls, as pure functions of a register's value.

The holder counts its lease from before a renewal is sent, every other replica
from when it first saw the renewed value, which is later. All times are boot
times of one VM and never compared between VMs.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from burdocklead.allowance.limits import AllowanceRules
from burdocklead.durable.register_values import decode_value

LEASE_KEY = 'allowance'


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The value of the lease register.

    Attributes:
        term: Incremented when a replica takes the lease; 0 before the first.
        revision: Incremented by each renewal within a term.
        holder: ID of the replica that holds the lease, empty once released.
        session: Process of that replica; a restarted one holds no lease.
        shares: Fallback shares that daemons may use, by daemon.
    """

    term: int = 0
    revision: int = 0
    holder: str = ''
    session: str = ''
    shares: tuple[tuple[str, float], ...] = ()


NO_LEASE = Lease()


def decode_lease(value: bytes) -> Lease:
    """Return the lease encoded in a register value."""
    if not value:
        return NO_LEASE
    return decode_value(value, Lease, LEASE_KEY)


@dataclass(slots=True)
class LeaseState:
    """What one replica knows of the lease.

    Attributes:
        rules: Time limits.
        replica_id: This replica.
        session: This process.
        seen: Newest value seen.
        seen_at: Boot time in s at which it was first seen.
        term: Term in which this process holds the lease, 0 if it does not.
        held_until: Boot time in s at which its lease expires.
    """

    rules: AllowanceRules
    replica_id: str
    session: str
    seen: Lease = NO_LEASE
    seen_at: float = 0
    term: int = 0
    held_until: float = 0

    def observe(self, lease: Lease, now: float) -> None:
        """Note a value of the register that was read at a time."""
        if lease != self.seen:
            self.seen = lease
            self.seen_at = now
        if self.term and lease.term > self.term:
            self.term = 0

    def holds(self, now: float) -> bool:
        """Return True if this process may grant calls."""
        return bool(self.term) and now < self.held_until

    def may_take(self, now: float) -> bool:
        """Return True if no other process can grant calls or has done so.

        A register that was never written has no earlier holder; the earlier
        holder of a released lease has stopped granting.
        """
        if self.seen == NO_LEASE:
            return True
        rules = self.rules
        limit_s = rules.takeover_s if self.seen.holder else rules.grant_s
        return now - self.seen_at > limit_s

    def taken(self, current: Lease) -> Lease:
        """Return the register value after this process took the lease.

        It is unchanged if it isn't the value that was observed.
        """
        if current != self.seen:
            return current
        return msgspec.structs.replace(
            current,
            term=current.term + 1,
            revision=0,
            holder=self.replica_id,
            session=self.session,
        )

    def renewed(
        self, current: Lease, shares: tuple[tuple[str, float], ...]
    ) -> Lease:
        """Return the register value after a renewal by this process."""
        if current.term != self.term or current.session != self.session:
            return current
        return msgspec.structs.replace(
            current, revision=current.revision + 1, shares=shares
        )

    def released(self, current: Lease) -> Lease:
        """Return the register value after this process gave the lease up."""
        if current.session != self.session:
            return current
        return msgspec.structs.replace(
            current, revision=current.revision + 1, holder='', session=''
        )

    def accept(self, lease: Lease, sent_at: float, now: float) -> None:
        """Note the accepted value of a change that was sent at a time."""
        self.observe(lease, now)
        if lease.session == self.session:
            self.term = lease.term
            self.held_until = sent_at + self.rules.lease_s
        else:
            self.term = 0
