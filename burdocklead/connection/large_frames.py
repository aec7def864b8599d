"""Large frames, which are sent and received without copies of their bodies."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from itertools import repeat

import msgspec

from burdocklead.clock import HybridTime
from burdocklead.connection.frames import (
    HEADER,
    Answer,
    Attempt,
    CrashNotice,
    Frame,
    Lost,
    Refusal,
    Verdict,
    encode_frame,
)
from burdocklead.decoding import decode_outside
from burdocklead.exceptions import LinkError
from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget, Shed, Use
from burdocklead.memory.held_bytes import HeldBytes
from burdocklead.memory.shed_log import record_shed
from burdocklead.values import LoadReport, RefusalCause

# msgpack's head of binary data whose size takes four bytes.
BINARY_HEAD = struct.Struct('>BI')
BINARY_CODE = 0xC6
PREFIX_BYTES = 1024  # Holds the tag and the ID of an attempt.
FIXED_ARRAYS = range(0x90, 0xA0)
ARRAY_HEAD_BYTES = 3  # An array of more than 15 elements.
FIXED_STRING = 0xA0
SHORT_STRING = 0xD9
MAX_FIXED_STRING = 31
UNKNOWN_LOAD = LoadReport(0, 0, 0)


_encoder = msgspec.msgpack.Encoder()
LargeFrame = (
    Attempt[memoryview] | Answer[memoryview] | Verdict[memoryview] | CrashNotice
)
_decoder: msgspec.msgpack.Decoder[LargeFrame] = msgspec.msgpack.Decoder(
    LargeFrame
)


class FramePieces:
    """An encoded frame in pieces, the body among them uncopied.

    Attributes:
        pieces: The pieces in reverse order, the next one last.
        size: Bytes in all pieces.
    """

    __slots__ = ('pieces', 'size')

    def __init__(self, pieces: list[memoryview]) -> None:
        """Initialize with the pieces in order."""
        self.pieces = list(reversed(pieces))
        self.size = sum(len(piece) for piece in pieces)

    def take(self, size: int) -> memoryview:
        """Remove and return up to a number of bytes."""
        piece = self.pieces.pop()
        if len(piece) > size:
            self.pieces.append(piece[size:])
            piece = piece[:size]
        self.size -= len(piece)
        return piece


def encode_for_link(frame: Frame, time: HybridTime) -> bytes | FramePieces:
    """Return an encoded frame, in pieces if it has a large body."""
    if isinstance(frame, Attempt | Answer) and len(frame.body) > SMALL_BYTES:
        return _encode_pieces(frame, time)
    return encode_frame(frame, time)


def _encode_pieces(frame: Attempt | Answer, time: HybridTime) -> FramePieces:
    """Encode the elements of a frame around its body.

    The encoding of an array is its head and then that of each element.
    """
    body = frame.body
    names = frame.__struct_fields__
    position = names.index('body')
    tag = str(frame.__struct_config__.tag)
    head = _array_head(len(names) + 1) + b''.join(
        (_encoder.encode(tag), _encode_fields(frame, names[:position]))
    )
    head += BINARY_HEAD.pack(BINARY_CODE, len(body))
    tail = _encode_fields(frame, names[position + 1 :])
    size = len(head) + len(body) + len(tail)
    header = HEADER.pack(size, time.wall_ns, time.count)
    return FramePieces(
        [memoryview(header + head), memoryview(body), memoryview(tail)]
    )


def _array_head(count: int) -> bytes:
    """Return the head of an array, which is one byte per None without it."""
    return _encoder.encode(tuple(repeat(None, count)))[:-count]


def _encode_fields(frame: Attempt | Answer, names: Sequence[str]) -> bytes:
    return b''.join(_encoder.encode(getattr(frame, name)) for name in names)


class LargeFrameIntake:
    """Collects large frames; skips those that find no room in the budget.

    The peer sends other frames behind it on the connection, so it can't be
    left unread. An attempt that is skipped is refused, as it never ran.

    Attributes:
        budget: Memory for the frames.
        on_refuse: Sends the refusal of an attempt.
        payload: The frame being received, None if it is skipped.
        prefix: Start of a frame that is skipped.
        missing: Bytes that it still lacks.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        on_refuse: Callable[[Refusal], None],
    ) -> None:
        """Initialize without a frame."""
        self.budget = budget
        self.on_refuse = on_refuse
        self.payload: HeldBytes | None = None
        self.prefix = bytearray()
        self.missing = 0

    def start(self, size: int) -> bool:
        """Start a frame; return False for a small one."""
        if size <= SMALL_BYTES:
            return False
        self.missing = size
        self.prefix = bytearray()
        self.payload = HeldBytes(self.budget, Use.frames)
        if not self.payload.reservation.try_grow(size):
            self.payload = None
            record_shed(self.budget, Shed.frame)
        return True

    def missing_bytes(self) -> int:
        """Return the bytes that the frame still lacks, 0 if none is open."""
        return self.missing

    def append(self, chunk: bytes | memoryview) -> None:
        """Add a part of the frame."""
        self.missing -= len(chunk)
        if self.payload is not None:
            self.payload.append(chunk)
        elif len(self.prefix) < PREFIX_BYTES:
            self.prefix += chunk[:PREFIX_BYTES]

    def finish(self) -> Frame | None:
        """Return the complete frame, or what stands for a skipped one.

        Raises:
            LinkError: If it can't be decoded.
        """
        payload = self.payload
        self.payload = None
        try:
            if payload is None:
                return self._skipped()
            return decode_outside(_decoder.decode, payload.finish())
        except (msgspec.DecodeError, IndexError) as error:
            raise LinkError(str(error), step='receive') from None

    def drop(self) -> None:
        """Drop an incomplete frame."""
        self.payload = None

    def _skipped(self) -> Frame | None:
        tag, attempt_id = read_start(bytes(self.prefix))
        if tag == 'attempt':
            cause = RefusalCause.memory_budget
            self.on_refuse(Refusal(attempt_id, cause, UNKNOWN_LOAD))
        if tag == 'answer':
            reason = 'no memory for the answer'
            return Lost(attempt_id, reason, False, UNKNOWN_LOAD)
        return None


def read_start(payload: bytes) -> tuple[str, str]:
    """Return the tag and the attempt ID at the start of a payload.

    Raises:
        IndexError: If the payload starts with anything else.
    """
    position = 1 if payload[0] in FIXED_ARRAYS else ARRAY_HEAD_BYTES
    tag, position = _read_string(payload, position)
    attempt_id, _ = _read_string(payload, position)
    return tag, attempt_id


def _read_string(payload: bytes, position: int) -> tuple[str, int]:
    code = payload[position]
    start = position + 1
    if code == SHORT_STRING:
        size = payload[start]
        start += 1
    else:
        size = code - FIXED_STRING
        if size not in range(MAX_FIXED_STRING + 1):
            raise IndexError('no string')
    end = start + size
    return payload[start:end].decode(errors='replace'), end
