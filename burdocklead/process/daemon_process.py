"""The daemon process: starts its parts, drains and stops them."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from aiohttp import web

from burdocklead.clock import HybridClock
from burdocklead.connection.control_client import ControlGroup
from burdocklead.connection.frames import Hello
from burdocklead.connection.link_server import LinkServer
from burdocklead.events import EventRing
from burdocklead.process.admin_http import start_site
from burdocklead.process.caller_http import CallerPages
from burdocklead.process.control_agent import ControlAgent
from burdocklead.process.daemon_admin_http import DaemonPages
from burdocklead.process.directory import DaemonDirectory
from burdocklead.process.lifecycle import Lifecycle, write_ready_file
from burdocklead.process.own_member import OwnMember
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.request.routing import Router
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, LoadReport, Member

DRAIN_NOTICE_S = 1.5
DRAIN_LIMIT_S = 60
DRAIN_POLL_S = 0.02
LEASE_CHECK_S = 0.2


@dataclass(frozen=True, slots=True)
class DaemonServers:
    """What listens, and the daemon's description of itself.

    Attributes:
        own: Description sent to control.
        callers: Runner of the callers' interface.
        admin: Runner of the pages for upstream and operators.
        addresses: Addresses in use by name.
    """

    own: OwnMember
    callers: web.AppRunner
    admin: web.AppRunner
    addresses: dict[str, str]


class Daemon:
    """The parts of one daemon process."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Make the parts; nothing listens yet."""
        self.settings = settings
        self.clock = HybridClock()
        self.events = EventRing(settings.daemon_id, self.clock)
        self.incarnation = time.time_ns()
        self.rng = random.Random(self.incarnation)
        self.executor = AttemptExecutor(self.incarnation)
        self.router = Router(settings.zone, self.rng)
        self.control = ControlGroup(settings.control)
        hello = Hello(settings.daemon_id, self.incarnation)
        self.directory = DaemonDirectory(
            hello, self.executor, self.events, self.observe_load
        )
        prefix = f'{settings.daemon_id}.{self.incarnation:x}'
        self.dispatcher = Dispatcher(
            prefix, self.directory, self.router, self.rng
        )
        keyed_calls = KeyedCalls(
            self.dispatcher, self.control, self.directory.find_member
        )
        self.callers = CallerPages(
            settings, self.directory, self.dispatcher, keyed_calls, self.events
        )
        self.links = LinkServer(self.executor)

    def observe_load(self, daemon_id: str, load: LoadReport) -> None:
        """Pass a load report to the router."""
        now = asyncio.get_running_loop().time()
        self.router.observe_load(daemon_id, load, now)

    async def run(self) -> None:
        """Serve until a signal asks to stop, then drain."""
        lifecycle = Lifecycle(self.events)
        lifecycle.watch_signals()
        self.executor.start()
        servers = await self._start_servers()
        tasks = self._start_tasks(servers.own)
        lifecycle.start_serving()
        write_ready_file(self.settings.ready_file, servers.addresses)
        await lifecycle.stop_requested.wait()
        lifecycle.start_draining()
        servers.own.start_draining()
        await self._drain(servers.callers)
        for task in tasks:
            task.cancel()
        await self._close(servers)
        lifecycle.finish()

    async def _start_servers(self) -> DaemonServers:
        link = await self.links.start(self.settings.link_listen)
        callers, http = await start_site(
            self.callers.application(), self.settings.listen, DRAIN_LIMIT_S
        )
        own = OwnMember(self._describe(link, http), self.executor, self.events)
        pages = DaemonPages(own, self.directory).application()
        admin_runner, admin = await start_site(
            pages, self.settings.admin_listen
        )
        addresses = {'http': str(http), 'link': str(link), 'admin': str(admin)}
        return DaemonServers(own, callers, admin_runner, addresses)

    def _start_tasks(self, own: OwnMember) -> list[asyncio.Task[None]]:
        agent = ControlAgent(
            self.control,
            own,
            self.directory,
            self.clock,
            self.settings.heartbeat_interval,
        )
        return [
            asyncio.create_task(agent.run_forever()),
            asyncio.create_task(_expire_forever(own)),
        ]

    def _describe(self, link: Address, http: Address) -> Member:
        return Member(
            daemon_id=self.settings.daemon_id,
            incarnation=self.incarnation,
            revision=0,
            zone=self.settings.zone,
            link=link,
            http=http,
        )

    async def _drain(self, callers: web.AppRunner) -> None:
        await asyncio.sleep(DRAIN_NOTICE_S)
        while self.links.tasks or self.callers.in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        await callers.cleanup()

    async def _close(self, servers: DaemonServers) -> None:
        self.links.close()
        self.directory.close()
        await servers.admin.cleanup()
        await self.executor.close()
        self.control.close()


async def _expire_forever(own: OwnMember) -> None:
    loop = asyncio.get_running_loop()
    while True:
        own.expire(loop.time())
        await asyncio.sleep(LEASE_CHECK_S)


async def run_daemon(settings: DaemonSettings) -> None:
    """Run one daemon until a signal asks to stop."""
    await Daemon(settings).run()
