"""Show and change the set of control replicas."""

from __future__ import annotations

import asyncio

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.control_pages import best_replica, with_token
from burdocklead.commands.http_client import HttpAnswer, Request, send_request
from burdocklead.commands.tables import Table
from burdocklead.exceptions import LostAnswerError
from burdocklead.process.replica_http import SetPage, SetRequest

PAGE = '/v1/replicas'
OK_STATUSES = frozenset((200, 202))
CONFLICT = 409
POLL_S = 0.2
STEP = 'replicas'


class Problem(msgspec.Struct, frozen=True):
    """Why control refused a step."""

    error: str


async def show_replicas(context: CommandContext) -> ExitCode:
    """Show the replica set and return the exit code."""
    _write_set(context, _page_of(await _ask(context, 'GET', PAGE)))
    return ExitCode.done


async def add_replica(
    context: CommandContext, name: str, address: str
) -> ExitCode:
    """Bring a replica in and return the exit code."""
    wanted = SetRequest(joining=name, address=address)
    return await _change(context, 'add', wanted)


async def remove_replica(context: CommandContext, name: str) -> ExitCode:
    """Take a replica out and return the exit code."""
    return await _change(context, 'remove', SetRequest(replica=name))


async def replace_replica(
    context: CommandContext, name: str, joining: str, address: str
) -> ExitCode:
    """Put a replica in place of another one and return the exit code."""
    wanted = SetRequest(name, joining, address)
    return await _change(context, 'replace', wanted)


async def cancel_change(context: CommandContext) -> ExitCode:
    """Take back the change in progress and return the exit code."""
    return await _change(context, 'cancel', SetRequest())


async def _change(
    context: CommandContext, action: str, wanted: SetRequest
) -> ExitCode:
    """Ask for a change and wait until it has ended.

    Raises:
        LostAnswerError: If it did not end in time; it may end later.
    """
    body = msgspec.json.encode(wanted)
    answer = await _ask(context, 'POST', f'{PAGE}/{action}', body)
    if answer.status == CONFLICT:
        problem = answer.decode(Problem)
        context.write(f'refused: {problem.error}')
        return ExitCode.refused
    page = _page_of(answer)
    try:
        async with asyncio.timeout(context.settings.timeout):
            while page.following:
                await asyncio.sleep(POLL_S)
                page = _page_of(await _ask(context, 'GET', PAGE))
    except TimeoutError:
        reason = 'the change is still in progress'
        raise LostAnswerError(reason, step=STEP, peer='control') from None
    _write_set(context, page)
    return ExitCode.done


async def _ask(
    context: CommandContext, method: str, path: str, body: bytes = b''
) -> HttpAnswer:
    view = await best_replica(context, STEP)
    request = with_token(context, Request(STEP, method, path, body))
    return await send_request(view.peer, request, context.settings.timeout)


def _page_of(answer: HttpAnswer) -> SetPage:
    if answer.status not in OK_STATUSES:
        raise answer.failure()
    return answer.decode(SetPage)


def _write_set(context: CommandContext, page: SetPage) -> None:
    if context.as_json:
        context.write_json(page)
        return
    context.write(f'epoch {page.epoch}')
    rows = [
        (one.replica_id, str(one.address), 'member') for one in page.replicas
    ]
    rows.extend(
        (one.replica_id, str(one.address), 'joining')
        for one in page.following
        if one not in page.replicas
    )
    context.write_table(Table('', ('replica', 'address', 'state'), tuple(rows)))
