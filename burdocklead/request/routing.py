"""Choice of an upstream on stale knowledge, without I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from burdocklead.values import LoadReport, Member

CHOICES = 2


@dataclass(slots=True)
class UpstreamView:
    """What an entry daemon knows of one upstream.

    Attributes:
        in_flight: Attempts of this entry without a result.
        load: Last load report, None before the first.
        load_at: Monotonic time of that report in s.
    """

    in_flight: int = 0
    load: LoadReport | None = None
    load_at: float = 0


@dataclass(slots=True)
class Router:
    """Chooses among the upstreams of a service.

    Attributes:
        zone: Availability zone of this daemon.
        rng: Source of the random choices.
        views: What is known by daemon.
    """

    zone: str
    rng: random.Random
    views: dict[str, UpstreamView] = field(default_factory=dict)

    def view_of(self, daemon_id: str) -> UpstreamView:
        """Return what is known of an upstream."""
        return self.views.setdefault(daemon_id, UpstreamView())

    def choose(self, candidates: Sequence[Member], now: float) -> Member:
        """Return the better of a few upstreams chosen at random."""
        count = min(CHOICES, len(candidates))
        chosen = self.rng.sample(list(candidates), count)
        return min(chosen, key=self.score)

    def score(self, member: Member) -> float:
        """Return the expected share of slots in use; lower is better."""
        view = self.view_of(member.daemon_id)
        reported = 0
        if view.load is not None:
            reported = view.load.busy + view.load.queued
        return max(view.in_flight, reported) / max(member.slots, 1)

    def start_attempt(self, daemon_id: str) -> None:
        """Note an attempt sent to an upstream."""
        self.view_of(daemon_id).in_flight += 1

    def finish_attempt(self, daemon_id: str) -> None:
        """Note that an attempt has its result or was given up."""
        self.view_of(daemon_id).in_flight -= 1

    def observe_load(
        self, daemon_id: str, load: LoadReport, now: float
    ) -> None:
        """Take note of a load report."""
        view = self.view_of(daemon_id)
        view.load = load
        view.load_at = now
