"""Decisions of the lease holder on requests for grants, without I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from burdocklead.allowance.buckets import TokenBucket
from burdocklead.allowance.limits import AllowanceRules, TeamLimit
from burdocklead.allowance.messages import (
    GrantReply,
    GrantRequest,
    TeamDemand,
    TeamGrant,
)
from burdocklead.allowance.roster import Roster

SCAN_INTERVAL_S = 0.1  # Shorter than the margin of ``reserve_after_s``.
MS_PER_S = 1000
# Until a new version arrives, a team that only the daemon knows waits.
UNKNOWN_TEAM_WAIT_S = 0.1


@dataclass(slots=True)
class GrantBook:
    """Grants of one term.

    The token buckets of a term start empty, because the calls that the
    previous holder granted last may still run in the same window.

    Attributes:
        rules: Tolerance of the limits.
        roster: Daemons of the term.
        limits: Limits of the teams in the configuration in force.
        version: Version of that configuration.
        buckets: Token buckets by team.
        open_share: Share that is not reserved for daemons in fallback.
        scanned_at: Boot time in s at which that was computed.
    """

    rules: AllowanceRules
    roster: Roster
    limits: Mapping[str, TeamLimit] = field(default_factory=dict)
    version: int = 0
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    open_share: float = 0
    scanned_at: float = float('-inf')

    def use_limits(
        self, limits: Mapping[str, TeamLimit], version: int, now: float
    ) -> None:
        """Apply the limits of another configuration version at once.

        The time until now counts with the lower of both limits. Every bucket
        exists from here on, so that each change of the open share fills it.
        """
        buckets: dict[str, TokenBucket] = {}
        for team, limit in limits.items():
            bucket = self.buckets.get(team)
            if bucket is None:
                buckets[team] = TokenBucket(now)
                continue
            before = self.limits[team]
            lower = TeamLimit(
                min(before.rate, limit.rate), min(before.burst, limit.burst)
            )
            self._fill(bucket, lower, now)
            buckets[team] = bucket
        self.buckets = buckets
        self.limits = limits
        self.version = version

    def reply(
        self, request: GrantRequest, holder: str, now: float
    ) -> GrantReply:
        """Return the reply to a request that arrived now.

        The caller has checked that the lease is valid now.
        """
        self.scan(now)
        record = self.roster.hear(request, now)
        grants = tuple(
            self._grant(one, request.version, now) for one in request.demand
        )
        return GrantReply(
            term=self.roster.term,
            holder=holder,
            share=self.roster.next_share(record, now),
            number=record.number,
            phase=self._phase(request.daemon_id),
            grants=grants,
        )

    def scan(self, now: float) -> None:
        """Compute the reserved shares again if the last time was long ago.

        Confirmations since then take effect only now, so the smaller of both
        shares holds for the whole time in between.
        """
        if now - self.scanned_at < SCAN_INTERVAL_S:
            return
        self.scanned_at = now
        open_share = self.roster.open_share(now)
        if open_share == self.open_share:
            return
        self.open_share = min(open_share, self.open_share)
        for team, bucket in self.buckets.items():
            self._fill(bucket, self.limits[team], now)
        self.open_share = open_share

    def _grant(self, demand: TeamDemand, version: int, now: float) -> TeamGrant:
        limit = self.limits.get(demand.team)
        if limit is None:
            if version > self.version:
                return TeamGrant(demand.team, 0, UNKNOWN_TEAM_WAIT_S * MS_PER_S)
            return TeamGrant(demand.team, demand.calls)
        bucket = self.buckets[demand.team]
        rate = self._fill(bucket, limit, now)
        granted = bucket.take(demand.calls)
        if granted == demand.calls:
            return TeamGrant(demand.team, granted)
        wait_ms = bucket.wait_s(rate) * MS_PER_S
        return TeamGrant(demand.team, granted, wait_ms)

    def _fill(self, bucket: TokenBucket, limit: TeamLimit, now: float) -> float:
        """Fill a bucket and return its rate in calls per s."""
        rate = self.rules.fill_rate(limit, self.open_share)
        open_share = rate / limit.rate if limit.rate else 0
        bucket.fill(now, rate, max(limit.burst * open_share, 1))
        return rate

    def _phase(self, daemon_id: str) -> float:
        """Return a value from 0 to 1, spread evenly over the daemons."""
        names = tuple(self.roster.records)
        return names.index(daemon_id) / len(names)
