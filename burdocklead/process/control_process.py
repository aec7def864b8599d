"""Entry point of the control process: starts and stops a replica."""

from __future__ import annotations

import ssl

from burdocklead.connection.control_server import ControlServer
from burdocklead.process.admin_http import start_site
from burdocklead.process.control_http import ControlHandlers
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.lifecycle import Lifecycle, write_ready_file
from burdocklead.process.replica_process import start_replica_tasks
from burdocklead.process.supervision import watch_process
from burdocklead.settings import ControlSettings


async def run_control(settings: ControlSettings) -> None:
    """Serve until a signal requests a stop."""
    replica = ControlReplica(settings)
    lifecycle = Lifecycle(
        replica.events, replica.settings.zone, replica.members.incarnation
    )
    lifecycle.watch_signals()
    supervisor = watch_process(replica.metrics, lifecycle)
    server = ControlServer(replica.handle, replica.credentials, replica.metrics)
    control = server.start(settings.listen)
    application = ControlHandlers(replica).application()
    runner, admin = await start_site(
        application, settings.admin_listen, tls=_admin_context(replica)
    )
    tasks = start_replica_tasks(replica, supervisor)
    lifecycle.start_serving()
    write_ready_file(
        settings.ready_file, {'control': str(control), 'admin': str(admin)}
    )
    await lifecycle.stop_requested.wait()
    lifecycle.start_draining()
    for task in tasks:
        task.cancel()
    await replica.grants.release()
    await runner.cleanup()
    await server.close()
    await replica.registers.close()
    lifecycle.finish()


def _admin_context(replica: ControlReplica) -> ssl.SSLContext | None:
    tls = replica.credentials.tls
    return tls.server_context(verify_peer=False) if tls else None
