"""API keys of one configuration version, found by their digests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from burdocklead.version.deployment import Deployment


class KeyProof(msgspec.Struct, frozen=True, array_like=True):
    """Proof that a configuration version had the key of a call.

    Attributes:
        digest: Digest of the key.
        version: The configuration version.
    """

    digest: bytes
    version: int


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The team that an API key belongs to.

    Attributes:
        team: Name of the team.
        rank: Rank of its calls, None if the rank of the route applies.
        proof: Proof of the key.
    """

    team: str
    rank: int | None
    proof: KeyProof


class KeyIndex:
    """Owners of the API keys of one configuration version.

    Keys are compared as SHA-256 digests, so that the time of a lookup tells
    nothing about how much of a key was right.

    Attributes:
        version: The configuration version.
        is_enforced: True if the configuration has teams.
        owners: Owners of the keys by digest.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Index the keys of all teams."""
        self.version = deployment.version
        self.is_enforced = bool(deployment.teams)
        self.owners: dict[bytes, KeyOwner] = {}
        for name, team in deployment.teams.items():
            for key in team.keys:
                proof = KeyProof(digest_of_key(key), self.version)
                self.owners[proof.digest] = KeyOwner(name, team.rank, proof)

    def find_owner(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, None if no team has it."""
        return self.owners.get(digest_of_key(key))

    def revokes(self, proof: KeyProof) -> bool:
        """Return True if this version removed the key of a proof.

        An older version than that of the proof may not know the key yet.
        """
        return (
            self.is_enforced
            and self.version > proof.version
            and proof.digest not in self.owners
        )


def digest_of_key(key: str) -> bytes:
    """Return the digest of a key, which may contain undecodable bytes."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).digest()
