"""A configuration above 256 KiB is never acknowledged."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_3'))

from deployment import (  # noqa: E402
    GWD_MESH_GROWN,
    Target,
    route,
    run_case,
    wait_served,
)

ROUTES = 1792  # The largest count of big_config in the site file.
FEWER_ROUTES = 900  # Below 256 KiB, for TROUBLE=0.
CALM_S = 4.0
ACK_S = 4.0
ACK_S_PER_ROUTE = 0.003
SERVICE = 'auskunft'


async def play(deployment, trouble):
    record = deployment.record
    for number in (1, 2, 3):
        deployment.start_control(number)
    deployment.start_daemon(20, SERVICE)
    target = Target(deployment, 20, SERVICE)
    await target.start()
    routes = {'r-status': route('/status/', 'safe', SERVICE, 3000)}
    await deployment.configure((SERVICE,), routes)
    await deployment.wait_ready(20)
    await wait_served(deployment, 20, 'GET', '/status/warm')
    await asyncio.sleep(CALM_S)
    count = ROUTES if trouble else FEWER_ROUTES
    for number in range(count):
        routes[f'r-added-{number}'] = route(
            f'/added{number}/', 'safe', SERVICE, 3000
        )
    body = deployment.configuration(5, (SERVICE,), routes)
    limit_s = ACK_S + ACK_S_PER_ROUTE * count
    record.write(
        f'operator sends 5 with {count} routes, {len(body)} bytes; it is to be '
        f'acknowledged within {limit_s:.1f} s'
    )
    loop = asyncio.get_running_loop()
    started = loop.time()
    attempts = 0
    while loop.time() - started < limit_s:
        number = 1 + attempts % 3
        status = await deployment.send_configuration(number, 3, body)
        attempts += 1
        record.write(f'core-{number}: {status or "no answer"}')
        if status == 200:
            return False
        await asyncio.sleep(min(0.1 * attempts, 1.0))
    record.write(f'no acknowledgement in {attempts} attempts')
    return True


run_case(play, FOLDER / 'record.txt', GWD_MESH_GROWN)
