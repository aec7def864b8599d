"""Memory for the requests that are being read on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from dataclasses import dataclass, field
from functools import partial as bind
from typing import Protocol

from burdocklead.connection.http_messages import HttpResponse
from burdocklead.memory.body_intake import BodyIntake, IntakeState
from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget, Shed, Use
from burdocklead.memory.shed_log import record_shed
from burdocklead.values import Body

HEADER_OBJECT_BYTES = 256  # Python objects of a header besides its text.
HEADER_TIMEOUT = HttpResponse(408, close=True)
NO_MEMORY = HttpResponse(503, (('Retry-After', '1'),), close=True)


class MemorySink(Protocol):
    """The connection on which requests are read."""

    @property
    def exchanges(self) -> Sized:
        """Return the earlier requests whose responses are not written."""

    def refuse(self, response: HttpResponse) -> None:
        """Reject a request that can't be read, and stop reading."""

    def send_continue(self) -> None:
        """Send ``100 Continue`` to a client that waits for it."""

    def pause_reading(self) -> None:
        """Leave what the client sends unread."""

    def resume_reading(self) -> None:
        """Read again unless there is another reason not to."""


@dataclass(slots=True)
class PartialRequest:
    """A request that is being received.

    Attributes:
        started: Loop time in s of its first byte.
        max_body_bytes: Largest size of its body.
        body_started: Loop time in s at which its body could be read.
        large: Its body if that is large, None otherwise.
        length: Announced size of its body in bytes.
        expects_continue: True if the client waits for ``100 Continue``.
        held_bytes: Bytes reserved for its headers and its small body.
    """

    started: float
    max_body_bytes: int
    body_started: float = 0
    target: bytearray = field(default_factory=bytearray)
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    header_bytes: int = 0
    body_bytes: int = 0
    large: BodyIntake | None = None
    length: int = 0
    expects_continue: bool = False
    held_bytes: int = 0

    def started_reading(self) -> float:
        """Return the loop time in s at which the last part could be read."""
        return self.body_started or self.started

    def small_bytes(self) -> int:
        """Return the memory for the headers and a small body in bytes."""
        objects = HEADER_OBJECT_BYTES * len(self.headers)
        body_bytes = 0 if self.large else self.body_bytes
        return 2 * self.header_bytes + objects + body_bytes


class RequestMemory:
    """Reserves memory for the request that is being read.

    A connection reads one large body at a time: others wait until the
    requests before them are answered.

    Attributes:
        sink: The connection.
        budget: Memory of the process.
        completed_bytes: Memory of the last complete request in bytes,
            without a large body.
        waiting: The request whose body is left unread, None if none is.
    """

    def __init__(self, sink: MemorySink, budget: MemoryBudget) -> None:
        """Initialize without a request; requires a running event loop."""
        self.sink = sink
        self.budget = budget
        self.loop = asyncio.get_running_loop()
        self.completed_bytes = 0
        self.waiting: PartialRequest | None = None

    def start_body(self, partial: PartialRequest) -> None:
        """Reserve memory for a body of an announced size if it is large."""
        if partial.length > SMALL_BYTES:
            self._reserve(partial)
        elif partial.expects_continue:
            self.sink.send_continue()

    def add_chunk(self, partial: PartialRequest, chunk: bytes) -> None:
        """Add a chunk of a body."""
        partial.body_bytes += len(chunk)
        if partial.large is not None:
            if not partial.large.append(chunk):
                self._shed(Shed.no_room, NO_MEMORY)
            return
        partial.body.append(chunk)
        if partial.body_bytes > SMALL_BYTES:
            # Its size was not announced.
            partial.length = min(2 * partial.body_bytes, partial.max_body_bytes)
            partial.expects_continue = False
            self._reserve(partial)

    def finish(self, partial: PartialRequest) -> Body:
        """Return the body of a complete request."""
        if partial.held_bytes:
            self.budget.free_call(partial.held_bytes)
        self.completed_bytes = partial.small_bytes()
        if partial.large is None:
            return b''.join(partial.body)
        self._stop_waiting(partial)
        body = partial.large.body
        # The intake refers to the request: a cycle would keep the body.
        partial.large = None
        return body.finish()

    def drop(self, partial: PartialRequest) -> None:
        """Return the memory of an incomplete request."""
        self.budget.free_call(partial.held_bytes)
        partial.held_bytes = 0
        if partial.large is not None:
            partial.large.drop()
            partial.large = None
        self._stop_waiting(partial)

    def hold_unfinished(self, partial: PartialRequest | None) -> None:
        """Reserve memory for headers and a small body that are incomplete."""
        if partial is None:
            return
        growth = partial.small_bytes() - partial.held_bytes
        if self.budget.try_add_call(growth):
            partial.held_bytes += growth
        else:
            self._shed(Shed.small, NO_MEMORY)

    def resume_deferred(self) -> None:
        """Reserve memory for a body that waits for earlier requests."""
        partial = self.waiting
        if partial is None or partial.large is None:
            return
        if partial.large.state is IntakeState.deferred:
            self._ask(partial, partial.large)

    def check_body(
        self, partial: PartialRequest, now: float, idle_s: float
    ) -> bool:
        """Refuse a large body that waits too long or that others wait for.

        Returns True if no other time limit applies.
        """
        intake = partial.large
        if intake is None:
            return False
        limits = self.budget.limits
        if self.waiting is partial:
            is_deferred = intake.state is IntakeState.deferred
            if not is_deferred and now - intake.since > limits.wait_s:
                self._shed(Shed.waited, NO_MEMORY)
            return True
        allowed_s = limits.allowed_s(partial.body_bytes)
        slow = now - partial.body_started > allowed_s
        if not self.budget.is_short() or not (slow or idle_s > limits.stall_s):
            return False
        self._shed(Shed.slow_body, HEADER_TIMEOUT)
        return True

    def _reserve(self, partial: PartialRequest) -> None:
        intake = BodyIntake(
            self.budget,
            Use.requests,
            partial.max_body_bytes,
            self.loop.time,
            bind(self._on_room, partial),
        )
        partial.large = intake
        intake.body.append(b''.join(partial.body))
        partial.body.clear()
        if self.sink.exchanges:
            intake.defer()
            self.waiting = partial
            self.sink.pause_reading()
        else:
            self._ask(partial, intake)

    def _ask(self, partial: PartialRequest, intake: BodyIntake) -> None:
        match intake.reserve(partial.length):
            case IntakeState.reading:
                self._on_room(partial)
            case IntakeState.waiting:
                self.waiting = partial
                self.sink.pause_reading()
            case IntakeState.refused:
                self._shed(Shed.no_room, NO_MEMORY)

    def _on_room(self, partial: PartialRequest) -> None:
        partial.body_started = self.loop.time()
        if partial.expects_continue:
            self.sink.send_continue()
        self._stop_waiting(partial)

    def _stop_waiting(self, partial: PartialRequest) -> None:
        if self.waiting is partial:
            self.waiting = None
            self.sink.resume_reading()

    def _shed(self, reason: Shed, response: HttpResponse) -> None:
        record_shed(self.budget, reason)
        self.sink.refuse(response)
