"""Check a configuration file or a patch without any process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.version.configuration_file import decode_change, digest_of
from burdocklead.version.patch import PatchFile

SHOWN_DIGEST_DIGITS = 12


class CheckReport(msgspec.Struct, frozen=True):
    """What ``check`` reports of a valid file.

    Attributes:
        version: Version after it is applied.
        services: Services in it.
        digest: Digest of the file.
        base: Version that a patch changes, None for a whole file.
        host_routes: Host routes in it.
    """

    version: int
    services: tuple[str, ...]
    digest: str
    base: int | None = None
    host_routes: tuple[str, ...] = ()


async def check_file(context: CommandContext, path: Path) -> ExitCode:
    """Check a file and return the exit code.

    Raises:
        FileError: If it can't be read.
        ConfigurationError: With every problem found.
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
