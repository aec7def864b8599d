"""API keys of the configuration in force in one process."""

from __future__ import annotations

import math
from dataclasses import dataclass

from burdocklead.teams.key_index import KeyIndex
from burdocklead.teams.key_proof import KeyProof
from burdocklead.version.deployment import Deployment

# A daemon that heard from a quorum within this time has the versions that were
# accepted before; twice the longest heartbeat and exchange in normal operation.
MAX_UNSURE_S = 2.0


@dataclass(slots=True)
class CurrentKeys:
    """API keys of the configuration in force.

    Attributes:
        index: The keys, None without a configuration.
        confirmed_at: Loop time in s at which a quorum of control had no newer
            configuration.
    """

    index: KeyIndex | None = None
    confirmed_at: float = -math.inf

    def is_unsure(self, now: float) -> bool:
        """Return True if a newer version may have been accepted long ago."""
        return self.is_enforced() and now - self.confirmed_at > MAX_UNSURE_S

    def use(self, deployment: Deployment) -> None:
        """Index the keys of a configuration that comes into force."""
        self.index = KeyIndex(deployment)

    def is_enforced(self) -> bool:
        """Return True if callers send API keys."""
        return self.index is not None and self.index.is_enforced

    def is_revoked(self, proof: KeyProof | None) -> bool:
        """Return True if the key of a call was removed after it was checked.

        Args:
            proof: Proof of the key, None for a call without one.
        """
        if proof is None or self.index is None:
            return False
        return self.index.revokes(proof)
