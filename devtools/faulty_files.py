"""A file layer in memory with injected faults and simulated crashes."""

from __future__ import annotations

import errno
import os
import random
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

from burdocklead.durable.files import AppendFile


@dataclass(slots=True)
class Inode:
    """A file on the simulated disk, independent of its paths.

    Attributes:
        content: Content that readers see.
        synced_bytes: Length that survives a crash.
        sync_failed: True after a failed sync; later syncs report success
            but save nothing, as operating system kernels do.
    """

    content: bytearray = field(default_factory=bytearray)
    synced_bytes: int = 0
    sync_failed: bool = False


@dataclass(slots=True)
class FaultyFileLayer:
    """File layer in memory.

    Attributes:
        capacity: Size of the disk in bytes, None for no limit.
        faults: Operation name and error number of each planned error; only
            the first is active.
        visible: Files by path as a running process sees them.
        durable: Files by path that survive a crash.
    """

    capacity: int | None = None
    faults: deque[tuple[str, int]] = field(default_factory=deque)
    visible: dict[Path, Inode] = field(default_factory=dict)
    durable: dict[Path, Inode] = field(default_factory=dict)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        inode = self.visible.get(path)
        return None if inode is None else bytes(inode.content)

    def create(self, path: Path) -> AppendFile:
        """Create an empty file; replaces an existing one."""
        self.check('create')
        self.visible[path] = Inode()
        return FaultyFile(self, self.visible[path])

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Open an existing file, truncated to a size in bytes."""
        self.check('open')
        inode = self.visible[path]
        del inode.content[size:]
        inode.synced_bytes = min(inode.synced_bytes, size)
        return FaultyFile(self, inode)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file; replaces an existing target."""
        self.check('rename')
        self.visible[target] = self.visible.pop(source)

    def sync_folder(self, folder: Path) -> None:
        """Make all creations and renames durable."""
        self.check('sync_folder')
        self.durable = dict(self.visible)

    def crash(self, rng: random.Random) -> None:
        """Drop unsynced changes, except for a random part that may be damaged.

        Unsynced creations and renames are kept in half of the crashes, and the
        last byte of a kept unsynced tail is corrupted in a quarter of them.
        """
        self.faults.clear()
        if rng.randrange(2):
            self.durable = dict(self.visible)
        self.visible = dict(self.durable)
        for inode in self.visible.values():
            tail = len(inode.content) - inode.synced_bytes
            del inode.content[inode.synced_bytes + rng.randint(0, tail) :]
            if len(inode.content) > inode.synced_bytes and not rng.randrange(4):
                inode.content[-1] ^= 0xFF
            inode.synced_bytes = len(inode.content)
            inode.sync_failed = False

    def used(self) -> int:
        """Return the used disk space in bytes."""
        inodes = [*self.visible.values(), *self.durable.values()]
        return sum({id(inode): len(inode.content) for inode in inodes}.values())

    def check(self, operation: str) -> None:
        """Raise the first planned error if it is for this operation."""
        if self.faults and self.faults[0][0] == operation:
            number = self.faults.popleft()[1]
            raise OSError(number, os.strerror(number))


@dataclass(frozen=True, slots=True)
class FaultyFile:
    """An open file of the file layer."""

    layer: FaultyFileLayer
    inode: Inode

    def append(self, content: bytes) -> None:
        """Append bytes; on an error only a part of them is written."""
        capacity = self.layer.capacity
        if capacity is not None:
            space = max(0, capacity - self.layer.used())
            self.inode.content.extend(content[:space])
            if space < len(content):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return
        try:
            self.layer.check('append')
        except OSError:
            self.inode.content.extend(content[: len(content) // 2])
            raise
        self.inode.content.extend(content)

    def sync(self) -> None:
        """Make the content durable unless an earlier sync failed."""
        try:
            self.layer.check('sync')
        except OSError:
            self.inode.sync_failed = True
            raise
        if not self.inode.sync_failed:
            self.inode.synced_bytes = len(self.inode.content)

    def close(self) -> None:
        """Do nothing: the file layer keeps the content."""
