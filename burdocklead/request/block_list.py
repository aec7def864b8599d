"""Requests that crash, or may crash, their upstreams, without I/O.

Reports are merged by crash ID: they may arrive more than once, in any order
and on several paths. A request that was in progress during a crash is a
suspect. It is blocked after a number of crashes, and cleared once it is
answered.
"""

from __future__ import annotations

import enum
import hashlib
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from burdocklead.values import Body, CrashReport, Member
from burdocklead.version.deployment import Crashes

EXPIRY_INTERVAL_S = 1
MAX_REMEMBERED_REQUESTS = 10_000
MAX_OWN_REPORTS = 64
FINGERPRINT_HEX_DIGITS = 32


class SuspectState(enum.Enum):
    """Whether a request may run freely, only in isolation, or not at all."""

    clear = 'clear'
    suspect = 'suspect'
    blocked = 'blocked'


def fingerprint_of(service: str, method: str, path: str, body: Body) -> str:
    """Return a digest that identifies equal requests."""
    head = f'{service}\n{method}\n{path}\n'
    digest = hashlib.sha256(head.encode(errors='surrogateescape'))
    digest.update(body)
    return digest.hexdigest()[:FINGERPRINT_HEX_DIGITS]


@dataclass(slots=True)
class BlockList:
    """Crash reports by request.

    Attributes:
        daemon_id: ID of this daemon.
        reports: Reports by fingerprint and crash, oldest request first.
        expired_at_s: Wall time of the last removal of old reports in s.
    """

    daemon_id: str
    reports: OrderedDict[str, dict[str, CrashReport]] = field(
        default_factory=OrderedDict
    )
    expired_at_s: float = 0

    def merge(self, reports: Iterable[CrashReport]) -> bool:
        """Merge reports; return True if any of them changed the list."""
        changed = False
        for report in reports:
            known = self.reports.setdefault(report.fingerprint, {})
            earlier = known.get(report.crash_id)
            if earlier is None or (report.cleared and not earlier.cleared):
                known[report.crash_id] = report
                changed = True
        while len(self.reports) > MAX_REMEMBERED_REQUESTS:
            self.reports.popitem(last=False)
        return changed

    def clear(self, fingerprint: str) -> tuple[CrashReport, ...]:
        """Mark all reports of a request as cleared and return them."""
        cleared = tuple(
            msgspec.structs.replace(report, cleared=True)
            for report in self._uncleared_reports(fingerprint)
        )
        self.merge(cleared)
        return cleared

    def state_of(
        self, fingerprint: str, limits: Crashes, wall_s: float
    ) -> SuspectState:
        """Return the state of a request at a wall time in s."""
        self.expire(limits, wall_s)
        crashes = self._uncleared_reports(fingerprint)
        if not crashes:
            return SuspectState.clear
        proven = len(crashes) > 1 or crashes[0].alone
        if proven and len(crashes) >= limits.max_crashes:
            return SuspectState.blocked
        return SuspectState.suspect

    def expire(self, limits: Crashes, wall_s: float) -> None:
        """Remove requests without a crash in the last ``block_seconds``."""
        if abs(wall_s - self.expired_at_s) < EXPIRY_INTERVAL_S:
            return
        self.expired_at_s = wall_s
        oldest = wall_s - limits.block_seconds
        for fingerprint, known in tuple(self.reports.items()):
            if all(report.crashed_at_s < oldest for report in known.values()):
                self.reports.pop(fingerprint)

    def own_reports(self) -> tuple[CrashReport, ...]:
        """Return the latest reports of crashes at this daemon."""
        own = [
            report
            for known in self.reports.values()
            for report in known.values()
            if report.daemon_id == self.daemon_id
        ]
        own.sort(key=lambda report: report.crashed_at_s)
        return tuple(own[-MAX_OWN_REPORTS:])

    def blocked(self, limits: Crashes, wall_s: float) -> tuple[str, ...]:
        """Return the fingerprints of all blocked requests."""
        return tuple(
            fingerprint
            for fingerprint in tuple(self.reports)
            if self.state_of(fingerprint, limits, wall_s)
            is SuspectState.blocked
        )

    def trial_member(
        self, fingerprint: str, members: Sequence[Member]
    ) -> Member | None:
        """Return the only upstream at which a suspect may run.

        It is an upstream that the suspect did not crash, if there is any,
        and among those the one with the fewest crashes. Ties are broken by
        rendezvous hashing, so that daemons with the same reports choose the
        same upstream.
        """
        crashed = {
            report.daemon_id for report in self._uncleared_reports(fingerprint)
        }
        not_crashed = [one for one in members if one.daemon_id not in crashed]
        crashes = self._crashes_by_daemon()
        return min(
            not_crashed or members,
            key=lambda one: (
                crashes[one.daemon_id],
                _rendezvous_hash(fingerprint, one.daemon_id),
            ),
            default=None,
        )

    def _crashes_by_daemon(self) -> Counter[str]:
        crashes = {
            report.crash_id: report.daemon_id
            for known in self.reports.values()
            for report in known.values()
        }
        return Counter(crashes.values())

    def _uncleared_reports(self, fingerprint: str) -> list[CrashReport]:
        known = self.reports.get(fingerprint, {})
        return [report for report in known.values() if not report.cleared]


def _rendezvous_hash(fingerprint: str, daemon_id: str) -> bytes:
    return hashlib.sha256(f'{fingerprint}{daemon_id}'.encode()).digest()
