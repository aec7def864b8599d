"""Steps for connections pending when a listening socket is closed."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

import uvloop
from aiohttp import web
from behave import given, then, when

from burdocklead.process.caller_server import CallerServer, start_caller_server
from burdocklead.values import Address

REQUEST = b'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
READ_LIMIT_S = 3


@given('a caller listener on a blocked event loop')
def prepare_answers(context):
    """The connecting step blocks the event loop while it connects."""
    context.answers = []


def _shows_headers():
    return False


async def _answer(request):
    return web.Response(text='whole')


async def _read(connection):
    received = b''
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            while chunk := await loop.sock_recv(connection, 65536):
                received += chunk
    except OSError as error:
        return str(error)
    finally:
        connection.close()
    return received.decode()


async def _connect_and_close(count):
    server = CallerServer(_answer, 1000, _shows_headers)
    listener = await start_caller_server(
        server, Address('127.0.0.1', 0), None, 1
    )
    connections = []
    for _ in range(count):
        address = (listener.address.host, listener.address.port)
        connection = socket.create_connection(address)
        connection.sendall(REQUEST)
        connection.setblocking(False)
        connections.append(connection)
    await listener.close_listen_socket()
    answers = [await _read(connection) for connection in connections]
    await listener.runner.cleanup()
    return answers


@when(
    '{count:d} callers connect and send a call, and the socket is closed '
    'immediately'
)
def connect_and_close(context, count):
    """Connect within one iteration of the event loop."""
    context.answers = uvloop.run(_connect_and_close(count))


@then('all {count:d} callers are answered')
def check_answers(context, count):
    assert len(context.answers) == count
    for answer in context.answers:
        assert answer.endswith('whole'), context.answers


async def _close_and_connect():
    server = CallerServer(_answer, 1000, _shows_headers)
    listener = await start_caller_server(
        server, Address('127.0.0.1', 0), None, 1
    )
    refusals = []
    stop = web.SockSite.stop

    async def connect_first(site):
        _connect(listener.address, refusals)
        await stop(site)

    with mock.patch.object(web.SockSite, 'stop', connect_first):
        await listener.close_listen_socket()
    await listener.runner.cleanup()
    return refusals


def _connect(address, refusals):
    try:
        socket.create_connection((address.host, address.port)).close()
    except ConnectionRefusedError as error:
        refusals.append(error)


@when('the socket is closed and a caller connects before the server stops')
def close_and_connect(context):
    """Connect once the pending connections are accepted."""
    context.refusals = uvloop.run(_close_and_connect())


@then('the caller is refused')
def check_refused(context):
    assert context.refusals
