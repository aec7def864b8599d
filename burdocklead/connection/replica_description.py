"""Asks the process at a replica's address which replica it is."""

from __future__ import annotations

from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import InstallSet, SetReply
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.exceptions import ControlError

DESCRIBE_TIMEOUT_S = 2.0


async def describe_replica(
    replica: Replica, credentials: PeerCredentials
) -> SetReply:
    """Return what the process at a replica's address says of itself.

    Raises:
        ControlError: If it can't be reached.
    """
    client = ControlClient(replica.replica_id, replica.address, credentials)
    try:
        reply = await client.request(
            InstallSet(ReplicaSet()), DESCRIBE_TIMEOUT_S
        )
    finally:
        client.close()
    if isinstance(reply, SetReply):
        return reply
    raise ControlError(
        'unexpected reply', step='describe', peer=replica.replica_id
    )


async def is_without_set(
    replica: Replica, credentials: PeerCredentials
) -> bool:
    """Return True if the process is this replica and is in no set."""
    try:
        reply = await describe_replica(replica, credentials)
    except ControlError:
        return False
    is_expected = reply.identity == replica.identity
    return is_expected and not reply.replica_set.epoch
