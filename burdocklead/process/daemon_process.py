"""Daemon process: starts its components, drains and stops them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
from aiohttp import web

from burdocklead.connection.peer_credentials import caller_tls
from burdocklead.log_events import STOPPED_WITH_WORK
from burdocklead.process.admin_http import start_site
from burdocklead.process.caller_handler import CallerHandler
from burdocklead.process.caller_server import (
    CallerListener,
    CallerServer,
    start_caller_server,
)
from burdocklead.process.control_agent import ControlAgent
from burdocklead.process.daemon_admin_http import DaemonHandlers
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.lifecycle import Lifecycle, write_ready_file
from burdocklead.process.local_member import LocalMember
from burdocklead.process.prober import Prober
from burdocklead.process.supervision import Supervisor, watch_process
from burdocklead.request.dialect import BurdockleadDialect
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.request.measuring import ProbePlanner
from burdocklead.request.pooled_upstream import (
    PooledUpstreamClient,
    answer_limits,
)
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, Member

DRAIN_POLL_INTERVAL_S = 0.02
DRAIN_QUIET_S = 1.0
CALLER_SHUTDOWN_TIMEOUT_S = 1.0
LEASE_CHECK_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class DaemonServers:
    """Servers of a daemon and its member record.

    Attributes:
        local_member: Member record sent to control.
        callers: Listener for callers.
        admin: Runner of the admin server for the upstream and operators.
        addresses: Listen addresses by name.
    """

    local_member: LocalMember
    callers: CallerListener
    admin: web.AppRunner
    addresses: dict[str, str]


@dataclass(frozen=True, slots=True)
class Daemon:
    """Runs a daemon until it is stopped.

    Attributes:
        components: Components of the daemon.
    """

    components: DaemonComponents

    async def run(self) -> None:
        """Serve until a signal requests a stop, then drain."""
        lifecycle = Lifecycle(
            self.components.events,
            self.components.settings.zone,
            self.components.incarnation,
        )
        keyed_calls = KeyedCalls(
            self.components.dispatcher,
            self.components.control.request,
            self._max_kept_answer_bytes,
        )
        caller_handler = CallerHandler(
            self.components.directory,
            self.components.dispatcher,
            keyed_calls,
            self.components.events,
            self.components.metrics,
        )
        lifecycle.watch_signals()
        self.components.executor.client = PooledUpstreamClient(
            BurdockleadDialect(),
            answer_limits(self.components.settings),
            self.components.budget,
        )
        servers = await self._start_servers(caller_handler)
        supervisor = watch_process(self.components.metrics, lifecycle)
        tasks = self._start_tasks(servers.local_member, supervisor)
        lifecycle.start_serving()
        write_ready_file(self.components.settings.ready_file, servers.addresses)
        await lifecycle.stop_requested.wait()
        lifecycle.start_draining()
        servers.local_member.start_draining()
        caller_handler.draining = True
        await self._drain(servers.callers, caller_handler)
        for task in tasks:
            task.cancel()
        await self._close(servers)
        lifecycle.finish()

    async def _start_servers(
        self, caller_handler: CallerHandler
    ) -> DaemonServers:
        link = await self.components.links.start(
            self.components.settings.link_listen
        )
        await self.components.load_socket.start(link)
        settings = self.components.settings
        callers = await start_caller_server(
            CallerServer(
                caller_handler.handle_call,
                settings.max_body_bytes,
                self.components.directory.keys.is_enforced,
            ),
            settings.listen,
            caller_tls(settings, self.components.credentials),
            CALLER_SHUTDOWN_TIMEOUT_S,
        )
        local_member = LocalMember(
            self._initial_member(
                settings.link_advertise or link, callers.address
            ),
            self.components.executor,
            self.components.events,
            self.components.router.signals,
            drain_notice_s=settings.drain_notice,
        )
        application = DaemonHandlers(
            local_member, self.components
        ).application()
        admin_runner, admin = await start_site(
            application, settings.admin_listen
        )
        local_member.member = msgspec.structs.replace(
            local_member.member, admin=admin
        )
        addresses = {
            'http': str(callers.address),
            'link': str(link),
            'admin': str(admin),
        }
        return DaemonServers(local_member, callers, admin_runner, addresses)

    def _start_tasks(
        self, local_member: LocalMember, supervisor: Supervisor
    ) -> list[asyncio.Task[None]]:
        agent = ControlAgent(
            self.components.control,
            local_member,
            self.components.directory,
            self.components.clock,
            self.components.settings.heartbeat_interval,
        )
        prober = create_prober(self.components)
        return [
            supervisor.start('probes', prober.run_forever()),
            supervisor.start('heartbeats', agent.run_forever()),
            supervisor.start('lease', _expire_forever(local_member)),
        ]

    def _max_kept_answer_bytes(self) -> int:
        """Return the maximum size in bytes of a kept answer of a keyed call."""
        deployment = self.components.directory.deployment()
        return deployment.claims.max_answer_bytes if deployment else 0

    def _initial_member(self, link: Address, http: Address) -> Member:
        return Member(
            daemon_id=self.components.settings.daemon_id,
            incarnation=self.components.incarnation,
            revision=0,
            zone=self.components.settings.zone,
            link=link,
            http=http,
        )

    async def _drain(
        self, callers: CallerListener, caller_handler: CallerHandler
    ) -> None:
        """Wait for all work to finish, up to the limit for a graceful stop."""
        settings = self.components.settings
        limit = asyncio.get_running_loop().time() + settings.drain_limit
        try:
            async with asyncio.timeout_at(limit):
                await asyncio.sleep(settings.drain_notice)
                await callers.stop_accepting()
                self.components.dispatcher.work_limit.end_calls_at(limit)
                await self._wait_quiet(caller_handler)
        except TimeoutError:
            STOPPED_WITH_WORK.write(limit_s=settings.drain_limit)
        await callers.runner.cleanup()

    async def _wait_quiet(self, caller_handler: CallerHandler) -> None:
        """Wait until there has been no work for ``DRAIN_QUIET_S``.

        A connection that was accepted last may not have sent its call yet.
        """
        loop = asyncio.get_running_loop()
        quiet_since = loop.time()
        while loop.time() - quiet_since < DRAIN_QUIET_S:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            if self.components.is_working() or caller_handler.is_working():
                quiet_since = loop.time()

    async def _close(self, servers: DaemonServers) -> None:
        await self.components.links.close()
        self.components.load_socket.close()
        self.components.directory.close()
        await servers.admin.cleanup()
        await self.components.executor.close()
        self.components.control.close()


def create_prober(components: DaemonComponents) -> Prober:
    """Return the prober of a daemon, which shares its measuring budget."""
    return Prober(
        components.directory,
        ProbePlanner(components.router, components.settings.daemon_id),
        components.selector.budget,
        components.metrics,
    )


async def _expire_forever(local_member: LocalMember) -> None:
    loop = asyncio.get_running_loop()
    while True:
        local_member.remove_expired_upstream(loop.time())
        local_member.executor.access.tick(loop.time())
        await asyncio.sleep(LEASE_CHECK_INTERVAL_S)


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a signal requests a stop."""
    await Daemon(DaemonComponents(settings)).run()
