"""Decoding of register values, which another release may have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from burdocklead.decoding import decode_outside
from burdocklead.exceptions import UnreadableValueError

STEP = 'registers'

ValueT = TypeVar('ValueT', bound=msgspec.Struct)


def decode_value(value: bytes, value_type: type[ValueT], key: str) -> ValueT:
    """Return the content of a register value in MessagePack.

    Raises:
        UnreadableValueError: If the value is not of this type.
    """
    decoder = msgspec.msgpack.Decoder(value_type)
    try:
        return decode_outside(decoder.decode, value)
    except msgspec.DecodeError as error:
        reason = f'this release can not read its value: {error}'
        raise UnreadableValueError(reason, step=STEP, peer=key) from error
