"""Futures for the frames that answer attempts and queries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from burdocklead.exceptions import LinkError

FrameT = TypeVar('FrameT')


@dataclass(slots=True)
class Waiters(Generic[FrameT]):
    """Pending futures by attempt; an attempt may have several."""

    futures: dict[str, list[asyncio.Future[FrameT]]] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        """Return the number of attempts with pending futures."""
        return len(self.futures)

    def add(self, attempt_id: str) -> asyncio.Future[FrameT]:
        """Return a new future for a frame about an attempt."""
        future: asyncio.Future[FrameT] = (
            asyncio.get_running_loop().create_future()
        )
        self.futures.setdefault(attempt_id, []).append(future)
        return future

    def discard(self, attempt_id: str, future: asyncio.Future[FrameT]) -> None:
        """Remove a future and mark its exception, if any, as retrieved."""
        waiting = self.futures.get(attempt_id, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self.futures.pop(attempt_id, None)
        if future.done() and not future.cancelled():
            future.exception()

    def resolve(self, attempt_id: str, frame: FrameT) -> bool:
        """Set the result of all futures of an attempt.

        Returns False if none is pending.
        """
        pending = [
            future
            for future in self.futures.get(attempt_id, ())
            if not future.done()
        ]
        for future in pending:
            future.set_result(frame)
        return bool(pending)

    def fail_all(self, error: LinkError) -> None:
        """Set an exception on all pending futures."""
        for waiting in self.futures.values():
            for future in waiting:
                if not future.done():
                    future.set_exception(error)
