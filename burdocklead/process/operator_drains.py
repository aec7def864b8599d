"""What a control replica knows of the drains of operators."""

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
    """The newest drain list known and its changes.

    Attributes:
        current: Newest list known to be accepted.
    """

    def __init__(self, registers: RegisterService, events: EventRing) -> None:
        """Start without drains."""
        self.registers = registers
        self.events = events
        self.current = NO_DRAINS

    async def change(self, daemon_id: str, *, drained: bool) -> DrainList:
        """Drain a daemon, or end its drain, and return the list accepted.

        Raises:
            QuorumError: If no quorum answered; the change may be accepted.
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
        """Read the register through a quorum.

        Raises:
            ControlError: If no quorum answered.
        """
        value = await self.registers.change(DRAINS_KEY, bytes)
        self.learn(decode_drains(value))

    def learn(self, drains: DrainList) -> None:
        """Take over a list that is newer than the one known."""
        if drains.revision <= self.current.revision:
            return
        self.current = drains
        names = ', '.join(drains.daemons) or 'none'
        self.events.record(EventKind.drains_changed, detail=names)
        DRAINS_CHANGED.write(daemons=names)
