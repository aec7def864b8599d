"""Apply a configuration file as a whole."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.commands.context import (
    EXIT_OK,
    EXIT_REFUSED,
    CommandContext,
    ask_control,
)
from burdocklead.durable.configuration import ApplyResult
from burdocklead.exceptions import ControlError
from burdocklead.version.configuration_file import decode_deployment

CONFLICT = 409
OK = 200


async def apply_file(context: CommandContext, path: Path) -> int:
    """Send a checked file to control and return the exit code."""
    text = path.read_bytes()
    decode_deployment(text, str(path))
    answer = await ask_control(context, 'PUT', '/v1/configuration', text)
    if answer.status not in {OK, CONFLICT}:
        raise ControlError(
            answer.body.decode(), step='apply', peer=answer.replica
        )
    result = msgspec.json.decode(answer.body, type=ApplyResult)
    if context.as_json:
        context.write(msgspec.json.encode(result).decode())
    elif result.accepted:
        context.write(f'accepted: version {result.version}')
    else:
        context.write(f'refused: {result.reason}')
    return EXIT_OK if result.accepted else EXIT_REFUSED
