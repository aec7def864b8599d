"""A small deployment on loopback: replicas, daemons and fake upstreams."""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import requests

from devtools.forwarder_process import ForwarderProcess
from devtools.processes import (
    ManagedProcess,
    kill_all,
    port_of_socket,
    reserve_port,
    stop_all,
    use_repository_sources,
)

ZONES = ('vancouver', 'victoria', 'nanaimo')
WAIT_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.02
HTTP_TIMEOUT_S = 10


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Poll until a condition holds.

    Raises:
        TimeoutError: If it doesn't hold in time; reports ``description``.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(description)
        time.sleep(POLL_INTERVAL_S)


@dataclass(slots=True)
class LocalDeployment:
    """Processes of one deployment.

    Attributes:
        folder: Folder for logs, ready files and control data.
        daemon_flags: Additional flags of each daemon.
        control_flags: Additional flags of each replica.
        daemon_program: Program of each daemon.
        sources: Checkout that the daemons and replicas run from, None for
            this one.
        operator_flags: Additional flags of the operators' program.
        controls: Control replicas by name.
        daemons: Daemons by name.
        upstreams: Fake upstreams by the name of their daemon.
        forwarders: TCP forwarders in front of daemons' links, by daemon name.
        replica_list: Value of the replicas' and daemons' flags that list all
            replicas.
        reserved: Sockets that reserve the fixed ports of processes.
    """

    folder: Path
    daemon_flags: tuple[str, ...] = ()
    control_flags: tuple[str, ...] = ()
    daemon_program: str = 'daemon'
    sources: Path | None = None
    operator_flags: tuple[str, ...] = ()
    controls: dict[str, ManagedProcess] = field(default_factory=dict)
    daemons: dict[str, ManagedProcess] = field(default_factory=dict)
    upstreams: dict[str, ManagedProcess] = field(default_factory=dict)
    forwarders: dict[str, ForwarderProcess] = field(default_factory=dict)
    replica_list: str = ''
    reserved: list[socket.socket] = field(default_factory=list)

    def start_controls(self, count: int = 3) -> None:
        """Start control replicas and wait until they are ready."""
        use_repository_sources()
        names = [f'control-{index}' for index in range(count)]
        ports = [self.reserve() for _ in range(count)]
        self.replica_list = ','.join(
            f'{name}=127.0.0.1:{port}'
            for name, port in zip(names, ports, strict=True)
        )
        for index, name in enumerate(names):
            self.controls[name] = control_process(
                self, name, index, ports[index]
            )
            self.controls[name].start()
        for process in self.controls.values():
            process.wait_ready()

    def start_joining_control(self, name: str) -> str:
        """Start a replica outside the replica set; return its address."""
        port = self.reserve()
        self.controls[name] = control_process(
            self, name, len(self.controls), port
        )
        self.controls[name].start()
        self.controls[name].wait_ready()
        return f'127.0.0.1:{port}'

    def start_daemons_with_upstreams(
        self, counts: Mapping[str, int], slots: int = 20
    ) -> None:
        """Start daemons with one upstream each and wait until all are ready.

        Args:
            counts: Number of upstreams by service.
            slots: Slots of each upstream.
        """
        names = []
        for service, count in counts.items():
            for index in range(count):
                name = f'{service}-{index}'
                names.append(name)
                self.daemons[name] = daemon_process(self, name, index)
                self.daemons[name].start()
        for name in names:
            self.daemons[name].wait_ready()
            self.upstreams[name] = upstream_process(self, name, slots)
            self.upstreams[name].start()
        for name in names:
            self.upstreams[name].wait_ready()

    def reserve(self) -> int:
        """Reserve a port for a process of this deployment and return it."""
        self.reserved.append(reserve_port())
        return port_of_socket(self.reserved[-1])

    def apply(self, path: Path) -> None:
        """Apply a configuration file with the operators' program."""
        completed = self.run_operator('apply', str(path))
        if completed.returncode:
            raise RuntimeError(completed.stderr)

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' program and return its exit code and output."""
        replicas = ','.join(
            f'{name}={process.addresses["admin"]}'
            for name, process in self.controls.items()
        )
        launcher = (
            'import sys; from burdocklead.programs.operator import main; '
            'sys.exit(main())'
        )
        return subprocess.run(
            [
                sys.executable,
                '-c',
                launcher,
                '--control-admin',
                replicas,
                *self.operator_flags,
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def wait_in_force(self, version: int) -> None:
        """Wait until every daemon serves a version and sees all upstreams."""
        for name, process in self.daemons.items():
            wait_until(
                partial(self.is_in_force, process, version),
                f'{name} serves version {version}',
            )

    def is_in_force(self, process: ManagedProcess, version: int) -> bool:
        """Return True if a daemon serves a version and sees all upstreams."""
        status = self.daemon_status(process)
        with_upstream = [
            member for member in status['members'] if member['service']
        ]
        return status['version'] >= version and len(with_upstream) >= len(
            self.upstreams
        )

    def daemon_status(self, process: ManagedProcess) -> dict[str, Any]:
        """Return the status of a daemon."""
        url = f'http://{process.addresses["admin"]}/v1/status'
        return msgspec.json.decode(
            requests.get(url, timeout=HTTP_TIMEOUT_S).content,
            type=dict[str, Any],
        )

    def url(self, daemon: str, target: str) -> str:
        """Return the URL of a call through a daemon."""
        return f'http://{self.daemons[daemon].addresses["http"]}{target}'

    def set_behaviour(self, name: str, **behaviour: object) -> None:
        """Set the behaviour of an upstream; fields left out get defaults."""
        address = self.upstreams[name].addresses['http']
        requests.put(
            f'http://{address}/-/behaviour',
            data=msgspec.json.encode(behaviour),
            timeout=HTTP_TIMEOUT_S,
        ).raise_for_status()

    def executions(self, field_name: str) -> dict[str, int]:
        """Return one execution counter, summed over the running upstreams."""
        totals: dict[str, int] = {}
        for process in self.upstreams.values():
            if not process.is_running():
                continue
            address = process.addresses['http']
            response = requests.get(
                f'http://{address}/-/executions', timeout=HTTP_TIMEOUT_S
            )
            for key, count in response.json()[field_name].items():
                totals[key] = totals.get(key, 0) + count
        return totals

    def processes(self) -> list[ManagedProcess]:
        """Return all processes, upstreams first."""
        return [
            *self.upstreams.values(),
            *self.daemons.values(),
            *self.controls.values(),
            *(one.process for one in self.forwarders.values()),
        ]

    def stop(self) -> None:
        """Stop all processes gracefully."""
        stop_all(self.processes())
        self._release()

    def kill(self) -> None:
        """Kill all processes."""
        kill_all(self.processes())
        self._release()

    def _release(self) -> None:
        for reserved in self.reserved:
            reserved.close()
        self.reserved.clear()


def control_process(
    deployment: LocalDeployment, name: str, index: int, port: int
) -> ManagedProcess:
    """Return a control replica of a deployment, not started."""
    arguments = (
        '--replica-id',
        name,
        '--zone',
        ZONES[index % len(ZONES)],
        '--listen',
        f'127.0.0.1:{port}',
        '--admin-listen',
        '127.0.0.1:0',
        '--data-folder',
        str(deployment.folder / name),
        '--replicas',
        deployment.replica_list,
        *deployment.control_flags,
    )
    return ManagedProcess(
        name, 'control', arguments, deployment.folder, deployment.sources
    )


def daemon_process(
    deployment: LocalDeployment, name: str, index: int
) -> ManagedProcess:
    """Return a daemon of a deployment, not started."""
    forwarder = deployment.forwarders.get(name)
    arguments = (
        '--daemon-id',
        name,
        '--zone',
        ZONES[index % len(ZONES)],
        '--listen',
        '127.0.0.1:0',
        '--link-listen',
        '127.0.0.1:0',
        '--admin-listen',
        '127.0.0.1:0',
        '--control',
        deployment.replica_list,
        *(forwarder.daemon_flags() if forwarder else ()),
        *deployment.daemon_flags,
    )
    return ManagedProcess(
        name,
        deployment.daemon_program,
        arguments,
        deployment.folder,
        deployment.sources,
    )


def upstream_process(
    deployment: LocalDeployment, name: str, slots: int
) -> ManagedProcess:
    """Return the upstream of a running daemon, not started."""
    arguments = (
        '--service',
        name.rpartition('-')[0],
        '--slots',
        str(slots),
        '--daemon',
        deployment.daemons[name].addresses['admin'],
    )
    return ManagedProcess(
        f'upstream-{name}', 'upstream', arguments, deployment.folder
    )
