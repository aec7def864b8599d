"""Starts and controls the forwarder processes of a local deployment."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import requests

from devtools.processes import ManagedProcess, use_repository_sources

HTTP_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class ForwarderProcess:
    """A forwarder process in front of one address, such as a daemon's links."""

    process: ManagedProcess

    def daemon_flags(self) -> tuple[str, ...]:
        """Return the daemon flags that route its links via the forwarder."""
        return ('--link-advertise', self.process.addresses['link'])

    def forward_to(self, daemon: ManagedProcess) -> None:
        """Forward to the link address of a daemon."""
        self.set_target(daemon.addresses['link'])

    def set_target(self, address: str) -> None:
        """Forward to an address."""
        self._put('target', address)

    def set_mode(self, mode: str) -> None:
        """Set the mode of the connections that are open now."""
        self._put('mode', mode)

    def set_new_mode(self, mode: str) -> None:
        """Set the mode of connections opened from now on."""
        self._put('new', mode)

    def accepted_connections(self) -> int:
        """Return the number of connections accepted so far."""
        response = requests.get(
            self._url('connections'), timeout=HTTP_TIMEOUT_S
        )
        return int(response.json()['accepted'])

    def _put(self, endpoint: str, text: str) -> None:
        requests.put(
            self._url(endpoint), data=text, timeout=HTTP_TIMEOUT_S
        ).raise_for_status()

    def _url(self, endpoint: str) -> str:
        return f'http://{self.process.addresses["admin"]}/-/{endpoint}'


def start_forwarder(folder: Path, name: str) -> ForwarderProcess:
    """Start a forwarder and wait until it is ready."""
    use_repository_sources()
    process = ManagedProcess(f'forwarder-{name}', 'forwarder', (), folder)
    process.start()
    process.wait_ready()
    return ForwarderProcess(process)
