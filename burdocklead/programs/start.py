"""Shared startup of the control and daemon programs."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import uvloop

from burdocklead.exceptions import BurdockleadError, SettingsError
from burdocklead.logs import start_logging
from burdocklead.options import parse_command_line
from burdocklead.settings import ControlSettings, DaemonSettings

EXIT_FAILURE = 1
EXIT_USAGE = 2

SettingsT = TypeVar('SettingsT', DaemonSettings, ControlSettings)


def run_program(
    settings_class: type[SettingsT],
    description: str,
    run: Callable[[SettingsT], Coroutine[Any, Any, None]],
) -> int:
    """Parse the settings, run the process and return its exit code."""
    try:
        settings = parse_command_line(
            settings_class, description, sys.argv[1:], os.environ
        )
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    start_logging(settings.log_form, settings.log_level)
    try:
        uvloop.run(run(settings))
    except (BurdockleadError, OSError) as failure:
        sys.stderr.write(f'{failure}\n')
        return EXIT_FAILURE
    return 0
