"""How edges read and write the HTTP headers of callers and upstreams.

The product's own headers are one dialect; a deployment whose callers and
upstreams use others brings a dialect of its own.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from burdocklead.connection.frames import Attempt, Headers
from burdocklead.connection.http_client import RawAnswer
from burdocklead.connection.http_messages import HttpRequest, HttpResponse
from burdocklead.request.call import CallResult, explanation
from burdocklead.request.caller_input import read_deadline
from burdocklead.request.headers import (
    ATTEMPT_HEADER,
    ATTEMPT_NUMBER_HEADER,
    CALL_HEADER,
    CAUSE_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    forwarded_headers,
)
from burdocklead.request.upstream_client import (
    Upstream,
    UpstreamAnswer,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.request.upstream_load import UpstreamLoad
from burdocklead.values import Outcome, RefusalCause

JSON_TYPE = ('Content-Type', 'application/json')
RETRY_HEADER = 'Retry-After'


@dataclass(frozen=True, slots=True)
class CallOptions:
    """What a caller says about one call.

    Attributes:
        call_id: Name that the caller gave the call, empty if none.
        wait_ms: Time that the caller waits in ms, infinite if not told.
        headers: Headers that travel to the upstream.
    """

    call_id: str = ''
    wait_ms: float = math.inf
    headers: Headers = ()


class CallerDialect(Protocol):
    """Reads calls and writes what came of them."""

    def read_call_options(self, request: HttpRequest) -> CallOptions:
        """Return what the caller says about its call.

        Raises:
            CallerInputError: If the call can't be taken as it was sent.
        """

    def respond(self, result: CallResult, call_id: str) -> HttpResponse:
        """Return the response that tells what came of a call."""


class UpstreamDialect(Protocol):
    """Writes attempts and reads what an upstream answers."""

    def request_headers(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> Headers:
        """Return the headers of an attempt."""

    def answer_check(self, attempt: Attempt) -> Callable[[Headers], bool]:
        """Return what tells an answer to the attempt from any other."""

    def read_answer(
        self, attempt: Attempt, answer: RawAnswer
    ) -> UpstreamResult:
        """Return what an answer means."""

    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return the load that an answer tells, None if it tells none."""


class BurdockleadDialect:
    """The product's own headers."""

    def read_call_options(self, request: HttpRequest) -> CallOptions:
        """Return what the caller says about its call."""
        return CallOptions(
            '',
            read_deadline(request.headers),
            _with_host(request, forwarded_headers(request.headers)),
        )

    def respond(self, result: CallResult, call_id: str) -> HttpResponse:
        """Return the response with the outcome in its headers."""
        headers = [
            *result.headers,
            (OUTCOME_HEADER, result.outcome.value),
            (CALL_HEADER, call_id),
        ]
        if result.cause:
            headers.append((CAUSE_HEADER, result.cause))
        if result.retry_after_s:
            headers.append((RETRY_HEADER, f'{result.retry_after_s:.3f}'))
        body = result.body
        if result.outcome is not Outcome.answered:
            headers.append(JSON_TYPE)
            body = explanation(result, call_id)
        return HttpResponse(result.status, tuple(headers), body)

    def request_headers(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> Headers:
        """Return the headers of an attempt."""
        return (
            *attempt.headers,
            (DEADLINE_HEADER, f'{remaining_ms:.0f}'),
            (ATTEMPT_HEADER, attempt.attempt_id),
            (ATTEMPT_NUMBER_HEADER, str(attempt.number)),
        )

    def answer_check(self, attempt: Attempt) -> Callable[[Headers], bool]:
        """Take every answer for the attempt's own."""
        return bool

    def read_answer(
        self, attempt: Attempt, answer: RawAnswer
    ) -> UpstreamResult:
        """Return what an answer means."""
        if any(name == NOT_RUN_HEADER for name, _ in answer.headers):
            return UpstreamRefused(RefusalCause.upstream_refused)
        return UpstreamAnswer(
            answer.status, forwarded_headers(answer.headers), answer.body
        )

    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return nothing; the product's upstreams tell no load."""


def _with_host(request: HttpRequest, headers: Headers) -> Headers:
    host = request.find('Host')
    return headers if host is None else (('Host', host), *headers)
