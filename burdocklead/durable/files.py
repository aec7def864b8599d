"""File access for durable state; tests replace it to inject faults."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file open for appending."""

    def append(self, content: bytes) -> None:
        """Append all bytes, or raise OSError."""

    def sync(self) -> None:
        """Flush all written data to disk."""

    def close(self) -> None:
        """Close the file."""


class FileLayer(Protocol):
    """File system operations that durable state needs."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if it does not exist."""

    def create(self, path: Path) -> AppendFile:
        """Create an empty file, replacing any existing one."""

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Open an existing file, truncated to a size in bytes."""

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target."""

    def sync_folder(self, folder: Path) -> None:
        """Flush renames in the folder to disk."""


class OsAppendFile:
    """A file of the operating system, written without buffering."""

    def __init__(self, path: Path, flags: int) -> None:
        """Open the file."""
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | flags)

    def append(self, content: bytes) -> None:
        """Append all bytes, or raise OSError."""
        remaining = memoryview(content)
        while remaining:
            written = os.write(self.descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Flush all written data to disk."""
        os.fdatasync(self.descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


class OsFileLayer:
    """Files of the operating system."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        return path.read_bytes() if path.exists() else None

    def create(self, path: Path) -> AppendFile:
        """Create an empty file, replacing any existing one."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return OsAppendFile(path, os.O_CREAT | os.O_TRUNC)

    def open_at(self, path: Path, size: int) -> AppendFile:
        """Open an existing file, truncated to a size in bytes."""
        os.truncate(path, size)
        return OsAppendFile(path, 0)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target."""
        source.replace(target)

    def sync_folder(self, folder: Path) -> None:
        """Flush renames in the folder to disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(layer: FileLayer, path: Path, content: bytes) -> None:
    """Replace a file atomically, through a temporary file and a rename.

    Raises:
        OSError: If a step failed; the path holds the whole earlier file or
            the whole new one.
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
