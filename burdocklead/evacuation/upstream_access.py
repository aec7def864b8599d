"""Whether the daemon beside an upstream may send calls to it now."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import RefusalCause


@dataclass(slots=True)
class UpstreamAccess:
    """Reasons to refuse calls beside an upstream, apart from its capacity.

    Attributes:
        zone_evacuated: True while the zone of this daemon is evacuated.
        keys: API keys of the configuration in force.
    """

    zone_evacuated: bool = False
    keys: CurrentKeys = field(default_factory=CurrentKeys)

    def refusal_cause(self) -> RefusalCause | None:
        """Return why a call is refused now, None if it may be sent."""
        return RefusalCause.zone_evacuated if self.zone_evacuated else None
