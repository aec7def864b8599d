"""Check a configuration file or a patch offline."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.version.configuration_file import decode_change, digest_of
from burdocklead.version.patch import PatchFile

SHOWN_DIGEST_DIGITS = 12


class CheckReport(msgspec.Struct, frozen=True):
    """Output of ``check`` for a valid file.

    Attributes:
        version: Version after the file is applied.
        services: Names of its services.
        digest: Digest of the file.
        base: Version that a patch changes, None for a complete file.
        host_routes: Names of its host routes.
    """

    version: int
    services: tuple[str, ...]
    digest: str
    base: int | None = None
    host_routes: tuple[str, ...] = ()


async def check_file(context: CommandContext, path: Path) -> ExitCode:
    """Check a file and return the exit code.

    Raises:
        FileError: If the file can't be read.
        ConfigurationError: Lists every problem found.
    """
    text = read_file(path, 'check')
    change = decode_change(text, str(path))
    digest = digest_of(text)
    report = CheckReport(
        change.version,
        tuple(change.services),
        digest,
        change.base if isinstance(change, PatchFile) else None,
        tuple(change.host_routes),
    )
    if context.as_json:
        context.write_json(report)
        return ExitCode.done
    head = f'valid: version {report.version}'
    if report.base is not None:
        head = f'valid patch of version {report.base}: version {report.version}'
    context.write(
        f'{head}, {len(report.services)} services, '
        f'digest {digest[:SHOWN_DIGEST_DIGITS]}'
    )
    return ExitCode.done
