"""A control replica with the project's own HTTP edge for operators."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from burdocklead.connection.control_server import ControlServer
from burdocklead.connection.http_server import HttpServer
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.lifecycle import Lifecycle
from burdocklead.process.metrics_page import MetricsSource, start_metrics_server
from burdocklead.process.replica_exchange import ReplicaExchange
from burdocklead.process.replica_measurements import measure_replica
from burdocklead.process.supervision import Supervisor, watch_process
from burdocklead.values import Address

STOP_LIMIT_S = 2.0  # An operator's call ends within two phases of a round.
STOP_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class ReplicaListeners:
    """Where a replica listens beside its control address.

    Attributes:
        operators: Address for operators.
        metrics: Address of the metrics page, None without one.
    """

    operators: Address
    metrics: Address | None = None


async def run_replica(
    replica: ControlReplica, pages: HttpServer, listeners: ReplicaListeners
) -> None:
    """Serve until a signal asks to stop.

    Args:
        replica: The replica.
        pages: Server of the operators' calls.
        listeners: Where it listens.
    """
    lifecycle = Lifecycle(
        replica.events, replica.settings.zone, replica.members.incarnation
    )
    lifecycle.watch_signals()
    supervisor = watch_process(replica.metrics, lifecycle)
    server = ControlServer(replica.handle, replica.credentials, replica.metrics)
    server.start(replica.settings.listen)
    await pages.start(listeners.operators)
    metrics = await _serve_metrics(replica, listeners.metrics)
    tasks = start_replica_tasks(replica, supervisor)
    lifecycle.start_serving()
    await lifecycle.stop_requested.wait()
    lifecycle.start_draining()
    await _finish_calls(pages)
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


async def _finish_calls(pages: HttpServer) -> None:
    """Let operators' calls in progress end, then close their connections."""
    pages.start_draining()
    loop = asyncio.get_running_loop()
    limit = loop.time() + STOP_LIMIT_S
    while pages.is_working() and loop.time() < limit:
        await asyncio.sleep(STOP_POLL_S)
    await pages.close()


def start_replica_tasks(
    replica: ControlReplica, supervisor: Supervisor
) -> list[asyncio.Task[None]]:
    """Start what a replica does as long as it runs."""
    return [
        supervisor.start('expire', replica.expire_forever()),
        supervisor.start('recover', replica.recover_file()),
        supervisor.start('exchange', ReplicaExchange(replica).run_forever()),
        supervisor.start('replica set', replica.changer.run_forever()),
    ]
