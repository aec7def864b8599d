"""Load balancing on stale load reports, without I/O.

A few upstreams are sampled at random and the one with the lowest expected
latency is chosen. The daemon's own observations outweigh load reports.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from burdocklead.connection.frames import (
    Answer,
    AttemptResult,
    Lost,
    Refusal,
)
from burdocklead.request.load_signals import LoadSignalMonitor
from burdocklead.request.retries import BUSY_CAUSES, RETRYABLE_STATUSES
from burdocklead.request.route_costs import QuantileTracker
from burdocklead.request.upstream_view import UpstreamView
from burdocklead.values import LoadReport, Member, RefusalCause
from burdocklead.warmup.preference import cold_penalty_ms

SAMPLE_SIZE = 3
MS_PER_S = 1000
CROSS_ZONE_MS = 3.0
HIGH_UTILIZATION = 0.8
HIGH_UTILIZATION_WEIGHT = 4
AVOIDED_PENALTY_MS = 1e9
AVOID_UNAVAILABLE_S = 1.0
AVOID_CRASHED_S = 0.3
AVOID_COLD_S = 0.2
REFUSAL_PENALTY = 0.5
LOST_PENALTY = 4
ERROR_PENALTY = 1
DEFAULT_MEDIAN_MS = 5
UNAVAILABLE_CAUSES = frozenset(
    (
        RefusalCause.draining,
        RefusalCause.zone_evacuated,
        RefusalCause.no_upstream,
        RefusalCause.wrong_incarnation,
        RefusalCause.upstream_unreachable,
        RefusalCause.link_failed,
    )
)


@dataclass(frozen=True, slots=True)
class Candidates:
    """Upstreams of one service that accept new work.

    Attributes:
        members: All such upstreams.
        same_zone: The ones in the availability zone of this daemon.
        evacuated: True if the service has upstreams in evacuated zones.
    """

    members: tuple[Member, ...] = ()
    same_zone: tuple[Member, ...] = ()
    evacuated: bool = False

    def without(self, excluded: Collection[str]) -> Candidates:
        """Return the candidates except some, all of them if none is left."""
        if not excluded:
            return self
        members = tuple(
            one for one in self.members if one.daemon_id not in excluded
        )
        if not members:
            return self
        same_zone = tuple(
            one for one in self.same_zone if one.daemon_id not in excluded
        )
        return Candidates(members, same_zone)


@dataclass(slots=True)
class Router:
    """Chooses an upstream of a service for each attempt.

    Attributes:
        zone: Availability zone of this daemon.
        rng: Random number generator for sampling.
        views: State of each upstream by daemon ID.
        latency_medians: Median latency in ms by route, over all upstreams.
        signals: Detects load reports that are missing or never change.
        called_at: Monotonic time of the last choice by service in s.
    """

    zone: str
    rng: random.Random
    signals: LoadSignalMonitor = field(default_factory=LoadSignalMonitor)
    views: dict[str, UpstreamView] = field(default_factory=dict)
    latency_medians: dict[str, QuantileTracker] = field(default_factory=dict)
    called_at: dict[str, float] = field(default_factory=dict)

    def view_of(self, daemon_id: str) -> UpstreamView:
        """Return the state of an upstream, created on first use."""
        view = self.views.get(daemon_id)
        if view is None:
            view = UpstreamView()
            self.views[daemon_id] = view
        return view

    def median_latency_ms(
        self, route: str, default_ms: float = DEFAULT_MEDIAN_MS
    ) -> float:
        """Return the median latency of a route in ms.

        Args:
            route: Route key, ``service/route``.
            default_ms: Latency in ms assumed before the first answer.
        """
        tracker = self.latency_medians.get(route)
        return default_ms if tracker is None else tracker.estimate

    def choose(
        self,
        candidates: Candidates,
        route: str,
        now: float,
        cross_zone_ms: float = CROSS_ZONE_MS,
    ) -> Member | None:
        """Return the best of a random sample of upstreams, if there is any.

        Args:
            candidates: Upstreams to choose from.
            route: Route key, ``service/route``.
            now: Monotonic time in s.
            cross_zone_ms: Latency in ms that a remote zone must save.
        """
        sampled = self.sample_candidates(candidates)
        if not sampled:
            return None
        self.called_at[sampled[0].service] = now
        median_ms = self.median_latency_ms(route)
        return min(
            sampled,
            key=lambda one: self.score(
                one, median_ms, now, cross_zone_ms, route
            ),
        )

    def choose_for_probe(
        self, candidates: Candidates, now: float
    ) -> Member | None:
        """Return the best of a random sample, whatever the route."""
        sampled = self.sample_candidates(candidates)
        return min(
            sampled,
            key=lambda one: self.score(one, DEFAULT_MEDIAN_MS, now),
            default=None,
        )

    def sample_candidates(self, candidates: Candidates) -> list[Member]:
        """Sample upstreams at random, one of them in this zone if possible."""
        return [
            *self.sample(candidates.members, SAMPLE_SIZE),
            *self.sample(candidates.same_zone, 1),
        ]

    def score(
        self,
        member: Member,
        median_ms: float,
        now: float,
        cross_zone_ms: float = CROSS_ZONE_MS,
        route: str = '',
    ) -> float:
        """Return the expected latency in ms; the lowest score wins."""
        view = self.view_of(member.daemon_id)
        estimate = view.fresh_estimate(route, now)
        if estimate is None:
            expected_ms = self._expected_ms(member, view, median_ms, now)
        else:
            expected_ms = estimate.expected_ms * (1 + view.penalty.read(now))
        expected_ms += view.overdue_ms(now)
        expected_ms += cold_penalty_ms(view.load, now - view.load_at)
        if member.zone != self.zone:
            expected_ms += cross_zone_ms
        if max(view.avoid_until, view.unresponsive_until) > now:
            expected_ms += AVOIDED_PENALTY_MS
        return expected_ms

    def _expected_ms(
        self, member: Member, view: UpstreamView, median_ms: float, now: float
    ) -> float:
        """Return the expected latency in ms without a fresh estimate."""
        slots = member.slots
        reported_ms = float(0)
        if view.load is not None:
            slots = view.load.slots or slots
            reported_ms = view.load.expected_wait_ms * view.report_weight(now)
        utilization = view.used_slots(now) / max(slots, 1)
        excess_utilization = (
            max(utilization - HIGH_UTILIZATION, 0) * HIGH_UTILIZATION_WEIGHT
        )
        expected_ms = median_ms * view.slowness.read(now)
        expected_ms *= (
            1 + utilization + excess_utilization + view.penalty.read(now)
        )
        return expected_ms + reported_ms

    def start_attempt(self, daemon_id: str, route: str, now: float) -> None:
        """Record an attempt that is sent to an upstream."""
        self.view_of(daemon_id).start(route, self.median_latency_ms(route), now)

    def finish_attempt(self, daemon_id: str, route: str) -> None:
        """Record that an attempt has a result or was cancelled."""
        self.view_of(daemon_id).finish(route)

    def observe_load(
        self, daemon_id: str, load: LoadReport, now: float
    ) -> None:
        """Record a load report."""
        self.view_of(daemon_id).record_load(load, now)
        report = (load.busy, load.queued, load.slots)
        self.signals.observe_report(daemon_id, report, now)

    def observe_result(
        self,
        daemon_id: str,
        route: str,
        result: AttemptResult,
        elapsed: float,
        now: float,
    ) -> None:
        """Record the result of an attempt.

        Args:
            daemon_id: Daemon of the upstream.
            route: Route key, ``service/route``.
            result: Result of the attempt.
            elapsed: Time from the start of the attempt to its result in s.
            now: Monotonic time in s.
        """
        view = self.view_of(daemon_id)
        match result:
            case Answer(status=status) if status in RETRYABLE_STATUSES:
                view.add_penalty(ERROR_PENALTY, now)
            case Answer():
                self._apply_answer(view, route, elapsed * MS_PER_S, now)
                self.signals.observe_answer(
                    daemon_id, view.in_flight_count, now
                )
            case Refusal(cause=cause) if cause in UNAVAILABLE_CAUSES:
                view.avoid_until = now + AVOID_UNAVAILABLE_S
            case Refusal(cause=RefusalCause.cold_upstream):
                view.estimates.pop(route, None)
                view.avoid_until = now + AVOID_COLD_S
            case Refusal(cause=RefusalCause.not_at_once):
                view.estimates.pop(route, None)
            case Refusal(cause=cause) if cause in BUSY_CAUSES:
                view.add_penalty(REFUSAL_PENALTY, now)
            case Lost(crash_suspected=True):
                view.avoid_until = now + AVOID_CRASHED_S
            case Lost():
                view.add_penalty(LOST_PENALTY, now)

    def observe_cancelled(
        self, daemon_id: str, route: str, elapsed: float, now: float
    ) -> None:
        """Record a cancelled attempt if it took longer than the median."""
        ratio = elapsed * MS_PER_S / self.median_latency_ms(route)
        if ratio > 1:
            self.view_of(daemon_id).slowness.observe(ratio, now)

    def forget(self, daemon_id: str) -> None:
        """Drop an upstream that has left; keep its view while attempts run."""
        view = self.views.get(daemon_id)
        if view is not None and not view.in_flight_count:
            self.views.pop(daemon_id)
        self.signals.forget(daemon_id)

    def _apply_answer(
        self, view: UpstreamView, route: str, elapsed_ms: float, now: float
    ) -> None:
        tracker = self.latency_medians.get(route)
        if tracker is None:
            tracker = QuantileTracker(0.5, elapsed_ms)
            self.latency_medians[route] = tracker
        ratio = elapsed_ms / tracker.estimate
        tracker.observe(elapsed_ms)
        longest_in_flight_ms = max(
            map(self.median_latency_ms, view.in_flight), default=float(0)
        )
        view.record_answer(ratio, longest_in_flight_ms, now)

    def sample(self, members: Sequence[Member], count: int) -> list[Member]:
        """Sample members in a time that does not grow with their number."""
        if len(members) <= count:
            return list(members)
        return self.rng.sample(members, count)
