"""Middleware that returns errors of admin endpoints as JSON."""

from __future__ import annotations

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from burdocklead.log_events import PAGE_FAILED
from burdocklead.metrics import UNEXPECTED_ERRORS, MetricSet
from burdocklead.process.json_responses import json_response

INTERNAL_ERROR = 500


def report_errors(metrics: MetricSet) -> Middleware:
    """Create a middleware that responds to every error with JSON."""

    @web.middleware
    async def report(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPError as error:
            reason = f'{error.reason}: {request.method} {request.path}'
            return _error_response(request, reason, error.status)
        except web.HTTPException:
            raise
        except Exception as unexpected:
            metrics.count(UNEXPECTED_ERRORS)
            PAGE_FAILED.write(path=request.path, exc_info=True)
            reason = f'unexpected {type(unexpected).__name__}; see the log'
            return _error_response(request, reason, INTERNAL_ERROR)

    return report


def _error_response(
    request: web.Request, reason: str, status: int
) -> web.Response:
    content = {'error': reason, 'step': 'admin', 'peer': request.remote or ''}
    return json_response(content, status)
