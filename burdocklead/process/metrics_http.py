"""Metrics endpoint of a process on the built-in HTTP server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from burdocklead.connection.http_messages import HttpRequest, HttpResponse
from burdocklead.connection.http_server import HttpServer
from burdocklead.connection.request_reader import ServerLimits
from burdocklead.events import EventRing
from burdocklead.log_events import METRICS_NOT_SERVED
from burdocklead.memory.process_limits import PortLimits
from burdocklead.metrics import READY, MetricSet
from burdocklead.process.measurements import measure_events
from burdocklead.values import Address

METRICS_PATH = '/metrics'
# Scrapes are small and come from few clients.
PORTS = PortLimits(max_connections=32, backlog=32)
LIMITS = ServerLimits(max_body_bytes=65536)
NOT_FOUND = HttpResponse(404)


@dataclass(frozen=True, slots=True)
class MetricsSource:
    """Renders the metrics of a process.

    Attributes:
        events: Event ring of the process.
        metrics: Metrics of the process.
        not_ready: Returns why no work is accepted, empty if it is.
        measure: Updates the metrics that are computed on each scrape.
    """

    events: EventRing
    metrics: MetricSet
    not_ready: Callable[[], str]
    measure: Callable[[], None]

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the current metrics and the headers of the response.

        Args:
            accepted: Values of the ``Accept`` header.
        """
        self.measure()
        measure_events(self.metrics, self.events)
        self.metrics.set(READY, int(not self.not_ready()))
        return self.metrics.render(accepted)


@dataclass(frozen=True, slots=True)
class MetricsHandler:
    """Serves the metrics of a process."""

    source: MetricsSource

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics, or 404 for another path."""
        if request.target.partition('?')[0] != METRICS_PATH:
            return NOT_FOUND
        accepted = request.find('Accept')
        content, headers = self.source.render([accepted] if accepted else [])
        return HttpResponse(200, tuple(headers.items()), content)


async def start_metrics_server(
    source: MetricsSource, address: Address
) -> HttpServer | None:
    """Start a metrics server and return it, None if the port is taken.

    The process serves calls even without metrics.
    """
    server = HttpServer(MetricsHandler(source).handle, ports=PORTS)
    server.limits = LIMITS
    try:
        await server.start(address)
    except OSError as error:
        METRICS_NOT_SERVED.write(address=address, cause=str(error))
        return None
    return server
