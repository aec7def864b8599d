"""Drain a daemon or end its drain."""

from __future__ import annotations

from urllib.parse import quote

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.http_client import OK, Request
from burdocklead.commands.replica_client import send_with_failover
from burdocklead.durable.drains import DrainList
from burdocklead.exceptions import LostAnswerError

STEP = 'drain'


async def drain_daemon(
    context: CommandContext, daemon_id: str, *, undo: bool
) -> ExitCode:
    """Drain a daemon or end its drain and return the exit code.

    Raises:
        LostAnswerError: If the change may or may not have been accepted.
        RefusedError: If control refuses the change.
    """
    method = 'DELETE' if undo else 'PUT'
    path = f'/v1/drains/{quote(daemon_id, safe="")}'
    try:
        response = await send_with_failover(
            context, Request(STEP, method, path)
        )
    except LostAnswerError as error:
        reason = f'not known; give the same command again ({error.reason})'
        raise LostAnswerError(reason, step=STEP, peer=error.peer) from None
    if response.status != OK:
        raise response.failure()
    drains = response.decode(DrainList)
    if context.as_json:
        context.write_json({'drained': drains.daemons})
        return ExitCode.done
    names = ', '.join(drains.daemons) or 'none'
    context.write(f'drained by operators: {names}')
    return ExitCode.done
