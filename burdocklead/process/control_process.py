"""The control process: starts the parts of a replica and stops them."""

from __future__ import annotations

import asyncio
import ssl

from burdocklead.connection.control_server import ControlServer
from burdocklead.process.admin_http import start_site
from burdocklead.process.control_http import ControlPages
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.lifecycle import Lifecycle, write_ready_file
from burdocklead.settings import ControlSettings


async def run_control(settings: ControlSettings) -> None:
    """Serve until a signal asks to stop."""
    replica = ControlReplica(settings)
    lifecycle = Lifecycle(replica.events)
    lifecycle.watch_signals()
    server = ControlServer(replica.handle, replica.access, replica.metrics)
    control = server.start(settings.listen)
    pages = ControlPages(replica).application()
    runner, admin = await start_site(
        pages, settings.admin_listen, tls=_admin_context(replica)
    )
    tasks = _start_tasks(replica)
    lifecycle.start_serving()
    addresses = {'control': str(control), 'admin': str(admin)}
    write_ready_file(settings.ready_file, addresses)
    await lifecycle.stop_requested.wait()
    lifecycle.start_draining()
    for task in tasks:
        task.cancel()
    await runner.cleanup()
    await server.close()
    await replica.registers.close()
    lifecycle.finish()


def _start_tasks(replica: ControlReplica) -> list[asyncio.Task[None]]:
    tasks = [asyncio.create_task(replica.expire_forever())]
    tasks.append(asyncio.create_task(replica.recover_file()))
    tasks.append(asyncio.create_task(replica.exchange_forever()))
    tasks.append(asyncio.create_task(replica.changer.run_forever()))
    return tasks


def _admin_context(replica: ControlReplica) -> ssl.SSLContext | None:
    tls = replica.access.tls
    return tls.server_context(verify_peer=False) if tls else None
