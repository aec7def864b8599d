"""Running attempts at the upstream beside this daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
from yarl import URL

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    Headers,
    Lost,
    Query,
    Refusal,
    Verdict,
)
from burdocklead.request.admission import (
    Admitted,
    Decision,
    Queued,
    Refused,
    Ticket,
    admission_for,
)
from burdocklead.request.attempt_journal import AttemptJournal
from burdocklead.request.attempt_table import AttemptTable
from burdocklead.request.headers import (
    ATTEMPT_HEADER,
    ATTEMPT_NUMBER_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    forwarded_headers,
)
from burdocklead.values import Address, LoadReport, RefusalCause

MS_PER_S = 1000


class AttemptExecutor:
    """Admits attempts, runs them at the upstream and remembers results.

    Attributes:
        incarnation: Incarnation of this daemon.
        journal: Records attempts as events and metrics.
        service: Service of the upstream, empty while there is none.
        upstream: Address of the upstream, None while there is none.
        draining: True if no new work is taken.
        queue: Admission of the upstream.
        table: Attempts seen so far.
    """

    def __init__(self, incarnation: int, journal: AttemptJournal) -> None:
        """Start without an upstream."""
        self.journal = journal
        self.incarnation = incarnation
        self.service = ''
        self.upstream: Address | None = None
        self.draining = False
        self.queue = admission_for(0)
        self.table = AttemptTable()
        self.session: aiohttp.ClientSession | None = None
        self.waiters: dict[str, asyncio.Future[Admitted | Refused]] = {}
        self.tasks: dict[str, asyncio.Task[AttemptResult]] = {}

    def start(self) -> None:
        """Open the HTTP client; needs a running loop."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def close(self) -> None:
        """Close the HTTP client."""
        if self.session is not None:
            await self.session.close()

    def load(self) -> LoadReport:
        """Return the present load."""
        return self.queue.load(asyncio.get_running_loop().time())

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt; a repeated one gets the first."""
        known = self.table.begin(attempt.attempt_id)
        if known is not None:
            if known.result is not None:
                return known.result
            return self._refusal(attempt, RefusalCause.duplicate)
        self.journal.start(attempt)
        task = asyncio.ensure_future(self._admit_and_run(attempt))
        self.tasks[attempt.attempt_id] = task
        try:
            result = await task
        except asyncio.CancelledError:
            result = Lost(attempt.attempt_id, 'cancelled', False, self.load())
        finally:
            self.tasks.pop(attempt.attempt_id, None)
        self.table.finish(attempt.attempt_id, result)
        self.journal.finish(attempt, result)
        return result

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt that is waiting or running."""
        task = self.tasks.get(attempt_id)
        if task is not None:
            task.cancel()

    def query(self, query: Query) -> Verdict:
        """Return what is known of an attempt and fence it if unseen."""
        record = self.table.query(query.attempt_id)
        return Verdict(
            query.attempt_id, self.incarnation, record.state, record.result
        )

    async def _admit_and_run(self, attempt: Attempt) -> AttemptResult:
        cause = self._refusal_cause(attempt)
        if cause is not None:
            return self._refusal(attempt, cause)
        verdict = await self._admit(attempt)
        if isinstance(verdict, Refused):
            return self._refusal(attempt, verdict.cause)
        loop = asyncio.get_running_loop()
        started = loop.time()
        finished = False
        try:
            result = await self._send(attempt)
            finished = isinstance(result, Answer)
        finally:
            service_ms = (loop.time() - started) * MS_PER_S
            self._settle(
                self.queue.release(
                    attempt.attempt_id,
                    service_ms,
                    loop.time(),
                    finished=finished,
                )
            )
        return result

    def _refusal_cause(self, attempt: Attempt) -> RefusalCause | None:
        if attempt.incarnation != self.incarnation:
            return RefusalCause.wrong_incarnation
        if self.draining:
            return RefusalCause.draining
        if self.upstream is None or self.service != attempt.service:
            return RefusalCause.no_upstream
        return None

    async def _admit(self, attempt: Attempt) -> Admitted | Refused:
        loop = asyncio.get_running_loop()
        ticket = Ticket(
            attempt_id=attempt.attempt_id,
            route=f'{attempt.service}/{attempt.route}',
            priority=attempt.priority,
            cost_ms=attempt.cost_ms,
            deadline=loop.time() + attempt.remaining_ms / MS_PER_S,
            queue_limit=attempt.queue_limit,
        )
        offer = self.queue.offer(ticket, loop.time())
        self._settle(offer.displaced)
        if not isinstance(offer.verdict, Queued):
            return offer.verdict
        waiter: asyncio.Future[Admitted | Refused] = loop.create_future()
        self.waiters[attempt.attempt_id] = waiter
        try:
            async with asyncio.timeout_at(ticket.deadline):
                return await waiter
        except TimeoutError:
            self.queue.withdraw(attempt.attempt_id)
            return Refused(RefusalCause.deadline)
        except asyncio.CancelledError:
            self.queue.withdraw(attempt.attempt_id)
            return Refused(RefusalCause.fenced)
        finally:
            self.waiters.pop(attempt.attempt_id, None)

    def _settle(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            waiter = self.waiters.get(decision.ticket.attempt_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision.verdict)

    async def _send(self, attempt: Attempt) -> AttemptResult:
        if self.session is None or self.upstream is None:
            return self._refusal(attempt, RefusalCause.no_upstream)
        try:
            async with asyncio.timeout(attempt.remaining_ms / MS_PER_S):
                return await self._exchange(attempt, self.session)
        except aiohttp.ClientConnectorError:
            return self._refusal(attempt, RefusalCause.upstream_unreachable)
        except TimeoutError:
            return self._lost(attempt, 'deadline passed', crashed=False)
        except aiohttp.ClientError as error:
            return self._lost(attempt, type(error).__name__, crashed=True)

    async def _exchange(
        self, attempt: Attempt, session: aiohttp.ClientSession
    ) -> AttemptResult:
        headers = [
            *attempt.headers,
            (DEADLINE_HEADER, f'{attempt.remaining_ms:.0f}'),
            (ATTEMPT_HEADER, attempt.attempt_id),
            (ATTEMPT_NUMBER_HEADER, str(attempt.number)),
        ]
        async with session.request(
            attempt.method,
            URL(f'http://{self.upstream}{attempt.path}', encoded=True),
            headers=headers,
            data=attempt.body or None,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            if NOT_RUN_HEADER in response.headers:
                return self._refusal(attempt, RefusalCause.upstream_refused)
            answered: Headers = forwarded_headers(response.headers.items())
            return Answer(
                attempt.attempt_id,
                response.status,
                answered,
                body,
                self.load(),
            )

    def _refusal(self, attempt: Attempt, cause: RefusalCause) -> Refusal:
        return Refusal(attempt.attempt_id, cause, self.load())

    def _lost(self, attempt: Attempt, reason: str, *, crashed: bool) -> Lost:
        return Lost(attempt.attempt_id, reason, crashed, self.load())


class LocalLink:
    """Runs attempts of this daemon's own callers without a connection."""

    def __init__(self, executor: AttemptExecutor) -> None:
        """Lead to the executor."""
        self.executor = executor

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt."""
        return await self.executor.run(attempt)

    async def query(self, query: Query) -> Verdict:
        """Return what is known of an attempt."""
        return self.executor.query(query)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""
        self.executor.cancel(attempt_id)

    def close(self, reason: str) -> None:
        """Do nothing; there is no connection."""
