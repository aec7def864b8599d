"""Admin HTTP endpoints of every process, for operators and upstreams."""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from dataclasses import dataclass

from aiohttp import web

from burdocklead.exceptions import BurdockleadError
from burdocklead.process.error_middleware import report_errors
from burdocklead.process.json_responses import error_response, json_response
from burdocklead.process.metrics_http import MetricsSource
from burdocklead.timeline.selection import parse_selection, select_events
from burdocklead.values import Address

BAD_REQUEST = 400
UNAVAILABLE = 503
READY_FIELD = 'ready'


@dataclass(frozen=True, slots=True)
class CommonHandlers(MetricsSource):
    """Handlers of the endpoints for health, readiness, events and metrics."""

    async def show_health(self, request: web.Request) -> web.Response:
        """Return 200, which shows that the event loop runs."""
        return json_response({'process': self.events.process})

    async def show_ready(self, request: web.Request) -> web.Response:
        """Return 200 if the process accepts work, else 503 with the reason."""
        reason = self.not_ready()
        status = UNAVAILABLE if reason else 200
        return json_response(
            {READY_FIELD: not reason, 'reason': reason}, status
        )

    async def show_events(self, request: web.Request) -> web.Response:
        """Return the events that match the query."""
        try:
            selection = parse_selection(request.query.items())
        except ValueError as error:
            refusal = BurdockleadError(str(error), step='events')
            return error_response(refusal, BAD_REQUEST)
        return json_response(select_events(self.events, selection))

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Return the current values of the metrics."""
        accepted = request.headers.getall('Accept', [])
        content, headers = self.render(accepted)
        return web.Response(body=content, headers=headers)


def add_common_routes(
    application: web.Application, handlers: CommonHandlers
) -> None:
    """Add the routes for health, readiness, events and metrics."""
    application.middlewares.insert(0, report_errors(handlers.metrics))
    application.add_routes(
        [
            web.get('/metrics', handlers.show_metrics),
            web.get('/healthz', handlers.show_health),
            web.get('/readyz', handlers.show_ready),
            web.get('/v1/events', handlers.show_events),
        ]
    )


async def start_site(
    application: web.Application,
    address: Address,
    shutdown_s: float = 1,
    tls: ssl.SSLContext | None = None,
) -> tuple[web.AppRunner, Address]:
    """Serve an application and return its runner and bound address."""
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
