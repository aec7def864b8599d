"""Records of the register file: batches of writes with checksums.

A record is a header of four big-endian 32 bit words (mark, length of the
payload, checksum of the payload, checksum of the first three words) and the
payload, a MessagePack array of entries. One record holds one commit.
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
    """What a register file holds.

    Attributes:
        registers: Last state of each register by key.
        valid_bytes: Length of the part before a torn tail.
        damaged_at: Offset of a damaged record with a valid one behind it,
            None if there is none.
    """

    registers: dict[str, Register]
    valid_bytes: int
    damaged_at: int | None = None


entry_encoder = msgspec.msgpack.Encoder()
entry_decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])


def encode_record(changes: Mapping[str, Register]) -> bytes:
    """Return one record with all changes."""
    payload = entry_encoder.encode(
        [Entry(key, register) for key, register in changes.items()]
    )
    fields = HEADER_FIELDS.pack(MAGIC, len(payload), zlib.crc32(payload))
    return fields + HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


def decode_file(content: bytes) -> DecodedFile:
    """Return the registers of a file and where its valid part ends."""
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
    """Return the payload of a valid record at an offset, else None."""
    start = position + HEADER_SIZE
    if start > len(content):
        return None
    fields_end = position + HEADER_FIELDS.size
    checksum = HEADER_CHECKSUM.unpack_from(content, fields_end)[0]
    if zlib.crc32(content[position:fields_end]) != checksum:
        return None
    mark, length, payload_checksum = HEADER_FIELDS.unpack_from(
        content, position
    )
    payload = content[start : start + length]
    complete = mark == MAGIC and len(payload) == length
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
