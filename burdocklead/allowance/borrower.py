"""Decisions of a daemon on calls of teams with a limit, without I/O."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from burdocklead.allowance.fallback import FallbackCredit, initial_credit
from burdocklead.allowance.limits import AllowanceRules, TeamLimit
from burdocklead.allowance.messages import GrantReply

MS_PER_S = 1000
NEVER = float('-inf')
MAX_GRANTS = 64  # Kept grants of a team; more than one is rare.
FALLBACK_RETRY_S = 1.0  # A new lease holder is usually heard within 2.5 s.
MIN_RETRY_S = 0.05


class RefusalReason(enum.StrEnum):
    """Why a daemon refuses a call of a team."""

    over_limit = 'over-limit'
    over_share = 'over-share'
    no_holder = 'no-holder'


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call may run.

    Attributes:
        fallback: True if it uses the fallback share.
    """

    fallback: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The call must not run.

    Attributes:
        reason: Why.
        wait_s: Time in s after which the limit allows the call.
    """

    reason: RefusalReason
    wait_s: float


@dataclass(frozen=True, slots=True)
class AskHolder:
    """The lease holder decides."""


Decision = Admitted | Refused | AskHolder


@dataclass(slots=True)
class TeamState:
    """What a daemon knows of one team.

    Attributes:
        grants: Expiry in s and number of calls of the unused grants.
        blocked_until: Boot time in s until which the lease holder has no
            calls left.
        credit: Fallback share, None before the first fallback.
        epoch: Number of the fallback in which the credit was used last.
    """

    grants: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_GRANTS)
    )
    blocked_until: float = NEVER
    credit: FallbackCredit | None = None
    epoch: int = 0


@dataclass(slots=True)
class Borrower:
    """State of a daemon that asks the lease holder for calls.

    Attributes:
        rules: Time limits.
        term: Term of the last reply, 0 without one.
        heard: Number of the last reply within its term.
        share: Share of each limit that may be used in fallback.
        phase: Start value of fallback credits.
        replied_at: Boot time in s of the last reply.
        share_until: Boot time in s until which the share is valid.
        fallback_since: Boot time in s of the start of the fallback, None
            outside of it.
        epoch: Number of fallbacks entered.
        teams: State by team.
    """

    rules: AllowanceRules
    term: int = 0
    heard: int = 0
    share: float = 0
    phase: float = 0
    replied_at: float = NEVER
    share_until: float = NEVER
    fallback_since: float | None = None
    epoch: int = 0
    teams: dict[str, TeamState] = field(default_factory=dict)

    def apply(self, reply: GrantReply, sent_at: float, now: float) -> None:
        """Apply a reply of a lease holder to a request sent at a time.

        Grants expire by this clock, counted from before the request.
        """
        self.replied_at = max(now, self.replied_at)
        self.fallback_since = None
        if (reply.term, reply.number) > (self.term, self.heard):
            self.term = reply.term
            self.heard = reply.number
            self.share = reply.share
            self.phase = reply.phase
            self.share_until = sent_at + self.rules.share_lifetime_s
        for grant in reply.grants:
            team = self._team(grant.team)
            if grant.calls:
                expiry = sent_at + self.rules.grant_s
                team.grants.append((expiry, grant.calls))
            if grant.wait_ms:
                team.blocked_until = now + grant.wait_ms / MS_PER_S
            else:
                team.blocked_until = NEVER

    def decide(self, name: str, limit: TeamLimit, now: float) -> Decision:
        """Decide on one call; an admitted one is counted."""
        team = self._team(name)
        if self._use_grant(team, now):
            return Admitted()
        if self.in_fallback(now):
            return self._use_share(name, team, limit, now)
        if team.blocked_until > now:
            wait_s = team.blocked_until - now
            return Refused(RefusalReason.over_limit, max(wait_s, MIN_RETRY_S))
        return AskHolder()

    def decide_unanswered(
        self, name: str, limit: TeamLimit, now: float
    ) -> Decision:
        """Decide on a call that the lease holder did not answer in time."""
        decision = self.decide(name, limit, now)
        if not isinstance(decision, AskHolder):
            return decision
        wait_s = self.replied_at + self.rules.fallback_after_s - now
        return Refused(
            RefusalReason.no_holder,
            min(max(wait_s, MIN_RETRY_S), FALLBACK_RETRY_S),
        )

    def in_fallback(self, now: float) -> bool:
        """Return True if this daemon uses its fallback share now."""
        if now < self.replied_at + self.rules.fallback_after_s:
            return False
        if self.fallback_since is None:
            self.fallback_since = now
            self.epoch += 1
        return True

    def forget(self, names: frozenset[str]) -> None:
        """Remove the teams that have no limit any more."""
        for name in self.teams.keys() - names:
            self.teams.pop(name)

    def _use_grant(self, team: TeamState, now: float) -> bool:
        while team.grants:
            expiry, calls = team.grants.popleft()
            if now < expiry:
                if calls > 1:
                    team.grants.appendleft((expiry, calls - 1))
                return True
        return False

    def _use_share(
        self, name: str, team: TeamState, limit: TeamLimit, now: float
    ) -> Decision:
        share = self.share if now < self.share_until else 0
        if not share:
            return Refused(RefusalReason.no_holder, FALLBACK_RETRY_S)
        if team.credit is None:
            first = initial_credit(self.phase, name)
            team.credit = FallbackCredit(first, self.fallback_since or now)
            team.epoch = self.epoch
        if team.epoch != self.epoch:
            team.epoch = self.epoch
            team.credit.enter(self.fallback_since or now)
        team.credit.fill(now, share, limit, self.rules)
        if team.credit.take():
            return Admitted(fallback=True)
        wait_s = (1 - team.credit.credit) / (share * limit.rate)
        wait_s = min(max(wait_s, MIN_RETRY_S), FALLBACK_RETRY_S)
        return Refused(RefusalReason.over_share, wait_s)

    def _team(self, name: str) -> TeamState:
        team = self.teams.get(name)
        if team is None:
            team = TeamState()
            self.teams[name] = team
        return team
