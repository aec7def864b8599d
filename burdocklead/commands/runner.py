"""Runs a subcommand and reports errors as messages and exit codes."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Mapping, Sequence
from dataclasses import dataclass
from typing import TextIO

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.subcommands import build_parser, find_subcommand
from burdocklead.commands.tables import clean_text
from burdocklead.exceptions import (
    BurdockleadError,
    ConfigurationError,
    FileError,
    RefusedError,
    SettingsError,
)
from burdocklead.options import read_settings
from burdocklead.settings import OperatorSettings


@dataclass(frozen=True, slots=True)
class Streams:
    """Output and error stream of the CLI."""

    output: TextIO
    errors: TextIO


def run_operator(
    arguments: Sequence[str], environment: Mapping[str, str], streams: Streams
) -> int:
    """Run one subcommand and return its exit code.

    Raises:
        SystemExit: With code 2 for a usage error printed by the parser.
    """
    flags = build_parser().parse_args(arguments)
    try:
        return _run_subcommand(flags, environment, streams)
    except KeyboardInterrupt:
        return ExitCode.interrupted
    except BrokenPipeError:
        return _close_output()
    except BurdockleadError as error:
        return _report_error(error, streams.errors)


def _run_subcommand(
    flags: argparse.Namespace, environment: Mapping[str, str], streams: Streams
) -> ExitCode:
    settings = read_settings(OperatorSettings, flags.__dict__, environment)
    context = CommandContext(
        settings, flags.as_json, streams.output, streams.errors, environment
    )
    subcommand = find_subcommand(flags.command)
    code = asyncio.run(_run(subcommand.run(flags, context)))
    streams.output.flush()
    return code


async def _run(subcommand_run: Awaitable[ExitCode]) -> ExitCode:
    return await subcommand_run


def _close_output() -> ExitCode:
    # The reader closed the pipe; redirecting standard output keeps the flush
    # at exit from failing as well.
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, sys.stdout.fileno())
    return ExitCode.done


def _report_error(error: BurdockleadError, errors: TextIO) -> ExitCode:
    for line in _error_lines(error):
        errors.write(f'{clean_text(line)}\n')
    match error:
        case SettingsError() | FileError():
            return ExitCode.usage
        case ConfigurationError() | RefusedError():
            return ExitCode.refused
        case _:
            return ExitCode.not_known


def _error_lines(error: BurdockleadError) -> tuple[str, ...]:
    if not isinstance(error, ConfigurationError):
        return (str(error),)
    place = f'{error.step}: {error.peer}' if error.peer else error.step
    return tuple(f'{place}: {problem}' for problem in error.problems)
