"""Whether the daemon beside an upstream may send calls to it now."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import RefusalCause
from burdocklead.warmup.upstream_warm_up import UpstreamWarmUp


@dataclass(slots=True)
class UpstreamAccess:
    """Reasons to refuse calls beside an upstream, apart from its capacity.

    Attributes:
        zone_evacuated: True while the zone of this daemon is evacuated.
        keys: API keys of the configuration in force.
        warm_up: Limits the calls while the upstream is cold.
    """

    zone_evacuated: bool = False
    keys: CurrentKeys = field(default_factory=CurrentKeys)
    warm_up: UpstreamWarmUp = field(default_factory=UpstreamWarmUp)

    def tick(self, now: float) -> None:
        """Record at a monotonic time in s that the process runs."""
        self.warm_up.window.tick(now)

    def assume_cold(self, now: float) -> None:
        """Assume a cold upstream until it reports otherwise."""
        self.warm_up.cold_time.assume(now)

    def is_cold(self, now: float) -> bool:
        """Return True if the calls to the upstream are limited."""
        return self.warm_up.cold_s(now) > 0

    def refusal_cause(self, now: float) -> RefusalCause | None:
        """Return why a call is refused now, None if it may be sent.

        Args:
            now: Monotonic time in s.
        """
        if self.zone_evacuated:
            return RefusalCause.zone_evacuated
        if self.warm_up.wait_s(now) > 0:
            return RefusalCause.cold_upstream
        return None
