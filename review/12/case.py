"""A request that offers an upgrade runs without its body."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_3'))

from deployment import (  # noqa: E402
    CEDARLINE_SHEETS,
    HOST,
    Target,
    read_answer,
    route,
    run_case,
    wait_served,
)

REQUESTS = 10
# What Java's HttpClient adds to each plain-text request by default.
OFFER = (
    'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    'HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n'
)


class Orders(Target):
    """Issues work orders; notes the body of each."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.bodies = {}

    async def work(self, head, headers, reader, writer):
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        self.begin(headers)
        self.bodies[headers['x-attempt-id']] = body
        await asyncio.sleep(0.02)
        self.answer(writer, headers, 200, b'issued')


async def issue(deployment, reader, writer, name, offer):
    """Send a work order on a connection and return how it ended."""
    body = f'{{"order": "{name}", "crew": 7, "cornice": "south"}}'.encode()
    deployment.record.write(f'client sends {name} with {len(body)} bytes')
    writer.write(
        f'POST /orders/{name} HTTP/1.1\r\nHost: {HOST}\r\n{offer}'
        f'X-Attempt-Id: {name}\r\nX-Timeout-Remaining: 1200\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
    )
    try:
        async with asyncio.timeout(2):
            status, headers, _ = await read_answer(reader)
    except (OSError, EOFError, TimeoutError) as error:
        return body, f'{error!r}'
    signed = 'the target' if 'x-response-signature' in headers else 'the daemon'
    return body, f'{status} of {signed}'


async def play(deployment, trouble):
    record = deployment.record
    for number in (1, 2, 3):
        deployment.start_control(number)
    deployment.start_daemon(20, 'jobsheets')
    deployment.start_daemon(21, 'orders')
    desk = Target(deployment, 20, 'jobsheets')
    orders = Orders(deployment, 21, 'orders')
    await desk.start()
    await orders.start()
    await deployment.configure(
        ('jobsheets', 'orders'),
        {'r-orders': route('/orders/', 'unsafe', 'orders', 1200)},
    )
    await deployment.wait_ready(20)
    await wait_served(deployment, 20, 'POST', '/orders/warm')
    broken = 0
    for count in range(REQUESTS):
        reader, writer = await asyncio.open_connection(
            deployment.ip(20), deployment.ports['outbound']
        )
        name = f'o{count}'
        offer = OFFER if trouble else ''
        body, end = await issue(deployment, reader, writer, name, offer)
        ran = orders.bodies.get(name)
        changed = ran is not None and ran != body
        broken += changed
        record.write(
            f'{name}: client gets {end}; the target ran it with '
            f'{"no request" if ran is None else len(ran)} of {len(body)} bytes'
            f'{": CHANGED" if changed else ""}'
        )
        _, end = await issue(deployment, reader, writer, f'{name}-next', '')
        record.write(f'{name}-next, without an offer, on the same: {end}')
        writer.close()
    record.write(f'{broken} requests ran with another body')
    return broken


run_case(play, FOLDER, CEDARLINE_SHEETS)
