"""Starts the project's programs as the platform does, on loopback addresses.

Each machine has an address of its own. Everything that is seen is written to
the record that the case names.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RULE_HELD = 0
RULE_BROKEN = 1
CANNOT_RUN = 2
HOST = 'mesh.example'
SHARED_BOUNDS = (
    'seedLagS=3', 'reuseAfterS=2', 'contactMs=3000', 'ackMs=4000',
    'drainMs=2000', 'graceS=6', 'lossSlackMs=200', 'configApplyMs=2000',
    'rollbackSlackMs=250', 'skewMaxMs=5000', 'retryBudgetRatio=0.2',
    'budgetWindowS=10', 'recoveryS=15', 'probesPerS=60',
)
BASE_CONTRACTS = (
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'health',
)


@dataclass(frozen=True)
class Site:
    """What the settings of a process say of its site.

    Attributes:
        zones: Zones of the core machines 1, 2 and 3.
        region: The region.
        memory_mb: Memory of a sidecar machine.
        cpu_share: Processor share of a sidecar machine.
        machines: Machines that may be lost at the same time.
        bounds: Bounds in which the sites differ.
        contracts: Contracts in force.
    """

    zones: tuple[str, str, str]
    region: str
    memory_mb: int
    cpu_share: float
    machines: int
    bounds: tuple[str, ...]
    contracts: tuple[str, ...] = BASE_CONTRACTS


CEDARLINE_SHEETS = Site(
    ('vancouver', 'victoria', 'nanaimo'), 'coastal', 300, 0.86, 1,
    ('syncS=4', 'budgetMinRetries=62'),
)
GWD_MESH_GROWN = Site(
    ('wien-a', 'wien-b', 'wien-c'), 'wien', 200, 0.43, 1,
    ('syncS=6', 'budgetMinRetries=182'),
)
UMURAGE_MESH_GROWN = Site(
    ('kigali-a', 'kigali-b', 'kigali-c'), 'kigali', 200, 0.43, 1,
    (
        'syncS=6', 'budgetMinRetries=188', 'strictRevoke=false',
        'revokeMs=5000', 'quotaWindowS=5', 'quotaOverage=0.1', 'quotaSlack=20',
        'coldOverage=1.5', 'coldSlack=8', 'evacuateMs=5000',
    ),
    (*BASE_CONTRACTS, 'pool', 'places', 'tenants', 'quota'),
)


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was seen, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open('w')
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        elapsed = time.monotonic() - self.started
        self.file.write(f'{elapsed:9.3f} {text}\n')
        self.file.flush()


def free_ports(subnet: str, count: int) -> list[int]:
    """Return ports that are free on the addresses of a subnet."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(12000, 30000)
        try:
            for number in (1, 2, 3, 20, 21, 22, 23):
                with socket.socket() as probe:
                    probe.bind((f'{subnet}.{number}', port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Deployment:
    """Processes of the system on their machines.

    Attributes:
        record: Where to write what is seen.
        processes: Running processes by machine.
    """

    def __init__(self, record: Record, site: Site) -> None:
        self.record = record
        self.site = site
        self.subnet = f'127.{random.randint(16, 200)}.{random.randint(1, 250)}'
        names = ('inbound', 'outbound', 'readyAddr', 'control', 'app', 'metrics')
        self.ports = dict(zip(names, free_ports(self.subnet, len(names))))
        self.peer_port = free_ports(self.subnet, 1)[0]
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.processes: dict[str, subprocess.Popen] = {}

    def zone(self, number: int) -> str:
        """Return the zone of a machine."""
        return self.site.zones[number % 3]

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f'{self.subnet}.{number}'

    def start_control(self, number: int, *, bootstrap: bool = True) -> None:
        """Start the control role on a core machine."""
        data = self.folder / f'data-{number}'
        data.mkdir(exist_ok=True)
        self._start(
            f'core-{number}', 'platform/control_role.py', number,
            {
                'role': 'control', 'machineClass': 'core',
                'serves': ['control_plane'], 'bootstrap': bootstrap,
                'countsAsLoss': True, 'dataDir': str(data),
            },
            ('control',), 296, 4096,
        )

    def start_daemon(self, number: int, service: str) -> None:
        """Start the daemon role on a sidecar machine."""
        self._start(
            f'sidecar-{number}', 'platform/daemon_role.py', number,
            {
                'role': 'daemon', 'machineClass': 'sidecar',
                'serves': ['sidecar'], 'bootstrap': True,
                'countsAsLoss': False, 'service': service,
                'appAddr': f'{self.ip(number)}:{self.ports["app"]}',
            },
            ('inbound', 'outbound', 'readyAddr', 'control'),
            self.site.memory_mb, 4100,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.write(f'{number.name} to {name}')
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait(10)

    def close(self) -> None:
        """End all processes and remove their files."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(10)
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _start(
        self, name, program, number, extra, listeners, memory_mb, max_fds
    ) -> None:
        ip = self.ip(number)
        seeds = [f'{self.ip(one)}:{self.ports["control"]}' for one in (1, 2, 3)]
        settings = {
            'nodeName': name,
            'ip': ip,
            'zone': self.zone(number),
            'region': self.site.region,
            'peerPortRange': [self.peer_port, self.peer_port + 15],
            'seeds': seeds,
            'discovery': 'static',
            'entryMode': 'static',
            'heartbeatIntervalMs': 1500,
            'contracts': list(self.site.contracts),
            'bounds': [*SHARED_BOUNDS, *self.site.bounds],
            **extra,
        }
        lines = [f'{key} = {json.dumps(one)}' for key, one in settings.items()]
        lines.append('[zones]')
        lines += [f'{zone} = "{self.site.region}"' for zone in self.site.zones]
        lines.append('[listenAddrs]')
        lines += [f'{key} = "{ip}:{self.ports[key]}"' for key in listeners]
        lines += [
            '[limits]', f'cpuShare = {self.site.cpu_share}', 'cores = 1',
            f'memoryMb = {memory_mb}', f'maxFds = {max_fds}',
            '[faultTolerance]', f'machines = {self.site.machines}', 'zones = 0', 'regions = 0',
        ]
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['BURDOCKLEAD_CONFIG'] = str(path)
        environment['BURDOCKLEAD_METRICS_PORT'] = str(self.ports['metrics'])
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            ['python3', program], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=_default_signals,
        )
        self.record.write(f'{name} started')

    def configuration(self, version, services, routes, tenants=()) -> bytes:
        """Return a complete configuration."""
        resources = [
            {'entryType': 'routes', 'metadata': {'name': name}, 'spec': spec}
            for name, spec in routes.items()
        ]
        resources += [
            {
                'entryType': 'services', 'metadata': {'name': name},
                'spec': {
                    'healthPath': '/health', 'maxConnections': 1000,
                    'protocol': 'h1', 'tls': False,
                },
            }
            for name in services
        ]
        resources += [
            {'entryType': 'tenants', 'metadata': {'name': name}, 'spec': spec}
            for name, spec in dict(tenants).items()
        ]
        resources.append({
            'entryType': 'limits', 'metadata': {},
            'spec': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
            },
        })
        body = {'version': version, 'resources': resources}
        return json.dumps(body).encode()

    async def send_configuration(self, number, base, body) -> int:
        """Send a configuration to a core machine; return the status."""
        status, _, _ = await call(
            self.ip(number), self.ports['control'], 'POST',
            '/-/rpc?call=config.replace',
            (('If-Match', str(base)), ('Content-Type', 'application/json')),
            body,
        )
        return status

    async def configure(self, services, routes, tenants=()) -> None:
        """Send the first configuration until it is acknowledged."""
        body = self.configuration(3, services, routes, tenants)
        for _ in range(60):
            for number in (1, 2, 3):
                if await self.send_configuration(number, 0, body) == 200:
                    self.record.write('configuration 3 acknowledged')
                    return
            await asyncio.sleep(0.3)
        raise CannotRun('the configuration was not acknowledged')

    async def wait_ready(self, number: int) -> None:
        """Wait until a daemon is ready."""
        for _ in range(150):
            status, _, _ = await call(
                self.ip(number), self.ports['readyAddr'], 'GET', '/-/ready'
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'sidecar-{number} is not ready')


def _default_signals() -> None:
    """Undo what the shell of this script ignores (``nohup``)."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def route(prefix, kind, service, timeout_ms, attempts=2):
    """Return the spec of a route."""
    return {
        'host': HOST, 'pathPrefix': prefix, 'routeType': kind,
        'timeoutMs': timeout_ms, 'sloMs': timeout_ms, 'priority': 1,
        'service': service, 'maxAttempts': attempts, 'allowAnonymous': False,
    }


async def read_head(reader):
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    return lines[0], headers


async def call(
    ip, port, method, target, headers=(), body=b'', timeout=4.0,
    host='',
):
    """Send a request on a new connection; status 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f'{method} {target} HTTP/1.1', f'Host: {host or ip}']
            lines += [f'{name}: {text}' for name, text in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    """Return status, headers and body of an answer that has a length."""
    first, headers = await read_head(reader)
    length = int(headers.get('content-length', 0))
    return int(first.split()[1]), headers, await reader.readexactly(length)


class Target:
    """A sound target beside a daemon.

    Attributes:
        service: Name of its service.
        instance: Its id.
        ran: IDs of the requests that it began to work on.
    """

    slots = 6
    read_ahead = 65536  # Bytes that are read before they are needed.

    def __init__(self, deployment, number, service, instance=None) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.ip = deployment.ip(number)
        self.port = deployment.ports['app']
        self.service = service
        self.instance = instance or f'i-{number:08x}'
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.ran: dict[str, str] = {}
        self.server = None
        self.beats = None

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=self.read_ahead
        )
        self.beats = asyncio.create_task(self._beat_forever())
        self.record.write(f'target {self.instance} started')

    async def work(self, head, headers, reader, writer) -> None:
        """Work on a request and answer it."""
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        self.begin(headers)
        await asyncio.sleep(0.02)
        self.answer(writer, headers, 200, b'done ' + str(len(body)).encode())

    def begin(self, headers) -> None:
        """Note that the target begins to work on a request."""
        name = headers.get('x-attempt-id', '')
        self.ran[name] = 'at work'
        self.record.write(f'target {self.instance} begins {name}')

    def answer(self, writer, headers, status, body, extra=()) -> None:
        """Send a signed answer."""
        name = headers.get('x-attempt-id', '')
        self.ran[name] = f'answered {status}'
        self.record.write(f'target {self.instance} answers {name}: {status}')
        lines = [
            f'HTTP/1.1 {status} Answer', f'X-Attempt-Id: {name}',
            f'X-Response-Signature: {self.instance}.{name}.{len(body)}',
            f'X-Server-Load: {self.running},0,{self.slots},100',
            f'Content-Length: {len(body)}',
            *(f'{key}: {text}' for key, text in extra),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head, headers = await read_head(reader)
                await self._handle(head, headers, reader, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            return  # The case has ended.
        finally:
            writer.close()

    async def _handle(self, head, headers, reader, writer) -> None:
        target = head.split()[1]
        load = f'X-Server-Load: {self.running},0,{self.slots},100'
        if target == '/health':
            writer.write(
                f'HTTP/1.1 200 OK\r\nX-Instance-Id: {self.instance}\r\n{load}'
                '\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        if headers.get('x-expected-instance') not in {None, self.instance}:
            await reader.readexactly(int(headers.get('content-length', 0)))
            writer.write(
                f'HTTP/1.1 421 Misdirected\r\nX-Instance-Id: {self.instance}'
                '\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        self.running += 1
        try:
            await self.work(head, headers, reader, writer)
        finally:
            self.running -= 1

    async def beat(self, state='ready') -> int:
        """Send a heartbeat and return the status of its answer."""
        self.seq += 1
        body = json.dumps({
            'service': self.service, 'address': f'{self.ip}:{self.port}',
            'zone': self.deployment.zone(self.number), 'version': 'v1', 'slots': self.slots, 'state': state,
            'coldRemainingMs': 0, 'seq': self.seq, 'born': self.born,
        }).encode()
        status, _, _ = await call(
            self.ip, self.deployment.ports['control'], 'POST',
            f'/-/rpc?call=instances.heartbeat&of={self.instance}',
            (('Content-Type', 'application/json'),), body, 1.0,
        )
        return status

    async def _beat_forever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(1.5)


async def wait_served(deployment, number, method, target, attempts=80):
    """Wait until a daemon has a request served by a target."""
    for count in range(attempts):
        status, headers, _ = await call(
            deployment.ip(number), deployment.ports['outbound'], method, target,
            (
                ('X-Attempt-Id', f'warm-{number}-{count}'),
                ('X-Timeout-Remaining', '1000'),
            ),
            b'warm' if method == 'POST' else b'', 2.0, HOST,
        )
        if status == 200 and 'x-response-signature' in headers:
            return
        await asyncio.sleep(0.25)
    raise CannotRun(f'no request is served through sidecar-{number}')


def run_case(play, path: Path, site: Site, limit_s: float = 110) -> None:
    """Play a case, write its record to a path, and exit as the issue says."""
    record = Record(path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble: {"yes" if trouble else "no"}')
    deployment = Deployment(record, site)
    result = CANNOT_RUN
    try:
        broken = asyncio.run(
            asyncio.wait_for(play(deployment, trouble), limit_s)
        )
        result = RULE_BROKEN if broken else RULE_HELD
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f'could not run: {error!r}')
    finally:
        deployment.close()
    record.write({0: 'held', 1: 'BROKEN', 2: 'could not run'}[result])
    sys.exit(result)
