"""The daemon's pages for the upstream beside it and for operators."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from burdocklead.exceptions import BurdockleadError
from burdocklead.options import SocketAddress
from burdocklead.process.admin_http import (
    BAD_REQUEST,
    CommonPages,
    add_common_pages,
)
from burdocklead.process.daemon_parts import DaemonParts
from burdocklead.process.json_pages import error_response, json_response
from burdocklead.process.measurements import measure_daemon
from burdocklead.process.own_member import Announcement, OwnMember
from burdocklead.values import Address


class DaemonPages:
    """Announcements and the daemon's own view."""

    def __init__(self, own: OwnMember, parts: DaemonParts) -> None:
        """Prepare the pages of a daemon."""
        self.own = own
        self.parts = parts
        self.directory = parts.directory
        self.metrics = parts.metrics

    def application(self) -> web.Application:
        """Return the application with all pages."""
        application = web.Application()
        add_common_pages(
            application,
            CommonPages(
                self.own.events, self.metrics, self.not_ready, self.measure
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
        """Return why no calls are taken, empty if they are."""
        if self.own.draining:
            return 'draining'
        return '' if self.directory.version else 'no configuration yet'

    def measure(self) -> None:
        """Set the metrics that are read on demand."""
        measure_daemon(self.parts, self.own)

    async def announce(self, request: web.Request) -> web.Response:
        """Take over an announcement or a renewal."""
        text = await request.read()
        try:
            announcement = msgspec.json.decode(text, type=Announcement)
            address = _reachable(announcement.address)
        except (msgspec.DecodeError, ValueError) as error:
            refusal = BurdockleadError(str(error), step='announce')
            return error_response(refusal, BAD_REQUEST)
        now = asyncio.get_running_loop().time()
        self.own.announce(announcement, address, now)
        return json_response({'draining': self.own.draining})

    async def withdraw(self, request: web.Request) -> web.Response:
        """Forget the upstream."""
        self.own.withdraw()
        return json_response({})

    async def status(self, request: web.Request) -> web.Response:
        """Return what the daemon knows."""
        content = {
            'daemon': self.own.member,
            'version': self.directory.version,
            'load': self.own.executor.load(),
            'dead_signals': self.parts.router.signals.dead(),
            'members': list(self.directory.members.values()),
        }
        return json_response(content)


def _reachable(text: str) -> Address:
    address = SocketAddress().parse(text)
    if not address.port:
        raise ValueError('the port must not be 0')
    return address
