"""Command line of ``burdocklead``, the operators' program."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

from burdocklead.commands.apply import apply_file
from burdocklead.commands.check import check_file
from burdocklead.commands.context import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    CommandContext,
)
from burdocklead.commands.status import show_status
from burdocklead.exceptions import (
    BurdockleadError,
    ConfigurationError,
    SettingsError,
)
from burdocklead.options import add_options, read_settings
from burdocklead.settings import OperatorSettings


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog='burdocklead', description='Operate a burdocklead deployment.'
    )
    parser.add_argument('--json', action='store_true', help='write JSON')
    add_options(parser, OperatorSettings)
    commands = parser.add_subparsers(dest='command', required=True)
    for name, summary in (
        ('check', 'check a configuration file offline'),
        ('apply', 'apply a configuration file as a whole'),
    ):
        command = commands.add_parser(name, help=summary)
        command.add_argument('file', type=Path, help='configuration file')
    commands.add_parser('status', help='show replicas, daemons and upstreams')
    return parser


async def run_command(
    flags: argparse.Namespace, context: CommandContext
) -> int:
    """Run the chosen subcommand and return its exit code."""
    match flags.command:
        case 'check':
            return await check_file(context, flags.file)
        case 'apply':
            return await apply_file(context, flags.file)
        case _:
            return await show_status(context)


def main() -> int:
    """Run one subcommand and return its exit code."""
    flags = build_parser().parse_args()
    try:
        settings = read_settings(OperatorSettings, flags.__dict__, os.environ)
        context = CommandContext(settings, flags.json, sys.stdout)
        return asyncio.run(run_command(flags, context))
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    except ConfigurationError as error:
        for problem in error.problems:
            sys.stderr.write(f'{error.step}: {error.peer}: {problem}\n')
        return EXIT_REFUSED
    except (BurdockleadError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREACHABLE
