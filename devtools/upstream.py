"""A fake upstream that serves calls and simulates faults on request.

It announces itself to its daemon and counts every execution, so that tests
can compare the executions with the outcomes that callers got. ``PUT
/-/behaviour`` sets its behaviour, ``GET /-/executions`` returns its counts.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import random
import signal
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from burdocklead.options import FilePath, SocketAddress
from burdocklead.process.admin_http import start_site
from burdocklead.process.json_responses import json_response
from burdocklead.process.lifecycle import write_ready_file
from burdocklead.process.local_member import Announcement
from burdocklead.request.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    NOT_RUN_HEADER,
    TEAM_HEADER,
)
from burdocklead.values import Address
from devtools.faulty_answers import (
    record_answer,
    send_endless_headers,
    trickle_headers,
)

MS_PER_S = 1000
CRASH_HEADER = 'Crash-Upstream'
SCRIPTED_ANSWER_HEADER = 'Answer'
WORK_HEADER = 'Work-Ms'
MARK_HEADER = 'Mark'
CRASH_EXIT_CODE = 70
FLOOD_PREFIX = '#flood '


class Behaviour(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the fake upstream serves calls.

    Attributes:
        service_ms: Usual service time in ms.
        long_share: Share of calls that run longer.
        long_factor: Factor on the service time of those calls.
        cold_ms: Additional service time in ms of the first calls.
        cold_calls: Number of calls with that additional time.
        shed_share: Share of calls refused as not run.
        slowdown: Factor on every service time.
        stalled: True if calls hang until the behaviour changes.
        reported_slots: Slots announced; 0 announces the actual number.
        draining: True if the upstream announces that it is draining.
        answer_bytes: Size of the answer's body.
        repeat_share: Share of calls before whose answer the previous answer
            on the connection is written once more; the answer itself is
            written again later, too.
        endless_share: Share of calls answered by headers without end.
        trickle_share: Share of calls answered a byte at a time.
    """

    service_ms: float = 5
    long_share: float = 0
    long_factor: float = 50
    cold_ms: float = 0
    cold_calls: int = 0
    shed_share: float = 0
    slowdown: float = 1
    stalled: bool = False
    reported_slots: int = 0
    draining: bool = False
    answer_bytes: int = 100
    repeat_share: float = 0
    endless_share: float = 0
    trickle_share: float = 0


class ScriptedAnswer(msgspec.Struct, frozen=True):
    """An answer that the caller specifies in the ``Answer`` header.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: Text of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ''


class Executions(msgspec.Struct, frozen=True):
    """Counts of executions.

    Attributes:
        by_key: Started executions by idempotency key.
        by_attempt: Started executions by attempt id.
        by_mark: Started executions by the caller's ``Mark`` header.
        cancelled: Executions cancelled because the client disconnected.
        shed: Calls refused as not run.
        late: Executions whose service time exceeds their deadline.
        highest_busy: Highest number of concurrent calls.
    """

    by_key: dict[str, int]
    by_attempt: dict[str, int]
    by_mark: dict[str, int]
    cancelled: int
    shed: int
    late: int
    highest_busy: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that the fake upstream reports.

    Attributes:
        busy: Calls in progress.
        slots: Slots that it reports.
    """

    busy: int
    slots: int


class FakeUpstream:
    """Serves calls with a configurable service time.

    Above ``slots`` concurrent calls, the service time of a new call grows in
    proportion to their number.
    """

    def __init__(
        self, service: str, slots: int, seed: int, ran_file: Path | None = None
    ) -> None:
        """Start with the default behaviour.

        Args:
            service: Service that it provides.
            slots: Concurrent calls that it runs at full speed.
            seed: Seed of its random choices.
            ran_file: File to which the mark of each execution is appended as
                it starts, so that the record survives a crash.
        """
        self.ran_file = ran_file.open('ab', 0) if ran_file else None
        self.service = service
        self.slots = slots
        self.behaviour = Behaviour()
        self.rng = random.Random(seed)
        self.busy = 0
        self.highest_busy = 0
        self.cancelled = 0
        self.shed = 0
        self.late = 0
        self.served = 0
        self.by_key: Counter[str] = Counter()
        self.by_attempt: Counter[str] = Counter()
        self.by_mark: Counter[str] = Counter()

    def application(self) -> web.Application:
        """Return the application, which serves every path."""
        application = web.Application(client_max_size=0)
        application.add_routes(
            [
                web.put('/-/behaviour', self.set_behaviour),
                web.get('/-/executions', self.show_executions),
                web.get('/-/load', self.show_load),
                web.route('*', '/{path:.*}', self.serve),
            ]
        )
        return application

    async def set_behaviour(self, request: web.Request) -> web.Response:
        """Replace the behaviour."""
        self.behaviour = msgspec.json.decode(
            await request.read(), type=Behaviour
        )
        return json_response(self.behaviour)

    async def show_executions(self, request: web.Request) -> web.Response:
        """Return the counts of executions."""
        return json_response(
            Executions(
                dict(self.by_key),
                dict(self.by_attempt),
                dict(self.by_mark),
                self.cancelled,
                self.shed,
                self.late,
                self.highest_busy,
            )
        )

    async def show_load(self, request: web.Request) -> web.Response:
        """Return the load, with the slots that the behaviour reports."""
        slots = self.behaviour.reported_slots or self.slots
        return json_response(ReportedLoad(self.busy, slots))

    async def serve(self, request: web.Request) -> web.Response:
        """Serve one call."""
        if self.rng.random() < self.behaviour.shed_share:
            self.shed += 1
            refusal = web.Response(
                status=503, headers={NOT_RUN_HEADER: 'true', **_echo(request)}
            )
            self._repeat(request, refusal)
            return refusal
        body = await request.read()
        self._count_execution(request)
        if CRASH_HEADER in request.headers:
            os._exit(CRASH_EXIT_CODE)
        self.busy += 1
        self.highest_busy = max(self.highest_busy, self.busy)
        try:
            await self._run_work(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.busy -= 1
        await self._send_garbage(request)
        response = self._make_response(request, body)
        self._repeat(request, response)
        return response

    def announcement(self, address: Address) -> Announcement:
        """Return the announcement for the daemon."""
        return Announcement(
            service=self.service,
            address=str(address),
            slots=self.behaviour.reported_slots or self.slots,
            draining=self.behaviour.draining,
        )

    def _count_execution(self, request: web.Request) -> None:
        self.served += 1
        self.by_attempt[request.headers.get(ATTEMPT_HEADER, '')] += 1
        for counter, name in (
            (self.by_key, KEY_HEADER),
            (self.by_mark, MARK_HEADER),
        ):
            text = request.headers.get(name, '')
            if text:
                counter[text] += 1
        if self.ran_file is not None:
            mark = request.headers.get(MARK_HEADER, '')
            self.ran_file.write(f'{mark}\n'.encode())

    async def _run_work(self, request: web.Request) -> None:
        behaviour = self.behaviour
        work_ms = _number_from_header(
            request, WORK_HEADER, behaviour.service_ms
        )
        if self.rng.random() < behaviour.long_share:
            work_ms *= behaviour.long_factor
        if self.served <= behaviour.cold_calls:
            work_ms += behaviour.cold_ms
        overload_factor = max(self.busy / self.slots, 1)
        work_ms *= behaviour.slowdown * overload_factor
        deadline_ms = _number_from_header(request, DEADLINE_HEADER, math.inf)
        self.late += work_ms > deadline_ms
        await asyncio.sleep(work_ms / MS_PER_S)
        while self.behaviour.stalled:
            await asyncio.sleep(0.01)

    async def _send_garbage(self, request: web.Request) -> None:
        """Send bytes that are no answer until the client closes."""
        drawn = self.rng.random()
        transport = request.transport
        if transport is None:
            return
        if drawn < self.behaviour.endless_share:
            await send_endless_headers(transport, self.write_flood_line)
        elif drawn < self.behaviour.trickle_share:
            await trickle_headers(transport)

    def write_flood_line(self, sent_bytes: int) -> None:
        """Append to the record how much of an endless answer was taken."""
        if self.ran_file is not None:
            self.ran_file.write(f'{FLOOD_PREFIX}{sent_bytes}\n'.encode())

    def _repeat(self, request: web.Request, response: web.Response) -> None:
        """Write some answers of the connection more than once."""
        if request.transport is not None:
            repeated = self.rng.random() < self.behaviour.repeat_share
            record_answer(request.transport, response, repeated=repeated)

    def _make_response(self, request: web.Request, body: bytes) -> web.Response:
        scripted = request.headers.get(SCRIPTED_ANSWER_HEADER)
        if scripted is not None:
            return _scripted_response(scripted, _echo(request))
        mark = request.headers.get(MARK_HEADER, '')
        padding = 'x' * max(self.behaviour.answer_bytes - len(mark), 0)
        return web.Response(
            text=f'{mark}\n{padding}',
            headers={
                **_echo(request),
                MARK_HEADER: mark,
                'Received-Bytes': str(len(body)),
                'Received-Headers': ','.join(request.headers).lower(),
                'Received-Team': request.headers.get(TEAM_HEADER, ''),
            },
        )


def _echo(request: web.Request) -> dict[str, str]:
    """Return the header that tells to which attempt an answer belongs."""
    attempt_id = request.headers.get(ATTEMPT_HEADER)
    return {} if attempt_id is None else {ATTEMPT_HEADER: attempt_id}


def _scripted_response(text: str, echo: dict[str, str]) -> web.Response:
    scripted = msgspec.json.decode(text, type=ScriptedAnswer)
    response = web.Response(status=scripted.status, body=scripted.body.encode())
    response.headers.popall('Content-Type', None)
    response.headers.update(echo)
    for name, header in scripted.headers:
        response.headers.add(name, header)
    return response


def _number_from_header(
    request: web.Request, name: str, default: float
) -> float:
    text = request.headers.get(name)
    return default if text is None else float(text)


async def announce_forever(
    upstream: FakeUpstream, daemon: Address, own_address: Address
) -> None:
    """Announce the upstream to its daemon periodically until cancelled."""
    url = f'http://{daemon}/v1/upstream'
    timeout = ClientTimeout(total=1)
    async with ClientSession(timeout=timeout) as session:
        while True:
            text = msgspec.json.encode(upstream.announcement(own_address))
            try:
                async with session.put(url, data=text) as response:
                    await response.read()
            except (ClientError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(0.3)


async def run_upstream(flags: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    upstream = FakeUpstream(
        flags.service, flags.slots, flags.seed, flags.ran_file
    )
    address = SocketAddress().parse(flags.listen)
    runner, own_address = await start_site(upstream.application(), address)
    daemon = SocketAddress().parse(flags.daemon)
    task = asyncio.create_task(announce_forever(upstream, daemon, own_address))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    write_ready_file(flags.ready_file, {'http': str(own_address)})
    await stop.wait()
    task.cancel()
    await runner.cleanup()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one fake upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=20)
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--daemon', required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--ready-file', type=FilePath().parse)
    parser.add_argument('--ran-file', type=FilePath().parse)
    asyncio.run(run_upstream(parser.parse_args(arguments)))


if __name__ == '__main__':
    main()
