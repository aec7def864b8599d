"""A call, as the daemon that received it sees it, and its result."""

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
from burdocklead.teams.key_proof import KeyProof
from burdocklead.values import Body, Outcome, RefusalCause
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
    RefusalCause.unknown_api_key: 401,
    RefusalCause.team_limit: 429,
}
UNAVAILABLE = 503
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a client.

    Attributes:
        call_id: Unique over all daemons and incarnations.
        match: Route and service settings that apply to the call.
        method: HTTP method.
        headers: Headers that are forwarded to the upstream.
        body: Whole body.
        key: Idempotency key, empty if there is none.
        deadline: Monotonic time of the deadline in s.
        objective: Monotonic time of the latency objective in s, 0 if there
            is none.
        team: Team of the caller, empty if none.
        nested: True for a call that an upstream makes while it runs a call.
        key_proof: Proof of the caller's API key, None without one.
    """

    call_id: str
    match: RouteMatch
    method: str
    headers: Headers
    body: Body
    key: str
    deadline: float
    objective: float = 0
    team: str = ''
    nested: bool = False
    key_proof: KeyProof | None = None


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call as returned to the caller.

    Attributes:
        outcome: Answered, not run or unknown.
        status: HTTP status.
        headers: Headers of the upstream's answer.
        body: Whole body.
        cause: Why the call was refused or its outcome is unknown.
        detail: Human-readable detail of the cause, empty if there is none.
        retry_after_s: Time in s after which the caller should retry, 0 if it
            is not known.
    """

    outcome: Outcome
    status: int
    headers: Headers = ()
    body: Body = b''
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
    """Return the result of a call that ran but whose answer was not stored."""
    headers = ((ANSWER_HEADER, 'not-kept'),)
    return CallResult(Outcome.answered, stored.status, headers)


def explanation(result: CallResult, call_id: str) -> bytes:
    """Return the JSON body of a response to a call without an answer."""
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


def result_of_attempts(results: Sequence[AttemptResult]) -> CallResult:
    """Return the result of a call from the results of its attempts.

    A call is reported as not run only if none of its attempts may have run.

    Args:
        results: Results of the attempts in order.
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


def result_after_revocation(results: Sequence[AttemptResult]) -> CallResult:
    """Return the result of a call whose API key was removed meanwhile.

    Args:
        results: Results of the attempts before that, in order.
    """
    result = result_of_attempts(results)
    if result.outcome is Outcome.not_run:
        return not_run(RefusalCause.unknown_api_key)
    return result
