"""API keys of the configuration in force in one process."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.teams.key_index import KeyIndex
from burdocklead.teams.key_proof import KeyProof
from burdocklead.version.deployment import Deployment


@dataclass(slots=True)
class CurrentKeys:
    """API keys of the configuration in force.

    Attributes:
        index: The keys, None without a configuration.
    """

    index: KeyIndex | None = None

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
