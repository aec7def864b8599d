"""JSON responses for content and errors."""

from __future__ import annotations

import msgspec
from aiohttp import web

from burdocklead.exceptions import BurdockleadError

JSON_CONTENT_TYPE = 'application/json'


def json_response(content: object, status: int = 200) -> web.Response:
    """Return a response with the content as JSON."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type=JSON_CONTENT_TYPE,
    )


def error_response(error: BurdockleadError, status: int) -> web.Response:
    """Return a JSON response with an error, its step and its peer."""
    content = {'error': error.reason, 'step': error.step, 'peer': error.peer}
    return json_response(content, status)
