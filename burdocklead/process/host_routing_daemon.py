"""Daemon with host-based routing, on the built-in HTTP server and client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from burdocklead.connection.http_server import HttpServer
from burdocklead.connection.request_reader import ServerLimits
from burdocklead.log_events import STOPPED_WITH_WORK
from burdocklead.process.control_agent import ControlAgent
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.daemon_measurements import measure_daemon
from burdocklead.process.host_routing_handler import create_handler
from burdocklead.process.host_routing_options import HostRoutingOptions
from burdocklead.process.lifecycle import Lifecycle
from burdocklead.process.local_member import LocalMember
from burdocklead.process.metrics_http import MetricsSource, start_metrics_server
from burdocklead.process.supervision import Supervisor, watch_process
from burdocklead.process.upstream_health import UpstreamHealth
from burdocklead.request.pooled_upstream import (
    PooledUpstreamClient,
    answer_limits,
)
from burdocklead.request.shared_budget import SharedRetryBudget
from burdocklead.values import Address, Member
from burdocklead.version.deployment import CallerLimits

MS_PER_S = 1000
LEASE_CHECK_INTERVAL_S = 0.2
LIMITS_REFRESH_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.02
DRAIN_QUIET_S = 0.3
LAST_RESPONSES_S = 0.3  # For the outcomes of the calls that a stop ends.

ExtraTask = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class HostRoutingDaemon:
    """Runs a daemon that routes calls by host and path.

    Attributes:
        options: Settings and dialects of the deployment.
        components: Components that every daemon has.
        local_member: This daemon as a member, None before it listens.
        agent: Sends heartbeats to control, None before the daemon listens.
        caller_server: HTTP server for callers, None before it listens.
        stopping: True once a graceful stop has started.
        extra_servers: Other servers and their listen addresses.
        extra_tasks: Names and functions of other tasks that run until the
            daemon stops.
    """

    options: HostRoutingOptions
    components: DaemonComponents
    local_member: LocalMember | None = None
    agent: ControlAgent | None = None
    caller_server: HttpServer | None = None
    stopping: bool = False
    extra_servers: list[tuple[HttpServer, Address]] = field(
        default_factory=list
    )
    extra_tasks: list[tuple[str, ExtraTask]] = field(default_factory=list)

    def not_ready(self) -> str:
        """Return why no calls are accepted, empty if they are."""
        if self.stopping:
            return 'stopping'
        return (
            '' if self.components.directory.version else 'no configuration yet'
        )

    async def start(self) -> None:
        """Listen on all addresses."""
        settings = self.options.settings
        client = PooledUpstreamClient(
            self.options.upstream_dialect,
            answer_limits(settings),
            self.components.budget,
        )
        UpstreamHealth(self.components, client).start()
        self.components.dispatcher.shared_budget = SharedRetryBudget(
            self.options.retry_limit,
            self.components.directory.count_members,
            asyncio.get_running_loop().time,
            self.components.dispatcher.rng.random(),
        )
        link = await self.components.links.start(settings.link_listen)
        await self.components.load_socket.start(link)
        handler = create_handler(self.components, self.options.caller_dialect)
        if handler.limiter is not None:
            self.extra_tasks.append(
                ('team limits', handler.limiter.run_forever)
            )
        self.caller_server = HttpServer(
            handler.handle, self.components.budget, self.options.caller_ports
        )
        callers = await self.caller_server.start(settings.listen)
        self.local_member = self._create_local_member(
            settings.link_advertise or link, callers
        )
        self.agent = ControlAgent(
            self.components.control,
            self.local_member,
            self.components.directory,
            self.components.clock,
            settings.heartbeat_interval,
        )
        for server, address in self.extra_servers:
            await server.start(address)
        await self._serve_metrics(self.local_member)

    async def run(self, on_hangup: Callable[[], None]) -> None:
        """Serve until a signal requests a stop, then drain.

        Args:
            on_hangup: Called on SIGHUP, as the settings may have changed.
        """
        lifecycle = Lifecycle(
            self.components.events,
            self.components.settings.zone,
            self.components.incarnation,
        )
        lifecycle.watch_signals()
        lifecycle.watch_hangup(on_hangup)
        supervisor = watch_process(self.components.metrics, lifecycle)
        tasks = self._start_tasks(supervisor)
        lifecycle.start_serving()
        await lifecycle.stop_requested.wait()
        lifecycle.start_draining()
        await self._drain()
        for task in tasks:
            task.cancel()
        await self._close()
        lifecycle.finish()

    async def _serve_metrics(self, local_member: LocalMember) -> None:
        address = self.options.metrics_listen
        if address is None:
            return
        source = MetricsSource(
            self.components.events,
            self.components.metrics,
            self.not_ready,
            partial(measure_daemon, self.components, local_member),
        )
        server = await start_metrics_server(source, address)
        if server is not None:
            self.extra_servers.append((server, address))

    def _create_local_member(
        self, link: Address, callers: Address
    ) -> LocalMember:
        settings = self.options.settings
        member = Member(
            daemon_id=settings.daemon_id,
            incarnation=self.components.incarnation,
            revision=0,
            zone=settings.zone,
            link=link,
            http=callers,
        )
        return LocalMember(
            member,
            self.components.executor,
            self.components.events,
            self.components.router.signals,
            drain_notice_s=settings.drain_notice,
        )

    def _start_tasks(self, supervisor: Supervisor) -> list[asyncio.Task[None]]:
        tasks = [
            supervisor.start('lease', self._expire_forever()),
            supervisor.start('limits', self._refresh_limits()),
            *(supervisor.start(name, run()) for name, run in self.extra_tasks),
        ]
        if self.agent is not None:
            tasks.append(
                supervisor.start('heartbeats', self.agent.run_forever())
            )
        return tasks

    async def _expire_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while self.local_member is not None:
            self.local_member.remove_expired_upstream(loop.time())
            self.components.executor.access.tick(loop.time())
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def _refresh_limits(self) -> None:
        """Apply the limits on callers of the configuration in force."""
        while self.caller_server is not None:
            deployment = self.components.directory.deployment()
            if deployment is not None:
                self.caller_server.limits = server_limits(deployment.limits)
            await asyncio.sleep(LIMITS_REFRESH_INTERVAL_S)

    async def _drain(self) -> None:
        """Report not ready, then drain callers and wait for work to finish."""
        self.stopping = True
        if self.local_member is not None:
            self.local_member.start_draining()
        loop = asyncio.get_running_loop()
        limit = loop.time() + self.options.stop_times.limit_s
        await asyncio.sleep(self.options.stop_times.unready_s)
        # Callers have gone elsewhere by now; only stragglers follow.
        self.components.dispatcher.work_limit.end_calls_at(limit)
        if self.caller_server is not None:
            await self.caller_server.drain()
        quiet_since = loop.time()
        while loop.time() < limit + LAST_RESPONSES_S:
            if self._is_working():
                quiet_since = loop.time()
            elif loop.time() - quiet_since > DRAIN_QUIET_S:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        if self._is_working():
            STOPPED_WITH_WORK.write(
                limit_s=self.options.stop_times.limit_s,
                requests=self._count_pending(),
                running=len(self.components.executor.executions),
            )

    def _count_pending(self) -> int:
        """Return the number of requests of callers without a response."""
        if self.caller_server is None:
            return 0
        return sum(len(one.exchanges) for one in self.caller_server.connections)

    def _is_working(self) -> bool:
        busy = (
            self.caller_server is not None and self.caller_server.is_working()
        )
        return busy or self.components.is_working()

    async def _close(self) -> None:
        if self.caller_server is not None:
            await self.caller_server.close()
        await self.components.links.close()
        self.components.load_socket.close()
        self.components.directory.close()
        for server, _ in self.extra_servers:
            await server.close()
        await self.components.executor.close()
        self.components.control.close()


def server_limits(limits: CallerLimits) -> ServerLimits:
    """Convert the caller limits of a configuration to server limits."""
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )
