"""A stand-in platform on loopback that runs the programs as real processes.

Each VM has its own address. The upstreams, which send heartbeats, the operator
and the clients are simulated.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import requests

from burdocklead.connection.http_messages import HttpResponse
from burdocklead.connection.http_server import HttpServer
from burdocklead.values import Address

ROOT = Path(__file__).resolve().parents[2]
PORTS = {'outbound': 8304, 'readyAddr': 8302, 'control': 8306}
PEER_PORTS = [7620, 7635]
METRICS_PORT = 29464
APP_PORT = 8301
HEARTBEAT_INTERVAL_S = 0.3
WAIT_TIMEOUT_S = 20
HTTP_TIMEOUT_S = 3
MS_PER_S = 1000
DEFAULT_ZONE = 'vancouver'
REPLICA_COUNT = 3
BOUNDS = ('drainMs=2000', 'graceS=6', 'budgetMinRetries=62')
SUBNET = 40 + os.getpid() % 200


def wait_until(condition, description, limit_s=WAIT_TIMEOUT_S):
    """Wait until a condition holds, else raise TimeoutError."""
    limit = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(description)
        time.sleep(0.02)


class StandInUpstream:
    """Echoes the ID of each request and records the requests."""

    slots = 4

    def __init__(self, ip, service, instance):
        """Create an upstream that does not listen yet."""
        self.ip = ip
        self.service = service
        self.instance = instance
        self.state = 'ready'
        self.work_ms = 0
        self.load = '0,0,4,100'
        self.cold_ms = None
        self.cold_header = None
        self.arrived_at = []
        self.number = 0
        self.requests_run = []
        self.last_request_at = 0
        self.server = None
        self.beats = []

    async def start(self):
        """Start listening."""
        self.server = HttpServer(self.handle)
        await self.server.start(Address(self.ip, APP_PORT))

    async def handle(self, request):
        """Answer a request or a health check."""
        load = ('X-Server-Load', self.load)
        if request.target == '/health':
            status = 200 if self.state == 'ready' else 503
            headers = (('X-Instance-Id', self.instance), load)
            if self.cold_header is not None:
                headers = (*headers, ('X-Cold-Remaining', self.cold_header))
            return HttpResponse(status, headers)
        wanted = request.find('X-Expected-Instance')
        if wanted not in {None, self.instance}:
            return HttpResponse(421, (('X-Instance-Id', self.instance),))
        self.requests_run.append(request)
        self.last_request_at = time.monotonic()
        self.arrived_at.append(self.last_request_at)
        await asyncio.sleep(self.work_ms / MS_PER_S)
        headers = (
            ('X-Attempt-Id', request.find('X-Attempt-Id')),
            ('X-Response-Signature', f'signed-{self.instance}'),
            load,
        )
        return HttpResponse(200, headers, self.service.encode())

    def send_heartbeat(self, **changes):
        """Send a heartbeat; return its status."""
        body = json.dumps(self.heartbeat(**changes))
        return self.call('instances.heartbeat', body)

    def heartbeat(self, **changes):
        """Return the content of the next heartbeat."""
        self.number += 1
        return {
            'service': self.service,
            'address': f'{self.ip}:{APP_PORT}',
            'zone': 'vancouver',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': self.cold_ms or 0,
            'seq': self.number,
            'born': 1000,
            **changes,
        }

    def send_heartbeat_if_ready(self):
        """Send a heartbeat if ready; ignore errors, as others follow."""
        if self.state == 'ready':
            with contextlib.suppress(requests.RequestException):
                self.send_heartbeat()

    def call(self, name, body=''):
        """Call the daemon of this upstream; return the status."""
        url = f'http://{self.ip}:{PORTS["control"]}/-/rpc'
        answer = requests.post(
            url,
            params={'call': name, 'of': self.instance},
            data=body,
            timeout=HTTP_TIMEOUT_S,
        )
        return answer.status_code


@dataclass
class StandInPlatform:
    """Processes and upstreams of one deployment."""

    folder: Path
    limits: dict[str, int] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    upstreams: dict[str, StandInUpstream] = field(default_factory=dict)
    zones: dict[int, str] = field(default_factory=dict)
    stopping: threading.Event = field(default_factory=threading.Event)
    loop: asyncio.AbstractEventLoop | None = None
    extra_bounds: tuple[str, ...] = ()

    def ip(self, number):
        """Return the address of a VM."""
        return f'127.0.{SUBNET}.{number}'

    def start(self, services, upstream_class=StandInUpstream):
        """Start control replicas, and a daemon and an upstream per service."""
        for number in range(REPLICA_COUNT):
            self.start_control(number)
        for number, service in enumerate(services, start=20):
            self.start_daemon(number, service)
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        for number, service in enumerate(services, start=20):
            upstream = upstream_class(self.ip(number), service, f'i-{number}')
            self.upstreams[f'daemon-{number}'] = upstream
            asyncio.run_coroutine_threadsafe(
                upstream.start(), self.loop
            ).result(WAIT_TIMEOUT_S)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def start_control(self, number, *, bootstrap=True):
        """Start a control replica."""
        data = self.folder / f'data-{number}'
        data.mkdir(exist_ok=True)
        self._start(
            f'control-{number}',
            'control_role.py',
            self.ip(number + 1),
            {'bootstrap': bootstrap, 'dataDir': str(data)},
            ('control',),
        )

    def start_daemon(self, number, service):
        """Start a daemon."""
        ip = self.ip(number)
        extra_settings = {
            'service': service,
            'appAddr': f'{ip}:{APP_PORT}',
            'zone': self.zones.get(number, DEFAULT_ZONE),
        }
        self._start(
            f'daemon-{number}', 'daemon_role.py', ip, extra_settings, PORTS
        )

    def services(self):
        """Return the service of each upstream."""
        return [upstream.service for upstream in self.upstreams.values()]

    def seeds(self):
        """Return the operator addresses of the control replicas."""
        return list(map(self.operator_address, range(REPLICA_COUNT)))

    def operator_address(self, number):
        """Return the operator address of a control replica."""
        return f'{self.ip(number + 1)}:{PORTS["control"]}'

    def call_operator_api(
        self, call, body=None, base=None, control=0, *, follow=True
    ):
        """Send an operator call to a control replica; return the response."""
        headers = {} if base is None else {'If-Match': str(base)}
        text = body
        if isinstance(body, dict):
            text = json.dumps(body)
        return requests.post(
            f'http://{self.operator_address(control)}/-/rpc',
            params={'call': call},
            data=text,
            headers=headers,
            timeout=HTTP_TIMEOUT_S,
            allow_redirects=follow,
        )

    def apply(self, body, base):
        """Send a complete configuration until it is accepted."""

        def accepted():
            try:
                answer = self.call_operator_api('config.replace', body, base)
            except requests.RequestException:
                return False
            return answer.status_code == 200

        wait_until(accepted, 'the configuration is accepted')

    def request(self, daemon, host, path, number):
        """Send a client request to a daemon; return the response."""
        return requests.get(
            f'http://{self.ip(daemon)}:{PORTS["outbound"]}{path}',
            headers={
                'Host': host,
                'X-Attempt-Id': f'call-{number}',
                'X-Timeout-Remaining': '1000',
                'X-Caller-Service': 'forged',
            },
            timeout=HTTP_TIMEOUT_S,
        )

    def ready_status(self, daemon):
        """Return the status of a daemon's readiness check, 0 on an error."""
        url = f'http://{self.ip(daemon)}:{PORTS["readyAddr"]}/-/ready'
        try:
            return requests.get(url, timeout=HTTP_TIMEOUT_S).status_code
        except requests.RequestException:
            return 0

    def kill(self, name, signal_number=signal.SIGKILL):
        """End a process of this platform by a signal."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        process.wait(WAIT_TIMEOUT_S)

    def close(self):
        """Kill all processes and stop the upstreams."""
        self.stopping.set()
        for name in tuple(self.processes):
            self.kill(name)
        if self.loop is None:
            return
        for upstream in self.upstreams.values():
            asyncio.run_coroutine_threadsafe(
                upstream.server.close(), self.loop
            ).result(WAIT_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)

    def log_text(self, name):
        """Return the log of a process."""
        return (self.folder / f'{name}.log').read_text()

    def _start(self, name, program, ip, extra_settings, listeners):
        settings = {
            'nodeName': name,
            'ip': ip,
            'zone': DEFAULT_ZONE,
            'peerPortRange': PEER_PORTS,
            'seeds': self.seeds(),
            'heartbeatIntervalMs': 1500,
            'unknown_field': 1,
            'bounds': [*BOUNDS, *self.extra_bounds],
            **extra_settings,
        }
        lines = [f'{key} = {json.dumps(one)}' for key, one in settings.items()]
        lines.append('[listenAddrs]')
        lines.extend(f'{key} = "{ip}:{PORTS[key]}"' for key in listeners)
        lines.append('[faultTolerance]')
        lines.append('machines = 1')
        lines.append('[limits]')
        lines.extend(f'{key} = {one}' for key, one in self.limits.items())
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines))
        log = (self.folder / f'{name}.log').open('a')
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(ROOT / 'platform' / program)],
            env={
                **os.environ,
                'BURDOCKLEAD_CONFIG': str(path),
                'BURDOCKLEAD_METRICS_PORT': str(METRICS_PORT),
                'PYTHONPATH': str(ROOT),
            },
            cwd=self.folder,
            stdout=log,
            stderr=log,
        )

    def _send_heartbeats(self):
        while not self.stopping.wait(HEARTBEAT_INTERVAL_S):
            for upstream in self.upstreams.values():
                upstream.send_heartbeat_if_ready()
