"""Counts the calls of teams with a bounded number of label values."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.metrics import TEAM_CALLS, MetricSet
from burdocklead.values import Outcome

MAX_LABELS = 128  # Each value takes memory in this process and at the scraper.
OTHER_TEAMS = 'other'


@dataclass(slots=True)
class TeamMetrics:
    """Counts the calls of teams.

    Names keep their label for the life of the process, as counters can't be
    dropped.

    Attributes:
        metrics: Metrics of the process.
        names: Teams that have a label of their own.
    """

    metrics: MetricSet
    names: set[str] = field(default_factory=set)

    def count(self, team: str, outcome: Outcome) -> None:
        """Count a call of a team; one without a team isn't counted."""
        if team:
            self.metrics.count(TEAM_CALLS, self.label_of(team), outcome.value)

    def label_of(self, team: str) -> str:
        """Return the label of a team."""
        if team in self.names:
            return team
        if len(self.names) >= MAX_LABELS - 1:
            return OTHER_TEAMS
        self.names.add(team)
        return team
