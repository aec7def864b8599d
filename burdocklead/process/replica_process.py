"""A control replica with the project's own HTTP edge for operators."""

from __future__ import annotations

import asyncio

from burdocklead.connection.control_server import ControlServer
from burdocklead.connection.http_server import HttpServer
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.lifecycle import Lifecycle
from burdocklead.process.replica_exchange import ReplicaExchange
from burdocklead.process.supervision import Supervisor, watch_process
from burdocklead.values import Address

STOP_LIMIT_S = 2.0  # An operator's call ends within two phases of a round.
STOP_POLL_S = 0.02


async def run_replica(
    replica: ControlReplica, pages: HttpServer, address: Address
) -> None:
    """Serve until a signal asks to stop.

    Args:
        replica: The replica.
        pages: Server of the operators' calls.
        address: Address for operators.
    """
    lifecycle = Lifecycle(replica.events)
    lifecycle.watch_signals()
    supervisor = watch_process(replica.metrics, lifecycle)
    server = ControlServer(replica.handle, replica.access, replica.metrics)
    server.start(replica.settings.listen)
    await pages.start(address)
    tasks = start_replica_tasks(replica, supervisor)
    lifecycle.start_serving()
    await lifecycle.stop_requested.wait()
    lifecycle.start_draining()
    await _finish_calls(pages)
    for task in tasks:
        task.cancel()
    await server.close()
    await replica.registers.close()
    lifecycle.finish()


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
