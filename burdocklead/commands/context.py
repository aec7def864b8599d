"""Settings and output shared by all subcommands."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

import msgspec

from burdocklead.commands.tables import Table, clean_text, render_table
from burdocklead.exceptions import FileError
from burdocklead.settings import OperatorSettings

NO_COLOUR_VARIABLE = 'NO_COLOR'


class ExitCode(enum.IntEnum):
    """Exit codes of the ``burdocklead`` program."""

    done = 0
    refused = 1
    usage = 2
    not_known = 3
    interrupted = 130


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Settings and output streams of a command.

    Attributes:
        settings: Settings of the operator CLI.
        as_json: True to write JSON instead of tables.
        output: Stream for results.
        errors: Stream for warnings.
        environment: Environment variables.
    """

    settings: OperatorSettings
    as_json: bool
    output: TextIO
    errors: TextIO
    environment: Mapping[str, str]

    @property
    def styled(self) -> bool:
        """Return True if the output is a terminal and NO_COLOR is not set."""
        wanted = not self.environment.get(NO_COLOUR_VARIABLE)
        return wanted and self.output.isatty()

    def write(self, text: str) -> None:
        """Write one line of the result; control characters are replaced."""
        self.output.write(f'{clean_text(text)}\n')

    def write_json(self, content: object) -> None:
        """Write the result as one line of JSON."""
        self.output.write(f'{msgspec.json.encode(content).decode()}\n')

    def write_table(self, table: Table) -> None:
        """Write a table of text."""
        self.output.write(render_table(table, styled=self.styled))

    def warn(self, text: str) -> None:
        """Write a warning to the error stream."""
        self.errors.write(f'{clean_text(text)}\n')


def read_file(path: Path, step: str) -> bytes:
    """Return the content of a file.

    Raises:
        FileError: If the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise FileError(reason, step=step, peer=str(path)) from None
