"""Evacuated zones as a daemon knows them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from burdocklead.evacuation.zone_list import EvacuatedZones, is_newer
from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import ZONES_EVACUATED
from burdocklead.request.execution import AttemptExecutor
from burdocklead.values import RefusalCause


def _ignore() -> None:
    """Do nothing on a change."""


@dataclass(slots=True)
class DaemonEvacuations:
    """The newest list of evacuated zones that a daemon was told.

    A daemon that loses contact to control keeps the list.

    Attributes:
        zone: Zone of this daemon.
        executor: Runs attempts on the upstream beside this daemon.
        events: Event ring of this daemon.
        notice_s: Time in s for the other daemons to learn of an evacuation
            before attempts for the upstream in this zone are refused.
        on_change: Called when the list has changed.
        known: The list, None before the first.
        refusal_timer: Starts to refuse attempts after the notice.
    """

    zone: str
    executor: AttemptExecutor
    events: EventRing
    notice_s: float
    on_change: Callable[[], None] = _ignore
    known: EvacuatedZones | None = None
    refusal_timer: asyncio.TimerHandle | None = field(default=None)

    def is_evacuated(self, zone: str) -> bool:
        """Return True if no calls may be sent to the upstreams of a zone."""
        return self.known is not None and zone in self.known.zones

    def learn(self, update: EvacuatedZones | None) -> None:
        """Use a list if it is newer than the one in use."""
        if update is None or not is_newer(update, self.known):
            return
        was_evacuated = self.is_evacuated(self.zone)
        # After a start the other daemons may have known for long.
        notice_s = float(0) if self.known is None else self.notice_s
        self.known = update
        if update.revision:
            names = ', '.join(update.zones) or 'none'
            self.events.record(EventKind.evacuations_changed, detail=names)
            ZONES_EVACUATED.write(zones=names)
        evacuated = self.is_evacuated(self.zone)
        if evacuated and not was_evacuated:
            self._refuse_after(notice_s)
        elif was_evacuated and not evacuated:
            self._accept()
        self.on_change()

    def _refuse_after(self, notice_s: float) -> None:
        if not notice_s:
            self._refuse()
            return
        loop = asyncio.get_running_loop()
        self.refusal_timer = loop.call_later(notice_s, self._refuse)

    def _refuse(self) -> None:
        """Refuse new attempts and those that wait; others go on."""
        self.executor.access.zone_evacuated = True
        self.executor.gate.refuse_waiting(RefusalCause.zone_evacuated)

    def _accept(self) -> None:
        if self.refusal_timer is not None:
            self.refusal_timer.cancel()
            self.refusal_timer = None
        self.executor.access.zone_evacuated = False
        # It had no work and may have been restarted meanwhile.
        self.executor.access.assume_cold(asyncio.get_running_loop().time())
