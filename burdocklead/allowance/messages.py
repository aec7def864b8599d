"""Messages by which daemons ask the lease holder for calls of teams."""

from __future__ import annotations

import msgspec


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """Calls of one team that wait for a grant."""

    team: str
    calls: int


class TeamGrant(msgspec.Struct, frozen=True, array_like=True):
    """Calls of one team that are granted.

    Attributes:
        team: Name of the team.
        calls: Number of granted calls.
        wait_ms: Time after which the next call may be granted in ms, 0 if
            all requested calls are granted.
    """

    team: str
    calls: int
    wait_ms: float = 0


class GrantRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request for grants; without a demand it keeps the session alive.

    Attributes:
        daemon_id: The daemon that asks.
        incarnation: Start time of its process in ns.
        term: Term of the last reply that it received, 0 without one.
        heard: Number of that reply.
        version: Configuration version in force there.
        demand: Calls that wait.
    """

    daemon_id: str
    incarnation: int
    term: int = 0
    heard: int = 0
    version: int = 0
    demand: tuple[TeamDemand, ...] = ()


class GrantReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply of the lease holder, or of a replica that names it.

    Attributes:
        term: Term of the lease holder; 0 if this replica is not it.
        holder: ID of the replica that holds the lease, empty if not known.
        number: Number of this reply to the daemon within the term.
        share: Share of each limit that the daemon may use in fallback.
        phase: Start value of its fallback credits, from 0 to 1.
        grants: Granted calls in the order of the demand.
    """

    term: int
    holder: str
    number: int = 0
    share: float = 0
    phase: float = 0
    grants: tuple[TeamGrant, ...] = ()
