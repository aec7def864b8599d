"""Client for the admin API of the control replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec

from burdocklead.commands.context import CommandContext
from burdocklead.commands.http_client import (
    JSON_TYPE,
    OK,
    HttpResponse,
    Peer,
    Request,
    send_request,
)
from burdocklead.exceptions import (
    BurdockleadError,
    ControlError,
    LostAnswerError,
    QuorumError,
    UnreachableError,
)
from burdocklead.process.operator_credentials import load_operator_credentials
from burdocklead.values import Member

DECISIVE_STATUSES = frozenset((200, 400, 409))
ONLY_OK = frozenset((OK,))
FIRST_SERVER_ERROR = 500
STATUS_PATH = '/v1/status'


class ControlStatus(msgspec.Struct, frozen=True):
    """Status of a control replica.

    A list that the replica does not report is None.

    Attributes:
        replica: Name of the replica.
        version: Newest accepted version known to the replica.
        quorum: True if the replica recently had contact with a quorum.
        members: Daemons with a valid lease.
        drains: Daemons drained by operators.
        blocked: Fingerprints of requests blocked after crashes.
        dead_signals: Descriptions of signals that no longer carry
            information.
        evacuations: Evacuated zones.
    """

    replica: str
    version: int
    quorum: bool
    members: tuple[Member, ...]
    drains: tuple[str, ...] | None = None
    blocked: tuple[str, ...] | None = None
    dead_signals: tuple[str, ...] | None = None
    evacuations: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """Result of a status request to one replica.

    Attributes:
        peer: The replica as named in the settings.
        status: Its status, None if the request failed.
        problem: Why there is no status, empty if there is one.
    """

    peer: Peer
    status: ControlStatus | None = None
    problem: str = ''


def control_peers(context: CommandContext) -> tuple[Peer, ...]:
    """Return the control replicas named in the settings."""
    settings = context.settings
    return tuple(
        Peer(name, address, settings.tls_authority)
        for name, address in settings.control_admin
    )


async def fetch_replica_views(
    context: CommandContext, step: str
) -> tuple[ReplicaView, ...]:
    """Request the status of all replicas concurrently."""
    request = Request(step, 'GET', STATUS_PATH)
    limit_s = context.settings.timeout
    return tuple(
        await asyncio.gather(
            *(
                _fetch_replica_view(peer, request, limit_s)
                for peer in control_peers(context)
            )
        )
    )


async def _fetch_replica_view(
    peer: Peer, request: Request, limit_s: float
) -> ReplicaView:
    try:
        response = await send_request(peer, request, limit_s)
        if response.status != OK:
            raise response.failure()
        return ReplicaView(peer, response.decode(ControlStatus))
    except BurdockleadError as error:
        return ReplicaView(peer, problem=error.reason)


async def find_best_replica(context: CommandContext, step: str) -> ReplicaView:
    """Return the replica with a quorum that has the newest version.

    Raises:
        UnreachableError: If no replica responds.
        QuorumError: If no replica that responds has a quorum.
    """
    views = await fetch_replica_views(context, step)
    answered = [view for view in views if view.status is not None]
    if not answered:
        reason = f'no replica answers ({join_problems(views)})'
        raise UnreachableError(reason, step=step, peer='control')
    usable = [view for view in answered if _has_quorum(view)]
    if not usable:
        names = ', '.join(view.peer.name for view in answered)
        reason = f'no replica has a quorum; cut off: {names}'
        raise QuorumError(reason, step=step, peer='control')
    return max(usable, key=_version_of)


async def send_to_best_replica(
    context: CommandContext,
    request: Request,
    accepted: frozenset[int] = ONLY_OK,
) -> HttpResponse:
    """Send a request to the best replica and return the response.

    Args:
        context: Names the replicas.
        request: The request, without the operator token.
        accepted: Status codes of success.

    Raises:
        ControlError: If no replica has a quorum or the request fails.
    """
    view = await find_best_replica(context, request.step)
    request = with_token(context, request)
    response = await send_request(view.peer, request, context.settings.timeout)
    if response.status not in accepted:
        raise response.failure()
    return response


async def send_with_failover(
    context: CommandContext, request: Request
) -> HttpResponse:
    """Try the replicas in turn and return the first decisive response.

    The request must be idempotent: a replica that did not respond may have
    processed it.

    Raises:
        UnreachableError: If no replica could be reached.
        LostAnswerError: If a replica was reached but none decided.
    """
    peers = control_peers(context)
    limit_s = context.settings.timeout / len(peers)
    request = with_token(context, request)
    failures: list[BurdockleadError] = []
    for peer in peers:
        try:
            response = await send_request(peer, request, limit_s)
        except ControlError as error:
            failures.append(error)
            continue
        if _is_decisive(response, failures):
            return response
        failures.append(response.failure())
    raise _failover_error(request.step, failures)


def with_token(context: CommandContext, request: Request) -> Request:
    """Return the request with the operator token, if one is configured.

    Raises:
        SettingsError: If the token file is invalid.
    """
    credentials = load_operator_credentials(
        context.settings.operator_token_file
    )
    return replace(request, headers={**request.headers, **credentials.header()})


def _is_decisive(
    response: HttpResponse, failures: Sequence[BurdockleadError]
) -> bool:
    if response.content_type != JSON_TYPE:
        return False
    # Any other client error means that this replica did not process the
    # request; it is decisive only if no earlier replica may have done so.
    none_reached = all(isinstance(one, UnreachableError) for one in failures)
    return response.status in DECISIVE_STATUSES or (
        none_reached and response.status < FIRST_SERVER_ERROR
    )


def _failover_error(
    step: str, failures: Sequence[BurdockleadError]
) -> ControlError:
    reasons = '; '.join(f'{one.peer}: {one.reason}' for one in failures)
    if all(isinstance(one, UnreachableError) for one in failures):
        return UnreachableError(
            f'reached no replica ({reasons})', step=step, peer='control'
        )
    return LostAnswerError(reasons, step=step, peer='control')


def join_problems(views: Sequence[ReplicaView]) -> str:
    """Return the problems of all replicas in one line."""
    return '; '.join(
        f'{view.peer.name}: {view.problem}' for view in views if view.problem
    )


def _has_quorum(view: ReplicaView) -> bool:
    match view.status:
        case ControlStatus(quorum=quorum):
            return quorum
        case _:
            return False


def _version_of(view: ReplicaView) -> int:
    return view.status.version if view.status else 0
