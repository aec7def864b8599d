"""Start-time fair queueing of the calls of teams, without I/O.

Load: a team that sends several times its usual calls to a full upstream. Each
call gets a start tag, the virtual time at its arrival or the end of its team's
earlier work, whichever is later. A backlog gives the later calls of a team
higher tags, so that those of other teams go first. The share of an idle team
goes to the others, since virtual time follows the calls that start.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.fairness.tickets import Ticket

# Tags within one round are equal, so that urgent calls go first among calls of
# teams with about the same use; two or three calls of a usual deployment.
ROUND_MS = 400.0
MAX_TEAMS = 256  # Several times the teams of a large deployment.


@dataclass(slots=True)
class TeamShares:
    """Use of one upstream by team.

    Calls that carry no team count as one team. Without any team, all calls are
    in round 0 and nothing is stored.

    Attributes:
        virtual_ms: Virtual time, the highest start tag of a call that started.
        finish_ms: End of the work of each team in virtual time; a team without
            an entry is idle.
        has_teams: True once a call carried a team.
    """

    virtual_ms: float = 0
    finish_ms: dict[str, float] = field(default_factory=dict)
    has_teams: bool = False

    def round_of(self, ticket: Ticket) -> int:
        """Return the round of a new call; lower rounds go first."""
        if ticket.team:
            self.has_teams = True
        if not self.has_teams or ticket.nested:
            return 0
        return int(self._start_ms(ticket.team) // ROUND_MS)

    def charge(self, ticket: Ticket, cost_ms: float) -> None:
        """Add a call that waits or starts to the work of its team."""
        if not self.has_teams or ticket.nested:
            return
        self.finish_ms[ticket.team] = self._start_ms(ticket.team) + cost_ms
        if len(self.finish_ms) > MAX_TEAMS:
            self._forget_lowest()

    def start(self, round_number: int) -> None:
        """Advance the virtual time to the round of a call that starts."""
        self.virtual_ms = max(self.virtual_ms, round_number * ROUND_MS)

    def forget_all(self) -> None:
        """Make all teams idle, as an upstream without calls does."""
        self.finish_ms.clear()

    def _forget_lowest(self) -> None:
        """Keep the half of the teams that have used the upstream most."""
        by_finish = sorted(
            self.finish_ms, key=self.finish_ms.__getitem__, reverse=True
        )
        for team in by_finish[MAX_TEAMS // 2 :]:
            self.finish_ms.pop(team)

    def _start_ms(self, team: str) -> float:
        return max(self.virtual_ms, self.finish_ms.get(team, 0))
