"""Runs a control replica whose operator API uses the built-in HTTP server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from burdocklead.connection.control_server import ControlServer
from burdocklead.connection.http_server import HttpServer
from burdocklead.durable.decided_register import DecidedRegisters
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.lifecycle import Lifecycle
from burdocklead.process.metrics_http import MetricsSource, start_metrics_server
from burdocklead.process.replica_exchange import ReplicaExchange
from burdocklead.process.replica_measurements import measure_replica
from burdocklead.process.supervision import Supervisor, watch_process
from burdocklead.values import Address

STOP_TIMEOUT_S = 2.0  # A request ends within two phases of a round.
STOP_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ReplicaListeners:
    """Listen addresses of a replica other than its control address.

    Attributes:
        operators: Address for operators.
        metrics: Address for metrics, None to serve none.
    """

    operators: Address
    metrics: Address | None = None


async def run_replica(
    replica: ControlReplica,
    operator_server: HttpServer,
    listeners: ReplicaListeners,
) -> None:
    """Serve until a signal requests a stop.

    Args:
        replica: The replica.
        operator_server: HTTP server for operators.
        listeners: Listen addresses for operators and metrics.
    """
    lifecycle = Lifecycle(
        replica.events, replica.settings.zone, replica.members.incarnation
    )
    lifecycle.watch_signals()
    supervisor = watch_process(replica.metrics, lifecycle)
    server = ControlServer(replica.handle, replica.credentials, replica.metrics)
    server.start(replica.settings.listen)
    await operator_server.start(listeners.operators)
    metrics = await _serve_metrics(replica, listeners.metrics)
    tasks = start_replica_tasks(replica, supervisor)
    lifecycle.start_serving()
    await lifecycle.stop_requested.wait()
    lifecycle.start_draining()
    await _drain_requests(operator_server)
    if metrics is not None:
        await metrics.close()
    await _stop(replica, server, tasks)
    lifecycle.finish()


async def _stop(
    replica: ControlReplica,
    server: ControlServer,
    tasks: list[asyncio.Task[None]],
) -> None:
    for task in tasks:
        task.cancel()
    await replica.grants.release()
    await server.close()
    await replica.registers.close()


async def _serve_metrics(
    replica: ControlReplica, address: Address | None
) -> HttpServer | None:
    if address is None:
        return None
    source = MetricsSource(
        replica.events,
        replica.metrics,
        replica.not_ready,
        partial(measure_replica, replica.metrics, replica),
    )
    return await start_metrics_server(source, address)


async def _drain_requests(operator_server: HttpServer) -> None:
    """Wait for operators' requests in progress, then close connections."""
    operator_server.start_draining()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + STOP_TIMEOUT_S
    while operator_server.is_working() and loop.time() < deadline:
        await asyncio.sleep(STOP_POLL_S)
    await operator_server.close()


def decided_registers(replica: ControlReplica) -> DecidedRegisters:
    """Return the registers whose values a replica hands to daemons."""
    return DecidedRegisters(
        replica.registers,
        replica.registers.commits.read,
        (
            replica.evacuations.decided,
            replica.configuration.decided,
            replica.drains.decided,
        ),
        replica.metrics,
    )


def start_replica_tasks(
    replica: ControlReplica, supervisor: Supervisor
) -> list[asyncio.Task[None]]:
    """Start the background tasks of a replica."""
    return [
        supervisor.start('expire', replica.expire_forever()),
        supervisor.start('registers', decided_registers(replica).run_forever()),
        supervisor.start('evacuations', replica.evacuations.run_forever()),
        supervisor.start('exchange', ReplicaExchange(replica).run_forever()),
        supervisor.start('replica set', replica.set_manager.run_forever()),
        supervisor.start('grants', replica.grants.run_forever()),
    ]
