"""The append-only file that holds the registers of one replica."""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from burdocklead.durable.files import FileLayer, replace_file
from burdocklead.durable.records import decode_file, encode_record
from burdocklead.durable.register import EMPTY_REGISTER, Register
from burdocklead.exceptions import StorageError

REGISTER_FILE_NAME = 'registers.log'
MIN_COMPACTION_BYTES = 1048576
COMPACTION_GROWTH_FACTOR = 2
ENTRIES_PER_RECORD = 1024
STEP = 'store'


class RegisterStore:
    """Registers in memory, backed by one file in the data folder.

    After a failed write or sync the content of the file is unknown, so the
    next commit replaces it with a new one, written from the synced state.

    Attributes:
        registers: Synced state of each register, by key.
        syncs: Number of syncs.
        bytes_written: Bytes appended, without compactions.
        compactions: Number of times the file was rewritten.
        truncated_bytes: Length of the torn tail that was cut on opening.
        failure: Why the last commit failed, empty if it succeeded.
    """

    def __init__(
        self,
        layer: FileLayer,
        folder: Path,
        min_compaction_bytes: int = MIN_COMPACTION_BYTES,
    ) -> None:
        """Load the file and truncate a torn tail.

        Raises:
            StorageError: If the file is damaged before its tail.
        """
        self.layer = layer
        self.path = folder / REGISTER_FILE_NAME
        self.min_compaction_bytes = min_compaction_bytes
        self.syncs = 0
        self.bytes_written = 0
        self.compactions = 0
        self.failure = ''
        content = layer.read(self.path) or b''
        try:
            decoded = decode_file(content)
        except msgspec.DecodeError as error:
            raise self._error(f'a record can not be read: {error}') from error
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
        """Return the synced state of a register, empty if never written."""
        return self.registers.get(key, EMPTY_REGISTER)

    def commit(self, changes: Mapping[str, Register]) -> None:
        """Write all changes with a single sync.

        Raises:
            StorageError: If the write failed; ``registers`` is unchanged.
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
        """Replace the file with one that holds only the latest states."""
        entries = list(registers.items())
        content = b''.join(
            encode_record(dict(entries[start : start + ENTRIES_PER_RECORD]))
            for start in range(0, len(entries), ENTRIES_PER_RECORD)
        )
        self.failure = self.failure or 'compaction did not complete'
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
