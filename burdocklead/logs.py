"""Set-up of structured logs with logbook."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

TEXT_FORM = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} '
    '{record.channel} {record.message}{record.extra[fields]}'
)


def _json_line(record: Any, handler: Any) -> str:
    line = {
        'time': record.time.isoformat(),
        'level': record.level_name.lower(),
        'channel': record.channel,
        'message': record.message,
        **record.kwargs,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def _text_line(record: Any, handler: Any) -> str:
    fields = ''.join(
        f' {name}={value}' for name, value in record.kwargs.items()
    )
    stamp = record.time.isoformat()
    level = record.level_name.lower()
    return f'{stamp} {level} {record.channel}: {record.message}{fields}'


def start_logging(log_form: str, log_level: str) -> None:
    """Send log lines to standard error in the form asked for."""
    handler = logbook.StreamHandler(sys.stderr, level=log_level.upper())
    handler.formatter = _json_line if log_form == 'json' else _text_line
    handler.push_application()
