"""Isolation of requests that may crash upstreams, and crash reports."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    CrashNotice,
    Lost,
)
from burdocklead.events import EventKind, EventRing
from burdocklead.metrics import CRASH_REPORTS, MetricSet
from burdocklead.request.block_list import (
    BlockList,
    SuspectState,
    fingerprint_of,
)
from burdocklead.request.routing import Candidates
from burdocklead.values import CrashReport, Member, RefusalCause
from burdocklead.version.deployment import Crashes

CRASH_WINDOW_S = 0.2
NOTICE_TIMEOUT_S = 0.25


class CrashPeers(Protocol):
    """Access to the daemons of the other upstreams of a service."""

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams of a service that may get new work."""

    async def notify(self, member: Member, notice: CrashNotice) -> None:
        """Send a notice to a daemon; failures are ignored."""


@dataclass(frozen=True, slots=True)
class CrashGroup:
    """Attempts lost in the same crash.

    Attributes:
        crash_id: ID of the crash.
        until: Loop time in s until which lost attempts belong to the crash.
        trial_attempt: ID of the suspect's attempt that ran during the crash,
            empty if there was none.
        alone: True if only one attempt can have caused the crash.
    """

    crash_id: str
    until: float
    trial_attempt: str
    alone: bool


@dataclass(slots=True)
class CrashGuard:
    """Runs suspects one at a time, each at one upstream only.

    Attributes:
        block_list: Crash reports by request.
        events: Receives an event for each blocked request.
        metrics: Counts crash reports.
        limits: Returns the limits in force.
        peers: Daemons of the other upstreams, None if there are none.
        trial_lock: Held while a suspect runs here.
        trial_attempt: ID of the suspect's attempt that runs here, empty if
            there is none.
        group: Latest crash, None before the first.
        numbers: Source of the numbers in crash IDs.
    """

    block_list: BlockList
    events: EventRing
    metrics: MetricSet
    limits: Callable[[], Crashes] = Crashes
    peers: CrashPeers | None = None
    trial_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    trial_attempt: str = ''
    group: CrashGroup | None = None
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def state_of(self, fingerprint: str) -> SuspectState:
        """Return the current state of a request."""
        return self.block_list.state_of(fingerprint, self.limits(), time.time())

    def trial_member(self, service: str, fingerprint: str) -> Member | None:
        """Return the only upstream for a suspect, None if any will do."""
        if self.peers is None:
            return None
        if self.state_of(fingerprint) is not SuspectState.suspect:
            return None
        members = self.peers.candidates(service).members
        return self.block_list.trial_member(fingerprint, members)

    async def admit(
        self, attempt: Attempt, deadline: float
    ) -> RefusalCause | None:
        """Admit an attempt; return the cause if it is refused.

        A suspect waits until no other suspect runs.

        Args:
            attempt: The attempt; ``process_result`` must follow if it may run.
            deadline: Loop time of its deadline in s.
        """
        if not self.block_list.reports:
            return None
        fingerprint = _fingerprint(attempt)
        cause = self._refusal_cause(attempt, fingerprint)
        if cause or self.state_of(fingerprint) is SuspectState.clear:
            return cause
        try:
            async with asyncio.timeout_at(deadline):
                await self.trial_lock.acquire()
        except TimeoutError:
            return RefusalCause.deadline
        cause = self._refusal_cause(attempt, fingerprint)
        if cause or self.state_of(fingerprint) is SuspectState.clear:
            self.trial_lock.release()
            return cause
        self.trial_attempt = attempt.attempt_id
        return None

    async def process_result(
        self, attempt: Attempt, result: AttemptResult, in_progress: int
    ) -> AttemptResult:
        """Report a crash or clear a suspect; return the result to pass on.

        Args:
            attempt: The attempt.
            result: Its result.
            in_progress: Attempts in progress at the upstream, this one
                included.
        """
        try:
            match result:
                case Lost(crash_suspected=True):
                    crashes = await self._report_crash(attempt, in_progress)
                    return msgspec.structs.replace(result, crashes=crashes)
                case Answer() if self.trial_attempt == attempt.attempt_id:
                    cleared = self.block_list.clear(_fingerprint(attempt))
                    await self._notify_peers(attempt.service, cleared)
        finally:
            self._end_trial(attempt)
        return result

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Merge the reports of another daemon."""
        if reports and self.block_list.merge(reports):
            self._record_blocked(reports)

    def _end_trial(self, attempt: Attempt) -> None:
        """Let the next suspect run if this attempt was a suspect's."""
        if self.trial_attempt == attempt.attempt_id:
            self.trial_attempt = ''
            self.trial_lock.release()

    def _refusal_cause(
        self, attempt: Attempt, fingerprint: str
    ) -> RefusalCause | None:
        if self.state_of(fingerprint) is SuspectState.blocked:
            return RefusalCause.crash_suspect
        member = self.trial_member(attempt.service, fingerprint)
        if member is None or member.daemon_id == self.block_list.daemon_id:
            return None
        return RefusalCause.suspect_elsewhere

    async def _report_crash(
        self, attempt: Attempt, in_progress: int
    ) -> tuple[CrashReport, ...]:
        group = self._group_of(in_progress)
        if group.trial_attempt and group.trial_attempt != attempt.attempt_id:
            return ()
        report = CrashReport(
            fingerprint=_fingerprint(attempt),
            crash_id=group.crash_id,
            daemon_id=self.block_list.daemon_id,
            crashed_at_s=int(time.time()),
            alone=group.alone,
        )
        if self.block_list.merge((report,)):
            self.metrics.count(CRASH_REPORTS)
            self._record_blocked((report,))
            await self._notify_peers(attempt.service, (report,))
        return (report,)

    def _group_of(self, in_progress: int) -> CrashGroup:
        now = asyncio.get_running_loop().time()
        if self.group is None or self.group.until < now:
            number = next(self.numbers)
            self.group = CrashGroup(
                f'{self.block_list.daemon_id}.{time.time_ns():x}.{number}',
                now + CRASH_WINDOW_S,
                self.trial_attempt,
                alone=bool(self.trial_attempt) or in_progress <= 1,
            )
        return self.group

    async def _notify_peers(
        self, service: str, reports: tuple[CrashReport, ...]
    ) -> None:
        """Send reports to the daemons of all other upstreams of a service."""
        if self.peers is None or not reports:
            return
        notice = CrashNotice(reports)
        sends = [
            asyncio.ensure_future(self.peers.notify(member, notice))
            for member in self.peers.candidates(service).members
            if member.daemon_id != self.block_list.daemon_id
        ]
        if sends:
            await asyncio.wait(sends, timeout=NOTICE_TIMEOUT_S)

    def _record_blocked(self, reports: Sequence[CrashReport]) -> None:
        named = {report.fingerprint for report in reports}
        for fingerprint in named:
            if self.state_of(fingerprint) is SuspectState.blocked:
                self.events.record(
                    EventKind.request_blocked, detail=fingerprint
                )


def _fingerprint(attempt: Attempt) -> str:
    return fingerprint_of(
        attempt.service, attempt.method, attempt.path, attempt.body
    )
