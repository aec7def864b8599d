"""Group commit: writes that arrive during a sync share the next one."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from burdocklead.durable.register import Register
from burdocklead.durable.store import RegisterStore
from burdocklead.exceptions import StorageError


class GroupCommit:
    """Commits the register changes of many requests together.

    The commit runs on a worker thread, the only one that the project starts
    in a process; everything else runs on the event loop. A change may build
    on a state that is not synced yet, but no change is reported before its
    sync. If a commit fails, all waiting changes fail with it, because they
    may build on a state that was lost.

    Attributes:
        store: Store with the synced states.
        syncing: Changes in the running commit.
        waiting: Changes for the next commit.
    """

    def __init__(self, store: RegisterStore) -> None:
        """Start without pending changes."""
        self.store = store
        self.syncing: dict[str, Register] = {}
        self.waiting: dict[str, Register] = {}
        self._waiting_done: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None

    def read(self, key: str) -> Register:
        """Return the latest state of a register, synced or not."""
        for pending in (self.waiting, self.syncing):
            register = pending.get(key)
            if register is not None:
                return register
        return self.store.read(key)

    def is_unsynced(self, key: str) -> bool:
        """Return True if the latest state of a register is not synced."""
        return key in self.waiting or key in self.syncing

    def write(self, changes: Mapping[str, Register]) -> asyncio.Future[None]:
        """Queue changes; the future is done once they are synced or failed.

        Without changes it is done once all earlier changes are synced.
        """
        loop = asyncio.get_running_loop()
        if self._waiting_done is None:
            self._waiting_done = loop.create_future()
        self.waiting.update(changes)
        if self._task is None:
            self._task = loop.create_task(self._commit_pending())
        return self._waiting_done

    async def close(self) -> None:
        """Wait for pending commits and close the file."""
        if self._task is not None:
            await self._task
        self.store.close()

    async def _commit_pending(self) -> None:
        while self._waiting_done is not None:
            done = self._waiting_done
            self.syncing = self.waiting
            self.waiting = {}
            self._waiting_done = None
            try:
                await asyncio.to_thread(self.store.commit, self.syncing)
            except StorageError as error:
                self._fail(done, error)
            else:
                _resolve(done, None)
            self.syncing = {}
        self._task = None

    def _fail(
        self, done: asyncio.Future[None] | None, error: StorageError
    ) -> None:
        _resolve(done, error)
        _resolve(self._waiting_done, error)
        self._waiting_done = None
        self.waiting = {}


def _resolve(
    done: asyncio.Future[None] | None, error: StorageError | None
) -> None:
    if done is None or done.done():
        return
    if error is None:
        done.set_result(None)
        return
    done.set_exception(error)
    done.exception()
