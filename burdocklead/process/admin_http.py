"""HTTP pages that every process serves to operators and upstreams."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterable

import msgspec
from aiohttp import web

from burdocklead.events import EventRing
from burdocklead.exceptions import BurdockleadError
from burdocklead.metrics import MetricSet
from burdocklead.timeline.selection import parse_selection, select_events
from burdocklead.values import Address

JSON = 'application/json'
BAD_REQUEST = 400
UNAVAILABLE = 503


def json_response(content: object, status: int = 200) -> web.Response:
    """Return a response whose body is the content as JSON."""
    return web.Response(
        body=msgspec.json.encode(content), status=status, content_type=JSON
    )


def error_response(error: BurdockleadError, status: int) -> web.Response:
    """Return an error with its step and its peer."""
    content = {'error': error.reason, 'step': error.step, 'peer': error.peer}
    return json_response(content, status)


def add_common_pages(
    application: web.Application,
    events: EventRing,
    metrics: MetricSet,
    is_ready: Callable[[], bool],
) -> None:
    """Add the pages for health, readiness, events and metrics."""

    async def show_health(request: web.Request) -> web.Response:
        return json_response({'process': events.process})

    async def show_ready(request: web.Request) -> web.Response:
        ready = is_ready()
        return json_response({'ready': ready}, 200 if ready else UNAVAILABLE)

    async def show_events(request: web.Request) -> web.Response:
        try:
            selection = parse_selection(request.query.items())
        except ValueError as error:
            refusal = BurdockleadError(str(error), step='events')
            return error_response(refusal, BAD_REQUEST)
        return json_response(select_events(events, selection))

    async def show_metrics(
        request: web.Request,
    ) -> web.Response:
        content, headers = metrics.render(request.headers.getall('Accept', []))
        return web.Response(body=content, headers=headers)

    application.add_routes(
        [
            web.get('/metrics', show_metrics),
            web.get('/healthz', show_health),
            web.get('/readyz', show_ready),
            web.get('/v1/events', show_events),
        ]
    )


async def start_site(
    application: web.Application,
    address: Address,
    shutdown_s: float = 1,
    tls: ssl.SSLContext | None = None,
) -> tuple[web.AppRunner, Address]:
    """Serve an application and return its runner and its address."""
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=shutdown_s,
    )
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, ssl_context=tls)
    await site.start()
    port = port_of(runner.addresses)
    return runner, Address(address.host, port)


def port_of(addresses: Iterable[tuple[str, int]]) -> int:
    """Return the port of the first address."""
    return next(iter(addresses))[1]
