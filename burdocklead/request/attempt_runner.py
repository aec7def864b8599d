"""One attempt of a call from its entry daemon to its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
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
from burdocklead.values import LoadReport, Member, RefusalCause

GRACE_S = 0.25
RESOLVE_LIMIT_S = 3.0
RESOLVE_PAUSE_S = 0.05
QUICK_RESOLVE_S = 0.2  # An idempotent call may rather run again elsewhere.
NO_LOAD = LoadReport(0, 0, 0)
UNSENT_STEPS = frozenset(('connect', 'send'))


class Link(Protocol):
    """The way to one daemon beside an upstream."""

    async def open(self, incarnation: int) -> None:
        """Connect to an incarnation of the daemon or raise LinkError."""

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt or raise LinkError.

        The steps ``connect`` and ``send`` tell that it was never sent.
        """

    async def query(self, query: Query) -> Verdict:
        """Return what became of an attempt or raise LinkError."""

    async def withdraw(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt; return what was true or raise LinkError."""

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt without waiting for what was true."""


class Directory(Protocol):
    """The upstreams that may get work and the links to them."""

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams of a service that may get new work."""

    def find_member(self, daemon_id: str) -> Member | None:
        """Return a present daemon by name."""

    def link_to(self, member: Member) -> Link:
        """Return the link to a daemon."""


@dataclass(frozen=True, slots=True)
class AttemptRunner:
    """Carries attempts over links and resolves those whose link failed.

    Attributes:
        directory: Upstreams and links.
        router: Counts attempts in flight.
    """

    directory: Directory
    router: Router

    async def run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        """Return the result of one attempt, resolved as far as possible.

        Cancelling this coroutine cancels the attempt at its upstream.
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
        self, member: Member, query: Query, limit_s: float = RESOLVE_LIMIT_S
    ) -> AttemptResult:
        """Return what became of an attempt that was meant for a member.

        The question is repeated while the daemon can't be reached and may
        still be the same process.

        Args:
            member: The daemon beside the upstream.
            query: The question.
            limit_s: Time for repeated questions in s.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + limit_s
        while True:
            link = self.directory.link_to(member)
            try:
                verdict = await link.query(query)
            except LinkError as error:
                if loop.time() >= limit or not self._may_answer(member):
                    return _lost(query.attempt_id, error.reason)
                await asyncio.sleep(RESOLVE_PAUSE_S)
                continue
            return result_of_verdict(verdict, query)

    async def _open_and_run(
        self, call: Call, member: Member, attempt: Attempt
    ) -> AttemptResult:
        link = self.directory.link_to(member)
        try:
            async with asyncio.timeout_at(call.deadline):
                await link.open(attempt.incarnation)
        except LinkError:
            return _refusal(attempt.attempt_id, RefusalCause.link_failed)
        except TimeoutError:
            return _refusal(attempt.attempt_id, RefusalCause.deadline)
        cancel = Cancel(attempt.attempt_id, attempt.incarnation)
        try:
            async with asyncio.timeout_at(call.deadline):
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
            async with asyncio.timeout(QUICK_RESOLVE_S):
                return await self.resolve(member, query, limit_s=0)
        except TimeoutError:
            return _lost(attempt.attempt_id, reason)

    async def _withdraw(self, link: Link, cancel: Cancel) -> AttemptResult:
        """Ask at the deadline for the truth, for a short time."""
        try:
            async with asyncio.timeout(GRACE_S):
                verdict = await link.withdraw(cancel)
        except (TimeoutError, LinkError):
            return _lost(cancel.attempt_id, 'deadline passed')
        query = Query(cancel.attempt_id, cancel.incarnation)
        result = result_of_verdict(verdict, query)
        if isinstance(result, Refusal):
            return _refusal(cancel.attempt_id, RefusalCause.deadline)
        return result

    def _may_answer(self, member: Member) -> bool:
        present = self.directory.find_member(member.daemon_id)
        return present is not None and present.incarnation == member.incarnation


def result_of_verdict(verdict: Verdict, query: Query) -> AttemptResult:
    """Return what a verdict proves about an attempt."""
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
