"""Parser for the answers of an upstream that enforces limits on them.

An upstream may send bytes without end, so everything received in one exchange
is bounded.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import httptools

from burdocklead.connection.frames import Headers
from burdocklead.connection.http_messages import (
    DEFINED_STATUSES,
    ENCODING,
    FIRST_FINAL_STATUS,
    NO_BODY_STATUSES,
    find_header,
)
from burdocklead.connection.partial_answer import (
    PIECE_BYTES,
    PartialAnswer,
)
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.memory.body_intake import BodyIntake, IntakeState
from burdocklead.memory.budget import SMALL_BYTES, MemoryBudget, Use
from burdocklead.values import Body

# A chunk of one byte takes five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits on what an upstream may send in one exchange.

    Attributes:
        max_body_bytes: Bytes of bodies.
        max_head_bytes: Bytes of status lines, headers and trailers.
        max_header_lines: Header lines and trailer lines.
        max_skipped: Interim responses and answers to other requests.
        head_timeout_s: Time in s from the first byte of a head to its end.
        body_grace_s: Time in s for a body of any size.
        min_body_rate: Mean bytes/s of a body that takes longer.
        max_idle_s: Time in s for which an idle connection is kept.
    """

    max_body_bytes: int = 16777216
    max_head_bytes: int = 65536
    max_header_lines: int = 256
    max_skipped: int = 16
    head_timeout_s: float = 5
    body_grace_s: float = 30
    min_body_rate: float = 1000
    max_idle_s: float = 60


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A complete answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: Headers in the order received.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: Body


@dataclass(slots=True)
class ReceivedTotals:
    """Everything received in one exchange.

    Attributes:
        total_bytes: All bytes.
        body_bytes: Bytes of bodies, including those of foreign answers.
        header_lines: Header lines and trailer lines.
        interim: Interim responses.
        foreign: Answers to other requests.
    """

    total_bytes: int = 0
    body_bytes: int = 0
    header_lines: int = 0
    interim: int = 0
    foreign: int = 0

    def violation(self, limits: AnswerLimits) -> str:
        """Return which limit is exceeded, empty if none is."""
        framing_bytes = self.body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        overhead_bytes = self.total_bytes - self.body_bytes
        if overhead_bytes > limits.max_head_bytes + framing_bytes:
            return 'too many bytes outside of the body'
        if self.header_lines > limits.max_header_lines:
            return 'too many header lines'
        if self.interim + self.foreign > limits.max_skipped:
            return 'too many interim or foreign answers'
        return ''


class AnswerSink(Protocol):
    """Receives the answer to the pending request, or why there is none."""

    def finish(self, answer: RawAnswer) -> None:
        """Process the complete answer."""

    def reject_body(self, status: int) -> None:
        """Reject an answer whose body exceeds the limit."""

    def fail(self, reason: str, *, answered: bool) -> None:
        """End the exchange without an answer.

        Args:
            reason: Short description of the failure.
            answered: True if part of an answer was received.
        """

    def pause_body(self) -> None:
        """Leave the rest of a body unread."""

    def resume_body(self) -> None:
        """Read the rest of a body."""


class AnswerReader:
    """Parses the answers to one request; implements the parser's callbacks.

    Answers to other requests are dropped.

    Attributes:
        sink: Receives the answer.
        limits: Limits on the answers.
        request: Request whose answer is read.
        is_first: True for the first request of the connection.
        partial: Answer that is being received.
        received: Totals of this exchange.
        clean: False once the connection must not carry another request.
        ended: True once the sink has got an answer or a failure.
        ends_at_close: True if the end of the connection ends the body.
        budget: Memory for large bodies.
    """

    def __init__(
        self,
        sink: AnswerSink,
        limits: AnswerLimits,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Initialize a reader; requires a running event loop."""
        self.budget = budget or MemoryBudget()
        self.sink = sink
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpResponseParser(self)
        self.request = UpstreamRequest('', b'')
        self.is_first = True
        self.partial: PartialAnswer | None = None
        self.received = ReceivedTotals()
        self.clean = True
        self.ended = True
        self.ends_at_close = False

    def start(self, request: UpstreamRequest, *, is_first: bool) -> None:
        """Read the answer to a request from now on."""
        self.request = request
        self.is_first = is_first
        self.partial = None
        self.received = ReceivedTotals()
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self.received.total_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail('an upgrade nobody asked for')
        except httptools.HttpParserError as error:
            self.fail(f'no HTTP answer: {error}')
        reason = self.received.violation(self.limits)
        if self.partial is not None and not reason:
            reason = _slow_reason(
                self.partial,
                self.loop.time(),
                self.received.body_bytes,
                self.limits,
            )
        if reason:
            self.fail(reason, answered=True)

    def end(self, error: Exception | None) -> None:
        """Process the end of the connection."""
        self.clean = False
        if self.ends_at_close and error is None and self.partial is not None:
            self._finish(self.partial)
        self.fail(str(error) if error else 'closed by the upstream')

    def fail(self, reason: str, *, answered: bool = False) -> None:
        """End the exchange without an answer, unless it has ended."""
        answer_started = answered or self.partial is not None
        self.drop()
        self.clean = False
        if not self.ended:
            self.ended = True
            self.sink.fail(reason, answered=answer_started)

    def drop(self) -> None:
        """Drop the answer that is being received."""
        if self.partial is not None and self.partial.large is not None:
            self.partial.large.drop()
        self.partial = None

    def on_message_begin(self) -> None:
        """Start an answer; an unsolicited one prevents reuse."""
        if self.ended:
            self.clean = False
        self.partial = PartialAnswer(self.loop.time())

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header to the answer; trailers are counted and dropped."""
        self.received.header_lines += 1
        if self.partial is None or self.partial.in_body:
            return
        if self.received.header_lines <= self.limits.max_header_lines:
            pair = (name.decode(ENCODING), text.decode(ENCODING).strip())
            self.partial.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Determine the request of the answer and the end of its body."""
        partial = self.partial
        if partial is None:
            return
        partial.in_body = True
        partial.started = self.loop.time()
        partial.status = self.parser.get_status_code()
        if partial.status not in DEFINED_STATUSES:
            self.fail(f'status {partial.status:03} is not defined')
            return
        if partial.status < FIRST_FINAL_STATUS:
            return
        answer_id = self.request.read_answer_id(tuple(partial.headers))
        partial.foreign = answer_id not in {None, self.request.answer_id}
        has_length = find_header(partial.headers, 'content-length') is not None
        coding = find_header(partial.headers, 'transfer-encoding') or ''
        chunked = 'chunked' in coding.lower()
        bodiless = partial.status in NO_BODY_STATUSES
        self.ends_at_close = not (bodiless or has_length or chunked)
        if self.request.method == 'HEAD' or (bodiless and has_length):
            # The parser would wait for the body that the length announces.
            self.clean = False
            self._finish(partial)
        elif has_length:
            self._reserve_body(partial, partial.announced_bytes())

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self.received.body_bytes += len(chunk)
        partial = self.partial
        if partial is None:
            return
        if self.received.body_bytes > self.limits.max_body_bytes:
            self._reject_body(partial)
        elif not partial.foreign:
            partial.body += chunk
            if len(partial.body) > partial.flush_at:
                self._move_body(partial)

    def on_message_complete(self) -> None:
        """Finish the answer; skip an interim (1xx) response."""
        partial = self.partial
        if partial is None:
            return
        if partial.status < FIRST_FINAL_STATUS:
            self.partial = None
            self.received.interim += 1
            return
        if not self.parser.should_keep_alive():
            self.clean = False
        self._finish(partial)

    def _lacks_proof(self, headers: Headers) -> bool:
        """Return True if an answer may be a copy of an earlier one.

        Without an ID, only the first answer of a connection certainly belongs
        to the request.
        """
        is_first = self.is_first and not self.received.foreign
        if is_first or not self.request.answer_id:
            return False
        return self.request.read_answer_id(headers) is None

    def _finish(self, partial: PartialAnswer) -> None:
        self.partial = None
        self.ends_at_close = False
        if partial.foreign or self.ended:
            self.clean = False
            self.received.foreign += 1
            return
        headers = tuple(partial.headers)
        if self._lacks_proof(headers):
            self.fail(
                'an answer without an ID on a used connection', answered=True
            )
            return
        if self.request.answer_id and not self.request.read_answer_id(headers):
            self.clean = False
        self.ended = True
        if partial.large is None:
            body: Body = bytes(partial.body)
        else:
            partial.flush()
            body = partial.large.body.finish()
        answer = RawAnswer(partial.status, headers, body)
        self.sink.finish(answer)

    def _reserve_body(self, partial: PartialAnswer, size: int) -> None:
        """Reserve memory for a large body, or leave it unread for a time.

        The reservation covers the longest body where the size is not known:
        bodies that each hold a part could wait for each other forever.
        """
        if size <= SMALL_BYTES or partial.foreign:
            return
        most = self.limits.max_body_bytes
        intake = BodyIntake(
            self.budget,
            Use.answers,
            most,
            self.loop.time,
            self.sink.resume_body,
        )
        partial.large = intake
        partial.flush_at = PIECE_BYTES
        partial.flush()
        known = partial.announced_bytes() or most
        ceiling = self.budget.limits.ceiling(Use.answers)
        match intake.reserve(min(known, most, ceiling)):
            case IntakeState.waiting:
                self.sink.pause_body()
            case IntakeState.refused:
                self.fail('no memory for the answer', answered=True)

    def _move_body(self, partial: PartialAnswer) -> None:
        if partial.large is None:
            # Its size was not announced.
            self._reserve_body(partial, len(partial.body))
        elif not partial.flush():
            self.fail('no memory for the answer', answered=True)

    def _reject_body(self, partial: PartialAnswer) -> None:
        self.drop()
        if partial.foreign or self._lacks_proof(tuple(partial.headers)):
            self.fail('too large an answer', answered=True)
        elif not self.ended:
            self.ended = True
            self.clean = False
            self.sink.reject_body(partial.status)


def _slow_reason(
    partial: PartialAnswer, now: float, body_bytes: int, limits: AnswerLimits
) -> str:
    """Return why an answer is too slow, empty if it is not.

    Args:
        partial: The answer.
        now: Loop time in s.
        body_bytes: Bytes of bodies received in this exchange.
        limits: The limits.
    """
    started = max(partial.started, partial.large.since if partial.large else 0)
    elapsed_s = now - started
    if not partial.in_body:
        late = elapsed_s > limits.head_timeout_s
        return 'the headers took too long' if late else ''
    body_s = body_bytes / limits.min_body_rate
    late = elapsed_s > limits.body_grace_s + body_s
    return 'the body arrives too slowly' if late else ''
