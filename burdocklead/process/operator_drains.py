"""Drains that operators set, as a control replica knows them."""

from __future__ import annotations

import msgspec

from burdocklead.durable.drains import (
    DRAINS_KEY,
    NO_DRAINS,
    DrainList,
    decide_drain,
    decode_drains,
)
from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import DRAINS_CHANGED
from burdocklead.process.register_service import RegisterService


class OperatorDrains:
    """Keeps the newest drain list and changes it through the register.

    Attributes:
        current: Newest accepted list that this replica knows.
    """

    def __init__(self, registers: RegisterService, events: EventRing) -> None:
        """Start with an empty list."""
        self.registers = registers
        self.events = events
        self.current = NO_DRAINS

    async def change(self, daemon_id: str, *, drained: bool) -> DrainList:
        """Start or end the drain of a daemon and return the accepted list.

        Raises:
            QuorumError: If no quorum answered; the change may still be
                accepted later.
        """

        def update(value: bytes) -> bytes:
            current = decode_drains(value)
            updated = decide_drain(current, daemon_id, drained=drained)
            return msgspec.msgpack.encode(updated)

        value = await self.registers.change(DRAINS_KEY, update)
        accepted = decode_drains(value)
        self.learn(accepted)
        return accepted

    async def recover(self) -> None:
        """Load the list from a quorum.

        Raises:
            ControlError: If no quorum answered.
        """
        value = await self.registers.change(DRAINS_KEY, bytes)
        self.learn(decode_drains(value))

    def learn(self, drains: DrainList) -> None:
        """Adopt a list if it is newer than the current one."""
        if drains.revision <= self.current.revision:
            return
        self.current = drains
        names = ', '.join(drains.daemons) or 'none'
        self.events.record(EventKind.drains_changed, detail=names)
        DRAINS_CHANGED.write(daemons=names)
