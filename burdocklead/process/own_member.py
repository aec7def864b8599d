"""How a daemon describes itself and the upstream beside it."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import UPSTREAM_FOUND, UPSTREAM_LEFT, UPSTREAM_LOST
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.load_signals import LoadSignalMonitor
from burdocklead.request.upstream_client import Upstream
from burdocklead.values import Address, Member
from burdocklead.version.deployment import Name

DEFAULT_LEASE_S = 3.0
MIN_LEASE_S = 0.1
MAX_LEASE_S = 3600
MAX_SLOTS = 100000


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What an upstream tells the daemon beside it.

    Attributes:
        service: Service that the upstream provides.
        address: Address of the upstream on this VM, as IP:PORT.
        slots: Calls that it may run at the same time.
        lease_seconds: Time after which a silent upstream is gone in s.
        draining: True if it wants no new work.
        instance: Name of its incarnation, empty if it has none.
    """

    service: Name
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    lease_seconds: Annotated[
        float, msgspec.Meta(ge=MIN_LEASE_S, le=MAX_LEASE_S)
    ] = DEFAULT_LEASE_S
    draining: bool = False
    instance: str = ''


class DrainReason(enum.StrEnum):
    """Who wants no new work for an upstream."""

    stopping = 'stopping'
    operator = 'operator'
    upstream = 'upstream'


@dataclass(slots=True)
class OwnMember:
    """The present description of this daemon.

    Attributes:
        member: Last description sent.
        executor: Runs attempts at the upstream.
        events: Ring for announcements.
        signals: Knows the load signals that are dead.
        changed: Set when control should be told at once.
        lease_ends: Loop time at which the upstream's lease ends in s.
        drains: Who wants no new work here.
        notice: Time between announcing a drain and refusing work in s.
        refusing: Starts to refuse work after the notice.
    """

    member: Member
    executor: AttemptExecutor
    events: EventRing
    signals: LoadSignalMonitor = field(default_factory=LoadSignalMonitor)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lease_ends: float = 0
    drains: set[DrainReason] = field(default_factory=set)
    notice: float = 0
    refusing: asyncio.TimerHandle | None = None

    @property
    def draining(self) -> bool:
        """Return True if this daemon wants no new work for its upstream."""
        return bool(self.drains)

    def announce(
        self, announcement: Announcement, address: Address, now: float
    ) -> None:
        """Take over an announcement of the upstream."""
        executor = self.executor
        upstream = Upstream(address, announcement.instance)
        if executor.upstream != upstream:
            UPSTREAM_FOUND.write(
                instance=announcement.instance,
                service=announcement.service,
                slots=announcement.slots,
            )
            executor.gate.queue = executor.new_queue(announcement.slots)
            self.events.record(
                EventKind.upstream_announced,
                service=announcement.service,
                peer=str(address),
            )
        executor.upstream = upstream
        executor.service = announcement.service
        executor.gate.queue.table.slots = announcement.slots
        if announcement.draining and DrainReason.upstream not in self.drains:
            self._log_leave('drains')
        self._set_drain(DrainReason.upstream, announcement.draining)
        self.lease_ends = now + announcement.lease_seconds
        self._refresh(self.member.version_in_force)

    def withdraw(self) -> None:
        """Forget the upstream."""
        if not self.executor.service:
            return
        self.events.record(
            EventKind.upstream_left, service=self.executor.service
        )
        self.executor.upstream = None
        self.executor.service = ''
        self._refresh(self.member.version_in_force)

    def leave(self) -> None:
        """Send no more work to an upstream that is about to end."""
        self._log_leave('ends')
        self._set_drain(DrainReason.upstream, True)
        self._refresh(self.member.version_in_force)

    def expire(self, now: float) -> None:
        """Forget the upstream if its lease ended."""
        if self.executor.service and self.lease_ends <= now:
            UPSTREAM_LOST.write(
                instance=self._instance(), service=self.executor.service
            )
            self.withdraw()

    def start_draining(self) -> None:
        """Announce that this daemon stops."""
        self._set_drain(DrainReason.stopping, True)
        self._refresh(self.member.version_in_force)

    def set_operator_drain(self, drained: bool) -> None:
        """Take over whether operators drain this daemon."""
        self._set_drain(DrainReason.operator, drained)
        self._refresh(self.member.version_in_force)

    def _instance(self) -> str:
        upstream = self.executor.upstream
        return upstream.instance if upstream else ''

    def _log_leave(self, cause: str) -> None:
        UPSTREAM_LEFT.write(
            instance=self._instance(),
            service=self.executor.service,
            cause=cause,
        )

    def _set_drain(self, reason: DrainReason, wanted: bool) -> None:
        """Announce a drain at once and refuse work a little later.

        Until the others know of the drain, what they send still runs.
        """
        if wanted:
            self.drains.add(reason)
        else:
            self.drains.discard(reason)
        if not self.drains:
            self._stop_refusing()
        elif self.refusing is None:
            loop = asyncio.get_running_loop()
            self.refusing = loop.call_later(self.notice, self._refuse)

    def _refuse(self) -> None:
        self.executor.draining = True

    def _stop_refusing(self) -> None:
        self.executor.draining = False
        if self.refusing is not None:
            self.refusing.cancel()
            self.refusing = None

    def describe(self, version: int) -> Member:
        """Return the present description for control."""
        self._refresh(version)
        return self.member

    def _dead_signals(self) -> tuple[str, ...]:
        own_id = self.member.daemon_id
        return tuple(
            f'load of {peer} at {own_id} {reason}'
            for peer, reason in sorted(self.signals.dead_reasons().items())
        )

    def _refresh(self, version: int) -> None:
        following = msgspec.structs.replace(
            self.member,
            service=self.executor.service,
            slots=self.executor.gate.queue.table.slots,
            draining=self.draining,
            version_in_force=version,
            crashes=self.executor.guard.block_list.own(),
            dead_signals=self._dead_signals(),
        )
        if following == self.member:
            return
        self.member = msgspec.structs.replace(
            following, revision=self.member.revision + 1
        )
        self.changed.set()
