"""Access to files of durable state; tests replace it to inject faults."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file open for appending."""

    def append(self, content: bytes) -> None:
        """Write all bytes at the end, or raise OSError."""

    def sync(self) -> None:
        """Return once everything written is on the disk."""

    def close(self) -> None:
        """Close the file."""


class FileLayer(Protocol):
    """Operations on files that durable state needs."""

    def read(self, path: Path) -> bytes | None:
        """Return the whole content, None if there is no such file."""

    def create(self, path: Path) -> AppendFile:
        """Return a new empty file in place of any earlier one."""

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Return an existing file cut to a size in bytes."""

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file over another one."""

    def sync_folder(self, folder: Path) -> None:
        """Return once renames in the folder are on the disk."""


class OsAppendFile:
    """A file of the operating system, written without a buffer."""

    def __init__(self, path: Path, flags: int) -> None:
        """Open the file."""
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | flags)

    def append(self, content: bytes) -> None:
        """Write all bytes at the end, or raise OSError."""
        remaining = memoryview(content)
        while remaining:
            written = os.write(self.descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Return once everything written is on the disk."""
        os.fdatasync(self.descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


class OsFileLayer:
    """Files of the operating system."""

    def read(self, path: Path) -> bytes | None:
        """Return the whole content, None if there is no such file."""
        return path.read_bytes() if path.exists() else None

    def create(self, path: Path) -> AppendFile:
        """Return a new empty file in place of any earlier one."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return OsAppendFile(path, os.O_CREAT | os.O_TRUNC)

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Return an existing file cut to a size in bytes."""
        os.truncate(path, size)
        return OsAppendFile(path, 0)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file over another one."""
        source.replace(target)

    def sync_folder(self, folder: Path) -> None:
        """Return once renames in the folder are on the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(layer: FileLayer, path: Path, content: bytes) -> None:
    """Put a file with the content in place, whole or not at all.

    Raises:
        OSError: If a step failed; the earlier file is still in place,
            or the new one is.
    """
    temporary = path.with_suffix('.new')
    file = layer.create(temporary)
    try:
        file.append(content)
        file.sync()
    finally:
        file.close()
    layer.rename(temporary, path)
    layer.sync_folder(path.parent)
