"""Operator HTTP API of a control replica."""

from __future__ import annotations

import time
from collections.abc import Sequence
from functools import partial

from aiohttp import web

from burdocklead.durable.configuration import parse_proposal
from burdocklead.evacuation.evacuation_http import EvacuationHandlers
from burdocklead.exceptions import (
    ConfigurationError,
    ControlError,
    RefusedError,
)
from burdocklead.process.admin_http import (
    BAD_REQUEST,
    UNAVAILABLE,
    CommonHandlers,
    add_common_routes,
)
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.json_responses import error_response, json_response
from burdocklead.process.operator_credentials import (
    load_operator_credentials,
    require_token,
)
from burdocklead.process.replica_measurements import measure_replica
from burdocklead.process.replica_set_http import ReplicaSetHandlers
from burdocklead.request.block_list import BlockList
from burdocklead.values import Member
from burdocklead.version.configuration_file import decode_deployment
from burdocklead.version.deployment import Crashes

CONFLICT = 409
BASE_HEADER = 'If-Match'
MAX_FILE_BYTES = 1048576


class ControlHandlers:
    """Handlers of the operator endpoints of one replica."""

    def __init__(self, replica: ControlReplica) -> None:
        """Create the handlers for a replica."""
        self.replica = replica
        self.evacuations = EvacuationHandlers(replica.evacuations)

    def application(self) -> web.Application:
        """Return the application with all endpoints."""
        credentials = load_operator_credentials(
            self.replica.settings.operator_token_file
        )
        application = web.Application(
            client_max_size=MAX_FILE_BYTES,
            middlewares=[require_token(credentials)],
        )
        add_common_routes(
            application,
            CommonHandlers(
                self.replica.events,
                self.replica.metrics,
                self.replica.not_ready,
                partial(measure_replica, self.replica.metrics, self.replica),
            ),
        )
        application.add_routes(
            [
                web.put('/v1/configuration', self.apply),
                web.get('/v1/configuration', self.show),
                web.get('/v1/status', self.status),
                web.put('/v1/drains/{daemon}', self.drain),
                web.delete('/v1/drains/{daemon}', self.drain),
            ]
        )
        application.add_routes(self.evacuations.routes())
        application.add_routes(ReplicaSetHandlers(self.replica).routes())
        return application

    async def apply(self, request: web.Request) -> web.Response:
        """Apply a complete configuration or a patch."""
        text = await request.read()
        try:
            proposal = parse_proposal(text, _base_version(request))
            result = await self.replica.configuration.propose(proposal)
        except ConfigurationError as error:
            content = {'problems': error.problems, 'step': error.step}
            return json_response(content, BAD_REQUEST)
        except ControlError as error:
            return error_response(error, UNAVAILABLE)
        return json_response(result, 200 if result.accepted else CONFLICT)

    async def show(self, request: web.Request) -> web.Response:
        """Return the accepted configuration file."""
        file = self.replica.configuration.current
        return web.Response(
            body=file.text, headers={'Burdocklead-Version': str(file.version)}
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Start or end the drain of a daemon."""
        daemon_id = request.match_info['daemon']
        drained = request.method == 'PUT'
        live_ids = {member.daemon_id for member in self.replica.members.live()}
        if drained and daemon_id not in live_ids:
            error = RefusedError(
                'no such daemon is present', step='drain', peer=daemon_id
            )
            return error_response(error, CONFLICT)
        try:
            drains = await self.replica.drains.change(
                daemon_id, drained=drained
            )
        except ControlError as error:
            return error_response(error, UNAVAILABLE)
        return json_response(drains)

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of the replica and of the daemons that it knows."""
        members = self.replica.members.live()
        content = {
            'replica': self.replica.settings.replica_id,
            'version': self.replica.configuration.current.version,
            'quorum': not self.replica.not_ready(),
            'members': members,
            'blocked': self._blocked(members),
            'drains': self.replica.drains.current.daemons,
            'evacuations': self.evacuations.zones(),
            'dead_signals': sorted(
                signal for member in members for signal in member.dead_signals
            ),
            'syncs': self.replica.registers.store.syncs,
            'bytes_written': self.replica.registers.store.bytes_written,
        }
        return json_response(content)

    def _blocked(self, members: Sequence[Member]) -> tuple[str, ...]:
        """Return the requests that daemons block because of crashes."""
        block_list = BlockList('')
        for member in members:
            block_list.merge(member.crashes)
        return block_list.blocked(self._crash_limits(), time.time())

    def _crash_limits(self) -> Crashes:
        """Return the limits in the accepted file, or the default ones."""
        try:
            return decode_deployment(
                self.replica.configuration.current.text
            ).crashes
        except ConfigurationError:
            return Crashes()


def _base_version(request: web.Request) -> int | None:
    """Return the version in ``If-Match``, None without the header."""
    text = request.headers.get(BASE_HEADER)
    if text is None:
        return None
    try:
        return int(text.strip('" '))
    except ValueError:
        problem = f'{BASE_HEADER}: must be a version'
        raise ConfigurationError((problem,), step='apply') from None
