"""Rate limits, their tolerance and the time limits of the protocol."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from burdocklead.settings import ProcessSettings
from burdocklead.version.deployment import Deployment

# Shares of the tolerance; the rest is for the rounding of fallback shares.
HOLDER_PART = 0.4
FALLBACK_PART = 0.3


@dataclass(frozen=True, slots=True)
class TeamLimit:
    """Limit on the calls of one team over all daemons.

    Attributes:
        rate: Calls per s.
        burst: Calls at once in addition to the rate.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllowanceRules:
    """Tolerance of the limits and the times of the protocol in s.

    Attributes:
        window_s: Length of the sliding window in which a limit holds.
        overage: Tolerated share of calls over a limit.
        slack: Tolerated calls per window in addition to the share.
        lease_s: Time for which a lease is valid after its renewal.
        renewal_s: Time between renewals.
        max_grant_s: Longest lifetime of a grant.
        grant_wait_s: Longest wait of a call for a grant.
        fallback_after_s: Time after the last reply of the lease holder from
            which a daemon uses its fallback share.
        reserve_after_s: Time after the last confirmed reply from which the
            lease holder assumes so; shorter by the interval of its scans.
        keepalive_s: Longest time between two requests of a daemon.
        share_lifetime_s: Time for which a fallback share is valid.
    """

    window_s: float = 5
    overage: float = 0.1
    slack: float = 0
    lease_s: float = 1.5
    renewal_s: float = 0.5
    max_grant_s: float = 0.3
    grant_wait_s: float = 0.3
    fallback_after_s: float = 1.2
    reserve_after_s: float = 1.0
    keepalive_s: float = 0.3
    share_lifetime_s: float = 1800

    @property
    def grant_s(self) -> float:
        """Return the lifetime of a grant in s.

        Calls granted during this time before a window may run in it, which
        takes at most 0.6 of the tolerated share.
        """
        return min(self.max_grant_s, 0.6 * self.overage * self.window_s)

    @property
    def takeover_s(self) -> float:
        """Return the age in s at which a renewed lease may be taken over."""
        return self.lease_s + self.grant_s

    def spare_calls(self, limit: TeamLimit) -> float:
        """Return the tolerated calls per window that grants don't use."""
        allowed = limit.rate * self.window_s + limit.burst
        return allowed * self.overage + self.slack - limit.rate * self.grant_s

    def fill_rate(self, limit: TeamLimit, open_share: float) -> float:
        """Return the calls per s that the lease holder may grant.

        Args:
            limit: The limit of the team.
            open_share: Share that is not reserved for daemons in fallback.
        """
        spare_rate = HOLDER_PART * self.spare_calls(limit) / self.window_s
        rate = limit.rate * open_share + spare_rate
        return max(min(rate, limit.rate), 0)

    def fallback_burst(self, limit: TeamLimit) -> float:
        """Return the calls that all daemons in fallback may save up."""
        spare = max(self.spare_calls(limit), 0)
        return limit.burst + FALLBACK_PART * spare


def rules_of(settings: ProcessSettings) -> AllowanceRules:
    """Return the rules that the settings of a process contain."""
    return AllowanceRules(
        window_s=settings.rate_window,
        overage=settings.rate_overage,
        slack=settings.rate_slack,
    )


def team_limits(deployment: Deployment | None) -> Mapping[str, TeamLimit]:
    """Return the limits of the teams that have one."""
    teams = deployment.teams if deployment else {}
    return {
        name: TeamLimit(team.rate, team.burst or 0)
        for name, team in teams.items()
        if team.rate
    }
