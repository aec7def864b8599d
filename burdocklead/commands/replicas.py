"""Show and change the set of control replicas."""

from __future__ import annotations

import asyncio

import msgspec

from burdocklead.commands.context import (
    EXIT_OK,
    EXIT_REFUSED,
    CommandContext,
    ControlAnswer,
    ask_control,
)
from burdocklead.exceptions import ControlError
from burdocklead.process.replica_http import SetPage, SetRequest

PAGE = '/v1/replicas'
OK_STATUSES = frozenset((200, 202))
CONFLICT = 409
POLL_S = 0.2
STEP = 'replicas'


class Problem(msgspec.Struct, frozen=True):
    """Why control refused a step."""

    error: str


async def show_replicas(context: CommandContext) -> int:
    """Show the replica set and return the exit code."""
    answer = await ask_control(context, 'GET', PAGE)
    _write_set(context, _page_of(answer))
    return EXIT_OK


async def add_replica(context: CommandContext, name: str, address: str) -> int:
    """Bring a replica in and return the exit code."""
    wanted = SetRequest(joining=name, address=address)
    return await _change(context, 'add', wanted)


async def remove_replica(context: CommandContext, name: str) -> int:
    """Take a replica out and return the exit code."""
    return await _change(context, 'remove', SetRequest(replica=name))


async def replace_replica(
    context: CommandContext, name: str, joining: str, address: str
) -> int:
    """Put a replica in place of another one and return the exit code."""
    wanted = SetRequest(name, joining, address)
    return await _change(context, 'replace', wanted)


async def cancel_change(context: CommandContext) -> int:
    """Take back the change in progress and return the exit code."""
    return await _change(context, 'cancel', SetRequest())


async def _change(
    context: CommandContext, action: str, wanted: SetRequest
) -> int:
    """Ask for a change and wait until it has ended.

    Raises:
        ControlError: If it did not end in time; it may end later.
    """
    body = msgspec.json.encode(wanted)
    answer = await ask_control(context, 'POST', f'{PAGE}/{action}', body)
    if answer.status == CONFLICT:
        problem = msgspec.json.decode(answer.body, type=Problem)
        context.write(f'refused: {problem.error}')
        return EXIT_REFUSED
    page = _page_of(answer)
    try:
        async with asyncio.timeout(context.settings.timeout):
            while page.following:
                await asyncio.sleep(POLL_S)
                page = _page_of(await ask_control(context, 'GET', PAGE))
    except TimeoutError:
        reason = 'the change is still in progress'
        raise ControlError(reason, step=STEP) from None
    _write_set(context, page)
    return EXIT_OK


def _page_of(answer: ControlAnswer) -> SetPage:
    if answer.status not in OK_STATUSES:
        raise ControlError(answer.body.decode(), step=STEP, peer=answer.replica)
    return msgspec.json.decode(answer.body, type=SetPage)


def _write_set(context: CommandContext, page: SetPage) -> None:
    if context.as_json:
        context.write(msgspec.json.encode(page).decode())
        return
    context.write(f'epoch {page.epoch}')
    for replica in page.replicas:
        context.write(f'{replica.replica_id}  {replica.address}')
    for joining in page.following:
        if joining not in page.replicas:
            context.write(f'{joining.replica_id}  {joining.address}  joining')
