"""Messages between daemons and control replicas, and among replicas."""

from __future__ import annotations

import msgspec

from burdocklead.allowance.messages import GrantReply, GrantRequest
from burdocklead.clock import NO_TIME, HybridTime
from burdocklead.durable.claims import ClaimFinish, ClaimReply, ClaimStart
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.durable.drains import NO_DRAINS, DrainList
from burdocklead.durable.register import Phase, PhaseReply, Register
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.evacuation.zone_list import EvacuatedZones
from burdocklead.values import Member


class Phases(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Batch of phases of consensus rounds on registers.

    Attributes:
        epoch: Epoch of the sender's replica set; a replica with another epoch
            refuses the batch.
        phases: Phases in the order in which they are handled.
        recipient: Identity of the data folder whose vote is requested. Another
            replica may have taken over the address.
    """

    epoch: int
    phases: tuple[Phase, ...]
    recipient: str = ''


class InstallSet(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Announce a replica set, which the receiver installs if it is newer."""

    replica_set: ReplicaSet


class SetReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Description of a replica by itself.

    Attributes:
        replica_id: ID of the replica.
        identity: Identity of its data folder.
        replica_set: Newest replica set that it knows.
        zone: Availability zone of the replica.
    """

    replica_id: str
    identity: str
    replica_set: ReplicaSet
    zone: str = ''


class CatchUp(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request the registers whose keys follow a key, in key order.

    Attributes:
        epoch: Epoch of the sender's replica set.
        after: Last key received, empty for the first page.
        recipient: Identity of the data folder to read, as in ``Phases``.
    """

    epoch: int
    after: str
    recipient: str = ''


class CatchUpPage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Page of the registers of one acceptor.

    Attributes:
        entries: Keys and states of registers in key order.
        last: True if no registers follow.
    """

    entries: tuple[tuple[str, Register], ...]
    last: bool


class PhaseReplies(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Replies to a batch in its order, sent once all changes are synced."""

    replies: tuple[PhaseReply, ...]


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """Position in one replica's sequence of membership changes.

    Attributes:
        replica_id: ID of the replica that numbers the changes.
        incarnation: Start time of that replica process in nanoseconds.
        change: Number of the last known change; 0 requests all.
    """

    replica_id: str = ''
    incarnation: int = 0
    change: int = 0


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one daemon as known to a replica.

    Attributes:
        member: Description that the daemon sent last.
        gone: True if the daemon left or its lease expired.
        age_ms: Milliseconds since the daemon's last heartbeat.
        home: ID of the replica to which the daemon sends heartbeats.
        sent_at: Time at which the daemon sent its last known heartbeat.
    """

    member: Member
    gone: bool
    age_ms: float
    home: str = ''
    sent_at: HybridTime = NO_TIME


class Heartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Description of a daemon by itself, with a request for changes."""

    member: Member
    cursor: Cursor
    known_version: int
    time: HybridTime
    known_epoch: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Changes since the cursor of a heartbeat or an exchange.

    Attributes:
        cursor: Cursor for the next request.
        is_snapshot: True if the updates are the whole membership.
        updates: Daemons that changed.
        file: Accepted configuration file, None if it is not newer than the
            known version.
        quorum_age_ms: Milliseconds since the replica last heard of a quorum.
        time: Hybrid time of the replica.
        replica_set: Replica set, None if it is not newer than the known epoch.
        drains: Daemons drained by operators.
        is_settled: False if the replica started a short time ago and may not
            have heard all daemons yet.
        evacuations: Evacuated zones, None if the replica doesn't know them.
        identity: Identity of the replica's data folder.
    """

    cursor: Cursor
    is_snapshot: bool
    updates: tuple[MemberUpdate, ...]
    file: AcceptedFile | None
    quorum_age_ms: float
    time: HybridTime
    replica_set: ReplicaSet | None = None
    drains: DrainList = NO_DRAINS
    is_settled: bool = True
    evacuations: EvacuatedZones | None = None
    identity: str = ''


class Exchange(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request of a replica to another one for its changes.

    Attributes:
        known_digest: SHA-256 digest of the text of the configuration known to
            the sender.
        sender: The sending replica with its address and the identity of its
            data folder.
        evacuations: Evacuated zones known to the sender, None if it knows
            none yet.
        drains: Daemons drained by operators, as known to the sender.
    """

    replica_id: str
    cursor: Cursor
    known_version: int
    time: HybridTime
    known_epoch: int = 0
    known_digest: str = ''
    sender: Replica | None = None
    evacuations: EvacuatedZones | None = None
    drains: DrainList = NO_DRAINS


class Failure(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reply to a request that failed.

    Attributes:
        step: Step that failed.
        reason: Reason of the failure.
        no_quorum: True if no quorum answered.
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
    | GrantRequest
)
ControlReply = (
    PhaseReplies
    | SetReply
    | CatchUpPage
    | HeartbeatReply
    | ClaimReply
    | GrantReply
    | Failure
)

message_encoder = msgspec.msgpack.Encoder()
request_decoder: msgspec.msgpack.Decoder[ControlRequest] = (
    msgspec.msgpack.Decoder(ControlRequest)
)
reply_decoder: msgspec.msgpack.Decoder[ControlReply] = msgspec.msgpack.Decoder(
    ControlReply
)
