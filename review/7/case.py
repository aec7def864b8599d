"""A configuration that is acknowledged, and that no process can read."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_2'))

from deployment import (  # noqa: E402
    BROKEN, HELD, NOT_RUN, Server, ask, configuration, route, run_case,
    trouble_wanted,
)

# Arrays within each other in a field that the deployment does not know. The
# deepest configuration that is not refused is the case: its depth follows from
# the interpreter's limit on nested calls.
DEPTHS = range(996, 978, -1)
READ_BACK_S = 12.0  # Well over contactMs (3 s).
RESTART_S = 0.5  # The platform starts an ended process again after this.


def with_note(body, depth):
    """Return a configuration as text, with an additional field."""
    text = json.dumps(body)
    return text[:-1] + ', "note": ' + '[' * depth + ']' * depth + '}'


async def restart_forever(deployment, ends):
    """Start each process that ends by itself again, as the platform does."""
    roles = {'core': 'control', 'side': 'daemon'}
    while True:
        for name, process in list(deployment.processes.items()):
            if process.poll() is None:
                continue
            ends[name] = ends.get(name, 0) + 1
            deployment.record.write(
                f'platform: {name} ended by itself, code {process.returncode}'
            )
            await asyncio.sleep(RESTART_S)
            deployment.bootstrap = False
            number = int(name.rpartition('-')[2])
            service = deployment.services.get(name, (0, ''))[1]
            side = name.startswith('side')
            deployment.start(
                name, roles[name[:4]], 20 + number if side else number, service
            )
        await asyncio.sleep(0.05)


async def case(deployment):
    record = deployment.record
    deployment.start_core()
    deployment.start('side-1', 'daemon', 21, 'alpha')
    deployment.start('side-2', 'daemon', 22, 'beta')
    routes = {'r': route('beta')}
    services = ['alpha', 'beta']
    first = configuration(1, routes, services)
    if not await asyncio.to_thread(deployment.apply, first, 0):
        return NOT_RUN
    servers = [
        Server(deployment, 21, 'alpha', 'i-21'),
        Server(deployment, 22, 'beta', 'i-22'),
    ]
    for server in servers:
        await server.start()
    if not await asyncio.to_thread(deployment.wait_ready, (21, 22)):
        return NOT_RUN
    await asyncio.sleep(4)
    before = await ask(deployment, 21, 'before')
    if before.status != 200:
        return NOT_RUN
    ends = {}
    restarts = asyncio.create_task(restart_forever(deployment, ends))
    second = configuration(2, routes, services)
    status = 0
    for depth in DEPTHS if trouble_wanted() else (1,):
        text = with_note(second, depth)
        for core in (1, 2, 3):
            status, _ = await asyncio.to_thread(
                deployment.operate, 'config.replace', text, 1, core
            )
            if status in {200, 400}:
                break
        record.write(f'operator: with depth {depth} it was answered {status}')
        if status == 200:
            break
    record.write(f'operator: version 2 was answered {status}')
    end = time.monotonic() + READ_BACK_S
    read = None
    while time.monotonic() < end:
        for core in (1, 2, 3):
            code, body = await asyncio.to_thread(
                deployment.operate, 'config.get', None, None, core
            )
            if code == 200:
                read = json.loads(body)['version']
        await asyncio.sleep(0.3)
    after = await ask(deployment, 21, 'after')
    restarts.cancel()
    record.write(f'read back at the end: version {read}')
    record.write(f'processes that ended by themselves: {ends}')
    if status == 200 and read != 2:
        record.write('BROKEN: acknowledged, and does not come when read back')
        return BROKEN
    if ends:
        record.write('BROKEN: processes ended by themselves')
        return BROKEN
    if after.status != 200:
        return NOT_RUN
    return HELD


run_case(FOLDER, case)
