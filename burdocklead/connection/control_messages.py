"""Messages between daemons and control replicas, and among replicas."""

from __future__ import annotations

import msgspec

from burdocklead.clock import HybridTime
from burdocklead.durable.claims import ClaimFinish, ClaimReply, ClaimStart
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.durable.drains import NO_DRAINS, DrainList
from burdocklead.durable.register import Phase, PhaseReply, Register
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.values import Member


class Phases(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A batch of phases of rounds on registers.

    Attributes:
        epoch: Epoch of the sender's replica set; others are refused.
        phases: The phases, handled in order.
    """

    epoch: int
    phases: tuple[Phase, ...]


class InstallSet(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tell a replica set; a newer one is taken over, and all learn it."""

    replica_set: ReplicaSet


class SetReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A replica describes itself.

    Attributes:
        replica_id: Its name.
        identity: Identity of its data folder.
        replica_set: The newest set that it knows.
        zone: Its availability zone.
    """

    replica_id: str
    identity: str
    replica_set: ReplicaSet
    zone: str = ''


class CatchUp(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask for registers whose key comes after one, in order of keys."""

    epoch: int
    after: str


class CatchUpPage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Some registers of one acceptor.

    Attributes:
        entries: Keys and states in order.
        last: True if there are none behind them.
    """

    entries: tuple[tuple[str, Register], ...]
    last: bool


class PhaseReplies(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The replies to a batch, in its order, once all is synced."""

    replies: tuple[PhaseReply, ...]


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """A place in one replica's order of membership changes.

    Attributes:
        replica_id: Replica that numbers the changes.
        incarnation: Start time in ns of that replica process.
        change: Number of the last change known; 0 asks for all.
    """

    replica_id: str = ''
    incarnation: int = 0
    change: int = 0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a replica knows of one daemon.

    Attributes:
        member: The daemon as it last described itself.
        gone: True if the daemon left or its lease ran out.
        age_ms: Time since the daemon was last heard of.
        home: Replica that hears the daemon itself.
    """

    member: Member
    gone: bool
    age_ms: float
    home: str = ''


class Heartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A daemon describes itself and asks for what changed."""

    member: Member
    cursor: Cursor
    known_version: int
    time: HybridTime
    known_epoch: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What changed since the cursor.

    Attributes:
        cursor: Cursor for the next heartbeat.
        is_snapshot: True if the updates are the whole membership.
        updates: Daemons that changed.
        file: Accepted file if newer than the known version.
        quorum_age_ms: Time since the replica last heard of a quorum.
        time: Hybrid time of the replica.
        replica_set: The replica set if newer than the known epoch.
        drains: Daemons that operators drain.
    """

    cursor: Cursor
    is_snapshot: bool
    updates: tuple[MemberUpdate, ...]
    file: AcceptedFile | None
    quorum_age_ms: float
    time: HybridTime
    replica_set: ReplicaSet | None = None
    drains: DrainList = NO_DRAINS


class Exchange(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A replica asks another one for what changed.

    Attributes:
        known_digest: Digest of the configuration that it knows.
        sender: The replica with its address and the identity of its folder.
    """

    replica_id: str
    cursor: Cursor
    known_version: int
    time: HybridTime
    known_epoch: int = 0
    known_digest: str = ''
    sender: Replica | None = None


class Failure(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A request could not be carried out.

    Attributes:
        step: Step that failed.
        reason: Why it failed.
        no_quorum: True if a quorum did not answer.
    """

    step: str
    reason: str
    no_quorum: bool = False


ControlRequest = (
    Phases
    | InstallSet
    | CatchUp
    | Heartbeat
    | Exchange
    | ClaimStart
    | ClaimFinish
)
ControlReply = (
    PhaseReplies
    | SetReply
    | CatchUpPage
    | HeartbeatReply
    | ClaimReply
    | Failure
)

message_encoder = msgspec.msgpack.Encoder()
request_decoder: msgspec.msgpack.Decoder[ControlRequest] = (
    msgspec.msgpack.Decoder(ControlRequest)
)
reply_decoder: msgspec.msgpack.Decoder[ControlReply] = msgspec.msgpack.Decoder(
    ControlReply
)
