"""The membership view of one control replica, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from burdocklead.clock import NO_TIME, HybridTime
from burdocklead.connection.control_messages import (
    Cursor,
    MemberUpdate,
)
from burdocklead.values import Member

MS_PER_S = 1000
TOMBSTONE_LEASES = 20


@dataclass(slots=True)
class MemberRecord:
    """State of one daemon in the view.

    Attributes:
        member: Latest self-description of the daemon.
        last_seen: Monotonic time in s at which it was last known to run.
        gone: True if its lease expired.
        change: Number of the last change of this record.
        home: Replica that receives the daemon's heartbeats.
        sent_at: Time at which the daemon sent its last known heartbeat.
    """

    member: Member
    last_seen: float
    gone: bool
    change: int
    home: str
    sent_at: HybridTime = NO_TIME


@dataclass(slots=True)
class MembershipView:
    """Daemons known to one replica, with numbered changes.

    Attributes:
        replica_id: Replica that holds the view.
        incarnation: Start time in ns of the replica process.
        lease: Time in s without heartbeats after which a daemon is gone.
        records: Records by daemon.
        last_change: Number of the last change.
        is_settled: True once the replica has had time to hear all daemons.
    """

    replica_id: str
    incarnation: int
    lease: float
    records: dict[str, MemberRecord] = field(default_factory=dict)
    last_change: int = 0
    is_settled: bool = False

    @property
    def cursor(self) -> Cursor:
        """Return a cursor that points after the last change."""
        return Cursor(self.replica_id, self.incarnation, self.last_change)

    def observe(
        self,
        member: Member,
        last_seen: float,
        home: str = '',
        sent_at: HybridTime = NO_TIME,
    ) -> bool:
        """Record a heartbeat; return True if the change must be announced.

        A change of fields that only operators read updates the record without
        a new change number, which saves a message to every other process.

        Args:
            member: Self-description of the daemon.
            last_seen: Monotonic time in s of the heartbeat.
            home: Replica that received it, empty for this one.
            sent_at: Time at which the daemon sent it.
        """
        home = home or self.replica_id
        record = self.records.get(member.daemon_id)
        if record is None:
            self._store(
                MemberRecord(member, last_seen, False, 0, home, sent_at)
            )
            return True
        if _is_outdated(member, sent_at, record):
            return False
        changed = record.gone or _shared_part(member) != _shared_part(
            record.member
        )
        is_latest = last_seen >= record.last_seen or _both_known(
            sent_at, record.sent_at
        )
        if is_latest and home != record.home:
            changed = True
            record.home = home
        record.last_seen = max(record.last_seen, last_seen)
        record.sent_at = max(record.sent_at, sent_at)
        record.member = member
        record.gone = False
        if changed:
            self._store(record)
        return changed

    def merge(
        self, updates: Iterable[MemberUpdate], now: float, sender: str
    ) -> None:
        """Merge updates from another replica."""
        for update in updates:
            last_seen = now - update.age_ms / MS_PER_S
            if update.gone:
                self._mark_gone(update, last_seen, sender)
            elif last_seen + self.lease > now:
                self.observe(
                    update.member, last_seen, update.home, update.sent_at
                )

    def expire(self, now: float) -> list[Member]:
        """Mark daemons whose lease expired and return them."""
        expired = []
        for record in list(self.records.values()):
            if not record.gone and record.last_seen + self.lease <= now:
                record.gone = True
                self._store(record)
                expired.append(record.member)
            if record.last_seen + self.lease * TOMBSTONE_LEASES <= now:
                self.records.pop(record.member.daemon_id)
        return expired

    def updates_since(
        self, cursor: Cursor, now: float
    ) -> tuple[bool, tuple[MemberUpdate, ...]]:
        """Return whether the updates are a full snapshot, and the updates."""
        same_view = (
            cursor.replica_id == self.replica_id
            and cursor.incarnation == self.incarnation
        )
        since = cursor.change if same_view else 0
        updates = tuple(
            MemberUpdate(
                record.member,
                record.gone,
                (now - record.last_seen) * MS_PER_S,
                record.home,
                record.sent_at,
            )
            for record in self.records.values()
            if record.change > since
        )
        return since == 0, updates

    def live(self) -> list[Member]:
        """Return the daemons whose lease has not expired."""
        return [
            record.member for record in self.records.values() if not record.gone
        ]

    def renew_leases(self, replica_id: str, last_seen: float) -> None:
        """Renew the leases of the daemons that have another home replica.

        That replica reports each daemon whose heartbeats stop, so its reply
        counts as a heartbeat of each of its other daemons.

        Args:
            replica_id: The home replica.
            last_seen: Monotonic time in s of its reply.
        """
        for record in self.records.values():
            if record.home == replica_id and not record.gone:
                record.last_seen = max(record.last_seen, last_seen)

    def _mark_gone(
        self, update: MemberUpdate, last_seen: float, sender: str
    ) -> None:
        """Mark a daemon as gone unless this replica has newer information.

        A replica that does not hear the daemon renews its lease with each
        reply of the home replica, so it may have heard of the daemon later
        than the home replica itself, whose word counts.
        """
        record = self.records.get(update.member.daemon_id)
        if record is None or record.gone:
            return
        if _is_outdated(update.member, update.sent_at, record):
            self._contradict(record)
            return
        if last_seen >= record.last_seen or sender == record.home:
            record.gone = True
            self._store(record)

    def _contradict(self, record: MemberRecord) -> None:
        """Announce a daemon again that another replica reported as gone."""
        self._store(record)

    def _store(self, record: MemberRecord) -> None:
        self.last_change += 1
        record.change = self.last_change
        self.records[record.member.daemon_id] = record


def _shared_part(member: Member) -> Member:
    """Return the fields of a member that other daemons need."""
    return msgspec.structs.replace(
        member, revision=0, version_in_force=0, dead_signals=()
    )


def _is_outdated(
    member: Member, sent_at: HybridTime, record: MemberRecord
) -> bool:
    """Return True if a record has a newer heartbeat than a report.

    A daemon that is gone returns only with a heartbeat sent since. A process
    has a lower incarnation than the one before if the clock of its VM was set
    back; a later heartbeat shows it.
    """
    known = record.member
    both_known = _both_known(sent_at, record.sent_at)
    if member.incarnation > known.incarnation:
        return False
    if member.incarnation < known.incarnation:
        return not both_known or sent_at <= record.sent_at
    if member.revision < known.revision:
        return True
    is_earlier = both_known and sent_at < record.sent_at
    return is_earlier or (
        record.gone and both_known and sent_at == record.sent_at
    )


def _both_known(sent_at: HybridTime, other: HybridTime) -> bool:
    return NO_TIME not in {sent_at, other}
