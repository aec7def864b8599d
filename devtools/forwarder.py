"""A TCP forwarder between two processes that can discard or delay bytes.

``PUT /-/mode`` sets the mode of the connections that are open now: ``pass``,
``swallow`` (discard bytes in both directions), ``swallow-back`` (discard bytes
from the target), ``delay`` or ``reset``. It doesn't affect later connections;
``PUT /-/new`` sets their mode, for which ``reset`` has no effect.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import signal
from collections.abc import Sequence
from dataclasses import dataclass, field

from aiohttp import web

from burdocklead.options import FilePath, SocketAddress
from burdocklead.process.admin_http import start_site
from burdocklead.process.json_responses import json_response
from burdocklead.process.lifecycle import write_ready_file
from burdocklead.values import Address

READ_BYTES = 65536
DELAY_S = 0.15  # Per chunk; above the latency between zones, below time-outs.
ANY_PORT = Address('127.0.0.1', 0)


class Mode(enum.StrEnum):
    """How a forwarder treats the bytes of a connection."""

    passing = 'pass'
    swallow = 'swallow'
    swallow_back = 'swallow-back'
    delay = 'delay'
    reset = 'reset'


@dataclass(slots=True, eq=False)
class ForwardedConnection:
    """One forwarded connection.

    Attributes:
        mode: How its bytes are treated.
        reset_requested: Set to reset the connection.
    """

    mode: Mode = Mode.passing
    reset_requested: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Forwarder:
    """Forwards connections to one address.

    Attributes:
        target: Address to forward to, None until set; connections accepted
            without a target are closed.
        connections: Open connections.
        accepted: Number of connections accepted so far.
        new_mode: Mode of connections opened from now on.
    """

    target: Address | None = None
    connections: set[ForwardedConnection] = field(default_factory=set)
    accepted: int = 0
    new_mode: Mode = Mode.passing

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes."""
        self.accepted += 1
        connection = ForwardedConnection(self.new_mode)
        with contextlib.closing(writer):
            if self.target is None:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self.connections.add(connection)
            with contextlib.closing(target_writer):
                await self._copy_both(
                    connection, (reader, target_writer), (target_reader, writer)
                )
            self.connections.discard(connection)

    def change(self, mode: Mode) -> None:
        """Set the mode of all open connections."""
        for connection in self.connections:
            connection.mode = mode
            if mode is Mode.reset:
                connection.reset_requested.set()

    async def _copy_both(
        self,
        connection: ForwardedConnection,
        client_to_target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target_to_client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        copies = (
            asyncio.create_task(
                copy_bytes(
                    *client_to_target, connection, frozenset((Mode.swallow,))
                )
            ),
            asyncio.create_task(
                copy_bytes(
                    *target_to_client,
                    connection,
                    frozenset((Mode.swallow, Mode.swallow_back)),
                )
            ),
        )
        reset_requested = asyncio.create_task(connection.reset_requested.wait())
        await asyncio.wait(
            (*copies, reset_requested), return_when=asyncio.FIRST_COMPLETED
        )
        if connection.reset_requested.is_set():
            for _, writer in (client_to_target, target_to_client):
                writer.transport.abort()
        for task in (*copies, reset_requested):
            task.cancel()


async def copy_bytes(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    connection: ForwardedConnection,
    discarding_modes: frozenset[Mode],
) -> None:
    """Copy bytes in one direction, or discard them in some modes."""
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(READ_BYTES):
            if connection.mode is Mode.delay:
                await asyncio.sleep(DELAY_S)
            if connection.mode not in discarding_modes:
                writer.write(chunk)
                await writer.drain()


def admin_application(forwarder: Forwarder) -> web.Application:
    """Return the admin endpoints of a forwarder."""

    async def set_target(request: web.Request) -> web.Response:
        forwarder.target = SocketAddress().parse(await request.text())
        return json_response({})

    async def set_mode(request: web.Request) -> web.Response:
        forwarder.change(Mode(await request.text()))
        return json_response({'changed': len(forwarder.connections)})

    async def set_new_mode(request: web.Request) -> web.Response:
        forwarder.new_mode = Mode(await request.text())
        return json_response({})

    async def show(request: web.Request) -> web.Response:
        return json_response({'accepted': forwarder.accepted})

    application = web.Application()
    application.add_routes(
        [
            web.put('/-/target', set_target),
            web.put('/-/mode', set_mode),
            web.put('/-/new', set_new_mode),
            web.get('/-/connections', show),
        ]
    )
    return application


async def run_forwarder(flags: argparse.Namespace) -> None:
    """Forward until SIGTERM."""
    forwarder = Forwarder()
    server = await asyncio.start_server(
        forwarder.forward, ANY_PORT.host, ANY_PORT.port
    )
    port = server.sockets[0].getsockname()[1]
    runner, admin = await start_site(admin_application(forwarder), ANY_PORT)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    link = Address(ANY_PORT.host, port)
    write_ready_file(flags.ready_file, {'link': str(link), 'admin': str(admin)})
    await stop.wait()
    server.close()
    await runner.cleanup()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--ready-file', type=FilePath().parse)
    asyncio.run(run_forwarder(parser.parse_args(arguments)))


if __name__ == '__main__':
    main()
