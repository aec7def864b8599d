"""Show and change the set of control replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.http_client import HttpResponse, Request
from burdocklead.commands.replica_client import send_to_best_replica
from burdocklead.commands.tables import Table
from burdocklead.exceptions import (
    BurdockleadError,
    LostAnswerError,
    SettingsError,
)
from burdocklead.options import NamedAddresses
from burdocklead.process.replica_set_http import SetRequest, SetResponse

REPLICAS_PATH = '/v1/replicas'
ACCEPTED_STATUSES = frozenset((200, 202))
POLL_S = 0.2
STEP = 'replicas'
ACTIONS = ('list', 'add', 'remove', 'replace', 'cancel')


async def run_replicas(
    context: CommandContext, action: str, names: Sequence[str]
) -> ExitCode:
    """Run one action on the replica set and return the exit code.

    Raises:
        SettingsError: If the names do not fit the action.
    """
    match action, tuple(names):
        case 'list', ():
            return await show_replicas(context)
        case 'add', (joining,):
            return await add_replica(context, *_parse_named_address(joining))
        case 'remove', (leaving,):
            return await remove_replica(context, leaving)
        case 'replace', (leaving, joining):
            return await replace_replica(
                context, leaving, *_parse_named_address(joining)
            )
        case 'cancel', ():
            return await cancel_change(context)
        case _:
            raise SettingsError(
                f'invalid names for {action}; see --help', step=STEP
            )


async def show_replicas(context: CommandContext) -> ExitCode:
    """Show the replica set and return the exit code."""
    response = await send_to_best_replica(
        context, Request(STEP, 'GET', REPLICAS_PATH)
    )
    _write_set(context, response.decode(SetResponse))
    return ExitCode.done


async def add_replica(
    context: CommandContext, name: str, address: str
) -> ExitCode:
    """Add a replica and return the exit code."""
    change = SetRequest(joining=name, address=address)
    return await _change(context, 'add', change)


async def remove_replica(context: CommandContext, name: str) -> ExitCode:
    """Remove a replica and return the exit code."""
    return await _change(context, 'remove', SetRequest(replica=name))


async def replace_replica(
    context: CommandContext, name: str, joining: str, address: str
) -> ExitCode:
    """Replace a replica by another one and return the exit code."""
    change = SetRequest(name, joining, address)
    return await _change(context, 'replace', change)


async def cancel_change(context: CommandContext) -> ExitCode:
    """Cancel the change in progress and return the exit code."""
    return await _change(context, 'cancel', SetRequest())


async def _change(
    context: CommandContext, action: str, change: SetRequest
) -> ExitCode:
    """Request a change of the replica set and wait until it completes.

    Raises:
        LostAnswerError: If it does not complete in time; it may still do so.
    """
    body = msgspec.json.encode(change)
    request = Request(STEP, 'POST', f'{REPLICAS_PATH}/{action}', body)
    response = (await _request_change(context, request)).decode(SetResponse)
    deadline = asyncio.get_running_loop().time() + context.settings.timeout
    while response.following:
        if asyncio.get_running_loop().time() >= deadline:
            reason = 'the change is still in progress; see replicas list'
            raise LostAnswerError(reason, step=STEP, peer='control')
        await asyncio.sleep(POLL_S)
        response = await _poll(context, response)
    _write_set(context, response)
    return ExitCode.done


async def _request_change(
    context: CommandContext, request: Request
) -> HttpResponse:
    try:
        return await send_to_best_replica(context, request, ACCEPTED_STATUSES)
    except LostAnswerError as error:
        reason = f'not known; see replicas list ({error.reason})'
        raise LostAnswerError(reason, step=STEP, peer=error.peer) from None


async def _poll(
    context: CommandContext, last_response: SetResponse
) -> SetResponse:
    # Requests may fail while the set changes: a replica may lose its quorum
    # or leave.
    try:
        response = await send_to_best_replica(
            context, Request(STEP, 'GET', REPLICAS_PATH)
        )
    except BurdockleadError:
        return last_response
    return response.decode(SetResponse)


def _parse_named_address(text: str) -> tuple[str, str]:
    reason = 'must be NAME=IP:PORT'
    try:
        named = NamedAddresses().parse(text)
    except ValueError:
        raise SettingsError(reason, step=STEP, peer=text) from None
    if len(named) > 1:
        raise SettingsError(reason, step=STEP, peer=text)
    name, address = named[0]
    return name, str(address)


def _write_set(context: CommandContext, response: SetResponse) -> None:
    if context.as_json:
        context.write_json(response)
        return
    joining = [
        one for one in response.following if one not in response.replicas
    ]
    rows = (
        *(
            (one.replica_id, str(one.address), 'member')
            for one in response.replicas
        ),
        *((one.replica_id, str(one.address), 'joining') for one in joining),
    )
    columns = ('replica', 'address', 'state')
    context.write_table(Table(f'epoch {response.epoch}', columns, rows))
