"""Registers whose newest decided value a replica serves.

The register of a replica holds what was last accepted there, which a quorum
may never decide. A replica therefore serves only values that it read from a
quorum, decided itself or received from a replica that did.

The replica that had a value decided may stop before it announces it. Each
replica of the quorum then holds a newer value than it serves, and reads the
register from a quorum.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from burdocklead.durable.register import NO_BALLOT, Ballot, Register
from burdocklead.exceptions import ControlError
from burdocklead.log_events import VALUE_CONFIRMED
from burdocklead.metrics import VALUES_CONFIRMED, MetricSet

CHECK_INTERVAL_S = 0.25

ValueT = TypeVar('ValueT')
Update = Callable[[bytes], bytes]


class QuorumRegisters(Protocol):
    """Reads and changes registers through a quorum."""

    async def read(self, key: str) -> bytes:
        """Return the newest chosen value of a register."""

    async def change(self, key: str, update: Update) -> bytes:
        """Change a register through a quorum and return its new value."""


@dataclass(slots=True)
class DecidedRegister(Generic[ValueT]):
    """The newest decided value of one register that a replica knows.

    Attributes:
        key: Key of the register.
        decode: Returns the content of a register value.
        number: Returns the number of a content, higher for a later one.
        on_change: Called with a newer decided content.
        current: The newest decided content known, None before the first.
        checked: Ballot under which the own register holds no newer content.
        noticed: Ballot under which it held a newer one at the last check.
        is_read: True once the register was read from a quorum.
    """

    key: str
    decode: Callable[[bytes], ValueT]
    number: Callable[[ValueT], int]
    on_change: Callable[[ValueT], None]
    current: ValueT | None = None
    checked: Ballot = NO_BALLOT
    noticed: Ballot = NO_BALLOT
    is_read: bool = False

    def learn(self, decided: ValueT | None) -> None:
        """Adopt a decided content if it is newer than the current one."""
        if decided is None or not self.is_newer(decided):
            return
        self.current = decided
        self.on_change(decided)

    def is_newer(self, other: ValueT) -> bool:
        """Return True if a content replaces the current one, if any."""
        if self.current is None:
            return True
        return self.number(other) > self.number(self.current)

    def holds_newer(self, register: Register) -> bool:
        """Return True if the own register holds a newer content.

        Raises:
            UnreadableValueError: If its value is of another type.
        """
        if register.accepted == self.checked and self.current is not None:
            return False
        if self.is_newer(self.decode(register.value)):
            return True
        self.checked = register.accepted
        return False

    def must_confirm(self, register: Register) -> bool:
        """Return True if the own register held a newer content twice.

        The replica that proposed it usually announces it in between.
        """
        if not self.holds_newer(register):
            return False
        is_repeated = register.accepted == self.noticed
        self.noticed = register.accepted
        return is_repeated


@dataclass(frozen=True, slots=True)
class DecidedRegisters:
    """Keeps registers at their newest decided values.

    Attributes:
        registers: Reads and changes registers through a quorum.
        read_local: Returns the state of a register at this replica.
        served: What is kept.
        metrics: Counts values that were found in the own register.
    """

    registers: QuorumRegisters
    read_local: Callable[[str], Register]
    served: Sequence[DecidedRegister[Any]]
    metrics: MetricSet

    async def run_forever(self) -> None:
        """Check the registers until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Read the registers that must be read from a quorum."""
        await asyncio.gather(*map(self._try_check, self.served))

    async def _try_check(self, register: DecidedRegister[Any]) -> None:
        with contextlib.suppress(ControlError):
            await self._check(register)

    async def _check(self, register: DecidedRegister[Any]) -> None:
        if not register.is_read:
            await self._read(register)
            register.is_read = True
        elif register.must_confirm(self.read_local(register.key)):
            await self._read(register)
            if register.holds_newer(self.read_local(register.key)):
                # A quorum decided without this replica, and a round brings
                # its decision here.
                value = await self.registers.change(register.key, bytes)
                register.learn(register.decode(value))
            self.metrics.count(VALUES_CONFIRMED, register.key)
            VALUE_CONFIRMED.write(register=register.key)

    async def _read(self, register: DecidedRegister[Any]) -> None:
        value = await self.registers.read(register.key)
        register.learn(register.decode(value))
