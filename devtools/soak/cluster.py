"""The processes of a soak and the faults that can be injected into them."""

from __future__ import annotations

import resource
import signal
import threading
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from devtools.forwarder_process import ForwarderProcess, start_forwarder
from devtools.local_deployment import (
    LocalDeployment,
    control_process,
    daemon_process,
    upstream_process,
    wait_until,
)
from devtools.processes import ManagedProcess

CONTROLS = 3
SERVICES = ('job-sheets', 'archive')
SLOTS = 8
SERVICE_MS = 25  # So that calls are in progress whenever a daemon is killed.
NO_LIMIT = resource.RLIM_INFINITY


@dataclass(slots=True)
class SoakCluster:
    """A deployment whose links and control connections go through forwarders.

    Attributes:
        folder: Folder for logs, data and the executions of upstreams.
        daemons_per_service: Daemons of each service.
        sources: Checkout to run, None for this one.
        deployment: Daemons, control replicas, upstreams and link forwarders.
        control_forwarders: Forwarders in front of control replicas, by name.
        stopping: Daemons that got SIGTERM and weren't restarted yet.
        restarting: Held while processes are started. A fault that is cancelled
            leaves its thread, which may still be starting one.
    """

    folder: Path
    daemons_per_service: int = 3
    sources: Path | None = None
    control_forwarders: dict[str, ForwarderProcess] = field(
        default_factory=dict
    )
    stopping: set[str] = field(default_factory=set)
    restarting: threading.RLock = field(default_factory=threading.RLock)
    deployment: LocalDeployment = field(init=False)

    def __post_init__(self) -> None:
        """Create the deployment without starting a process."""
        self.deployment = LocalDeployment(self.folder, sources=self.sources)

    def start(self) -> None:
        """Start all processes and wait until they serve."""
        self._start_controls()
        for service in SERVICES:
            for index in range(self.daemons_per_service):
                self._start_daemon_with_upstream(f'{service}-{index}', index)

    def processes(self) -> list[ManagedProcess]:
        """Return every process that this cluster started."""
        forwarder_processes = [
            one.process for one in self.control_forwarders.values()
        ]
        return [*self.deployment.processes(), *forwarder_processes]

    def restart(self, process: ManagedProcess) -> None:
        """Start a process that ended, and point its forwarder to it."""
        with self.restarting:
            if process.is_running():
                return
            process.start()
            process.wait_ready()
            name = process.name
            control_forwarder = self.control_forwarders.get(name)
            if control_forwarder is not None:
                control_forwarder.set_target(process.addresses['control'])
            link_forwarder = self.deployment.forwarders.get(name)
            if link_forwarder is not None:
                link_forwarder.forward_to(process)
                self._replace_upstream(name)

    def restart_upstream(self, name: str) -> None:
        """Start the upstream of a daemon if it ended."""
        with self.restarting:
            if not self.deployment.upstreams[name].is_running():
                self._replace_upstream(name)

    def limit_file_size(self, name: str, max_bytes: int) -> None:
        """Fail the writes of a replica beyond a file size."""
        popen = self.deployment.controls[name].popen
        if popen is not None and popen.poll() is None:
            limits = (max_bytes, NO_LIMIT)
            resource.prlimit(popen.pid, resource.RLIMIT_FSIZE, limits)

    def forwarders(self) -> dict[str, ForwarderProcess]:
        """Return all forwarders by the name of the process behind them."""
        return {**self.deployment.forwarders, **self.control_forwarders}

    def heal(self) -> None:
        """End every fault: resume paused processes and restart ended ones."""
        for process in self.processes():
            process.send_signal(signal.SIGCONT)
        for forwarder in self.forwarders().values():
            forwarder.set_new_mode('pass')
            forwarder.set_mode('reset')
        for name in self.deployment.controls:
            self.limit_file_size(name, NO_LIMIT)
        for name in self.stopping:
            self.deployment.daemons[name].wait_stopped()
        self.stopping.clear()
        with self.restarting:
            for process in (
                *self.deployment.controls.values(),
                *self.deployment.daemons.values(),
            ):
                self.restart(process)
            for name in self.deployment.upstreams:
                self._replace_upstream(name)

    def executions(self) -> list[str]:
        """Return the mark of each execution that an upstream started."""
        lines: list[str] = []
        for path in sorted(self.folder.glob('*.ran')):
            lines.extend(path.read_text().splitlines())
        return lines

    def kill(self) -> None:
        """End every process that this cluster started."""
        self.deployment.kill()
        for forwarder in self.control_forwarders.values():
            forwarder.process.kill()

    def _start_controls(self) -> None:
        names = [f'control-{index}' for index in range(CONTROLS)]
        for name in names:
            self.control_forwarders[name] = start_forwarder(self.folder, name)
        self.deployment.replica_list = ','.join(
            f'{name}={self._forwarder_address(name)}' for name in names
        )
        for index, name in enumerate(names):
            process = control_process(self.deployment, name, index, 0)
            port = self.deployment.reserve()
            process.arguments += ('--advertise', self._forwarder_address(name))
            process.arguments += ('--listen', f'127.0.0.1:{port}')
            self.deployment.controls[name] = process
            process.start()
        for name in names:
            process = self.deployment.controls[name]
            process.wait_ready()
            self.control_forwarders[name].set_target(
                process.addresses['control']
            )

    def _forwarder_address(self, name: str) -> str:
        return self.control_forwarders[name].process.addresses['link']

    def _start_daemon_with_upstream(self, name: str, index: int) -> None:
        forwarder = start_forwarder(self.folder, name)
        self.deployment.forwarders[name] = forwarder
        daemon = daemon_process(self.deployment, name, index)
        # Fixed port, so that the forwarder reaches a restarted daemon at once.
        link = f'127.0.0.1:{self.deployment.reserve()}'
        daemon.arguments += ('--link-listen', link)
        self.deployment.daemons[name] = daemon
        daemon.start()
        daemon.wait_ready()
        forwarder.forward_to(daemon)
        self._replace_upstream(name)

    def _replace_upstream(self, name: str) -> None:
        """Start the upstream of a daemon, with its current admin address."""
        previous = self.deployment.upstreams.get(name)
        if previous is not None:
            previous.kill()
        upstream = upstream_process(self.deployment, name, SLOTS)
        ran_file = self.folder / f'{name}.ran'
        upstream.arguments += ('--ran-file', str(ran_file))
        self.deployment.upstreams[name] = upstream
        upstream.start()
        upstream.wait_ready()
        self.set_behaviour(name)

    def set_behaviour(self, name: str, **behaviour: object) -> None:
        """Set the behaviour of an upstream, as changes to the default one."""
        defaults = {'service_ms': SERVICE_MS}
        self.deployment.set_behaviour(name, **{**defaults, **behaviour})

    def wait_in_force(self, version: int, limit_s: float) -> None:
        """Wait until every daemon serves a version and sees all upstreams.

        Raises:
            TimeoutError: Names the first daemon that doesn't.
        """
        for name, process in self.deployment.daemons.items():
            wait_until(
                partial(self.deployment.is_in_force, process, version),
                f'{name} serves version {version}',
                limit_s,
            )
