"""Budget of the bytes that a process holds for others, without I/O or clock.

Large bodies reserve memory before they are read. What finds no room waits
unread. Answers go before requests, as the call of an answer holds memory
already. Small bodies may use a reserve that large ones can't take.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

SMALL_BYTES = 262144  # Most bytes that one read of a socket returns.
DEFAULT_BYTES = 268435456
LOG_INTERVAL_S = 1.0
RESERVE_SHARE = 0.125
# Requests leave room for the answers to them.
REQUEST_SHARE = 0.75


class Use(enum.StrEnum):
    """What reserved memory holds."""

    connections = 'connections'
    requests = 'requests'
    frames = 'frames'
    answers = 'answers'


class Shed(enum.StrEnum):
    """Why a request was refused or a connection closed."""

    no_room = 'no-room'
    waited = 'waited'
    slow_body = 'slow-body'
    slow_reader = 'slow-reader'
    small = 'small'
    connection = 'connection'
    frame = 'frame'


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on the memory that a process holds for others.

    Attributes:
        total_bytes: Bytes in all.
        max_waiting: Large requests that wait unread; others are refused.
        wait_s: Time in s for which a large request waits unread.
        stall_s: Time in s without progress after which a large body or a
            reader of a large response gives way to those that wait.
        min_rate: Mean bytes/s of a large body or response below which it
            gives way to those that wait, after ``stall_s``.
    """

    total_bytes: int = DEFAULT_BYTES
    max_waiting: int = 16
    wait_s: float = 5
    stall_s: float = 3
    min_rate: float = 262144

    def ceiling(self, use: Use) -> int:
        """Return the reserved bytes up to which a use may reserve more."""
        match use:
            case Use.requests:
                return int(self.total_bytes * REQUEST_SHARE)
            case Use.answers | Use.frames:
                return int(self.total_bytes * (1 - RESERVE_SHARE))
        return self.total_bytes

    def allowed_s(self, size: int) -> float:
        """Return the time for a body of a size while others wait."""
        return self.stall_s + size / self.min_rate


@dataclass(slots=True, eq=False)
class Waiter:
    """A reservation that waits for room.

    Attributes:
        use: What the memory will hold.
        size: Bytes to reserve.
        on_grant: Called once they are reserved.
    """

    use: Use
    size: int
    on_grant: Callable[[], None]


@dataclass(slots=True)
class MemoryBudget:
    """Bytes reserved by use.

    Attributes:
        limits: The limits.
        reserved: Reserved bytes in all.
        calls: Reserved bytes of calls, without large bodies.
        by_use: Reserved bytes of each other use.
        answers: Answers that wait for room, oldest first.
        requests: Requests that wait for room, oldest first.
        shed: Refusals and closed connections by reason.
        logged_at: Time in s of the last logged one of each reason.
    """

    limits: BudgetLimits = field(default_factory=BudgetLimits)
    reserved: int = 0
    calls: int = 0
    by_use: dict[Use, int] = field(
        default_factory=lambda: dict.fromkeys(Use, 0)
    )
    answers: deque[Waiter] = field(default_factory=deque)
    requests: deque[Waiter] = field(default_factory=deque)
    shed: dict[Shed, int] = field(
        default_factory=lambda: dict.fromkeys(Shed, 0)
    )
    logged_at: dict[Shed, float] = field(default_factory=dict)

    def try_reserve(self, use: Use, size: int) -> bool:
        """Reserve bytes; return False if there is no room."""
        queue = self.answers if use is Use.answers else self.requests
        if queue or not self._has_room(use, size):
            return False
        self.add(use, size)
        return True

    def try_add_small(self, use: Use, size: int) -> bool:
        """Reserve bytes for a small use, which may take the reserve."""
        if self.reserved + size > self.limits.total_bytes:
            return False
        self.add(use, size)
        return True

    def try_add_call(self, size: int) -> bool:
        """Reserve bytes for a call, which may take the reserve.

        Calls have a count of their own: the hash of an enumeration member
        takes as long as the rest of this.
        """
        if self.reserved + size > self.limits.total_bytes:
            return False
        self.reserved += size
        self.calls += size
        return True

    def add_call(self, size: int) -> None:
        """Reserve bytes that a call holds already."""
        self.reserved += size
        self.calls += size

    def free_call(self, size: int) -> None:
        """Return the bytes of a call."""
        self.reserved -= size
        self.calls -= size
        if self.answers or self.requests:
            self._grant_waiting()

    def add(self, use: Use, size: int) -> None:
        """Reserve bytes that are held already."""
        self.reserved += size
        self.by_use[use] += size

    def free(self, use: Use, size: int) -> None:
        """Return reserved bytes, and grant them to those that wait."""
        self.reserved -= size
        self.by_use[use] -= size
        if self.answers or self.requests:
            self._grant_waiting()

    def wait(self, waiter: Waiter) -> bool:
        """Queue for room; return False if it can't be waited for."""
        if waiter.size > self.limits.ceiling(waiter.use):
            return False
        queue = self._queue_of(waiter)
        if queue is self.requests and len(queue) >= self.limits.max_waiting:
            return False
        queue.append(waiter)
        return True

    def stop_waiting(self, waiter: Waiter) -> None:
        """Remove a waiter that may have been granted already."""
        queue = self._queue_of(waiter)
        if waiter in queue:
            queue.remove(waiter)

    def is_short(self) -> bool:
        """Return True while others wait or only the reserve is left."""
        waiting = bool(self.answers or self.requests)
        return waiting or self.reserved > self.limits.ceiling(Use.answers)

    def count_shed(self, reason: Shed, now: float) -> bool:
        """Count a refusal or a closed connection.

        Returns True if it should be logged: one in a second of each reason.

        Args:
            reason: Why it was refused or closed.
            now: Any time in s that does not go back.
        """
        self.shed[reason] += 1
        if now - self.logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return False
        self.logged_at[reason] = now
        return True

    def _has_room(self, use: Use, size: int) -> bool:
        return self.reserved + size <= self.limits.ceiling(use)

    def _queue_of(self, waiter: Waiter) -> deque[Waiter]:
        return self.answers if waiter.use is Use.answers else self.requests

    def _grant_waiting(self) -> None:
        self._grant(self.answers)
        if not self.answers:
            self._grant(self.requests)

    def _grant(self, queue: deque[Waiter]) -> None:
        while queue and self._has_room(queue[0].use, queue[0].size):
            waiter = queue.popleft()
            self.add(waiter.use, waiter.size)
            waiter.on_grant()
