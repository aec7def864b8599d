"""Check a configuration file without any process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.version.configuration_file import decode_deployment, digest_of

SHOWN_DIGITS = 12


class CheckReport(msgspec.Struct, frozen=True):
    """What ``check`` reports of a valid file."""

    version: int
    services: tuple[str, ...]
    digest: str


async def check_file(context: CommandContext, path: Path) -> ExitCode:
    """Check a file and return the exit code.

    Raises:
        FileError: If it can't be read.
        ConfigurationError: With every problem found.
    """
    text = read_file(path, 'check')
    deployment = decode_deployment(text, str(path))
    digest = digest_of(text)
    report = CheckReport(deployment.version, tuple(deployment.services), digest)
    if context.as_json:
        context.write_json(report)
        return ExitCode.done
    context.write(
        f'valid: version {report.version}, '
        f'{len(report.services)} services, digest {digest[:SHOWN_DIGITS]}'
    )
    return ExitCode.done
