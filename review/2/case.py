"""A daemon gets SIGTERM while a client keeps a pipelined connection busy.

LOST: a request that the daemon has read and passed on to a target ends
without an answer, although the stop was planned.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins'))
import platform_stand_in as stand_in  # noqa: E402

HOST = 'sheets.example'
WORK_MS = 700
GAP_S = 0.4
TIMEOUT_MS = 2000
GRACE_S = 6
CONTACT_S = 3


class Client:
    """Sends a safe request every GAP_S on one connection, as pipelining."""

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record
        self.sent = {}
        self.answers = {}
        self.waiting = []
        self.closed_at = None

    async def run(self, limit):
        reader, writer = await asyncio.open_connection(
            self.platform.ips['d1'], self.platform.ports['outbound']
        )
        reading = asyncio.create_task(self.read(reader))
        number = 0
        while time.monotonic() < limit and not reading.done():
            number += 1
            call = f'c{number}'
            writer.write(
                stand_in.request_bytes(
                    'GET', HOST, f'/view/{call}/{WORK_MS}', call, TIMEOUT_MS
                )
            )
            self.sent[call] = time.monotonic()
            self.waiting.append(call)
            self.record.write(f'client sends {call}')
            await asyncio.sleep(GAP_S)
        try:
            await asyncio.wait_for(reading, 3)
        except TimeoutError:
            self.record.write('client stops waiting')
        writer.close()

    async def read(self, reader):
        closes = False
        while not closes:
            try:
                status, headers, _ = await stand_in.read_answer(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.record.write(f'connection ends: {type(error).__name__}')
                break
            call = self.waiting.pop(0)
            closes = headers.get('connection', '').lower() == 'close'
            self.answers[call] = status
            self.record.write(f'client gets {status} for {call} close={closes}')
        self.closed_at = time.monotonic()


async def main(platform, record, trouble):
    platform.start_core(['c1', 'c2', 'c3'])
    platform.start_daemon('d1', 'orders', zone='nanaimo')
    platform.start_daemon('d2', 'sheets')
    platform.start_daemon('d3', 'sheets')
    targets = [
        stand_in.Target(platform, name, f'i-{name}')
        for name in ('d1', 'd2', 'd3')
    ]
    for target in targets:
        await target.start()
    body = stand_in.configuration(
        3,
        [
            stand_in.route(
                'r-view', HOST, '/view/', 'sheets', timeoutMs=TIMEOUT_MS
            )
        ],
        ['orders', 'sheets'],
    )
    await asyncio.to_thread(platform.apply, 'c1', body, 0)
    await asyncio.to_thread(platform.wait_ready, ['d1', 'd2', 'd3'])
    await asyncio.sleep(CONTACT_S + 3)
    client = Client(platform, record)
    started = time.monotonic()
    running = asyncio.create_task(client.run(started + 2 + GRACE_S + 1))
    await asyncio.sleep(2)
    stopped = time.monotonic()
    if trouble:
        platform.send_signal('d1', 15)
    await running
    for target in targets:
        await target.close()
    runs = {call: at for target in targets for at, call in target.runs}
    lost = [
        call
        for call in client.sent
        if call not in client.answers and call in runs
    ]
    record.say(
        f'{len(client.sent)} sent, {len(client.answers)} answered, '
        f'{sum(one == 200 for one in client.answers.values())} with 200'
    )
    counted = []
    for call in lost:
        sent_s = client.sent[call] - stopped
        run_s = runs[call] - stopped
        end_s = (client.closed_at or time.monotonic()) - stopped
        left_ms = TIMEOUT_MS - (end_s - sent_s) * 1000
        record.say(
            f'{call}: sent {sent_s:.2f} s after SIGTERM, began to run at '
            f'{run_s:.2f} s, connection closed at {end_s:.2f} s without an '
            f'answer, {left_ms:.0f} ms before its timeout'
        )
        # Excused: sent by 3 s and still at work in the last sixth of graceS.
        excused = sent_s <= 3 and end_s >= GRACE_S * 5 / 6
        if left_ms > 0 and not excused and end_s < GRACE_S + 1:
            counted.append(call)
    record.say(f'lost: {counted}')
    return bool(counted)


stand_in.run_case(FOLDER, main)
