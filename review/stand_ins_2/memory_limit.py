"""The platform's memory limit: a process that uses more is killed."""

import asyncio

from deployment import BROKEN, HELD, ask

LIMIT_BYTES = 200 * 10**6  # ``memoryMb`` of the settings.
POLL_S = 0.02
RESTART_S = 0.5
ENDS = 3  # Rule Fault: ends of one process in a day.
SERVED_S = 15.0


def anonymous_bytes(pid):
    """Return the memory of a process without the files that it maps."""
    try:
        with open(f'/proc/{pid}/status') as status:
            for line in status:
                if line.startswith('RssAnon:'):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


class MemoryLimit:
    """Kills a daemon above the limit and starts it again.

    ``daemons`` maps the number of a machine to the name, the service and the
    path prefix of its daemon.
    """

    def __init__(self, deployment, daemons):
        self.deployment = deployment
        self.daemons = daemons
        self.ends = {}
        self.peaks = {}

    async def run_forever(self):
        while True:
            for number, (name, service, _) in self.daemons.items():
                process = self.deployment.processes[name]
                used = anonymous_bytes(process.pid)
                self.peaks[name] = max(self.peaks.get(name, 0), used)
                if used > LIMIT_BYTES:
                    self.deployment.record.write(
                        f'platform: {name} uses {used / 1e6:.0f} MB and is '
                        'killed'
                    )
                    process.kill()
                if process.poll() is not None or used > LIMIT_BYTES:
                    process.wait()
                    self.ends[name] = self.ends.get(name, 0) + 1
                    await asyncio.sleep(RESTART_S)
                    self.deployment.bootstrap = False
                    self.deployment.start(name, 'daemon', number, service)
            await asyncio.sleep(POLL_S)

    def verdict(self):
        """Return the exit code of the case by the rule Fault."""
        record = self.deployment.record
        for name, used in self.peaks.items():
            record.write(f'{name}: most memory {used / 1e6:.0f} MB')
        record.write(f'ends above the limit of memory: {self.ends}')
        often = [one for one in self.ends.values() if one >= ENDS]
        if len(often) >= 2:
            record.write('BROKEN: two machines, three ends each')
            return BROKEN
        return HELD


async def wait_served(deployment, daemons):
    """Wait until each daemon serves an ordinary request."""
    loop = asyncio.get_running_loop()
    for number, (_, _, prefix) in daemons.items():
        until = loop.time() + SERVED_S
        tries = 0
        while True:
            tries += 1
            answer = await ask(
                deployment, number, f'ordinary-{number}-{loop.time():.3f}',
                f'{prefix}ordinary', timeout_ms=2000,
            )
            if answer.status == 200 and answer.whole:
                break
            if loop.time() > until:
                return False
            await asyncio.sleep(0.3)
    return True
