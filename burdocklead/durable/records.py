"""Record format of the register file: checksummed batches of writes.

A record is a header of four big-endian 32-bit words (magic number, payload
length, payload checksum, checksum of the first three words) followed by the
payload, a MessagePack array of entries. A commit appends one record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from burdocklead.durable.register import Register

HEADER_FIELDS = struct.Struct('>4sII')
HEADER_CHECKSUM = struct.Struct('>I')
HEADER_SIZE = HEADER_FIELDS.size + HEADER_CHECKSUM.size
MAGIC = b'\xb1bl\x01'


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One write of a register."""

    key: str
    register: Register


@dataclass(frozen=True, slots=True)
class DecodedFile:
    """The decoded content of a register file.

    Attributes:
        registers: Last state of each register, by key.
        valid_bytes: Length of the part before a torn tail.
        damaged_at: Offset of a damaged record that a valid one follows,
            None if there is none.
    """

    registers: dict[str, Register]
    valid_bytes: int
    damaged_at: int | None = None


entry_encoder = msgspec.msgpack.Encoder()
entry_decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])


def encode_record(changes: Mapping[str, Register]) -> bytes:
    """Return a record that holds all changes."""
    payload = entry_encoder.encode(
        [Entry(key, register) for key, register in changes.items()]
    )
    fields = HEADER_FIELDS.pack(MAGIC, len(payload), zlib.crc32(payload))
    return fields + HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


def decode_file(content: bytes) -> DecodedFile:
    """Return the registers in a file and the length of its valid part."""
    registers: dict[str, Register] = {}
    position = 0
    while position < len(content):
        payload = _payload_at(content, position)
        if payload is None:
            break
        for entry in entry_decoder.decode(payload):
            registers[entry.key] = entry.register
        position += HEADER_SIZE + len(payload)
    damaged = position < len(content) and _valid_record_after(content, position)
    return DecodedFile(registers, position, position if damaged else None)


def _payload_at(content: bytes, position: int) -> bytes | None:
    """Return the payload of the record at an offset, None if not valid."""
    start = position + HEADER_SIZE
    if start > len(content):
        return None
    fields_end = position + HEADER_FIELDS.size
    checksum = HEADER_CHECKSUM.unpack_from(content, fields_end)[0]
    if zlib.crc32(content[position:fields_end]) != checksum:
        return None
    magic, length, payload_checksum = HEADER_FIELDS.unpack_from(
        content, position
    )
    payload = content[start : start + length]
    complete = magic == MAGIC and len(payload) == length
    if complete and zlib.crc32(payload) == payload_checksum:
        return payload
    return None


def _valid_record_after(content: bytes, position: int) -> bool:
    found = content.find(MAGIC, position + 1)
    while found >= 0:
        if _payload_at(content, found) is not None:
            return True
        found = content.find(MAGIC, found + 1)
    return False
