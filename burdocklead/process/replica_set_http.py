"""HTTP endpoints through which operators change the replica set."""

from __future__ import annotations

from collections.abc import Awaitable

import msgspec
from aiohttp import web

from burdocklead.decoding import decode_outside
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import SetChange
from burdocklead.exceptions import (
    ConfigurationError,
    ControlError,
    SetChangeError,
)
from burdocklead.options import SocketAddress
from burdocklead.process.admin_http import BAD_REQUEST, UNAVAILABLE
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.json_responses import error_response, json_response

ACCEPTED = 202
CONFLICT = 409
STEP = 'replica set'


class SetRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to change the replica set.

    Attributes:
        replica: Replica that leaves; empty if the request adds a replica.
        joining: Name of the replica that joins; empty if none joins.
        address: Control address of the joining replica, as IP:PORT.
    """

    replica: str = ''
    joining: str = ''
    address: str = ''


REQUEST_DECODER = msgspec.json.Decoder(SetRequest)


class SetResponse(msgspec.Struct, frozen=True):
    """Body of the responses about the replica set.

    Attributes:
        epoch: Epoch of the set.
        replicas: Replicas in force.
        following: Replicas after the change in progress, empty if none.
    """

    epoch: int
    replicas: tuple[Replica, ...]
    following: tuple[Replica, ...]


class ReplicaSetHandlers:
    """Handlers of the endpoints for the replica set."""

    def __init__(self, replica: ControlReplica) -> None:
        """Create the handlers for a replica."""
        self.replica = replica

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of all endpoints."""
        return [
            web.get('/v1/replicas', self.show),
            web.post('/v1/replicas/add', self.change),
            web.post('/v1/replicas/remove', self.change),
            web.post('/v1/replicas/replace', self.change),
            web.post('/v1/replicas/cancel', self.cancel),
        ]

    async def show(self, request: web.Request) -> web.Response:
        """Return the newest set that this replica knows."""
        return json_response(_set_response(self.replica.registers.replica_set))

    async def change(self, request: web.Request) -> web.Response:
        """Start a change; it ends once a joining replica has caught up."""
        action = request.path.rpartition('/')[2]
        try:
            change = decode_change(action, await request.read())
        except ConfigurationError as error:
            return error_response(error, BAD_REQUEST)
        return await _respond(self.replica.set_manager.start(change))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel the change in progress."""
        return await _respond(self.replica.set_manager.cancel())


def decode_change(action: str, body: bytes) -> SetChange:
    """Return the change that the body of a request describes.

    Raises:
        ConfigurationError: If the body is invalid or does not fit the action.
    """
    try:
        request = decode_outside(REQUEST_DECODER.decode, body)
        address = SocketAddress().parse(request.address or '0.0.0.0:0')
    except (msgspec.DecodeError, ValueError) as error:
        raise ConfigurationError((str(error),), step=STEP) from None
    leaves = bool(request.replica)
    joins = bool(request.joining and request.address)
    if (leaves, joins) != (action != 'add', action != 'remove'):
        problem = f'{action} needs other fields'
        raise ConfigurationError((problem,), step=STEP)
    joining = Replica(request.joining, address) if joins else None
    return SetChange(request.replica, joining)


async def _respond(change: Awaitable[ReplicaSet]) -> web.Response:
    try:
        replica_set = await change
    except SetChangeError as error:
        return error_response(error, CONFLICT)
    except ControlError as error:
        return error_response(error, UNAVAILABLE)
    status = ACCEPTED if replica_set.following else 200
    return json_response(_set_response(replica_set), status)


def _set_response(replica_set: ReplicaSet) -> SetResponse:
    return SetResponse(
        replica_set.epoch, replica_set.replicas, replica_set.following
    )
