"""A small platform on loopback: settings files, processes, operator, targets.

Standard library only. Each machine has a loopback address of its own; the
ports are the same on all machines. The programs are started with the commands
of deploy/system.toml, as separate processes.
"""

import asyncio
import http.client
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
PORT_NAMES = ('inbound', 'outbound', 'readyAddr', 'control', 'app')
PEER_PORT_COUNT = 16
TIME_LIMIT_S = 100  # The case can't run on a machine that is slower.
BOUNDS = (
    'seedLagS=3',
    'reuseAfterS=2',
    'contactMs=3000',
    'ackMs=4000',
    'syncS=4',
    'drainMs=2000',
    'graceS=6',
    'lossSlackMs=200',
    'configApplyMs=2000',
    'rollbackSlackMs=250',
    'skewMaxMs=5000',
    'retryBudgetRatio=0.2',
    'budgetWindowS=10',
    'budgetMinRetries=62',
    'recoveryS=15',
    'probesPerS=60',
)
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


class NotRunnable(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.file = self.path.open('w')
        self.started = time.monotonic()

    def write(self, text):
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Platform:
    """Machines of one small deployment.

    Attributes:
        record: Where events are written.
        processes: Running processes by machine name.
        ips: Address of each machine.
    """

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.subnet = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self.processes = {}
        self.services = {}
        self.ips = {}
        self.ports = self._free_ports()
        self.ended = []

    def _free_ports(self):
        """Return ports that no process uses now, below the ephemeral range."""
        for _ in range(200):
            base = random.randrange(12000, 30000, 40)
            if all(self._is_free(base + offset) for offset in range(40)):
                ports = {
                    name: base + number
                    for number, name in enumerate(PORT_NAMES)
                }
                ports['metrics'] = base + 8
                ports['peer'] = base + 16
                return ports
        raise NotRunnable('no free ports')

    def _is_free(self, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f'{self.subnet}.1', port))
            except OSError:
                return False
        return True

    def add_machine(self, name):
        self.ips[name] = f'{self.subnet}.{len(self.ips) + 1}'

    def address(self, name, port):
        return f'{self.ips[name]}:{self.ports[port]}'

    def start_core(self, names):
        """Start control replicas; all are seeds."""
        for name in names:
            self.add_machine(name)
        self.seeds = [self.address(name, 'control') for name in names]
        for name in names:
            self.start_replica(name)

    def start_replica(self, name, bootstrap=True):
        data = self.folder / f'data-{name}'
        data.mkdir(exist_ok=True)
        settings = {
            'machineClass': 'core',
            'serves': ['control_plane'],
            'bootstrap': bootstrap,
            'countsAsLoss': True,
            'dataDir': str(data),
            'role': 'control',
        }
        self._start(name, 'control', settings, ('control',), 0.645, 296, 256)

    def start_daemon(self, name, service, zone='vancouver'):
        """Start the daemon beside a target of a service."""
        if name not in self.ips:
            self.add_machine(name)
        self.services[name] = service
        settings = {
            'machineClass': 'sidecar',
            'serves': ['sidecar'],
            'bootstrap': not self.ended,
            'countsAsLoss': False,
            'appAddr': self.address(name, 'app'),
            'service': service,
            'role': 'daemon',
            'zone': zone,
        }
        listeners = ('inbound', 'outbound', 'readyAddr', 'control')
        self._start(name, 'daemon', settings, listeners, 0.86, 300, 0)

    def _start(self, name, role, settings, listeners, cpu, memory_mb, disk_mb):
        ip = self.ips[name]
        peer = self.ports['peer']
        common = {
            'nodeName': name,
            'ip': ip,
            'zone': 'vancouver',
            'region': 'coastal',
            'peerPortRange': [peer, peer + PEER_PORT_COUNT - 1],
            'seeds': self.seeds,
            'discovery': 'static',
            'entryMode': 'static',
            'heartbeatIntervalMs': 1500,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'health',
            ],
            'bounds': list(BOUNDS),
        }
        values = {**common, **settings}
        lines = [f'{key} = {json.dumps(one)}' for key, one in values.items()]
        lines += [
            '[zones]',
            'vancouver = "coastal"',
            'victoria = "coastal"',
            'nanaimo = "coastal"',
            '[listenAddrs]',
        ]
        lines += [f'{one} = "{self.address(name, one)}"' for one in listeners]
        lines += [
            '[limits]',
            f'cpuShare = {cpu}',
            'cores = 1',
            f'memoryMb = {memory_mb}',
            'maxFds = 4100',
            'linkMbps = 1000.0',
            f'diskMb = {disk_mb}',
            '[faultTolerance]',
            'machines = 1',
            'zones = 0',
            'regions = 0',
        ]
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['BURDOCKLEAD_CONFIG'] = str(path)
        for key in DEPLOY['roles'][role].get('env', {}):
            env[key] = str(self.ports['metrics'])
        log = (self.folder / f'{name}.log').open('a')
        self.processes[name] = subprocess.Popen(
            shlex.split(DEPLOY['roles'][role]['run']),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        self.record.write(f'start {role} {name}')

    def send_signal(self, name, number):
        """Send a signal to a process that this platform started."""
        self.record.write(f'signal {signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    def memory_mb(self, name):
        """Return the resident memory of a process in MiB, 0 if it ended."""
        try:
            text = Path(f'/proc/{self.processes[name].pid}/status').read_text()
        except OSError:
            return 0
        found = [line for line in text.split('\n') if line.startswith('VmRSS')]
        return int(found[0].split()[1]) / 1024 if found else 0

    async def enforce_memory(self, name, limit_mb):
        """Kill a process that uses more memory than its settings allow.

        Returns the memory in MiB that was seen.
        """
        while True:
            used_mb = self.memory_mb(name)
            if used_mb > limit_mb:
                self.processes[name].kill()
                self.record.say(
                    f'{name} uses {used_mb:.0f} MiB, more than memoryMb = '
                    f'{limit_mb}: killed'
                )
                return used_mb
            await asyncio.sleep(0.01)

    def kill(self, name):
        process = self.processes.pop(name)
        self.ended.append(name)
        if process.poll() is None:
            process.kill()
        process.wait()

    def close(self):
        """End all processes and remove the folder."""
        for name in tuple(self.processes):
            self.kill(name)
        if os.environ.get('KEEP_LOGS'):
            print(f'logs in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, name, port, method, path, body=b'', headers=None):
        """Make one HTTP call; return status and body, or None without one."""
        connection = http.client.HTTPConnection(
            self.ips[name], self.ports[port], timeout=3
        )
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def order(self, core, call, body, base):
        """Send an order of the operator to one replica."""
        headers = {'If-Match': str(base), 'Content-Type': 'application/json'}
        answer = self.call(
            core, 'control', 'POST', f'/-/rpc?call={call}', body, headers
        )
        status = answer[0] if answer else 'none'
        self.record.write(f'operator {call} base {base} at {core}: {status}')
        return answer

    def apply(self, core, body, base, limit_s=25):
        """Send a configuration until it is accepted."""
        limit = time.monotonic() + limit_s
        while time.monotonic() < limit:
            answer = self.order(core, 'config.replace', body, base)
            if answer and answer[0] == 200:
                return
            time.sleep(0.3)
        raise NotRunnable('the first configuration was not accepted')

    def wait_ready(self, names, limit_s=25):
        limit = time.monotonic() + limit_s
        for name in names:
            while True:
                answer = self.call(name, 'readyAddr', 'GET', '/-/ready')
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > limit:
                    raise NotRunnable(f'{name} is not ready')
                time.sleep(0.1)


def route(name, host, prefix, service, **changes):
    """Return a route of the configuration."""
    spec = {
        'host': host,
        'pathPrefix': prefix,
        'routeType': 'safe',
        'timeoutMs': 2000,
        'sloMs': 800,
        'priority': 2,
        'service': service,
        'maxAttempts': 2,
        **changes,
    }
    return {'entryType': 'routes', 'metadata': {'name': name}, 'spec': spec}


def configuration(version, routes, services):
    """Return a complete configuration as the operator sends it."""
    items = list(routes)
    for service in services:
        spec = {
            'healthPath': '/health',
            'maxConnections': 260,
            'protocol': 'h1',
            'tls': False,
        }
        items.append(
            {
                'entryType': 'services',
                'metadata': {'name': service},
                'spec': spec,
            }
        )
    items.append({'entryType': 'limits', 'metadata': {}, 'spec': LIMITS})
    return json.dumps({'version': version, 'resources': items}).encode()


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, separator, text = line.partition(':')
        if separator:
            headers[name.strip().lower()] = text.strip()
    return first, headers


class Target:
    """A sound target: 18 slots, heartbeats, load header, health check.

    Subclasses override ``answer``.
    """

    slots = 18

    def __init__(self, platform, machine, instance):
        self.platform = platform
        self.machine = machine
        self.instance = instance
        self.record = platform.record
        self.state = 'ready'
        self.number = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.born = int(time.time() * 1000)
        self.runs = []
        self.tasks = []
        self.beating = True

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve,
            self.platform.ips[self.machine],
            self.platform.ports['app'],
        )
        self.tasks.append(asyncio.create_task(self._beat_forever()))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def beat(self, **changes):
        """Return the body of the next heartbeat."""
        self.number += 1
        return json.dumps(
            {
                'service': self.platform.services[self.machine],
                'address': self.platform.address(self.machine, 'app'),
                'zone': 'vancouver',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldRemainingMs': 0,
                'seq': self.number,
                'born': self.born,
                **changes,
            }
        ).encode()

    async def tell(self, call, body=b''):
        """Call the daemon on this machine; return the status, or None."""
        path = f'/-/rpc?call={call}&of={self.instance}'
        answer = await asyncio.to_thread(
            self.platform.call,
            self.machine,
            'control',
            'POST',
            path,
            body,
            {'Content-Type': 'application/json'},
        )
        return answer[0] if answer else None

    async def _beat_forever(self):
        while True:
            if self.beating:
                await self.tell('instances.heartbeat', self.beat())
            await asyncio.sleep(1.5)

    def load(self):
        return f'X-Server-Load: {self.running},{self.waiting},{self.slots},100'

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                if target == '/health':
                    status = '200 OK'
                    if self.state != 'ready':
                        status = '503 Service Unavailable'
                    writer.write(
                        f'HTTP/1.1 {status}\r\nX-Instance-Id: '
                        f'{self.instance}\r\n{self.load()}\r\n'
                        'Content-Length: 0\r\n\r\n'.encode()
                    )
                    await writer.drain()
                    continue
                await self._run(method, target, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, method, target, headers, body, writer):
        call = headers.get('x-attempt-id', '')
        wanted = headers.get('x-expected-instance')
        if wanted not in {None, self.instance}:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {call}\r\n'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), call))
            self.record.write(f'{self.instance} runs {call} {method} {target}')
            try:
                await self.answer(call, target, headers, body, writer)
            finally:
                self.running -= 1

    async def answer(self, call, target, headers, body, writer):
        """Work as long as the path says, then answer 200."""
        await asyncio.sleep(work_s(target))
        self.write_answer(writer, call, f'{self.instance} {call}'.encode())
        await writer.drain()

    def write_answer(self, writer, call, body):
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {call}\r\n'
            f'X-Response-Signature: s.{self.instance}.{len(body)}\r\n'
            f'{self.load()}\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )


class KeptClient:
    """A client that sends one request after the other on a connection.

    Attributes:
        answers: Status of each answered request.
        lost: Requests whose connection ended without an answer.
    """

    def __init__(self, platform, machine, name):
        self.platform = platform
        self.machine = machine
        self.name = name
        self.record = platform.record
        self.answers = {}
        self.lost = []

    async def run(
        self, method, host, path, timeout_ms, limit, body=b'', most=1000
    ):
        """Send requests until a time or the end of the connection."""
        reader, writer = await asyncio.open_connection(
            self.platform.ips[self.machine], self.platform.ports['outbound']
        )
        number = 0
        while time.monotonic() < limit and number < most:
            number += 1
            call = f'{self.name}-{number}'
            writer.write(
                request_bytes(method, host, path, call, timeout_ms, body)
            )
            self.record.write(f'{self.name} sends {call}')
            try:
                status, headers, _ = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.lost.append(call)
                self.record.write(
                    f'{self.name}: connection ends without an answer to '
                    f'{call}: {type(error).__name__}'
                )
                break
            self.answers[call] = status
            self.record.write(f'{self.name} gets {status} for {call}')
            if headers.get('connection', '').lower() == 'close':
                break
        writer.close()


def work_s(target):
    """Return the work that the last part of a path names in ms, in s."""
    return int(target.rsplit('/', 1)[1].partition('-')[0]) / 1000


def request_bytes(method, host, path, call, timeout_ms, body=b''):
    """Return a request as a client sends it."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'X-Attempt-Id: {call}',
        f'X-Timeout-Remaining: {timeout_ms}',
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    first, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return int(first.split(' ')[1]), headers, body


def run_case(folder, main):
    """Run a case; exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # Lets the clean-up below run if this script is ended from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.say(f'TROUBLE={int(trouble)}')
    platform = Platform(record)
    try:
        broken = asyncio.run(
            asyncio.wait_for(main(platform, record, trouble), TIME_LIMIT_S)
        )
    except Exception as error:
        record.say(f'could not run: {type(error).__name__}: {error}')
        code = 2
    else:
        record.say('RULE BROKEN' if broken else 'rule held')
        code = 1 if broken else 0
    finally:
        platform.close()
    sys.exit(code)
