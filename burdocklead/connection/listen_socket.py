"""Listening sockets that can be closed without resetting connections."""

from __future__ import annotations

import socket

from burdocklead.values import Address


def open_listen_socket(
    address: Address, backlog: int | None = None
) -> socket.socket:
    """Return a socket that listens on an address and never blocks.

    Args:
        address: Listen address; port 0 selects a free port.
        backlog: Length of the accept queue, None for the default.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listen_socket = socket.create_server(
        (address.host, address.port), family=family, backlog=backlog
    )
    listen_socket.setblocking(False)
    return listen_socket


def accept_last(listen_socket: socket.socket) -> list[socket.socket]:
    """Accept all pending connections and refuse new ones from now on.

    An event loop closes its sockets later, and the kernel resets connections
    that were established in between. The owner still has to close the socket.
    """
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listen_socket.accept()
        except BlockingIOError:
            listen_socket.shutdown(socket.SHUT_RDWR)
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
