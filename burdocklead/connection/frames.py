"""Frames of the links between daemons, and their encoding."""

from __future__ import annotations

import enum
import struct
from typing import Generic, Protocol

import msgspec
from typing_extensions import TypeVar

from burdocklead.clock import HybridTime
from burdocklead.decoding import decode_outside
from burdocklead.exceptions import LinkError
from burdocklead.teams.key_proof import KeyProof
from burdocklead.values import Body, CrashReport, LoadReport, RefusalCause

# Length of the payload in bytes, then the sender's hybrid time.
HEADER = struct.Struct('>IQI')
MAX_FRAME_BYTES = 80 * 1024 * 1024
Headers = tuple[tuple[str, str], ...]
# A decoder needs one type of body: bytes are copied out of the payload, a
# memoryview refers to it. A frame that isn't decoded here may have either.
BodyT = TypeVar('BodyT', bound=Body, default=Body, covariant=True)


class AttemptState(enum.StrEnum):
    """State of an attempt at the daemon of an upstream."""

    never_seen = 'never-seen'
    running = 'running'
    done = 'done'
    forgotten = 'forgotten'


class Hello(msgspec.Struct, frozen=True, tag='hello', array_like=True):
    """First frame of a link, sent by the connecting daemon.

    Attributes:
        daemon_id: ID of the connecting daemon.
        incarnation: Incarnation of the connecting daemon.
        nonce: Random bytes covered by the proof in the reply.
        wanted_id: ID of the daemon to be reached.
    """

    daemon_id: str
    incarnation: int
    nonce: bytes = b''
    wanted_id: str = ''


class Welcome(msgspec.Struct, frozen=True, tag='welcome', array_like=True):
    """Reply to a hello: the daemon reached and its proof of the cluster key."""

    daemon_id: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, tag='proof', array_like=True):
    """Third frame of a link: the connecting daemon proves the cluster key."""

    proof: bytes


class Attempt(
    msgspec.Struct, Generic[BodyT], frozen=True, tag='attempt', array_like=True
):
    """Run one attempt of a call at the upstream.

    Attributes:
        attempt_id: ID that is unique across all daemons and incarnations.
        call_id: ID of the call.
        incarnation: Incarnation of the daemon that should run the attempt.
        service: Name of the service.
        route: Name of the route.
        method: HTTP method.
        path: Path and query at the upstream.
        headers: Headers in order.
        body: Whole body.
        remaining_ms: Milliseconds until the deadline.
        idempotent: True if the call may run more than once.
        rank: Rank of the call; 0 is shed last.
        cost_ms: Declared service time in milliseconds.
        number: Number of the attempt, from 1.
        queue_limit: Maximum number of calls queued for the upstream.
        objective_ms: Milliseconds left of the latency objective, negative if
            it is missed, None if the call has no objective.
        may_queue: False to refuse the attempt instead of queueing it when no
            slot is free, as the entry daemon can try other upstreams.
        team: Team of the caller, empty if none.
        nested: True for a call that an upstream makes while it runs a call.
        key_proof: Proof of the caller's API key, None without one.
    """

    attempt_id: str
    call_id: str
    incarnation: int
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: BodyT
    remaining_ms: float
    idempotent: bool
    rank: int
    cost_ms: float
    number: int
    queue_limit: int
    objective_ms: float | None = None
    may_queue: bool = True
    team: str = ''
    nested: bool = False
    key_proof: KeyProof | None = None


class Answer(
    msgspec.Struct, Generic[BodyT], frozen=True, tag='answer', array_like=True
):
    """The upstream answered."""

    attempt_id: str
    status: int
    headers: Headers
    body: BodyT
    load: LoadReport


class Refusal(msgspec.Struct, frozen=True, tag='refusal', array_like=True):
    """The attempt did not run and never will run."""

    attempt_id: str
    cause: RefusalCause
    load: LoadReport


class Lost(msgspec.Struct, frozen=True, tag='lost', array_like=True):
    """The attempt was sent to the upstream, but no answer was received.

    Attributes:
        attempt_id: ID of the attempt.
        reason: Why no answer was received.
        crash_suspected: True if the upstream closed without an answer.
        load: Load of the upstream.
        final: False if a later query may still return the result.
        crashes: Crash reports that the entry daemon merges before a retry.
    """

    attempt_id: str
    reason: str
    crash_suspected: bool
    load: LoadReport
    final: bool = True
    crashes: tuple[CrashReport, ...] = ()


class Cancel(msgspec.Struct, frozen=True, tag='cancel', array_like=True):
    """Cancel an attempt and query its state.

    An attempt that wasn't sent is withdrawn, a running idempotent one is
    aborted, and any other goes on.
    """

    attempt_id: str
    incarnation: int


class Query(msgspec.Struct, frozen=True, tag='query', array_like=True):
    """Query the state of an attempt; an unseen one is fenced."""

    attempt_id: str
    incarnation: int


class Verdict(
    msgspec.Struct, Generic[BodyT], frozen=True, tag='verdict', array_like=True
):
    """Reply to a query or a cancel.

    Attributes:
        attempt_id: ID of the attempt.
        incarnation: Incarnation of the daemon that replies.
        state: State of the attempt; ``never_seen`` means that it is fenced
            from now on, ``forgotten`` that it may have run.
        result: Result of the attempt if it is done.
    """

    attempt_id: str
    incarnation: int
    state: AttemptState
    result: Answer[BodyT] | Refusal | Lost | None = None


class Ping(msgspec.Struct, frozen=True, tag='ping', array_like=True):
    """Check that the peer is alive and request its load."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag='pong', array_like=True):
    """Reply to a ping."""

    number: int
    load: LoadReport


class CrashNotice(msgspec.Struct, frozen=True, tag='crash', array_like=True):
    """Reports of requests suspected of crashing upstreams, or cleared."""

    reports: tuple[CrashReport, ...]


AttemptResult = Answer | Refusal | Lost
BodylessFrame = (
    Hello
    | Welcome
    | Proof
    | Refusal
    | Lost
    | Cancel
    | Query
    | Ping
    | Pong
    | CrashNotice
)
Frame = Attempt | Answer | Verdict | BodylessFrame
SmallFrame = Attempt[bytes] | Answer[bytes] | Verdict[bytes] | BodylessFrame

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[SmallFrame] = msgspec.msgpack.Decoder(
    SmallFrame
)


def encode_frame(frame: Frame, time: HybridTime) -> bytes:
    """Return a frame with a header of its length and the sender's time."""
    payload = _encoder.encode(frame)
    return HEADER.pack(len(payload), time.wall_ns, time.count) + payload


class LargeFrameReader(Protocol):
    """Collects the payloads of large frames."""

    def start(self, size: int) -> bool:
        """Return True to collect the payload of a frame that has begun."""

    def missing_bytes(self) -> int:
        """Return the bytes that the frame still lacks, 0 if none is open."""

    def append(self, chunk: bytes | memoryview) -> None:
        """Add a part of the payload."""

    def finish(self) -> Frame | None:
        """Return the complete frame, None if there is nothing to handle."""


class FrameBuffer:
    """Splits a byte stream into frames.

    Attributes:
        max_bytes: Largest payload in bytes.
        received: Bytes of the incomplete frame at the end.
        latest: Latest send time of the complete frames.
        large: Collects the payloads of large frames, None to collect them
            like the others.
        blocked: True if the bytes at the end start a frame above the limit.
            It is an error unless the earlier frames raise the limit.
    """

    def __init__(
        self,
        max_bytes: int = MAX_FRAME_BYTES,
        large: LargeFrameReader | None = None,
    ) -> None:
        """Initialize an empty buffer."""
        self.max_bytes = max_bytes
        self.received = bytearray()
        self.latest = HybridTime(0, 0)
        self.large = large
        self.blocked = False

    def feed(self, chunk: bytes) -> list[Frame]:
        """Append a chunk and return the frames that it completes.

        Raises:
            LinkError: If a frame is too large or can't be decoded.
        """
        frames: list[Frame] = []
        self.received += self._fill_large(chunk, frames)
        self.blocked = False
        position = 0
        latest = self.latest.wall_ns, self.latest.count
        while len(self.received) - position >= HEADER.size:
            length, *sent_at = HEADER.unpack_from(self.received, position)
            if length > self.max_bytes:
                self._check_blocked(frames)
                break
            start = position + HEADER.size
            end = self._take_frame(start, length, frames)
            if not end:
                break
            latest = max(latest, tuple(sent_at))
            position = end
        self.latest = HybridTime(*latest)
        del self.received[:position]
        return frames

    def _check_blocked(self, frames: list[Frame]) -> None:
        self.blocked = bool(frames)
        if not frames:
            raise LinkError('frame is too large', step='receive')

    def _take_frame(self, start: int, length: int, frames: list[Frame]) -> int:
        """Return the position behind a frame, 0 if it has to be completed."""
        end = start + length
        if end <= len(self.received):
            frames.append(_decode(bytes(self.received[start:end])))
            return end
        if self.large is None or not self.large.start(length):
            return 0
        self.large.append(bytes(self.received[start:]))
        return len(self.received)

    def _fill_large(self, chunk: bytes, frames: list[Frame]) -> bytes:
        """Add to the large frame, if any, and return the bytes behind it."""
        large = self.large
        if large is None or not large.missing_bytes():
            return chunk
        missing = large.missing_bytes()
        if len(chunk) < missing:
            large.append(chunk)
            return b''
        large.append(memoryview(chunk)[:missing])
        frame = large.finish()
        if frame is not None:
            frames.append(frame)
        return chunk[missing:]


def _decode(payload: bytes) -> Frame:
    try:
        return decode_outside(_decoder.decode, payload)
    except msgspec.DecodeError as error:
        raise LinkError(str(error), step='receive') from None
