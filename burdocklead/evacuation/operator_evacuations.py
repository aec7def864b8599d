"""Evacuations that operators request, as a control replica knows them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from burdocklead.durable.decided_register import DecidedRegister
from burdocklead.evacuation.zone_list import (
    EVACUATIONS_KEY,
    MAX_ZONE_NAME,
    EvacuatedZones,
    decide_evacuation,
    decode_evacuations,
)
from burdocklead.events import EventKind, EventRing
from burdocklead.exceptions import ConfigurationError, QuorumError
from burdocklead.log_events import EVACUATION_DECIDED, EVACUATIONS_CHANGED
from burdocklead.process.membership import MembershipView
from burdocklead.process.register_service import RegisterService

STEP = 'evacuate'
COLLECT_INTERVAL_S = 0.25
# All daemons send a heartbeat to a replica that has just started within 3 s.
NAME_TIMEOUT_S = 3.0
NAME_POLL_S = 0.1


class OperatorEvacuations:
    """Keeps the newest list of evacuated zones and changes the register.

    Attributes:
        decided: Newest decided list that this replica knows, None before it
            has read the register or heard from another replica.
        zone_names: Zones of all processes seen since the start.
    """

    def __init__(
        self,
        registers: RegisterService,
        members: MembershipView,
        events: EventRing,
        *,
        is_settled: Callable[[], bool],
        on_accepted: Callable[[], None],
    ) -> None:
        """Start without a list.

        Args:
            registers: Registers of this replica.
            members: Daemons that it knows.
            events: Ring for changes of the list.
            is_settled: Returns True once it knows all daemons that run.
            on_accepted: Called when a change was accepted.
        """
        self.registers = registers
        self.members = members
        self.events = events
        self.is_settled = is_settled
        self.on_accepted = on_accepted
        self.decided = DecidedRegister(
            EVACUATIONS_KEY, _decode_list, _revision_of, self._note
        )
        self.zone_names: set[str] = set()

    @property
    def current(self) -> EvacuatedZones | None:
        """Return the newest decided list, None before it is known."""
        return self.decided.current

    async def change(self, zone: str, *, evacuate: bool) -> EvacuatedZones:
        """Start or end an evacuation and return the accepted list.

        Raises:
            ConfigurationError: If no process of a zone of this name was seen.
            QuorumError: If no quorum answered; the change may still be
                accepted later.
        """
        if not zone or len(zone) > MAX_ZONE_NAME:
            raise ConfigurationError(('not the name of a zone',), step=STEP)
        if not await self._is_known(zone):
            problem = f'{zone}: no process of this zone is known'
            raise ConfigurationError((problem,), step=STEP)

        def update(value: bytes) -> bytes:
            updated = decide_evacuation(
                decode_evacuations(value), zone, evacuate=evacuate
            )
            return msgspec.msgpack.encode(updated)

        value = await self.registers.change(EVACUATIONS_KEY, update)
        accepted = decode_evacuations(value).evacuated
        EVACUATION_DECIDED.write(
            zone=zone, evacuated=evacuate, number=accepted.revision
        )
        self.decided.learn(accepted)
        self.on_accepted()
        return accepted

    async def run_forever(self) -> None:
        """Collect names of zones until cancelled."""
        while True:
            self.collect_names()
            await asyncio.sleep(COLLECT_INTERVAL_S)

    def collect_names(self) -> None:
        """Add the zones of the processes that are known now."""
        self.zone_names.update(
            record.member.zone for record in self.members.records.values()
        )
        replicas = self.registers.replica_set.replicas
        self.zone_names.update(replica.zone for replica in replicas)
        self.zone_names.add(self.registers.settings.zone)

    def _note(self, update: EvacuatedZones) -> None:
        if update.revision:
            names = ', '.join(update.zones) or 'none'
            self.events.record(EventKind.evacuations_changed, detail=names)
            EVACUATIONS_CHANGED.write(zones=names)

    async def _is_known(self, zone: str) -> bool:
        """Return True if a process of a zone was seen or it was evacuated.

        Raises:
            QuorumError: If this replica has just started and can't tell, or
                no quorum answered.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + NAME_TIMEOUT_S
        while True:
            settled = self.is_settled()
            self.collect_names()
            if zone in self.zone_names:
                return True
            value = await self.registers.read(EVACUATIONS_KEY)
            if settled or decode_evacuations(value).has_name(zone):
                return decode_evacuations(value).has_name(zone)
            if loop.time() > deadline:
                reason = 'this replica has just started and knows no such zone'
                raise QuorumError(reason, step=STEP, peer=zone)
            await asyncio.sleep(NAME_POLL_S)


def _decode_list(value: bytes) -> EvacuatedZones:
    return decode_evacuations(value).evacuated


def _revision_of(update: EvacuatedZones) -> int:
    return update.revision
