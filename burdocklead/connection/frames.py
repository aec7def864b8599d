"""Frames of the link between daemons, and their encoding."""

from __future__ import annotations

import enum
import struct

import msgspec

from burdocklead.clock import HybridTime
from burdocklead.exceptions import LinkError
from burdocklead.values import CrashReport, LoadReport, RefusalCause

# Length of the payload in bytes, then the sender's hybrid time.
HEADER = struct.Struct('>IQI')
MAX_FRAME_BYTES = 80 * 1024 * 1024
Headers = tuple[tuple[str, str], ...]


class AttemptState(enum.StrEnum):
    """What the daemon beside an upstream knows of an attempt."""

    never_seen = 'never-seen'
    running = 'running'
    done = 'done'
    forgotten = 'forgotten'


class Hello(msgspec.Struct, frozen=True, tag='hello', array_like=True):
    """First frame of a link: who connects and whom it means to reach.

    Attributes:
        daemon_id: Daemon that connects.
        incarnation: Its incarnation.
        nonce: Random bytes that the reply has to prove.
        wanted_id: Daemon that is meant.
    """

    daemon_id: str
    incarnation: int
    nonce: bytes = b''
    wanted_id: str = ''


class Welcome(msgspec.Struct, frozen=True, tag='welcome', array_like=True):
    """Reply to a hello: who was reached, with the proof of the cluster key."""

    daemon_id: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, tag='proof', array_like=True):
    """Third frame: the connecting side proves the cluster key."""

    proof: bytes


class Attempt(msgspec.Struct, frozen=True, tag='attempt', array_like=True):
    """Run one attempt of a call at the upstream.

    Attributes:
        attempt_id: Unique over all daemons and incarnations.
        call_id: Call that the attempt belongs to.
        incarnation: Incarnation of the daemon that is meant.
        service: Service called.
        route: Name of the route.
        method: HTTP method.
        path: Path and query at the upstream.
        headers: Headers in order.
        body: Whole body.
        remaining_ms: Time left until the deadline in ms.
        idempotent: True if the call may run more than once.
        rank: Rank of the call; 0 is shed last.
        cost_ms: Declared service time in ms.
        number: Number of the attempt, from 1.
        queue_limit: Calls that may wait beside the upstream.
        objective_ms: Time left until the call is late in ms, negative if it
            is, None if it has no objective.
        may_queue: False if it should be refused rather than wait for a slot,
            since its entry knows other upstreams to ask.
    """

    attempt_id: str
    call_id: str
    incarnation: int
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    remaining_ms: float
    idempotent: bool
    rank: int
    cost_ms: float
    number: int
    queue_limit: int
    objective_ms: float | None = None
    may_queue: bool = True


class Answer(msgspec.Struct, frozen=True, tag='answer', array_like=True):
    """The upstream answered."""

    attempt_id: str
    status: int
    headers: Headers
    body: bytes
    load: LoadReport


class Refusal(msgspec.Struct, frozen=True, tag='refusal', array_like=True):
    """The attempt did not run and never will."""

    attempt_id: str
    cause: RefusalCause
    load: LoadReport


class Lost(msgspec.Struct, frozen=True, tag='lost', array_like=True):
    """The attempt was sent to the upstream and no answer came.

    Attributes:
        attempt_id: The attempt.
        reason: What was seen, in a few words.
        crash_suspected: True if the upstream closed without an answer.
        load: Load beside the upstream.
        final: False if a later question may still bring the truth.
        crashes: What the entry must know before it sends the call again.
    """

    attempt_id: str
    reason: str
    crash_suspected: bool
    load: LoadReport
    final: bool = True
    crashes: tuple[CrashReport, ...] = ()


class Cancel(msgspec.Struct, frozen=True, tag='cancel', array_like=True):
    """The answer of an attempt is no longer wanted; asks like a query.

    A waiting attempt is withdrawn, a running idempotent one is cut, any
    other goes on.
    """

    attempt_id: str
    incarnation: int


class Query(msgspec.Struct, frozen=True, tag='query', array_like=True):
    """Ask what became of an attempt; an unseen one is fenced."""

    attempt_id: str
    incarnation: int


class Verdict(msgspec.Struct, frozen=True, tag='verdict', array_like=True):
    """Reply to a query.

    Attributes:
        attempt_id: The attempt asked for.
        incarnation: Incarnation of the daemon that replies.
        state: What it knows; ``never_seen`` means fenced from now on,
            ``forgotten`` that it may have run.
        result: The result if the attempt is done.
    """

    attempt_id: str
    incarnation: int
    state: AttemptState
    result: Answer | Refusal | Lost | None = None


class Ping(msgspec.Struct, frozen=True, tag='ping', array_like=True):
    """Ask for a sign of life and the load."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag='pong', array_like=True):
    """Reply to a ping."""

    number: int
    load: LoadReport


class CrashNotice(msgspec.Struct, frozen=True, tag='crash', array_like=True):
    """Requests that were at an upstream when it crashed, or were cleared."""

    reports: tuple[CrashReport, ...]


AttemptResult = Answer | Refusal | Lost
Frame = (
    Hello
    | Welcome
    | Proof
    | Attempt
    | Answer
    | Refusal
    | Lost
    | Cancel
    | Query
    | Verdict
    | Ping
    | Pong
    | CrashNotice
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame, time: HybridTime) -> bytes:
    """Return a frame with its length and the sender's time before it."""
    payload = _encoder.encode(frame)
    return HEADER.pack(len(payload), time.wall_ns, time.count) + payload


class FrameBuffer:
    """Cuts a byte stream into frames.

    Attributes:
        max_bytes: Largest payload in bytes.
        received: Bytes of frames that are not complete.
        latest: Latest time that a complete frame was sent at.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start empty."""
        self.max_bytes = max_bytes
        self.received = bytearray()
        self.latest = HybridTime(0, 0)

    def feed(self, chunk: bytes) -> list[Frame]:
        """Return the frames completed by a chunk.

        Raises:
            LinkError: If a frame is too large or can't be decoded.
        """
        self.received += chunk
        frames: list[Frame] = []
        position = 0
        latest = self.latest.wall_ns, self.latest.count
        while len(self.received) - position >= HEADER.size:
            length, *sent_at = HEADER.unpack_from(self.received, position)
            if length > self.max_bytes:
                raise LinkError('frame is too large', step='receive')
            start = position + HEADER.size
            if len(self.received) < start + length:
                break
            frames.append(_decode(bytes(self.received[start : start + length])))
            latest = max(latest, tuple(sent_at))
            position = start + length
        self.latest = HybridTime(*latest)
        del self.received[:position]
        return frames


def _decode(payload: bytes) -> Frame:
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise LinkError(str(error), step='receive') from None
