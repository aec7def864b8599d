"""Large bodies whose reservation lasts as long as the body is referenced."""

from __future__ import annotations

import weakref
from array import array

from burdocklead.memory.budget import MemoryBudget, Use, Waiter


class Reservation:
    """Bytes that one body reserves in a budget.

    Attributes:
        budget: The budget.
        use: What the memory holds.
        size: Reserved bytes.
        waiter: Queued for room, None if it has room or asked for none.
    """

    __slots__ = ('budget', 'use', 'size', 'waiter')

    def __init__(self, budget: MemoryBudget, use: Use) -> None:
        """Initialize a reservation of no bytes."""
        self.budget = budget
        self.use = use
        self.size = 0
        self.waiter: Waiter | None = None

    def try_grow(self, size: int) -> bool:
        """Reserve up to a size; return False if there is no room."""
        if not self.budget.try_reserve(self.use, size - self.size):
            return False
        self.size = size
        return True

    def settle(self, size: int) -> None:
        """Hold exactly a size from now on, whether there is room or not."""
        if self.waiter is not None:
            self.budget.stop_waiting(self.waiter)
            self.waiter = None
        excess = self.size - size
        self.size = size
        if excess:
            self.budget.free(self.use, excess)

    def release(self) -> None:
        """Return all bytes and stop waiting for more."""
        self.settle(0)


class HeldBytes:
    """A body that returns its reservation when nothing refers to it.

    Every way out of a call drops its references: an answer, a cancelled task,
    a timeout, a reset connection, a stop.

    Attributes:
        content: What has arrived. Unlike a bytearray it can be watched for
            the end of its last reference.
        reservation: Bytes that it reserves.
    """

    __slots__ = ('content', 'reservation')

    def __init__(self, budget: MemoryBudget, use: Use) -> None:
        """Initialize an empty body without a reservation."""
        self.content = array('B')
        self.reservation = Reservation(budget, use)
        finalizer = weakref.finalize(self.content, self.reservation.release)
        finalizer.atexit = False

    def append(self, chunk: bytes | memoryview) -> None:
        """Add a chunk at the end."""
        self.content.frombytes(chunk)

    def finish(self) -> memoryview:
        """Return the complete body, which reserves what it takes."""
        self.reservation.settle(len(self.content))
        return memoryview(self.content)
