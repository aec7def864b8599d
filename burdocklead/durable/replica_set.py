"""The set of control replicas and which of them form a quorum."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

import msgspec

from burdocklead.durable.register import quorum_size
from burdocklead.values import Address

NO_QUORUM_AGE_S = 1e9


class Replica(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a replica set.

    Attributes:
        replica_id: Name of the replica.
        address: Its control address.
        identity: Identity of its data folder, empty if unknown.
        zone: Its availability zone, empty if unknown.
    """

    replica_id: str
    address: Address
    identity: str = ''
    zone: str = ''


class ReplicaSet(msgspec.Struct, frozen=True):
    """The replicas of one epoch.

    While a change is in progress, a quorum needs a majority of the replicas
    and a majority of the replicas after the change.

    Attributes:
        epoch: Number of the set, incremented by each step of a change.
        replicas: Replicas in force, before any change in progress.
        following: Replicas after the change in progress, empty if none.
    """

    epoch: int = 0
    replicas: tuple[Replica, ...] = ()
    following: tuple[Replica, ...] = ()

    @property
    def names(self) -> frozenset[str]:
        """Return the names of all replicas, before and after a change."""
        return names_of(self.replicas) | names_of(self.following)

    def is_quorum(self, names: AbstractSet[str]) -> bool:
        """Return True if the named replicas form a quorum."""
        if not is_majority(names, self.replicas):
            return False
        return not self.following or is_majority(names, self.following)

    def quorum_age(self, ages: Mapping[str, float]) -> float:
        """Return the time within which a quorum was heard, in s.

        Args:
            ages: Time since each replica was last heard, in s.
        """
        heard: set[str] = set()
        for age, name in sorted((age, name) for name, age in ages.items()):
            heard.add(name)
            if self.is_quorum(heard):
                return age
        return NO_QUORUM_AGE_S

    def find(self, replica_id: str) -> Replica | None:
        """Return a replica by name, None if it is not in the set."""
        for replica in (*self.replicas, *self.following):
            if replica.replica_id == replica_id:
                return replica
        return None

    def identity_of(self, replica_id: str) -> str:
        """Return the identity of a replica, empty if it is not in the set."""
        replica = self.find(replica_id)
        return replica.identity if replica else ''

    def addresses(self) -> tuple[tuple[str, Address], ...]:
        """Return names and addresses of the replicas after any change."""
        return tuple(
            (replica.replica_id, replica.address)
            for replica in self.following or self.replicas
        )

    def joining(self) -> tuple[Replica, ...]:
        """Return the replicas that a change in progress adds."""
        present = names_of(self.replicas)
        return tuple(
            replica
            for replica in self.following
            if replica.replica_id not in present
        )


def names_of(replicas: tuple[Replica, ...]) -> frozenset[str]:
    """Return the names of replicas."""
    return frozenset(replica.replica_id for replica in replicas)


def is_majority(names: AbstractSet[str], replicas: tuple[Replica, ...]) -> bool:
    present = len(names & names_of(replicas))
    return present >= quorum_size(len(replicas))
