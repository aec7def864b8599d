"""Admin endpoints of a daemon for its local upstream and for operators."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from burdocklead.exceptions import BurdockleadError
from burdocklead.options import SocketAddress
from burdocklead.process.admin_http import (
    BAD_REQUEST,
    CommonHandlers,
    add_common_routes,
)
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.daemon_measurements import measure_daemon
from burdocklead.process.json_responses import error_response, json_response
from burdocklead.process.local_member import Announcement, LocalMember
from burdocklead.values import Address


class DaemonHandlers:
    """Handles announcements of the upstream and shows the daemon's state."""

    def __init__(
        self, local_member: LocalMember, components: DaemonComponents
    ) -> None:
        self.local_member = local_member
        self.components = components
        self.directory = components.directory
        self.metrics = components.metrics

    def application(self) -> web.Application:
        """Return the application with all endpoints."""
        application = web.Application()
        add_common_routes(
            application,
            CommonHandlers(
                self.local_member.events,
                self.metrics,
                self.not_ready,
                self.measure,
            ),
        )
        application.add_routes(
            [
                web.put('/v1/upstream', self.announce),
                web.delete('/v1/upstream', self.withdraw),
                web.get('/v1/status', self.status),
            ]
        )
        return application

    def not_ready(self) -> str:
        """Return why no calls are accepted, empty if they are."""
        if self.local_member.draining:
            return 'draining'
        return '' if self.directory.version else 'no configuration yet'

    def measure(self) -> None:
        """Update the metrics that are computed on each scrape."""
        measure_daemon(self.components, self.local_member)

    async def announce(self, request: web.Request) -> web.Response:
        """Apply an announcement of the upstream, which renews its lease."""
        text = await request.read()
        try:
            announcement = msgspec.json.decode(text, type=Announcement)
            address = _parse_upstream_address(announcement.address)
        except (msgspec.DecodeError, ValueError) as error:
            refusal = BurdockleadError(str(error), step='announce')
            return error_response(refusal, BAD_REQUEST)
        now = asyncio.get_running_loop().time()
        self.local_member.announce(announcement, address, now)
        return json_response({'draining': self.local_member.draining})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Remove the upstream."""
        self.local_member.remove_upstream()
        return json_response({})

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of the daemon and the members it knows."""
        content = {
            'daemon': self.local_member.member,
            'version': self.directory.version,
            'load': self.local_member.executor.load(),
            'dead_signals': self.components.router.signals.dead_reasons(),
            'members': list(self.directory.members.values()),
        }
        return json_response(content)


def _parse_upstream_address(text: str) -> Address:
    address = SocketAddress().parse(text)
    if not address.port:
        raise ValueError('the port must not be 0')
    return address
