"""Member record of this daemon and its local upstream."""

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
    """Announcement of an upstream to the daemon on its VM.

    Attributes:
        service: Service that the upstream provides.
        address: Address of the upstream on this VM, as IP:PORT.
        slots: Maximum number of concurrent calls.
        lease_seconds: Time in s after which a silent upstream is removed.
        draining: True if the upstream requests no new work.
        instance: Name of its incarnation, empty if it has none.
        cold_ms: Remaining time in ms for which the upstream is cold, None if
            it does not report one.
    """

    service: Name
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    lease_seconds: Annotated[
        float, msgspec.Meta(ge=MIN_LEASE_S, le=MAX_LEASE_S)
    ] = DEFAULT_LEASE_S
    draining: bool = False
    instance: str = ''
    cold_ms: float | None = None


class DrainReason(enum.StrEnum):
    """Why the upstream is drained; named after the party that requested it."""

    stopping = 'stopping'
    operator = 'operator'
    upstream = 'upstream'


@dataclass(slots=True)
class LocalMember:
    """Member record of this daemon, kept up to date.

    Attributes:
        member: Current record; its revision grows with each change.
        executor: Runs attempts on the upstream.
        events: Ring for events of the upstream.
        signals: Detects load signals that are dead.
        changed: Set when control should get a heartbeat immediately.
        lease_expires_at: Loop time in s at which the upstream's lease expires.
        drains: Reasons why the upstream is drained, empty if it is not.
        drain_notice_s: Time between announcing a drain and refusing work.
        refusal_timer: Starts refusing work after the drain notice.
    """

    member: Member
    executor: AttemptExecutor
    events: EventRing
    signals: LoadSignalMonitor = field(default_factory=LoadSignalMonitor)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lease_expires_at: float = 0
    drains: set[DrainReason] = field(default_factory=set)
    drain_notice_s: float = 0
    refusal_timer: asyncio.TimerHandle | None = None

    @property
    def draining(self) -> bool:
        """Return True if any party requested a drain of the upstream."""
        return bool(self.drains)

    def instance(self) -> str:
        """Return the instance of the upstream, empty if it has none."""
        upstream = self.executor.upstream
        return upstream.instance if upstream else ''

    def announce(
        self, announcement: Announcement, address: Address, now: float
    ) -> None:
        """Apply an announcement of the upstream."""
        executor = self.executor
        upstream = Upstream(address, announcement.instance)
        if executor.upstream != upstream:
            UPSTREAM_FOUND.write(
                instance=announcement.instance,
                service=announcement.service,
                slots=announcement.slots,
            )
            executor.gate.queue = executor.queue_factory(announcement.slots)
            executor.access.assume_cold(now)
            self.events.record(
                EventKind.upstream_announced,
                service=announcement.service,
                peer=str(address),
            )
        executor.upstream = upstream
        executor.service = announcement.service
        if announcement.cold_ms is not None:
            executor.access.warm_up.observe_heartbeat(announcement.cold_ms, now)
        executor.gate.queue.table.slots = announcement.slots
        if announcement.draining and DrainReason.upstream not in self.drains:
            self._log_upstream_left('drains')
        self._set_drain(DrainReason.upstream, announcement.draining)
        self.lease_expires_at = now + announcement.lease_seconds
        self._refresh(self.member.version_in_force)

    def remove_upstream(self) -> None:
        """Remove the upstream."""
        if not self.executor.service:
            return
        self.events.record(
            EventKind.upstream_left, service=self.executor.service
        )
        self.executor.upstream = None
        self.executor.service = ''
        self._refresh(self.member.version_in_force)

    def drain_upstream(self) -> None:
        """Drain an upstream that is about to exit."""
        self._log_upstream_left('ends')
        self._set_drain(DrainReason.upstream, True)
        self._refresh(self.member.version_in_force)

    def remove_expired_upstream(self, now: float) -> None:
        """Remove the upstream if its lease has expired."""
        if self.executor.service and self.lease_expires_at <= now:
            UPSTREAM_LOST.write(
                instance=self.instance(), service=self.executor.service
            )
            self.remove_upstream()

    def start_draining(self) -> None:
        """Drain the upstream because this daemon stops."""
        self._set_drain(DrainReason.stopping, True)
        self._refresh(self.member.version_in_force)

    def set_operator_drain(self, drained: bool) -> None:
        """Set whether operators drain this daemon."""
        self._set_drain(DrainReason.operator, drained)
        self._refresh(self.member.version_in_force)

    def _log_upstream_left(self, cause: str) -> None:
        UPSTREAM_LEFT.write(
            instance=self.instance(),
            service=self.executor.service,
            cause=cause,
        )

    def _set_drain(self, reason: DrainReason, requested: bool) -> None:
        """Add or remove a reason to drain; work is refused after the notice.

        Work that other daemons send before they learn of the drain still runs.
        """
        if requested:
            self.drains.add(reason)
        else:
            self.drains.discard(reason)
        if not self.drains:
            self._stop_refusing()
        elif self.refusal_timer is None:
            loop = asyncio.get_running_loop()
            self.refusal_timer = loop.call_later(
                self.drain_notice_s, self._start_refusing
            )

    def _start_refusing(self) -> None:
        self.executor.draining = True

    def _stop_refusing(self) -> None:
        self.executor.draining = False
        if self.refusal_timer is not None:
            self.refusal_timer.cancel()
            self.refusal_timer = None

    def describe(self, version: int) -> Member:
        """Return the up-to-date member record for a heartbeat."""
        self._refresh(version)
        return self.member

    def _dead_signals(self) -> tuple[str, ...]:
        own_id = self.member.daemon_id
        return tuple(
            f'load of {peer} at {own_id} {reason}'
            for peer, reason in sorted(self.signals.dead_reasons().items())
        )

    def _refresh(self, version: int) -> None:
        updated = msgspec.structs.replace(
            self.member,
            service=self.executor.service,
            slots=self.executor.gate.queue.table.slots,
            draining=self.draining,
            version_in_force=version,
            crashes=self.executor.guard.block_list.own_reports(),
            dead_signals=self._dead_signals(),
        )
        if updated == self.member:
            return
        self.member = msgspec.structs.replace(
            updated, revision=self.member.revision + 1
        )
        self.changed.set()
