"""Drains that operators set, as a control replica knows them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from burdocklead.durable.decided_register import DecidedRegister
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
        decided: Newest decided list that this replica knows.
    """

    def __init__(
        self,
        registers: RegisterService,
        events: EventRing,
        on_accepted: Callable[[], None],
    ) -> None:
        """Start with an empty list.

        Args:
            registers: Registers of this replica.
            events: Ring for changes of the list.
            on_accepted: Called when a change was accepted.
        """
        self.registers = registers
        self.events = events
        self.on_accepted = on_accepted
        self.decided = DecidedRegister(
            DRAINS_KEY, decode_drains, _revision_of, self._note, NO_DRAINS
        )

    @property
    def current(self) -> DrainList:
        """Return the newest decided list."""
        return self.decided.current or NO_DRAINS

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
        self.decided.learn(accepted)
        self.on_accepted()
        return accepted

    def _note(self, drains: DrainList) -> None:
        names = ', '.join(drains.daemons) or 'none'
        self.events.record(EventKind.drains_changed, detail=names)
        DRAINS_CHANGED.write(daemons=names)


def _revision_of(drains: DrainList) -> int:
    return drains.revision
