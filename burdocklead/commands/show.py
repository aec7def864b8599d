"""Show the configuration file accepted by control."""

from __future__ import annotations

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.http_client import Request
from burdocklead.commands.replica_client import send_to_best_replica
from burdocklead.durable.configuration import NO_FILE, AcceptedFile
from burdocklead.exceptions import BadAnswerError, ConfigurationError
from burdocklead.version.configuration_file import decode_deployment, digest_of

STEP = 'show'


class ShownFile(msgspec.Struct, frozen=True):
    """JSON output of ``show``; the text is the accepted file."""

    version: int
    digest: str
    text: str


async def show_file(context: CommandContext) -> ExitCode:
    """Show the accepted file and return the exit code."""
    file = await fetch_file(context, STEP)
    text = file.text.decode()
    if context.as_json:
        context.write_json(ShownFile(file.version, file.digest, text))
    elif file.version:
        context.output.write(text)
    else:
        context.warn('no file has been accepted yet')
    return ExitCode.done


async def fetch_file(context: CommandContext, step: str) -> AcceptedFile:
    """Return the accepted file of a replica with a quorum.

    Raises:
        ControlError: If no such replica responds.
    """
    response = await send_to_best_replica(
        context, Request(step, 'GET', '/v1/configuration')
    )
    if not response.body:
        return NO_FILE
    try:
        deployment = decode_deployment(response.body)
    except ConfigurationError as error:
        raise BadAnswerError(
            f'sent an invalid configuration file: {error.reason}',
            step=step,
            peer=response.peer,
        ) from None
    digest = digest_of(response.body)
    return AcceptedFile(deployment.version, digest, response.body)
