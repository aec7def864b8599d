"""Group commit: writes that arrive during one sync share the next one."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from burdocklead.durable.register import Register
from burdocklead.durable.store import RegisterStore
from burdocklead.exceptions import StorageError


class GroupCommit:
    """Commits registers of many requests together.

    The sync runs on a worker thread, the only one in the process that the
    project starts; everything else stays on the loop. A state that is not
    synced yet is the base of the next change, and nobody is told of a
    change before its sync. If a commit fails, everything that waits fails,
    because it may build on what was lost.

    Attributes:
        store: Holds what is synced.
        syncing: Changes in the commit that runs.
        waiting: Changes for the commit after it.
    """

    def __init__(self, store: RegisterStore) -> None:
        """Start without pending changes."""
        self.store = store
        self.syncing: dict[str, Register] = {}
        self.waiting: dict[str, Register] = {}
        self._waiting_done: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None

    def read(self, key: str) -> Register:
        """Return the newest state of a register, synced or not."""
        for pending in (self.waiting, self.syncing):
            register = pending.get(key)
            if register is not None:
                return register
        return self.store.read(key)

    def is_unsynced(self, key: str) -> bool:
        """Return True if the newest state of a register is not synced."""
        return key in self.waiting or key in self.syncing

    def write(self, changes: Mapping[str, Register]) -> asyncio.Future[None]:
        """Take over changes; the future ends with the sync or its error.

        Without changes it ends when all changes before it are synced.
        """
        loop = asyncio.get_running_loop()
        if self._waiting_done is None:
            self._waiting_done = loop.create_future()
        self.waiting.update(changes)
        if self._task is None:
            self._task = loop.create_task(self._commit_pending())
        return self._waiting_done

    async def close(self) -> None:
        """Wait for the commits that are pending and close the file."""
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
