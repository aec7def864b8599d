"""Show what a control replica knows of the deployment."""

from __future__ import annotations

import msgspec

from burdocklead.commands.context import EXIT_OK, CommandContext, ask_control
from burdocklead.values import Member


class ControlStatus(msgspec.Struct, frozen=True):
    """Status page of a control replica."""

    replica: str
    version: int
    quorum: bool
    members: tuple[Member, ...]


async def show_status(context: CommandContext) -> int:
    """Write the status and return the exit code."""
    answer = await ask_control(context, 'GET', '/v1/status')
    if context.as_json:
        context.write(answer.body.decode())
        return EXIT_OK
    status = msgspec.json.decode(answer.body, type=ControlStatus)
    quorum = 'yes' if status.quorum else 'no'
    context.write(
        f'replica {status.replica}  version {status.version}  quorum {quorum}'
    )
    for member in status.members:
        state = 'draining' if member.draining else 'serving'
        context.write(
            f'{member.daemon_id:<20} {member.zone:<12} '
            f'{member.service or "-":<20} {state:<10} '
            f'version {member.version_in_force}'
        )
    return EXIT_OK
