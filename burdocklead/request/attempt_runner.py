"""One attempt of a call from its entry daemon to its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    AttemptState,
    Lost,
    Query,
    Refusal,
    Verdict,
)
from burdocklead.exceptions import LinkError
from burdocklead.request.call import Call
from burdocklead.request.routing import Candidates, Router
from burdocklead.values import LoadReport, Member, RefusalCause

RUNNING_POLL_S = 0.05
NO_LOAD = LoadReport(0, 0, 0)


class Link(Protocol):
    """The way to one daemon beside an upstream."""

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt or raise LinkError."""

    async def query(self, query: Query) -> Verdict:
        """Return what is known of an attempt or raise LinkError."""

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""


class Directory(Protocol):
    """The upstreams that may get work and the links to them."""

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams of a service that may get new work."""

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
        """Return the result of one attempt, resolved as far as possible."""
        link = self.directory.link_to(member)
        loop = asyncio.get_running_loop()
        started = loop.time()
        route = call.match.key
        self.router.start_attempt(member.daemon_id, route, started)
        try:
            result = await self._run_in_time(call, link, attempt)
        finally:
            self.router.finish_attempt(member.daemon_id, route)
        now = loop.time()
        if result.load.slots:
            self.router.observe_load(member.daemon_id, result.load, now)
        self.router.observe_result(
            member.daemon_id, route, result, now - started, now
        )
        return result

    async def _run_in_time(
        self, call: Call, link: Link, attempt: Attempt
    ) -> AttemptResult:
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._run_on_link(link, attempt)
        except TimeoutError:
            link.cancel(attempt.attempt_id)
            return Lost(attempt.attempt_id, 'deadline passed', False, NO_LOAD)

    async def _run_on_link(self, link: Link, attempt: Attempt) -> AttemptResult:
        try:
            return await link.run_attempt(attempt)
        except LinkError as error:
            if error.step == 'connect':
                cause = RefusalCause.link_failed
                return Refusal(attempt.attempt_id, cause, NO_LOAD)
        return await self.resolve(link, attempt.attempt_id, attempt.incarnation)

    async def resolve(
        self, link: Link, attempt_id: str, incarnation: int
    ) -> AttemptResult:
        """Return what became of an attempt whose link failed."""
        query = Query(attempt_id, incarnation)
        while True:
            try:
                verdict = await link.query(query)
            except LinkError as error:
                return Lost(attempt_id, error.reason, False, NO_LOAD)
            if verdict.incarnation != incarnation:
                return Lost(attempt_id, 'daemon restarted', False, NO_LOAD)
            match verdict.state:
                case AttemptState.never_seen:
                    cause = RefusalCause.fenced
                    return Refusal(attempt_id, cause, NO_LOAD)
                case AttemptState.done if verdict.result is not None:
                    return verdict.result
            await asyncio.sleep(RUNNING_POLL_S)
