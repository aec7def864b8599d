"""Runs one attempt of a call from the entry daemon, up to its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    AttemptState,
    Cancel,
    Lost,
    Query,
    Refusal,
    Verdict,
)
from burdocklead.exceptions import LinkError
from burdocklead.request.call import Call
from burdocklead.request.routing import Candidates, Router
from burdocklead.request.work_limit import WorkLimit
from burdocklead.values import LoadReport, Member, RefusalCause

WITHDRAW_TIMEOUT_S = 0.25
RESOLVE_TIMEOUT_S = 3.0
RESOLVE_RETRY_DELAY_S = 0.05
# Short because an idempotent call can be retried at another upstream.
IDEMPOTENT_RESOLVE_TIMEOUT_S = 0.2
NO_LOAD = LoadReport(0, 0, 0)
UNSENT_STEPS = frozenset(('connect', 'send'))


class Link(Protocol):
    """A connection to the daemon of one upstream."""

    async def open(self, incarnation: int) -> None:
        """Connect to an incarnation of the daemon.

        Raises:
            LinkError: If that incarnation couldn't be reached.
        """

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt and return its result.

        Raises:
            LinkError: If the link failed. With the step ``connect`` or
                ``send``, the attempt was never sent.
        """

    async def query(self, query: Query) -> Verdict:
        """Return the state of an attempt.

        Raises:
            LinkError: If the link failed.
        """

    async def withdraw(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return its state.

        Raises:
            LinkError: If the link failed.
        """

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt without waiting for a reply."""


class Directory(Protocol):
    """The upstreams that accept attempts, and the links to their daemons."""

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams of a service that accept new attempts."""

    def find_member(self, daemon_id: str) -> Member | None:
        """Return the current member with an ID, None if there is none."""

    def link_to(self, member: Member) -> Link:
        """Return the link to a daemon."""


@dataclass(frozen=True, slots=True)
class AttemptRunner:
    """Runs attempts over links and resolves those whose link failed.

    Attributes:
        directory: Upstreams and links.
        router: Receives attempt counts, latencies and load reports.
        work_limit: End of all attempts while this daemon stops.
    """

    directory: Directory
    router: Router
    work_limit: WorkLimit = field(default_factory=WorkLimit, kw_only=True)

    async def run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        """Run one attempt and return its result.

        If the link fails, the daemon is asked for the result. Cancelling this
        coroutine cancels the attempt at the daemon too.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        route = call.match.key
        self.router.start_attempt(member.daemon_id, route, started)
        try:
            result = await self._open_and_run(call, member, attempt)
        except asyncio.CancelledError:
            now = loop.time()
            self.router.observe_cancelled(
                member.daemon_id, route, now - started, now
            )
            raise
        finally:
            self.router.finish_attempt(member.daemon_id, route)
        now = loop.time()
        if result.load.slots:
            self.router.observe_load(member.daemon_id, result.load, now)
        self.router.observe_result(
            member.daemon_id, route, result, now - started, now
        )
        return result

    async def resolve(
        self, member: Member, query: Query, limit_s: float = RESOLVE_TIMEOUT_S
    ) -> AttemptResult:
        """Query a daemon for the result of an attempt.

        The query is retried while the daemon can't be reached and is still a
        member with the same incarnation.

        Args:
            member: The daemon of the upstream.
            query: The query.
            limit_s: Time in seconds after which it isn't retried.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + limit_s
        while True:
            link = self.directory.link_to(member)
            try:
                verdict = await link.query(query)
            except LinkError as error:
                if loop.time() >= limit or not self._is_same_incarnation(
                    member
                ):
                    return _lost(query.attempt_id, error.reason)
                await asyncio.sleep(RESOLVE_RETRY_DELAY_S)
                continue
            return result_of_verdict(verdict, query)

    async def _open_and_run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        link = self.directory.link_to(member)
        try:
            async with self.work_limit.timeout_at(call.deadline):
                await link.open(attempt.incarnation)
        except LinkError:
            return _refusal(attempt.attempt_id, RefusalCause.link_failed)
        except TimeoutError:
            return _refusal(attempt.attempt_id, RefusalCause.deadline)
        cancel = Cancel(attempt.attempt_id, attempt.incarnation)
        try:
            async with self.work_limit.timeout_at(call.deadline):
                return await self._run_opened(link, member, attempt)
        except TimeoutError:
            return await self._withdraw(link, cancel)
        except asyncio.CancelledError:
            link.cancel(cancel)
            raise

    async def _run_opened(
        self, link: Link, member: Member, attempt: Attempt
    ) -> AttemptResult:
        try:
            return await link.run_attempt(attempt)
        except LinkError as error:
            if error.step in UNSENT_STEPS:
                cause = RefusalCause.link_failed
                return _refusal(attempt.attempt_id, cause)
            reason = error.reason
        query = Query(attempt.attempt_id, attempt.incarnation)
        if not attempt.idempotent:
            return await self.resolve(member, query)
        try:
            async with asyncio.timeout(IDEMPOTENT_RESOLVE_TIMEOUT_S):
                return await self.resolve(member, query, limit_s=0)
        except TimeoutError:
            return _lost(attempt.attempt_id, reason)

    async def _withdraw(self, link: Link, cancel: Cancel) -> AttemptResult:
        """Cancel an attempt at its deadline and briefly wait for its state."""
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                verdict = await link.withdraw(cancel)
        except (TimeoutError, LinkError):
            return _lost(cancel.attempt_id, 'deadline passed')
        query = Query(cancel.attempt_id, cancel.incarnation)
        result = result_of_verdict(verdict, query)
        if isinstance(result, Refusal):
            return _refusal(cancel.attempt_id, RefusalCause.deadline)
        return result

    def _is_same_incarnation(self, member: Member) -> bool:
        current = self.directory.find_member(member.daemon_id)
        return current is not None and current.incarnation == member.incarnation


def result_of_verdict(verdict: Verdict, query: Query) -> AttemptResult:
    """Return the attempt result that a verdict proves."""
    if verdict.incarnation != query.incarnation:
        return _lost(query.attempt_id, 'daemon restarted', final=True)
    match verdict.state:
        case AttemptState.never_seen:
            return _refusal(query.attempt_id, RefusalCause.fenced)
        case AttemptState.done if verdict.result is not None:
            return verdict.result
        case AttemptState.running:
            return _lost(query.attempt_id, 'deadline passed')
        case _:
            return _lost(query.attempt_id, 'forgotten', final=True)


def _lost(attempt_id: str, reason: str, *, final: bool = False) -> Lost:
    return Lost(attempt_id, reason, False, NO_LOAD, final)


def _refusal(attempt_id: str, cause: RefusalCause) -> Refusal:
    return Refusal(attempt_id, cause, NO_LOAD)
