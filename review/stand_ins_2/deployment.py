"""A small deployment on loopback: the project's programs as real processes.

Only the standard library is used. The platform, the servers and the clients
are stand-ins that behave as the users' pages say. Everything that is sent,
answered and run is written to ``record.txt`` of the case.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = {'inbound': 8300, 'outbound': 8304, 'readyAddr': 8302, 'control': 8306}
APP_PORT = 8301
METRICS_PORT = 29464
PROGRAMS = {'daemon': 'daemon_role.py', 'control': 'control_role.py'}
HEARTBEAT_S = 1.5
BOUNDS = (
    'seedLagS=3', 'reuseAfterS=2', 'contactMs=3000', 'ackMs=4000', 'syncS=6',
    'drainMs=2000', 'graceS=6', 'lossSlackMs=200', 'configApplyMs=2000',
    'rollbackSlackMs=250', 'skewMaxMs=5000', 'retryBudgetRatio=0.2',
    'budgetWindowS=10', 'budgetMinRetries=196', 'recoveryS=15',
    'probesPerS=60',
)


def trouble_wanted():
    """Return False if the case must run without its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The record of a run; one line for each thing that was seen."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')

    def write(self, text):
        line = f'{time.monotonic() - self.started:8.3f} s  {text}'
        self.file.write(line + '\n')
        self.file.flush()


class Deployment:
    """Control replicas and daemons, each on a loopback address of its own."""

    def __init__(self, record, core=3, bounds=(), fault_tolerance=1):
        self.record = record
        self.core = core
        self.bounds = (*BOUNDS, *bounds)
        self.fault_tolerance = fault_tolerance
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.subnet = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        self.processes = {}
        self.services = {}
        self.bootstrap = True

    def ip(self, number):
        return f'{self.subnet}.{number}'

    def seeds(self):
        return [f'{self.ip(one + 1)}:{PORTS["control"]}' for one in range(3)]

    def write_settings(self, name, role, number, service=''):
        """Write the settings file of a process and return its path."""
        ip = self.ip(number)
        side = role == 'daemon'
        settings = {
            'nodeName': name,
            'role': role,
            'machineClass': 'sidecar' if side else 'core',
            'serves': ['sidecar' if side else 'control_plane'],
            'ip': ip,
            'zone': 'vancouver',
            'region': 'coastal',
            'peerPortRange': [7620, 7635],
            'seeds': self.seeds(),
            'bootstrap': self.bootstrap,
            'countsAsLoss': not side,
            'discovery': 'static',
            'entryMode': 'static',
            'heartbeatIntervalMs': int(HEARTBEAT_S * 1000),
            'contracts': ['base', 'drain', 'config', 'retry', 'recover'],
            'bounds': list(self.bounds),
        }
        listeners = ('control',)
        if side:
            settings['service'] = service
            settings['appAddr'] = f'{ip}:{APP_PORT}'
            listeners = tuple(PORTS)
        else:
            data = self.folder / f'data-{name}'
            data.mkdir(exist_ok=True)
            settings['dataDir'] = str(data)
        lines = [f'{key} = {json.dumps(one)}' for key, one in settings.items()]
        lines.append('[zones]\nvancouver = "coastal"\n[listenAddrs]')
        lines.extend(f'{one} = "{ip}:{PORTS[one]}"' for one in listeners)
        lines.append('[limits]\ncores = 1')
        lines.append(f'memoryMb = {200 if side else 296}')
        lines.append(f'maxFds = {4100 if side else 4096}')
        lines.append(f'[faultTolerance]\nmachines = {self.fault_tolerance}')
        lines.append('zones = 0\nregions = 0\n')
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines))
        return path

    def start(self, name, role, number, service=''):
        """Start a process with the command of the deploy file."""
        path = self.write_settings(name, role, number, service)
        if service:
            self.services[name] = (number, service)
        log = (self.folder / f'{name}.log').open('a')
        self.processes[name] = subprocess.Popen(
            ['python3', f'platform/{PROGRAMS[role]}'],
            cwd=ROOT,
            env={
                **{
                    key: text for key, text in os.environ.items()
                    if key in {'PATH', 'HOME', 'LANG'}
                },
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BURDOCKLEAD_CONFIG': str(path),
                'BURDOCKLEAD_METRICS_PORT': str(METRICS_PORT),
            },
            stdout=log,
            stderr=log,
        )
        self.record.write(f'platform: started {name}')

    def start_core(self):
        for one in range(self.core):
            self.start(f'core-{one + 1}', 'control', one + 1)

    def send_signal(self, name, number):
        self.record.write(f'platform: {signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    def log_text(self, name):
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def operate(self, call, body=None, base=None, core=1, timeout=1.0):
        """Send an operator's call; return its status and body, or 0 and b''."""
        url = f'http://{self.ip(core)}:{PORTS["control"]}/-/rpc?call={call}'
        headers = {'Content-Type': 'application/json'}
        if base is not None:
            headers['If-Match'] = str(base)
        text = body if isinstance(body, str) else json.dumps(body)
        content = b'' if body is None else text.encode()
        request = urllib.request.Request(
            url, data=content, headers=headers, method='POST'
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                result = answer.status, answer.read()
        except urllib.error.HTTPError as error:
            result = error.code, error.read()
        except OSError:
            result = 0, b''
        self.record.write(
            f'operator: {call} base {base} at core {core}: {result[0]}'
        )
        return result

    def apply(self, body, base, limit_s=20):
        """Send a configuration until it is acknowledged."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for core in range(1, self.core + 1):
                if self.operate('config.replace', body, base, core)[0] == 200:
                    return True
            time.sleep(0.2)
        return False

    def is_ready(self, number):
        url = f'http://{self.ip(number)}:{PORTS["readyAddr"]}/-/ready'
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait_ready(self, numbers, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.is_ready(number) for number in numbers):
                return True
            time.sleep(0.05)
        return False

    def close(self):
        """End all processes that were started and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'],
                            dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, **limits):
    """Return a configuration in the platform's form.

    ``routes`` maps names to the specs of routes, ``services`` is a list.
    """
    items = [
        {'entryType': 'routes', 'metadata': {'name': name}, 'spec': spec}
        for name, spec in routes.items()
    ]
    items.extend(
        {
            'entryType': 'services',
            'metadata': {'name': name},
            'spec': {
                'healthPath': '/health', 'maxConnections': 1060,
                'protocol': 'h1', 'tls': False,
            },
        }
        for name in services
    )
    items.append({
        'entryType': 'limits',
        'metadata': {},
        'spec': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000, **limits,
        },
    })
    return {'version': version, 'resources': items}


def route(service, kind='safe', timeout_ms=8000, attempts=2, prefix='/a/'):
    return {
        'host': 'mesh.example', 'pathPrefix': prefix, 'routeType': kind,
        'timeoutMs': timeout_ms, 'sloMs': 1000, 'priority': 1,
        'service': service, 'maxAttempts': attempts,
    }


async def read_head(reader):
    """Return the first line and the headers of a message."""
    content = await reader.readuntil(b'\r\n\r\n')
    first, *lines = content.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return first, headers


class Server:
    """A sound server beside a daemon: runs requests, sends heartbeats."""

    def __init__(self, deployment, number, service, instance, work_ms=20,
                 body=b'bytes of the server', slots=6, logs=True):
        self.deployment = deployment
        self.record = deployment.record
        self.ip = deployment.ip(number)
        self.service = service
        self.instance = instance
        self.work_ms = work_ms
        self.body = body
        self.slots = slots
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.number = 0
        self.running = 0
        self.runs = []  # (time, id, method, path, caller's service)
        self.listener = None
        self.beats = None
        self.cold_ms = 0
        self.logs = logs  # False if the runs are too many for the record.

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.ip, APP_PORT
        )
        self.beats = asyncio.create_task(self.beat_forever())

    async def close(self):
        if self.beats:
            self.beats.cancel()
        self.listener.close()

    def headers(self):
        return [('X-Server-Load', f'{self.running},0,{self.slots},100')]

    def body_for(self, call_id):
        return self.body

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(' ')
                size = int(headers.get('content-length', 0))
                content = await reader.readexactly(size) if size else b''
                await self.answer(writer, method, path, headers, content)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def answer(self, writer, method, path, headers, content):
        if path == '/health':
            status = 200 if self.state == 'ready' else 503
            extra = [('X-Instance-Id', self.instance), *self.headers()]
            await self.send(writer, status, extra, b'')
            return
        wanted = headers.get('x-expected-instance', self.instance)
        if wanted != self.instance:
            extra = [('X-Instance-Id', self.instance)]
            await self.send(writer, 421, extra, b'')
            return
        call_id = headers.get('x-attempt-id', '')
        self.runs.append((
            time.monotonic(), call_id, method, path,
            headers.get('x-caller-service', ''),
        ))
        if self.logs:
            self.record.write(f'server {self.instance}: runs {call_id}')
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        body = self.body_for(call_id)
        await self.send(writer, 200, [
            ('X-Attempt-Id', call_id),
            ('X-Response-Signature', f'signed-{self.instance}'),
            *self.headers(),
        ], body)
        if self.logs:
            self.record.write(
                f'server {self.instance}: answered {call_id}, '
                f'{len(body)} bytes'
            )

    async def send(self, writer, status, headers, body):
        lines = [f'HTTP/1.1 {status} X']
        lines.extend(f'{name}: {text}' for name, text in headers)
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()

    async def call(self, name, body=None):
        """Call the daemon on the own machine; return the status or 0."""
        content = b'' if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, PORTS['control']
                )
                writer.write(
                    f'POST /-/rpc?call={name}&of={self.instance} HTTP/1.1\r\n'
                    f'Host: {self.ip}\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n'
                    'Connection: close\r\n\r\n'.encode() + content
                )
                first, _ = await read_head(reader)
                writer.close()
                return int(first.split(' ')[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def beat(self):
        self.number += 1
        return await self.call('instances.heartbeat', {
            'service': self.service, 'address': f'{self.ip}:{APP_PORT}',
            'zone': 'vancouver', 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'coldRemainingMs': self.cold_ms,
            'seq': self.number, 'born': self.born,
        })

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)


class Answer:
    """What a client got: a status and a body, or why there is none."""

    def __init__(self, status=0, headers=None, body=b'', whole=False, why=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole
        self.why = why

    def __str__(self):
        signed = self.headers.get('x-response-signature', 'none')
        whole = 'whole' if self.whole else f'cut ({self.why})'
        return (
            f'status {self.status}, signature {signed}, '
            f'{len(self.body)} bytes, {whole}'
        )


async def ask(deployment, number, call_id, path='/a/1', method='GET',
              timeout_ms=7000, content=b'', rate=0, receive_bytes=0,
              segment_bytes=0, headers=(), logs=True):
    """Send a request to a daemon on a new connection and read the answer.

    ``rate`` is the speed of the client's line in bytes a second, 0 for no
    limit; ``receive_bytes`` the size of its receive buffer;
    ``segment_bytes`` the largest TCP segment that it takes.
    """
    record = deployment.record
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_ms / 1000
    answer = Answer()
    writer = None
    if logs:
        record.write(f'client: sends {call_id} to {deployment.ip(number)}')
    try:
        async with asyncio.timeout_at(end):
            sock = socket.socket()
            sock.setblocking(False)
            if receive_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            if segment_bytes:
                # As on a network; segments on loopback have 64 KiB.
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
                )
            await loop.sock_connect(
                sock, (deployment.ip(number), PORTS['outbound'])
            )
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=16384
            )
            lines = [
                f'{method} {path} HTTP/1.1', 'Host: mesh.example',
                f'X-Attempt-Id: {call_id}',
                f'X-Timeout-Remaining: {timeout_ms}',
                *(f'{name}: {text}' for name, text in headers),
            ]
            if content or method in {'POST', 'PUT'}:
                lines.append(f'Content-Length: {len(content)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + content)
            await writer.drain()
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(' ')[1])
            size = int(answer.headers.get('content-length', 0))
            body = bytearray()
            started = loop.time()
            try:
                while len(body) < size:
                    chunk = await reader.read(min(16384, size - len(body)))
                    if not chunk:
                        answer.why = 'the connection ended'
                        break
                    body += chunk
                    if rate:
                        due = started + len(body) / rate
                        await asyncio.sleep(max(due - loop.time(), 0))
            finally:
                answer.body = bytes(body)
            answer.whole = len(body) == size
    except TimeoutError:
        answer.why = 'deadline'
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.why = f'{type(error).__name__}'
    finally:
        if writer is not None:
            writer.close()
    if logs:
        record.write(f'client: {call_id} got {answer}')
    return answer


def _stop(*_):
    """End the case and its processes on a signal from outside."""
    raise SystemExit(NOT_RUN)


def run_case(folder, case):
    """Run a case; its result is the exit code."""
    signal.signal(signal.SIGTERM, _stop)
    record = Record(folder)
    deployment = Deployment(record)
    code = NOT_RUN
    try:
        code = asyncio.run(case(deployment))
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        raise
    finally:
        deployment.close()
        record.write(f'exit code {code}')
        if sys.exc_info()[0] is not None:
            os._exit(NOT_RUN)
    sys.exit(code)
