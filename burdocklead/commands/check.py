"""Check a configuration file without any process."""

from __future__ import annotations

from pathlib import Path

from burdocklead.commands.context import EXIT_OK, CommandContext
from burdocklead.version.configuration_file import decode_deployment, digest_of


async def check_file(context: CommandContext, path: Path) -> int:
    """Check a file and return the exit code."""
    text = path.read_bytes()
    deployment = decode_deployment(text, str(path))
    context.write(
        f'valid: version {deployment.version}, '
        f'{len(deployment.services)} services, digest {digest_of(text)[:12]}'
    )
    return EXIT_OK
