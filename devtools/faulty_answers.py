"""Bytes that a faulty upstream sends besides or in place of its answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from weakref import WeakKeyDictionary

from aiohttp import web

REPEAT_DELAY_S = 0.02
ENDLESS_LINE = b'X-Endless: %s\r\n' % (b'x' * 100)
ENDLESS_LINES = ENDLESS_LINE * 500
FLOOD_INTERVAL_S = 0.001
MAX_BUFFERED_BYTES = 262144
TRICKLE_INTERVAL_S = 0.05

last_answers: WeakKeyDictionary[asyncio.Transport, bytes] = WeakKeyDictionary()


def record_answer(
    transport: asyncio.Transport, response: web.Response, *, repeated: bool
) -> None:
    """Remember an answer that is about to be written to a connection.

    Args:
        transport: The connection.
        response: The answer.
        repeated: True to write the previous answer of the connection once
            more before this one, and this one again later.
    """
    content = encode_response(response)
    previous = last_answers.get(transport)
    last_answers[transport] = content
    if not repeated:
        return
    if previous is not None:
        transport.write(previous)
    asyncio.get_running_loop().call_later(
        REPEAT_DELAY_S, _write_if_open, transport, content
    )


def encode_response(response: web.Response) -> bytes:
    """Return a response as it is sent."""
    body = response.body if isinstance(response.body, bytes) else b''
    lines = [f'HTTP/1.1 {response.status} Repeated']
    lines.extend(f'{name}: {text}' for name, text in response.headers.items())
    if 'Content-Length' not in response.headers:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines)
    return b'%s\r\n\r\n%s' % (head.encode(), body)


async def send_endless_headers(
    transport: asyncio.Transport, report: Callable[[int], None]
) -> None:
    """Send headers until the client closes, then report the bytes it took."""
    transport.write(b'HTTP/1.1 200 OK\r\n')
    sent_bytes = 0
    try:
        while not transport.is_closing():
            if transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
                transport.write(ENDLESS_LINES)
                sent_bytes += len(ENDLESS_LINES)
            await asyncio.sleep(FLOOD_INTERVAL_S)
    finally:
        report(sent_bytes)


async def trickle_headers(transport: asyncio.Transport) -> None:
    """Send a byte of a head at a time until the client closes."""
    transport.write(b'HTTP/1.1 200 OK\r\nX-Slow: ')
    while not transport.is_closing():
        transport.write(b'x')
        await asyncio.sleep(TRICKLE_INTERVAL_S)


def _write_if_open(transport: asyncio.Transport, content: bytes) -> None:
    if not transport.is_closing():
        transport.write(content)
