"""Reads JSON log lines of any number of processes."""

from __future__ import annotations

import gzip
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from burdocklead.exceptions import FileError

STANDARD_INPUT = '-'
COMPRESSED_ENDINGS = frozenset(('.gz',))
STEP = 'explain'


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        process: Process that wrote the line.
        time: Wall time as logged.
        message: Log message, the name of the event.
        fields: All other fields.
    """

    process: str
    time: str
    message: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty if the line has no such field."""
        value = self.fields.get(name)
        return '' if value is None else str(value)


@dataclass(frozen=True, slots=True)
class ParsedLogs:
    """Log lines of several processes.

    Attributes:
        lines: The lines, in the order of the files.
        processes: Processes that wrote any of the lines.
        skipped: Number of lines that are not JSON log lines.
    """

    lines: tuple[LogLine, ...]
    processes: frozenset[str]
    skipped: int


def read_logs(paths: Iterable[str]) -> ParsedLogs:
    """Return the lines of all files.

    A line names its process in the field ``process`` or else in the last word
    of a prefix, such as a log collector writes. A line with neither belongs to
    the process of the previous line in the file; the process of the first line
    defaults to the file name.

    Args:
        paths: Names of files, plain or compressed; ``-`` is standard input.

    Raises:
        FileError: If a file can't be read.
    """
    lines: list[LogLine] = []
    skipped = 0
    for name in paths:
        process = Path(name).name
        for content in _read_lines(name):
            line = _parse_line(content, process)
            if line is None:
                skipped += bool(content.strip())
                continue
            process = line.process
            lines.append(line)
    return ParsedLogs(
        tuple(lines), frozenset(line.process for line in lines), skipped
    )


def _read_lines(name: str) -> Iterator[bytes]:
    if name == STANDARD_INPUT:
        yield from sys.stdin.buffer
        return
    path = Path(name)
    try:
        with _open_log(path) as file:
            yield from file
    except OSError as error:
        reason = error.strerror or str(error)
        raise FileError(reason, step=STEP, peer=name) from None
    except EOFError as error:
        raise FileError(str(error), step=STEP, peer=name) from None


def _open_log(path: Path) -> BinaryIO | gzip.GzipFile:
    if path.suffix in COMPRESSED_ENDINGS:
        return gzip.open(path)
    return path.open('rb')


def _parse_line(content: bytes, process: str) -> LogLine | None:
    prefix, brace, rest = content.partition(b'{')
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    message = fields.pop('message', None)
    if not isinstance(message, str):
        return None
    words = [process, *prefix.decode(errors='replace').split()]
    process_name = str(fields.get('process', words[-1]))
    return LogLine(process_name, str(fields.pop('time', '')), message, fields)
