"""Memory of a client's connection and of its unread responses."""

from __future__ import annotations

from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget, Use

CONNECTION_BYTES = 12288  # Objects of an open connection.


class ResponseMemory:
    """Reserves memory for a connection and its unread small responses.

    A large response keeps its own reservation until it is sent.

    Attributes:
        budget: Memory of the process.
        held_bytes: Reserved bytes, 0 while the connection is not open.
        large_since: Loop time in s at which a large response was written.
        large_bytes: Size of that response in bytes.
    """

    __slots__ = ('budget', 'held_bytes', 'large_since', 'large_bytes')

    def __init__(self, budget: MemoryBudget) -> None:
        """Initialize for a connection that is not open yet."""
        self.budget = budget
        self.held_bytes = 0
        self.large_since = float(0)
        self.large_bytes = 0

    def open(self) -> bool:
        """Reserve memory for the connection; return False without room."""
        if not self.budget.try_add_small(Use.connections, CONNECTION_BYTES):
            return False
        self.held_bytes = CONNECTION_BYTES
        return True

    def close(self) -> None:
        """Return the memory."""
        self.budget.free(Use.connections, self.held_bytes)
        self.held_bytes = 0

    def record_large(self, size: int, now: float) -> None:
        """Remember a large response that is being written."""
        self.large_since = now
        self.large_bytes = size

    def hold_unsent(self, unsent_bytes: int) -> None:
        """Reserve memory for the responses that the client leaves unread."""
        held_bytes = CONNECTION_BYTES + min(unsent_bytes, SMALL_BYTES)
        if self.held_bytes and held_bytes != self.held_bytes:
            self.budget.add(Use.connections, held_bytes - self.held_bytes)
            self.held_bytes = held_bytes

    def is_too_slow(
        self, now: float, unsent_bytes: int, unsent_since: float
    ) -> bool:
        """Return True if a slow reader should give way to others.

        Args:
            now: Loop time in s.
            unsent_bytes: Size of the unsent responses.
            unsent_since: Loop time in s since which it has not changed.
        """
        if unsent_bytes <= SMALL_BYTES or not self.budget.is_short():
            return False
        limits = self.budget.limits
        if now - unsent_since > limits.stall_s:
            return True
        return now - self.large_since > limits.allowed_s(self.large_bytes)
