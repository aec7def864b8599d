"""Callers, the operator and the version watcher of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import deque
from collections.abc import Iterator

import aiohttp
import msgspec

from burdocklead.durable.configuration import ApplyResult
from burdocklead.request.headers import DEADLINE_HEADER, OUTCOME_HEADER
from burdocklead.values import Outcome
from burdocklead.version.configuration_file import digest_of
from devtools.processes import ManagedProcess
from devtools.soak.cluster import SERVICES, SoakCluster
from devtools.soak.records import CallRecord, ServedVersion, SoakRecord
from devtools.upstream import MARK_HEADER

DEADLINE_MS = 1500
MS_PER_S = 1000
# A non-idempotent call may run past its deadline, see the setting finish_limit;
# its caller gets the outcome at the latest when the query for it times out.
RESULT_LIMIT_S = 4.5
CALL_TIMEOUT_S = 8.0
CALL_INTERVAL_S = (0, 0.04)
APPLY_INTERVAL_S = (0.2, 1.5)
APPLY_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.3
RESEND_HISTORY = 20  # Control remembers more decisions than that.
FILE_TEMPLATE = """version = {version}
[measuring]
asked_upstreams = {asked}
[services.job-sheets]
queue_limit = {limit}
[[services.job-sheets.routes]]
name = "view"
method = "GET"
path = "/"
idempotent = true
timeout_ms = 1500
[[services.job-sheets.routes]]
name = "issue"
method = "POST"
path = "/"
idempotent = false
timeout_ms = 1500
[services.archive]
queue_limit = {limit}
hedge_after_ms = 100
[[services.archive.routes]]
name = "search"
method = "GET"
path = "/"
idempotent = true
timeout_ms = 1500
[[services.archive.routes]]
name = "record"
method = "POST"
path = "/"
idempotent = false
timeout_ms = 1500
"""
REQUEST_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


def file_text(version: int, rng: random.Random) -> bytes:
    """Return a valid file with random values, which make files differ."""
    return FILE_TEMPLATE.format(
        version=version, limit=rng.randrange(50, 5000), asked=rng.choice((0, 2))
    ).encode()


class Caller:
    """Sends calls to random daemons over persistent connections."""

    def __init__(
        self, cluster: SoakCluster, record: SoakRecord, name: str, seed: int
    ) -> None:
        """Initialize a caller, whose name is the prefix of its marks."""
        self.cluster = cluster
        self.record = record
        self.name = name
        self.rng = random.Random(seed)
        self.numbers: Iterator[int] = itertools.count()

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        ) as session:
            while True:
                await self.call_once(session)
                await asyncio.sleep(self.rng.uniform(*CALL_INTERVAL_S))

    async def call_once(self, session: aiohttp.ClientSession) -> CallRecord:
        """Send one call and record its outcome."""
        entry = self.rng.choice(tuple(self.cluster.deployment.daemons))
        idempotent = self.rng.choice((True, False))
        mark = f'{self.name}.{next(self.numbers)}'
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome, intact, error_text = '', True, ''
        try:
            outcome, intact = await self._send(session, entry, mark, idempotent)
        except REQUEST_ERRORS as error:
            error_text = f': {error!r}'
        call = CallRecord(
            mark,
            entry,
            idempotent,
            started,
            loop.time(),
            RESULT_LIMIT_S,
            outcome,
            intact,
            error_text,
        )
        self.record.calls.append(call)
        return call

    async def _send(
        self,
        session: aiohttp.ClientSession,
        entry: str,
        mark: str,
        idempotent: bool,
    ) -> tuple[str, bool]:
        service = self.rng.choice(SERVICES)
        async with session.request(
            'GET' if idempotent else 'POST',
            self.cluster.deployment.url(entry, f'/{service}/{mark}'),
            headers={MARK_HEADER: mark, DEADLINE_HEADER: str(DEADLINE_MS)},
        ) as response:
            body = await response.text()
            outcome = response.headers.get(OUTCOME_HEADER, '')
            intact = body.startswith(f'{mark}\n')
            return outcome, intact or outcome != Outcome.answered


class Operator:
    """Applies files, some concurrently, and applies accepted ones again.

    Attributes:
        version: Highest version sent.
        accepted: Versions and texts of the files accepted last.
    """

    def __init__(
        self, cluster: SoakCluster, record: SoakRecord, seed: int
    ) -> None:
        """Initialize an operator."""
        self.cluster = cluster
        self.record = record
        self.rng = random.Random(seed)
        self.version = 0
        self.accepted: deque[tuple[int, bytes]] = deque(maxlen=RESEND_HISTORY)

    async def run(self) -> None:
        """Apply files until cancelled."""
        timeout = aiohttp.ClientTimeout(total=APPLY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self.apply_once(session)
                await asyncio.sleep(self.rng.uniform(*APPLY_INTERVAL_S))

    async def apply_once(self, session: aiohttp.ClientSession) -> None:
        """Apply one or two files of a version, then an accepted file again."""
        self.version += self.rng.randrange(1, 4)
        texts = [
            file_text(self.version, self.rng)
            for _ in range(self.rng.choice((1, 1, 2)))
        ]
        results = await asyncio.gather(
            *(self._put(session, text) for text in texts)
        )
        for text, accepted in zip(texts, results, strict=True):
            if accepted:
                self.accepted.append((self.version, text))
        if self.accepted:
            await self._resend(session, *self.rng.choice(self.accepted))

    async def _resend(
        self, session: aiohttp.ClientSession, version: int, text: bytes
    ) -> None:
        if await self._put(session, text) is False:
            self.record.problems.append(
                f'version {version} was accepted, then refused'
            )

    async def _put(
        self, session: aiohttp.ClientSession, text: bytes
    ) -> bool | None:
        """Return True if a file was accepted, None if that is unknown."""
        controls = list(self.cluster.deployment.controls.values())
        address = self.rng.choice(controls).addresses['admin']
        url = f'http://{address}/v1/configuration'
        try:
            async with session.put(url, data=text) as response:
                body = await response.read()
        except REQUEST_ERRORS:
            return None
        if response.status not in {200, 409}:
            return None
        result = msgspec.json.decode(body, type=ApplyResult)
        if result.accepted and result.digest == digest_of(text):
            self.record.record_accepted(result.version, result.digest)
            return True
        return False


async def watch_versions(cluster: SoakCluster, record: SoakRecord) -> None:
    """Record the versions that daemons serve until cancelled."""
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for process in cluster.deployment.daemons.values():
                with contextlib.suppress(*REQUEST_ERRORS):
                    record.served_versions.append(
                        await _fetch_version(session, process)
                    )
            await asyncio.sleep(POLL_INTERVAL_S)


async def _fetch_version(
    session: aiohttp.ClientSession, process: ManagedProcess
) -> ServedVersion:
    pid = process.popen.pid if process.popen else 0
    url = f'http://{process.addresses["admin"]}/v1/status'
    async with session.get(url) as response:
        status = await response.json()
    return ServedVersion(process.name, pid, status['version'])
