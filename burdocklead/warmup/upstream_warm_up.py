"""Limit on the calls to the upstream beside a daemon while it is cold."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from burdocklead.log_events import (
    COLD_TIME_IGNORED,
    UPSTREAM_COLD,
    UPSTREAM_WARM,
)
from burdocklead.values import LoadReport
from burdocklead.version.deployment import Service
from burdocklead.warmup.cold_time import (
    ColdTime,
    ReportedColdTime,
    is_plausible,
)
from burdocklead.warmup.limiter import SlidingWindow

MS_PER_S = 1000
DEFAULT_LONGEST_S = 60.0  # If the service does not declare its cold time.
CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 10.0


@dataclass(slots=True)
class UpstreamWarmUp:
    """What the daemon beside an upstream knows of its cold time.

    Attributes:
        service: Returns the service of the upstream in the configuration in
            force, None if it is not known.
        window: Calls sent lately.
        cold_time: Until when the upstream is cold.
        checked_at: Monotonic time in s of the last extra health check.
        logged_at: Monotonic time in s of the last log line about an
            implausible cold time.
        was_cold: True if the upstream was cold when last asked for.
    """

    service: Callable[[], Service | None] = Service
    window: SlidingWindow = field(default_factory=SlidingWindow)
    cold_time: ColdTime = field(default_factory=ColdTime)
    checked_at: float = -math.inf
    logged_at: float = -math.inf
    was_cold: bool = False

    def cold_s(self, now: float) -> float:
        """Return the remaining cold time in s, 0 without a limit."""
        service = self.service()
        if service is None or not service.cold_rate:
            return 0
        cold_s = self.cold_time.remaining_s(_longest_s(service), now)
        if self.was_cold != (cold_s > 0):
            self.was_cold = not self.was_cold
            event = UPSTREAM_COLD if self.was_cold else UPSTREAM_WARM
            event.write(cold_ms=round(cold_s * MS_PER_S))
        return cold_s

    def wait_s(self, now: float) -> float:
        """Return the time in s after which a call may be sent, 0 for now."""
        service = self.service()
        if service is None or not service.cold_rate or not self.cold_s(now):
            return 0
        return min(self.window.wait_s(service.cold_rate, now), self.cold_s(now))

    def describe(self, load: LoadReport, now: float) -> LoadReport:
        """Return the load report with the cold time and the wait for it."""
        cold_s = self.cold_s(now)
        if not cold_s:
            return load
        wait_ms = max(load.expected_wait_ms, self.wait_s(now) * MS_PER_S)
        return msgspec.structs.replace(
            load,
            expected_wait_ms=wait_ms,
            cold_ms=math.ceil(cold_s * MS_PER_S),
        )

    def wants_check(self, now: float) -> bool:
        """Return True if a health check may end an assumed cold time."""
        assumed = self.cold_time.assumed_at is not None and self.cold_s(now) > 0
        if not assumed or now - self.checked_at < CHECK_INTERVAL_S:
            return False
        self.checked_at = now
        return True

    def observe_check(
        self, report: ReportedColdTime | None, instance: str, now: float
    ) -> None:
        """Record the answer of an instance to a health check.

        An answer of another instance tells nothing of this one.

        Args:
            report: Cold time in the answer, None if it has none.
            instance: Instance in use.
            now: Monotonic time in s.
        """
        if report is None:
            self.cold_time.record_check(None, now)
        elif report.instance in {'', instance} and self._is_valid(
            report.remaining_ms, now
        ):
            self.cold_time.record_check(report.remaining_ms, now)

    def observe_heartbeat(self, remaining_ms: float, now: float) -> None:
        """Record the remaining cold time in ms that a heartbeat reports."""
        if self._is_valid(remaining_ms, now):
            self.cold_time.record_heartbeat(remaining_ms, now)

    def _is_valid(self, remaining_ms: float, now: float) -> bool:
        service = self.service()
        longest_s = (
            DEFAULT_LONGEST_S if service is None else _longest_s(service)
        )
        if is_plausible(remaining_ms, longest_s):
            return True
        if now - self.logged_at > LOG_INTERVAL_S:
            self.logged_at = now
            COLD_TIME_IGNORED.write(
                cold_ms=str(remaining_ms), limit_s=longest_s
            )
        return False


def _longest_s(service: Service) -> float:
    return service.cold_start_s or DEFAULT_LONGEST_S
