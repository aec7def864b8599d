"""Typed values of one call at its entry daemon."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from burdocklead.connection.frames import (
    Answer,
    AttemptResult,
    Headers,
    Lost,
    Refusal,
)
from burdocklead.durable.claims import StoredAnswer
from burdocklead.request.headers import ANSWER_HEADER
from burdocklead.values import Outcome, RefusalCause
from burdocklead.version.route_table import RouteMatch

STATUS_BY_CAUSE = {
    RefusalCause.unknown_service: 404,
    RefusalCause.unknown_route: 404,
    RefusalCause.bad_request: 400,
    RefusalCause.bad_target: 400,
    RefusalCause.bad_headers: 400,
    RefusalCause.bad_deadline: 400,
    RefusalCause.bad_key: 400,
    RefusalCause.bad_body: 400,
    RefusalCause.internal_error: 500,
    RefusalCause.body_too_large: 413,
    RefusalCause.key_required: 400,
    RefusalCause.key_reused: 422,
    RefusalCause.key_in_progress: 409,
}
UNAVAILABLE = 503
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a client.

    Attributes:
        call_id: Unique over all daemons and incarnations.
        match: Rules of the call.
        method: HTTP method.
        headers: Headers that travel to the upstream.
        body: Whole body.
        key: Idempotency key, empty if none.
        deadline: Monotonic time of the deadline in s.
        objective: Monotonic time by which it should be answered in s, 0 if
            there is none.
    """

    call_id: str
    match: RouteMatch
    method: str
    headers: Headers
    body: bytes
    key: str
    deadline: float
    objective: float = 0


@dataclass(frozen=True, slots=True)
class CallResult:
    """What the caller is told.

    Attributes:
        outcome: Answered, not run or unknown.
        status: HTTP status.
        headers: Headers of the upstream's answer.
        body: Whole body.
        cause: Why the call was refused or its outcome is unknown.
        detail: More about the cause for a person, empty if there is none.
        retry_after_s: Time after which another try is worth while in s, 0
            if nothing is known.
    """

    outcome: Outcome
    status: int
    headers: Headers = ()
    body: bytes = b''
    cause: str = ''
    detail: str = ''
    retry_after_s: float = 0


def answered(answer: Answer | StoredAnswer) -> CallResult:
    """Return the result of an answered call."""
    return CallResult(
        Outcome.answered, answer.status, answer.headers, answer.body
    )


def not_run(cause: RefusalCause, detail: str = '') -> CallResult:
    """Return the result of a call that did not run."""
    status = STATUS_BY_CAUSE.get(cause, UNAVAILABLE)
    return CallResult(Outcome.not_run, status, cause=cause.value, detail=detail)


def unknown(cause: str) -> CallResult:
    """Return the result of a call that may have run."""
    return CallResult(Outcome.unknown, GATEWAY_TIMEOUT, cause=cause)


def answered_without_body(stored: StoredAnswer) -> CallResult:
    """Return the result of a call that ran and whose answer is not kept."""
    headers = ((ANSWER_HEADER, 'not-kept'),)
    return CallResult(Outcome.answered, stored.status, headers)


def explanation(result: CallResult, call_id: str) -> bytes:
    """Return the body that explains a call without an answer."""
    content = {
        'outcome': result.outcome.value,
        'cause': result.cause,
        'call_id': call_id,
    }
    if result.detail:
        content['detail'] = result.detail
    return msgspec.json.encode(content)


def _is_server_error(answer: Answer) -> bool:
    return answer.status >= SERVER_ERROR


def outcome_of(results: Sequence[AttemptResult]) -> CallResult:
    """Return what a caller is told after all attempts of its call.

    A call did not run only if none of its attempts may have run.

    Args:
        results: Results of the attempts, the last one last.
    """
    answers = [one for one in results if isinstance(one, Answer)]
    if answers:
        return answered(min(answers, key=_is_server_error))
    for lost in results:
        if isinstance(lost, Lost):
            return unknown(lost.reason)
    for refusal in reversed(results):
        if isinstance(refusal, Refusal):
            return not_run(refusal.cause)
    return not_run(RefusalCause.no_upstream)
