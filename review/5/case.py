"""A target leaves, its daemon is restarted, and an old heartbeat arrives late.

DRAIN: requests reach the target later than drainMs after the acknowledgement
that it is gone. The work that it runs when it exits is lost.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins'))
import platform_stand_in as stand_in  # noqa: E402

HOST = 'orders.example'
CLIENTS = 30
TIMEOUT_MS = 1200
DRAIN_S = 2
CONTACT_S = 3
LATE_S = 4.5  # Time that the old heartbeat takes.
EXIT_S = 8.9  # The target exits this long after the acknowledgement.
RESTART_DELAY_S = 0.2


class LeavingTarget(stand_in.Target):
    """Exits at once when told, with its work."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        await super()._serve(reader, writer)

    def exit(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def restart(platform, name, service):
    """Stop a daemon as planned and start it again; return the start time."""
    platform.send_signal(name, signal.SIGTERM)
    while platform.processes[name].poll() is None:
        await asyncio.sleep(0.05)
    platform.record.say(f'{name} has exited')
    platform.kill(name)
    await asyncio.sleep(RESTART_DELAY_S)
    platform.start_daemon(name, service)
    return time.monotonic()


async def main(platform, record, trouble):
    platform.start_core(['c1', 'c2', 'c3'])
    services = {'d1': 'sheets', 'd2': 'orders', 'd3': 'orders', 'd4': 'orders'}
    for name, service in services.items():
        platform.start_daemon(name, service)
    targets = {
        name: LeavingTarget(platform, name, f'i-{name}') for name in services
    }
    for target in targets.values():
        await target.start()
    configuration = stand_in.configuration(
        3,
        [
            stand_in.route(
                'r-issue',
                HOST,
                '/issue/',
                'orders',
                routeType='unsafe',
                timeoutMs=TIMEOUT_MS,
                sloMs=500,
                priority=1,
            )
        ],
        ['orders', 'sheets'],
    )
    await asyncio.to_thread(platform.apply, 'c1', configuration, 0)
    await asyncio.to_thread(platform.wait_ready, list(services))
    await asyncio.sleep(CONTACT_S + 2)
    limit = time.monotonic() + 15
    clients = [
        stand_in.KeptClient(platform, 'd1', f'clerk{number}')
        for number in range(CLIENTS)
    ]
    running = [
        asyncio.create_task(
            client.run(
                'POST', HOST, '/issue/x/300', TIMEOUT_MS, limit, b'order'
            )
        )
        for client in clients
    ]
    await asyncio.sleep(2)
    leaving = targets['d2']
    leaving.beating = False
    old_beat = leaving.beat()
    beat_sent = time.monotonic()
    await asyncio.sleep(0.1)
    leaving.state = 'gone'
    status = await leaving.tell('instances.deregister')
    acknowledged = time.monotonic()
    record.say(f'answer to the deregistration: {status}')
    if status != 200:
        raise stand_in.NotRunnable('the deregistration was not acknowledged')
    started = acknowledged - CONTACT_S
    if trouble:
        started = await restart(platform, 'd2', 'orders')
    await asyncio.sleep(max(beat_sent + LATE_S - time.monotonic(), 0))
    status = await leaving.tell('instances.heartbeat', old_beat)
    record.say(
        f'the heartbeat from before it arrives '
        f'{time.monotonic() - beat_sent:.1f} s late: {status}'
    )
    await asyncio.sleep(max(acknowledged + EXIT_S - time.monotonic(), 0))
    leaving.exit()
    record.say('the target exits')
    await asyncio.gather(*running)
    for target in targets.values():
        await target.close()
    in_touch = started + CONTACT_S
    late = [
        (at - acknowledged, call)
        for at, call in leaving.runs
        if at > acknowledged + DRAIN_S
    ]
    counted = [
        (at, call) for at, call in late if acknowledged + at > in_touch + 0.5
    ]
    ran = {call for _, call in leaving.runs}
    unsure = [
        f'{call}: {status}'
        for client in clients
        for call, status in client.answers.items()
        if call in ran and status != 200
    ]
    record.say(
        f'runs later than drainMs after the acknowledgement: {len(late)}'
    )
    record.say(
        f'of these with all machines in touch: {len(counted)}, '
        f'from {min(counted)[0]:.2f} s to {max(counted)[0]:.2f} s'
        if counted
        else 'of these with all machines in touch: 0'
    )
    record.say(f'orders that it ran and that were not answered 200: {unsure}')
    return bool(counted)


stand_in.run_case(FOLDER, main)
