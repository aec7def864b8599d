"""Fixed share of a limit that a daemon uses without a lease holder."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from burdocklead.allowance.limits import AllowanceRules, TeamLimit

PHASE_STEPS = 1 << 32


@dataclass(slots=True)
class FallbackCredit:
    """Calls of one team that this daemon may send in fallback.

    The credits of daemons start at different values from 0 to 1, so that
    many daemons with a share far below one call together use the sum of their
    shares. Credit above one call is kept only for as long as the sum over all
    daemons stays within the burst.

    Attributes:
        credit: Calls; one may be sent from 1 on.
        at: Boot time in s up to which it is filled.
    """

    credit: float
    at: float

    def enter(self, now: float) -> None:
        """Start a fallback; calls saved up in an earlier one are dropped."""
        self.credit = math.modf(self.credit)[0]
        self.at = now

    def fill(
        self, now: float, share: float, limit: TeamLimit, rules: AllowanceRules
    ) -> None:
        """Add the share of the time since the last fill.

        Credit that exceeds one call plus the share of the burst lapses by
        whole calls: the daemon may use each call for a limited time.
        """
        self.credit += share * limit.rate * max(now - self.at, 0)
        self.at = max(now, self.at)
        most = 1 + share * rules.fallback_burst(limit)
        if self.credit >= most:
            self.credit = most - 1 + math.modf(self.credit - most)[0]

    def take(self) -> bool:
        """Take one call; return False if there is none."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


def initial_credit(phase: float, team: str) -> float:
    """Return the first credit of a daemon for a team, from 0 to 1."""
    return math.modf(phase + zlib.crc32(team.encode()) / PHASE_STEPS)[0]
