"""Decides which reports of the upstream beside a daemon count, without I/O.

Reports may arrive late, and a daemon that has just started does not know which
incarnations of its upstream have departed. A report that it can't order is held
until a health check shows that the incarnation is in service.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from burdocklead.process.local_member import Announcement

# Reports may be seconds late; upstreams exit within this time.
DEPARTURE_S = 60.0
MAX_DEPARTURES = 16


class Verdict(enum.Enum):
    """What to do with a report."""

    announced = 'announced'
    held = 'held'
    ignored = 'ignored'


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """A report of an upstream about itself.

    Attributes:
        announcement: Its state; names the instance.
        number: Sequence number, which increases until the upstream restarts.
        started_ms: Wall-clock time in ms at which the upstream started.
    """

    announcement: Announcement
    number: int
    started_ms: int

    @property
    def instance(self) -> str:
        """Return the instance that sent the report."""
        return self.announcement.instance

    def same_process(self, other: UpstreamReport) -> bool:
        """Return True if both reports are of one process."""
        return (
            self.instance == other.instance
            and self.started_ms == other.started_ms
        )


@dataclass(frozen=True, slots=True)
class Departure:
    """Deregistration of an upstream.

    Attributes:
        at: Loop time in s at which it was received.
        wall_ms: Wall-clock time in ms at which it was received.
        started_ms: Wall-clock time in ms at which the upstream started, None
            if no report had told it.
    """

    at: float
    wall_ms: float
    started_ms: int | None

    def includes(self, report: UpstreamReport, now: float) -> bool:
        """Return True if a report is of the process that departed.

        A later process may have the same instance name.
        """
        if self.started_ms is not None:
            return report.started_ms == self.started_ms
        return self.is_recent(now) and report.started_ms <= self.wall_ms

    def is_recent(self, now: float) -> bool:
        """Return True if reports from before it may still arrive."""
        return now < self.at + DEPARTURE_S


@dataclass(slots=True)
class UpstreamReports:
    """Orders the reports of the upstream beside a daemon.

    Attributes:
        silence_s: Time in s without a report after which a report that seems
            older than the latest one is held instead of ignored: the clock of
            the VM may have been set back.
        confirmed: Instance that is known to be in service or to have been,
            empty until there is one.
        latest: Latest report that counted, None before the first.
        latest_at: Loop time in s at which it was received.
        held: Report that awaits a health check, None if there is none.
        first_held: First report of the same process that was held.
        held_since: Loop time in s at which that one was received.
        departures: Latest deregistrations by instance, oldest first.
    """

    silence_s: float
    confirmed: str = ''
    latest: UpstreamReport | None = None
    latest_at: float = 0
    held: UpstreamReport | None = None
    first_held: UpstreamReport | None = None
    held_since: float = 0
    departures: dict[str, Departure] = field(default_factory=dict)

    def judge(self, report: UpstreamReport, now: float) -> Verdict:
        """Decide on a report and remember it unless it is ignored.

        Args:
            report: The report.
            now: Loop time in s.
        """
        departure = self.departures.get(report.instance)
        if departure is not None and departure.includes(report, now):
            return Verdict.ignored
        older = self._is_older(report)
        if older and now - self.latest_at <= self.silence_s:
            return Verdict.ignored
        if report.announcement.draining and not older:
            return self._count(report, now)
        if not older and self._is_in_service(report):
            self.confirmed = report.instance
            return self._count(report, now)
        return self._hold(report, now)

    def depart(self, instance: str, now: float, wall_ms: float) -> None:
        """Record the deregistration of an instance.

        Args:
            instance: The instance.
            now: Loop time in s.
            wall_ms: Wall-clock time in ms.
        """
        known = self.latest
        started_ms = None
        if known is not None and known.instance == instance:
            started_ms = known.started_ms
        departure = Departure(now, wall_ms, started_ms)
        self.departures.pop(instance, None)
        self.departures[instance] = departure
        if len(self.departures) > MAX_DEPARTURES:
            self.departures.pop(next(iter(self.departures)))
        if self.held is not None and departure.includes(self.held, now):
            self.held = None

    def needs_health_check(self) -> bool:
        """Return True while a health check can bring an instance into use."""
        return not self.confirmed or self.held is not None

    def confirm(self, instance: str, now: float) -> bool:
        """Record a successful health check; return True if it counts.

        The check may have been answered before the instance announced that it
        leaves. The held report is counted if it is of this instance.
        """
        if self.held is not None and self.held.instance == instance:
            self.confirmed = instance
            self._count(self.held, now)
            return True
        departure = self.departures.get(instance)
        if departure is not None and departure.is_recent(now):
            return False
        if self.latest is not None and self.latest.instance == instance:
            return False
        self.confirmed = instance
        return True

    def _is_older(self, report: UpstreamReport) -> bool:
        """Return True if a newer report has counted."""
        latest = self.latest
        if latest is None:
            return False
        if report.started_ms != latest.started_ms:
            return report.started_ms < latest.started_ms
        return (
            report.instance == latest.instance and report.number < latest.number
        )

    def _is_in_service(self, report: UpstreamReport) -> bool:
        """Return True if the process can't have departed unnoticed.

        It is the confirmed one, or it started after one whose reports counted.
        """
        if report.instance == self.confirmed:
            return True
        return (
            self.latest is not None and self.latest.instance == self.confirmed
        )

    def _count(self, report: UpstreamReport, now: float) -> Verdict:
        self.latest = report
        self.latest_at = now
        self.held = None
        self.first_held = None
        self.departures.pop(report.instance, None)
        return Verdict.announced

    def _hold(self, report: UpstreamReport, now: float) -> Verdict:
        """Hold a report; it counts if others followed it for long enough.

        A late report can't be followed for as long as that, so the upstream
        runs although its health check fails.
        """
        first = self.first_held
        if first is None or not report.same_process(first):
            if first is not None and report.started_ms < first.started_ms:
                return Verdict.ignored
            self.first_held = report
            self.held_since = now
        elif (
            report.number > first.number and now > self.held_since + DEPARTURE_S
        ):
            self.confirmed = report.instance
            return self._count(report, now)
        self.held = report
        return Verdict.held
