"""HTTP responses for the results of calls."""

from __future__ import annotations

from aiohttp import web

from burdocklead.request.call import CallResult, explanation
from burdocklead.request.headers import (
    CALL_HEADER,
    CAUSE_HEADER,
    OUTCOME_HEADER,
)
from burdocklead.values import Outcome

JSON = 'application/json'
CONTENT_TYPE = 'Content-Type'


def response_of(result: CallResult, call_id: str) -> web.Response:
    """Return the HTTP response for the result of a call.

    Only an answered call has the upstream's body.
    """
    if result.outcome is Outcome.answered:
        response = web.Response(body=bytes(result.body), status=result.status)
        response.headers.popall(CONTENT_TYPE, None)
    else:
        response = web.Response(
            body=explanation(result, call_id),
            status=result.status,
            content_type=JSON,
        )
    for name, text in result.headers:
        response.headers.add(name, text)
    response.headers[OUTCOME_HEADER] = result.outcome.value
    response.headers[CALL_HEADER] = call_id
    if result.cause:
        response.headers[CAUSE_HEADER] = result.cause
    return response
