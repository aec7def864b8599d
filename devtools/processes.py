"""Starts and stops the processes of a local deployment."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 8
POLL_INTERVAL_S = 0.01
PROGRAM_MODULES = {
    'daemon': 'burdocklead.programs.daemon',
    'control': 'burdocklead.programs.control',
    'upstream': 'devtools.upstream',
    'forwarder': 'devtools.forwarder',
    'bare-proxy': 'devtools.bench.bare_proxy',
    'profiled-daemon': 'devtools.bench.profiled_daemon',
}


def reserve_port() -> socket.socket:
    """Return a bound socket that reserves its port for a process to start.

    While the socket is open, the kernel doesn't assign the port to any other
    socket; a listener with ``SO_REUSEADDR`` can still bind it.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(('127.0.0.1', 0))
    return reserved


def port_of_socket(reserved: socket.socket) -> int:
    """Return the port of a bound socket."""
    return int(reserved.getsockname()[1])


@dataclass(slots=True)
class ManagedProcess:
    """A child process and its files.

    Attributes:
        name: Name for logs.
        program: Key of ``PROGRAM_MODULES``.
        arguments: Arguments without ``--ready-file``.
        folder: Folder for the log and the ready file.
        sources: Checkout to import from, None for this one.
        popen: The process, None if not started.
        addresses: Addresses from the ready file.
    """

    name: str
    program: str
    arguments: tuple[str, ...]
    folder: Path
    sources: Path | None = None
    popen: subprocess.Popen[bytes] | None = None
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def ready_file(self) -> Path:
        """Return the file that the process writes once it is ready."""
        return self.folder / f'{self.name}.ready'

    @property
    def log_file(self) -> Path:
        """Return the file that receives its standard output and error."""
        return self.folder / f'{self.name}.log'

    def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self.ready_file.unlink(missing_ok=True)
        module = PROGRAM_MODULES[self.program]
        launcher = f'import sys; from {module} import main; sys.exit(main())'
        with self.log_file.open('ab') as output:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    '-P',  # Keeps the working folder out of the import path.
                    '-c',
                    launcher,
                    *self.arguments,
                    '--ready-file',
                    str(self.ready_file),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, **self.environment()},
            )

    def environment(self) -> dict[str, str]:
        """Return the environment variables to override."""
        return {'PYTHONPATH': str(self.sources)} if self.sources else {}

    def wait_ready(self) -> None:
        """Wait until the process is ready and read its addresses.

        Raises:
            RuntimeError: If it ends or isn't ready in time; the message
                includes its output.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.ready_file.exists():
            if time.monotonic() > deadline or not self.is_running():
                raise RuntimeError(self._describe_failure())
            time.sleep(POLL_INTERVAL_S)
        self.addresses = msgspec.json.decode(
            self.ready_file.read_bytes(), type=dict[str, str]
        )

    def _describe_failure(self) -> str:
        """Return why the process is not ready, with its output."""
        code = self.popen.returncode if self.popen else None
        state = 'not ready in time' if code is None else f'exit code {code}'
        return f'{self.name}: {state}: {self.log_text()}'

    def is_running(self) -> bool:
        """Return True if the process has started and not exited."""
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def ask_to_stop(self) -> None:
        """Send SIGTERM, after SIGCONT in case the process is suspended.

        Daemons and replicas exit at once on a second SIGTERM.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.ask_to_stop()
        return self.wait_stopped()

    def wait_stopped(self) -> int:
        """Wait for the exit, kill at the timeout and return the exit code."""
        if self.popen is None:
            return 0
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def log_text(self) -> str:
        """Return the output so far."""
        return self.log_file.read_text() if self.log_file.exists() else ''


def stop_all(processes: Sequence[ManagedProcess]) -> None:
    """Send all processes SIGTERM, then wait for each to exit."""
    for process in processes:
        process.ask_to_stop()
    for process in processes:
        process.wait_stopped()


def kill_all(processes: Sequence[ManagedProcess]) -> None:
    """Kill processes."""
    for process in processes:
        process.kill()


def source_root() -> Path:
    """Return the root folder of the repository."""
    return Path(__file__).resolve().parent.parent


def use_repository_sources() -> None:
    """Make child processes import from this checkout."""
    os.environ['PYTHONPATH'] = str(source_root())
