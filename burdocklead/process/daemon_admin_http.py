"""The daemon's pages for the upstream beside it and for operators."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from burdocklead.metrics import MetricSet
from burdocklead.options import SocketAddress
from burdocklead.process.admin_http import (
    BAD_REQUEST,
    add_common_pages,
    json_response,
)
from burdocklead.process.directory import DaemonDirectory
from burdocklead.process.own_member import Announcement, OwnMember
from burdocklead.request.signal_watch import SignalWatch


class DaemonPages:
    """Announcements and the daemon's own view."""

    def __init__(
        self,
        own: OwnMember,
        directory: DaemonDirectory,
        metrics: MetricSet,
        signals: SignalWatch,
    ) -> None:
        """Prepare the pages of a daemon."""
        self.own = own
        self.directory = directory
        self.metrics = metrics
        self.signals = signals

    def application(self) -> web.Application:
        """Return the application with all pages."""
        application = web.Application()
        add_common_pages(
            application, self.own.events, self.metrics, self.is_ready
        )
        application.add_routes(
            [
                web.put('/v1/upstream', self.announce),
                web.delete('/v1/upstream', self.withdraw),
                web.get('/v1/status', self.status),
            ]
        )
        return application

    def is_ready(self) -> bool:
        """Return True if calls are taken."""
        return self.directory.table is not None and not self.own.draining

    async def announce(self, request: web.Request) -> web.Response:
        """Take over an announcement or a renewal."""
        text = await request.read()
        try:
            announcement = msgspec.json.decode(text, type=Announcement)
            address = SocketAddress().parse(announcement.address)
        except (msgspec.DecodeError, ValueError) as error:
            return json_response({'error': str(error)}, BAD_REQUEST)
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
            'dead_signals': self.signals.dead(),
            'members': list(self.directory.members.values()),
        }
        return json_response(content)
