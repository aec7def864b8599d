"""A file layer in memory that loses what was not synced and fails at will."""

from __future__ import annotations

import errno
import os
import random
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

from burdocklead.durable.files import AppendFile


@dataclass(slots=True)
class Node:
    """Content of a file.

    Attributes:
        content: What readers see.
        synced: Length that survives a crash.
        doubtful: True after a failed sync: a later sync reports success
            and saves nothing, as kernels do.
    """

    content: bytearray = field(default_factory=bytearray)
    synced: int = 0
    doubtful: bool = False


@dataclass(slots=True)
class FaultyFileLayer:
    """Files in memory.

    Attributes:
        capacity: Bytes that fit on the disk, None for no limit.
        faults: Errors of the next operations: name of the operation and
            error number.
        visible: Files by path as a running process sees them.
        durable: Files by path as they are after a crash.
    """

    capacity: int | None = None
    faults: deque[tuple[str, int]] = field(default_factory=deque)
    visible: dict[Path, Node] = field(default_factory=dict)
    durable: dict[Path, Node] = field(default_factory=dict)

    def read(self, path: Path) -> bytes | None:
        """Return the whole content, None if there is no such file."""
        node = self.visible.get(path)
        return None if node is None else bytes(node.content)

    def create(self, path: Path) -> AppendFile:
        """Return a new empty file in place of any earlier one."""
        self.check('create')
        self.visible[path] = Node()
        return FaultyFile(self, self.visible[path])

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Return an existing file cut to a size in bytes."""
        self.check('open')
        node = self.visible[path]
        del node.content[size:]
        node.synced = min(node.synced, size)
        return FaultyFile(self, node)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file over another one."""
        self.check('rename')
        self.visible[target] = self.visible.pop(source)

    def sync_folder(self, folder: Path) -> None:
        """Make renames last."""
        self.check('sync_folder')
        self.durable = dict(self.visible)

    def crash(self, rng: random.Random) -> None:
        """Lose what was not synced; a part of a tail may stay, torn."""
        self.faults.clear()
        if rng.randrange(2):
            self.durable = dict(self.visible)
        self.visible = dict(self.durable)
        for node in self.visible.values():
            tail = len(node.content) - node.synced
            del node.content[node.synced + rng.randint(0, tail) :]
            if len(node.content) > node.synced and not rng.randrange(4):
                node.content[-1] ^= 0xFF
            node.synced = len(node.content)
            node.doubtful = False

    def used(self) -> int:
        """Return the bytes in use."""
        nodes = [*self.visible.values(), *self.durable.values()]
        return sum({id(node): len(node.content) for node in nodes}.values())

    def check(self, operation: str) -> None:
        """Raise the fault due for an operation, if any."""
        if self.faults and self.faults[0][0] == operation:
            number = self.faults.popleft()[1]
            raise OSError(number, os.strerror(number))


@dataclass(frozen=True, slots=True)
class FaultyFile:
    """An open file of the layer."""

    layer: FaultyFileLayer
    node: Node

    def append(self, content: bytes) -> None:
        """Write all bytes, or a part of them before an error."""
        capacity = self.layer.capacity
        if capacity is not None:
            space = max(0, capacity - self.layer.used())
            self.node.content.extend(content[:space])
            if space < len(content):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return
        try:
            self.layer.check('append')
        except OSError:
            self.node.content.extend(content[: len(content) // 2])
            raise
        self.node.content.extend(content)

    def sync(self) -> None:
        """Make the content last."""
        try:
            self.layer.check('sync')
        except OSError:
            self.node.doubtful = True
            raise
        if not self.node.doubtful:
            self.node.synced = len(self.node.content)

    def close(self) -> None:
        """Do nothing: the layer holds the content."""
