"""Decoding of content from outside the process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from burdocklead.values import Body

ContentT = TypeVar('ContentT', bound=Body | str)
MessageT = TypeVar('MessageT')


def decode_outside(
    decode: Callable[[ContentT], MessageT], content: ContentT
) -> MessageT:
    """Return what a decoder makes of content from outside the process.

    Args:
        decode: The decoder.
        content: The content.

    Raises:
        msgspec.DecodeError: If the content is invalid or nested too deeply,
            for which decoders raise RecursionError.
    """
    try:
        return decode(content)
    except RecursionError:
        raise msgspec.DecodeError('nested too deeply') from None
