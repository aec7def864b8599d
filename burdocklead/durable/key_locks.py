"""Locks by key, dropped when no task holds or awaits them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class KeyLock:
    """A lock with a reference count."""

    users: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(slots=True)
class KeyLocks:
    """Serializes the changes of each register by one proposer.

    Attributes:
        locks: Locks in use by key.
    """

    locks: dict[str, KeyLock] = field(default_factory=dict)

    @contextlib.asynccontextmanager
    async def hold(self, key: str) -> AsyncIterator[None]:
        """Hold the lock of a key."""
        entry = self.locks.setdefault(key, KeyLock())
        entry.users += 1
        try:
            async with entry.lock:
                yield
        finally:
            entry.users -= 1
            if not entry.users:
                self.locks.pop(key)
