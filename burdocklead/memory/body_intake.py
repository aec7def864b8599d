"""Reserves memory for one large body that is being read."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from burdocklead.memory.budget import MemoryBudget, Use, Waiter
from burdocklead.memory.held_bytes import HeldBytes


class IntakeState(enum.Enum):
    """Whether a body may be read."""

    reading = 'reading'
    deferred = 'deferred'
    waiting = 'waiting'
    refused = 'refused'


class BodyIntake:
    """A large body and its place among those that wait for room.

    Attributes:
        body: What has arrived of it.
        state: Whether it may be read.
        since: Time in s at which the state began.
        room: Bytes up to which the body may grow as it is reserved.
        max_bytes: Largest size of the body.
        clock: Returns the time in s.
        on_room: Called once a waiting body may be read.
    """

    __slots__ = (
        'budget',
        'use',
        'body',
        'state',
        'since',
        'room',
        'max_bytes',
        'clock',
        'on_room',
    )

    def __init__(
        self,
        budget: MemoryBudget,
        use: Use,
        max_bytes: int,
        clock: Callable[[], float],
        on_room: Callable[[], None],
    ) -> None:
        """Initialize the intake of a body that has reserved nothing."""
        self.budget = budget
        self.use = use
        self.body = HeldBytes(budget, use)
        self.state = IntakeState.reading
        self.since = float(0)
        self.room = float(0)
        self.max_bytes = max_bytes
        self.clock = clock
        self.on_room = on_room

    def reserve(self, size: int) -> IntakeState:
        """Reserve memory for a whole body of a size, or wait for it."""
        self.since = self.clock()
        reservation = self.body.reservation
        if reservation.try_grow(size):
            self.state = IntakeState.reading
            self.room = size
            return self.state
        waiter = Waiter(self.use, size - reservation.size, self._on_grant)
        if self.budget.wait(waiter):
            reservation.waiter = waiter
            self.state = IntakeState.waiting
            self.room = math.inf
        else:
            self.state = IntakeState.refused
        return self.state

    def defer(self) -> None:
        """Leave the body unread until it is asked to reserve."""
        self.state = IntakeState.deferred
        self.room = math.inf

    def append(self, chunk: bytes) -> bool:
        """Add a chunk; return False if there is no room for it.

        A body of unknown size reserves twice as much each time, but no more
        than the largest one takes.
        """
        # Called for each chunk, and an upstream may send chunks of one byte.
        content = self.body.content
        content.frombytes(chunk)
        size = len(content)
        if size <= self.room:
            return True
        return self._grow(max(size, min(2 * size, self.max_bytes)))

    def is_waiting(self) -> bool:
        """Return True while the body has to stay unread."""
        return self.state in {IntakeState.waiting, IntakeState.deferred}

    def drop(self) -> None:
        """Return the reservation of a body that is not read to its end."""
        self.state = IntakeState.refused
        self.body.reservation.release()

    def _grow(self, size: int) -> bool:
        if not self.body.reservation.try_grow(size):
            return False
        self.room = size
        return True

    def _on_grant(self) -> None:
        reservation = self.body.reservation
        if reservation.waiter is not None:
            reservation.size += reservation.waiter.size
            reservation.waiter = None
        self.room = reservation.size
        self.state = IntakeState.reading
        self.since = self.clock()
        self.on_room()
