"""The append-only file that holds the registers of one replica."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from pathlib import Path

from burdocklead.durable.files import FileLayer, replace_file
from burdocklead.durable.records import decode_file, encode_record
from burdocklead.durable.register import EMPTY_REGISTER, Register
from burdocklead.exceptions import StorageError

FILE_NAME = 'registers.log'
MIN_COMPACTION_BYTES = 1048576
COMPACTION_GROWTH_FACTOR = 2
ENTRIES_PER_RECORD = 1024
STEP = 'store'


class RegisterStore:
    """Registers in memory, backed by one file in the data folder.

    After a failed write or sync the file is not trusted again: the next
    commit writes a new one from what is known to be synced.

    Attributes:
        registers: Synced state of each register by key.
        syncs: Number of syncs done.
        bytes_written: Bytes appended, without compactions.
        compactions: Number of files written anew.
        truncated_bytes: Length of the torn tail cut at start.
        failure: Why the last commit failed, empty if it did not.
    """

    def __init__(
        self,
        layer: FileLayer,
        folder: Path,
        min_compaction_bytes: int = MIN_COMPACTION_BYTES,
    ) -> None:
        """Read the file back and cut a torn tail.

        Raises:
            StorageError: If the file is damaged before its tail.
        """
        self.layer = layer
        self.path = folder / FILE_NAME
        self.min_compaction_bytes = min_compaction_bytes
        self.syncs = 0
        self.bytes_written = 0
        self.compactions = 0
        self.failure = ''
        content = layer.read(self.path) or b''
        decoded = decode_file(content)
        if decoded.damaged_at is not None:
            raise self._error(f'damaged record at offset {decoded.damaged_at}')
        self.registers = decoded.registers
        self.truncated_bytes = len(content) - decoded.valid_bytes
        self.size = decoded.valid_bytes
        self.compacted_size = 0
        self._file = (
            layer.open_at(self.path, self.size)
            if content
            else layer.create(self.path)
        )
        self._file.sync()
        layer.sync_folder(folder)

    def read(self, key: str) -> Register:
        """Return the synced state of a register, the empty one if unknown."""
        return self.registers.get(key, EMPTY_REGISTER)

    def commit(self, changes: Mapping[str, Register]) -> None:
        """Return once all changes are synced; one sync for all of them.

        Raises:
            StorageError: If they could not be written; none counts.
        """
        try:
            self._write(changes)
        except OSError as error:
            self.failure = str(error) or 'write failed'
            raise self._error(self.failure) from error
        self.failure = ''
        self.registers.update(changes)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write(self, changes: Mapping[str, Register]) -> None:
        limit = max(
            self.min_compaction_bytes,
            self.compacted_size * COMPACTION_GROWTH_FACTOR,
        )
        if self.failure or self.size > limit:
            self._compact({**self.registers, **changes})
            return
        record = encode_record(changes)
        self._file.append(record)
        self._file.sync()
        self.syncs += 1
        self.size += len(record)
        self.bytes_written += len(record)

    def _compact(self, registers: Mapping[str, Register]) -> None:
        """Put a new file in place that holds just the last states."""
        entries = list(registers.items())
        content = b''.join(
            encode_record(dict(entries[start : start + ENTRIES_PER_RECORD]))
            for start in range(0, len(entries), ENTRIES_PER_RECORD)
        )
        self.failure = self.failure or 'compaction did not end'
        replace_file(self.layer, self.path, content)
        with contextlib.suppress(OSError):
            self._file.close()
        self._file = self.layer.open_at(self.path, len(content))
        self.syncs += 1
        self.compactions += 1
        self.size = len(content)
        self.compacted_size = len(content)

    def _error(self, reason: str) -> StorageError:
        return StorageError(reason, step=STEP, peer=str(self.path))
