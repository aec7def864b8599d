"""An acknowledged configuration isn't in force after its replica was killed."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_3'))

from deployment import (  # noqa: E402
    CEDARLINE_SHEETS,
    HOST,
    CannotRun,
    Target,
    call,
    route,
    run_case,
    wait_served,
)

ROUNDS = 8
PROBE_AFTER_S = 3.3  # Later than contactMs (3 s) and configApplyMs (2 s).
PROBES = 4
PROBE_INTERVAL_S = 0.3
DOWN_S = 5.0  # for_s of after_ack_kill is 5 unless a day says otherwise.
SETTLE_S = 4.5  # The loss ends syncS (4 s) after the machine is back.
SERVICES = ('jobsheets', 'archive')


def routes(owner):
    """Return routes of which one goes to a service that changes."""
    return {
        'r-moved': route('/moved/', 'safe', owner, 3000),
        'r-fixed': route('/fixed/', 'safe', 'jobsheets', 3000),
    }


def change_and_kill(deployment, replica, base, body, trouble):
    """Send a configuration and kill the replica as it acknowledges it."""
    name = f'core-{replica}'
    pid = deployment.processes[name].pid
    head = (
        'POST /-/rpc?call=config.replace HTTP/1.1\r\n'
        f'Host: {deployment.ip(replica)}\r\nIf-Match: {base}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    address = (deployment.ip(replica), deployment.ports['control'])
    with socket.create_connection(address, 4) as client:
        client.sendall(head.encode() + body)
        client.setblocking(False)
        limit = time.monotonic() + 4
        answer = b''
        while not answer and time.monotonic() < limit:
            # Waits without sleeping, to be quick with the kill.
            with contextlib.suppress(BlockingIOError):
                answer = client.recv(4096)
        if trouble:
            os.kill(pid, signal.SIGKILL)
    if trouble:
        deployment.record.write(f'SIGKILL to {name} with the acknowledgement')
        deployment.processes.pop(name).wait(10)
    return int(answer.split()[1]) if answer else 0


async def probe(deployment, number, name):
    """Return the service that ran a request."""
    status, headers, _ = await call(
        deployment.ip(number), deployment.ports['outbound'], 'GET',
        f'/moved/{name}',
        (('X-Attempt-Id', name), ('X-Timeout-Remaining', '2500')),
        host=HOST,
    )
    signature = headers.get('x-response-signature', '')
    return status, signature.partition('.')[0]


async def play(deployment, trouble):
    record = deployment.record
    for number in (1, 2, 3):
        deployment.start_control(number)
    targets = {}
    for number, service in ((20, 'jobsheets'), (21, 'archive')):
        deployment.start_daemon(number, service)
        targets[service] = Target(deployment, number, service)
        await targets[service].start()
    await deployment.configure(SERVICES, routes('jobsheets'))
    for number in (20, 21):
        await deployment.wait_ready(number)
        await wait_served(deployment, number, 'GET', '/moved/warm')
    await asyncio.sleep(SETTLE_S)
    version = 3
    broken = 0
    for count in range(ROUNDS):
        replica = 1 + count % 3
        owner = SERVICES[(count + 1) % 2]
        following = version + 2
        body = deployment.configuration(following, SERVICES, routes(owner))
        record.write(f'operator sends {following}: /moved/ goes to {owner}')
        status = await asyncio.to_thread(
            change_and_kill, deployment, replica, version, body, trouble
        )
        if status != 200:
            raise CannotRun(f'{following} got {status}')
        acknowledged = asyncio.get_running_loop().time()
        record.write(f'core-{replica} acknowledged {following}')
        version = following
        await asyncio.sleep(PROBE_AFTER_S)
        for attempt in range(PROBES):
            await asyncio.sleep(PROBE_INTERVAL_S)
            for number in (20, 21):
                name = f'p{count}-{number}-{attempt}'
                waited = asyncio.get_running_loop().time() - acknowledged
                status, ran_by = await probe(deployment, number, name)
                expected = targets[owner].instance
                verdict = 'new' if ran_by == expected else 'OLD'
                if status != 200:
                    verdict = f'status {status}'
                record.write(
                    f'{name} sent {waited:.2f} s after the acknowledgement '
                    f'through sidecar-{number}: {verdict}'
                )
                broken += verdict == 'OLD'
        left = DOWN_S - (asyncio.get_running_loop().time() - acknowledged)
        await asyncio.sleep(max(left, 0))
        if trouble:
            deployment.start_control(replica, bootstrap=False)
        await asyncio.sleep(SETTLE_S)
    record.write(f'{broken} requests were handled by an older version')
    return broken


run_case(play, FOLDER / 'record.txt', CEDARLINE_SHEETS)
