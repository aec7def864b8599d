"""Setup of structured logging with logbook."""

from __future__ import annotations

import sys
from datetime import datetime
from typing import Any

import logbook
import msgspec
from logbook.compat import redirect_logging

from burdocklead.log_stream import LogRateLimit, LogStream


def json_line(record: Any, handler: Any) -> str:
    """Return a record as one line of JSON."""
    line = {
        **record.kwargs,
        'time': _timestamp_of(record),
        'level': record.level_name.lower(),
        'channel': record.channel,
        'message': record.message,
    }
    if record.formatted_exception:
        line['exception'] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


def text_line(record: Any, handler: Any) -> str:
    """Return a record as one line of text that ends with its fields."""
    fields = ''.join(
        f' {name}={_quoted(entry)}' for name, entry in record.kwargs.items()
    )
    level = record.level_name.lower()
    head = f'{_timestamp_of(record)} {level} {record.channel}'
    line = f'{head}: {_single_line(record.message)}{fields}'
    if record.formatted_exception:
        return f'{line}\n{record.formatted_exception}'
    return line


def start_logging(log_form: str, log_level: str) -> None:
    """Send log lines to standard output in the given format.

    Lines of libraries that use the standard ``logging`` module go there too.
    A slow reader or a closed pipe never blocks the process.
    """
    limit = LogRateLimit()
    handler = logbook.StreamHandler(
        LogStream(sys.stdout.fileno()),
        level=log_level.upper(),
        filter=lambda record, _: limit.admit(record.message),
    )
    format_line = json_line if log_form == 'json' else text_line

    def format_record(record: Any, handler: Any) -> str:
        dropped = limit.take_dropped(record.message)
        if dropped:
            record.kwargs['left_out'] = dropped
        return format_line(record, handler)

    handler.formatter = format_record
    handler.push_application()
    redirect_logging(set_root_logger_level=False)


def _timestamp_of(record: Any) -> str:
    timestamp: datetime = record.time
    return f'{timestamp.replace(tzinfo=None).isoformat()}Z'


def _quoted(entry: object) -> str:
    text = str(entry)
    plain = text.isprintable() and not frozenset(text) & frozenset(' "=')
    return text if plain and text else msgspec.json.encode(text).decode()


def _single_line(text: str) -> str:
    return ' '.join(text.splitlines())
