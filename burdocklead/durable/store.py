"""The append-only file that holds the registers of one replica."""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from burdocklead.durable.register import EMPTY_REGISTER, Register
from burdocklead.exceptions import StorageError

FILE_NAME = 'registers.log'
HEADER = struct.Struct('>II')
STEP = 'store'


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One write of a register."""

    key: str
    register: Register


class RegisterStore:
    """Registers in memory, backed by one file in the data folder.

    Attributes:
        registers: State of each register by key.
        syncs: Number of syncs done.
    """

    def __init__(self, folder: Path) -> None:
        """Open the file, read it back and cut a torn tail."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / FILE_NAME
        self.registers: dict[str, Register] = {}
        self.syncs = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Entry)
        valid_bytes = self._load()
        self._file = self.path.open('ab')
        self._file.truncate(valid_bytes)

    def read(self, key: str) -> Register:
        """Return the state of a register, the empty one if unknown."""
        return self.registers.get(key, EMPTY_REGISTER)

    def write(self, changes: Mapping[str, Register]) -> None:
        """Append the changes and sync them before they count.

        Raises:
            StorageError: If the file could not be written.
        """
        frames = b''.join(
            self._frame_of(Entry(key, register))
            for key, register in changes.items()
        )
        try:
            self._append(frames)
        except OSError as error:
            raise StorageError(
                str(error), step=STEP, peer=str(self.path)
            ) from error
        self.registers.update(changes)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _append(self, frames: bytes) -> None:
        self._file.write(frames)
        self._file.flush()
        os.fsync(self._file.fileno())
        self.syncs += 1

    def _frame_of(self, entry: Entry) -> bytes:
        payload = self._encoder.encode(entry)
        return HEADER.pack(len(payload), zlib.crc32(payload)) + payload

    def _load(self) -> int:
        if not self.path.exists():
            return 0
        content = self.path.read_bytes()
        position = 0
        while position + HEADER.size <= len(content):
            length, checksum = HEADER.unpack_from(content, position)
            start = position + HEADER.size
            payload = content[start : start + length]
            if len(payload) < length:
                break
            self._load_entry(payload, checksum)
            position = start + length
        return position

    def _load_entry(self, payload: bytes, checksum: int) -> None:
        if zlib.crc32(payload) != checksum:
            raise StorageError(
                'checksum does not match', step=STEP, peer=str(self.path)
            )
        entry = self._decoder.decode(payload)
        self.registers[entry.key] = entry.register
