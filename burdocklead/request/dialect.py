"""Header dialects: how HTTP headers map to calls, attempts and results.

``BurdockleadDialect`` implements the ``Burdocklead-*`` headers. A deployment
whose callers and upstreams use other headers provides its own dialect.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from burdocklead.connection.answer_reader import RawAnswer
from burdocklead.connection.frames import Attempt, Headers
from burdocklead.connection.http_messages import (
    NO_BODY_STATUSES,
    HttpRequest,
    HttpResponse,
    find_header,
)
from burdocklead.request.call import CallResult, explanation
from burdocklead.request.caller_input import read_deadline
from burdocklead.request.headers import (
    API_KEY_HEADER,
    ATTEMPT_HEADER,
    ATTEMPT_NUMBER_HEADER,
    CALL_HEADER,
    CAUSE_HEADER,
    DEADLINE_HEADER,
    LENGTH_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    TEAM_HEADER,
    as_header_text,
    forwarded_headers,
    header_values,
    without_headers,
)
from burdocklead.request.upstream_client import (
    Upstream,
    UpstreamAnswer,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.request.upstream_load import UpstreamLoad
from burdocklead.values import Outcome, RefusalCause
from burdocklead.warmup.cold_time import ReportedColdTime

JSON_TYPE = ('Content-Type', 'application/json')
RETRY_AFTER_HEADER = 'Retry-After'
HOST_HEADER = 'Host'
TEAM_HEADERS = frozenset((API_KEY_HEADER.lower(), TEAM_HEADER.lower()))


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of a call from the headers of its request.

    Attributes:
        call_id: ID that the caller gave the call, empty if none.
        wait_ms: Time that the caller waits in ms, infinite if not given.
        headers: Headers to forward to the upstream.
    """

    call_id: str = ''
    wait_ms: float = math.inf
    headers: Headers = ()


class CallerDialect(Protocol):
    """Parses the requests of callers and builds the responses."""

    def read_call_options(self, request: HttpRequest) -> CallOptions:
        """Return the options of a call from the headers of its request.

        Raises:
            CallerInputError: If the request is invalid.
        """

    def read_api_keys(self, headers: Headers) -> list[str]:
        """Return the values of the header for API keys."""

    def without_team_headers(self, headers: Headers) -> Headers:
        """Return the headers without the API key and the name of a team."""

    def respond(self, result: CallResult, call_id: str) -> HttpResponse:
        """Return the response for the result of a call."""


class UpstreamDialect(Protocol):
    """Builds the headers of attempts and parses the answers of an upstream."""

    def request_headers(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> Headers:
        """Return the headers of an attempt."""

    def answer_id(self, attempt: Attempt) -> str:
        """Return the ID that an answer to the attempt echoes."""

    def read_answer_id(self, headers: Headers) -> str | None:
        """Return the ID that an answer echoes, None if it has none."""

    def read_answer(
        self, attempt: Attempt, answer: RawAnswer
    ) -> UpstreamResult:
        """Return the result of the attempt that got an answer."""

    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return the load that an answer reports, None if it reports none."""

    def read_cold_time(self, headers: Headers) -> ReportedColdTime | None:
        """Return the cold time that a health check reports, if any."""


class BurdockleadDialect:
    """The ``Burdocklead-*`` headers."""

    def read_call_options(self, request: HttpRequest) -> CallOptions:
        """Return the options of a call from the headers of its request.

        Raises:
            CallerInputError: If the deadline is invalid.
        """
        return CallOptions(
            '',
            read_deadline(request.headers),
            _with_host(request, forwarded_headers(request.headers)),
        )

    def read_api_keys(self, headers: Headers) -> list[str]:
        """Return the values of the header for API keys."""
        return header_values(headers, API_KEY_HEADER)

    def without_team_headers(self, headers: Headers) -> Headers:
        """Return the headers without the API key and the name of a team."""
        return without_headers(headers, TEAM_HEADERS)

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
            headers.append((RETRY_AFTER_HEADER, f'{result.retry_after_s:.3f}'))
        body = result.body
        if result.outcome is not Outcome.answered:
            headers.append(JSON_TYPE)
            body = explanation(result, call_id)
        return HttpResponse(result.status, tuple(headers), body)

    def request_headers(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> Headers:
        """Return the headers of an attempt."""
        has_host = find_header(attempt.headers, HOST_HEADER) is not None
        host = () if has_host else ((HOST_HEADER, str(upstream.address)),)
        from_caller = (*host, *attempt.headers)
        return (
            *from_caller,
            *team_headers(TEAM_HEADER, attempt.team),
            (DEADLINE_HEADER, f'{remaining_ms:.0f}'),
            (ATTEMPT_HEADER, attempt.attempt_id),
            (ATTEMPT_NUMBER_HEADER, str(attempt.number)),
        )

    def answer_id(self, attempt: Attempt) -> str:
        """Return the ID of the attempt."""
        return attempt.attempt_id

    def read_answer_id(self, headers: Headers) -> str | None:
        """Return the attempt ID that an answer echoes."""
        return find_header(headers, ATTEMPT_HEADER)

    def read_answer(
        self, attempt: Attempt, answer: RawAnswer
    ) -> UpstreamResult:
        """Return the result of the attempt that got an answer."""
        if find_header(answer.headers, NOT_RUN_HEADER) is not None:
            return UpstreamRefused(RefusalCause.upstream_refused)
        headers = forwarded_headers(answer.headers)
        length = find_header(answer.headers, LENGTH_HEADER)
        bodiless = attempt.method == 'HEAD' or answer.status in NO_BODY_STATUSES
        if bodiless and length is not None:
            headers = (*headers, (LENGTH_HEADER, length))
        return UpstreamAnswer(answer.status, headers, answer.body)

    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return None; no ``Burdocklead-*`` header reports a load."""

    def read_cold_time(self, headers: Headers) -> ReportedColdTime | None:
        """Return None; announcements report the cold time."""


def team_headers(name: str, team: str) -> Headers:
    """Return the header that names the team of a call, none without a team."""
    return ((name, as_header_text(team)),) if team else ()


def _with_host(request: HttpRequest, headers: Headers) -> Headers:
    host = request.find(HOST_HEADER)
    return headers if host is None else ((HOST_HEADER, host), *headers)
