"""Table of subcommands and the argument parser built from it."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import shtab

from burdocklead.commands.apply import apply_file
from burdocklead.commands.check import check_file
from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.diff import diff_file
from burdocklead.commands.drain import drain_daemon
from burdocklead.commands.explain import explain_call, explain_failures
from burdocklead.commands.replicas import ACTIONS, run_replicas
from burdocklead.commands.show import show_file
from burdocklead.commands.status import show_status
from burdocklead.commands.timeline import show_timeline
from burdocklead.commands.zone import ZONE_ACTIONS, run_zone
from burdocklead.options import add_options
from burdocklead.settings import OperatorSettings

PROGRAM = 'burdocklead'
EXIT_CODES = (
    'Exit codes: 0 done, 1 refused, 2 bad usage, 3 unreachable or not known, '
    '130 interrupted.'
)


@dataclass(frozen=True, slots=True)
class Argument:
    """One argument of a subcommand.

    Attributes:
        name: Name; that of a flag starts with two dashes.
        help: Help text.
        settings: Keyword arguments of ``add_argument``.
    """

    name: str
    help: str
    settings: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Subcommand:
    """One subcommand.

    Attributes:
        name: Name on the command line.
        help: Help text.
        run: Runs the subcommand and returns the exit code.
        arguments: Arguments besides the common ones.
    """

    name: str
    help: str
    run: Callable[[argparse.Namespace, CommandContext], Awaitable[ExitCode]]
    arguments: tuple[Argument, ...] = ()


def _boolean_flag(name: str, help_text: str) -> Argument:
    return Argument(name, help_text, {'action': 'store_true'})


def _text_flag(name: str, help_text: str) -> Argument:
    return Argument(name, help_text, {'default': '', 'metavar': 'TEXT'})


FILE_ARGUMENT = Argument(
    'file', 'configuration file or patch, TOML or JSON', {'type': Path}
)
TIMELINE_ARGUMENTS = (
    _text_flag(
        '--since', 'only events since a time: ISO 8601, or 5m for 5 min ago'
    ),
    _text_flag('--until', 'only events until a time'),
    _text_flag('--service', 'only events of a service'),
    _text_flag('--process', 'only these processes, as A,B'),
    _text_flag('--kind', 'only these kinds, as A,B'),
    _text_flag('--call', 'only the events of one call'),
    _boolean_flag('--follow', 'keep running and show new events'),
    Argument(
        '--html', 'write a page to a file', {'type': Path, 'metavar': 'FILE'}
    ),
)


async def _write_completion(
    flags: argparse.Namespace, context: CommandContext
) -> ExitCode:
    script = shtab.complete(build_parser(), flags.shell)
    if context.as_json:
        context.write_json({'shell': flags.shell, 'script': script})
    else:
        context.output.write(f'{script}\n')
    return ExitCode.done


async def _explain(
    flags: argparse.Namespace, context: CommandContext
) -> ExitCode:
    if flags.call:
        return await explain_call(context, flags.call, flags.files)
    return await explain_failures(context, flags.files)


SUBCOMMANDS = (
    Subcommand(
        'check',
        'check a configuration file or a patch offline',
        lambda flags, context: check_file(context, flags.file),
        (FILE_ARGUMENT,),
    ),
    Subcommand(
        'diff',
        'show what a file or a patch would change',
        lambda flags, context: diff_file(context, flags.file),
        (FILE_ARGUMENT,),
    ),
    Subcommand(
        'apply',
        'apply a complete configuration file or a patch',
        lambda flags, context: apply_file(
            context, flags.file, base=flags.base, wait=flags.wait
        ),
        (
            FILE_ARGUMENT,
            Argument(
                '--base',
                'version that the file must replace; a patch names its own',
                {'type': int, 'metavar': 'VERSION'},
            ),
            _boolean_flag('--wait', 'wait until it is in force everywhere'),
        ),
    ),
    Subcommand(
        'show',
        'show the accepted configuration file',
        lambda flags, context: show_file(context),
    ),
    Subcommand(
        'status',
        'show replicas, daemons, upstreams and versions in force',
        lambda flags, context: show_status(context),
    ),
    Subcommand(
        'replicas',
        'show or change the set of control replicas',
        lambda flags, context: run_replicas(context, flags.action, flags.names),
        (
            Argument(
                'action',
                'action on the replica set',
                {'choices': ACTIONS, 'nargs': '?', 'default': ACTIONS[0]},
            ),
            Argument(
                'names',
                'add NEW=IP:PORT, remove NAME, replace NAME NEW=IP:PORT',
                {'nargs': '*', 'metavar': 'NAME'},
            ),
        ),
    ),
    Subcommand(
        'drain',
        'drain a daemon: it gets no new calls',
        lambda flags, context: drain_daemon(
            context, flags.daemon, undo=flags.undo
        ),
        (
            Argument('daemon', 'name of the daemon', {}),
            _boolean_flag('--undo', 'end the drain'),
        ),
    ),
    Subcommand(
        'zone',
        'evacuate or restore an availability zone, or list evacuated zones',
        lambda flags, context: run_zone(context, flags.action, flags.zone),
        (
            Argument(
                'action',
                'action on the zone',
                {
                    'choices': ZONE_ACTIONS,
                    'nargs': '?',
                    'default': ZONE_ACTIONS[0],
                },
            ),
            Argument('zone', 'name of the zone', {'nargs': '?', 'default': ''}),
        ),
    ),
    Subcommand(
        'explain',
        'explain a call, or all failed calls, from log files',
        _explain,
        (
            Argument(
                '--call',
                'id of the call; without it failed calls are listed by cause',
                {'default': '', 'metavar': 'ID'},
            ),
            Argument(
                'files',
                'logs in JSON, plain or .gz; - is standard input',
                {'nargs': '+', 'metavar': 'FILE'},
            ),
        ),
    ),
    Subcommand(
        'timeline',
        'show the events of all processes in causal order',
        show_timeline,
        TIMELINE_ARGUMENTS,
    ),
    Subcommand(
        'completion',
        'write a completion script for a shell',
        _write_completion,
        (Argument('shell', 'name of the shell', {'choices': ('bash', 'zsh')}),),
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description='Operate a burdocklead deployment.',
        epilog=EXIT_CODES,
        allow_abbrev=False,
    )
    parser.set_defaults(as_json=False)
    _add_shared(parser)
    subparsers = parser.add_subparsers(dest='command', required=True)
    for subcommand in SUBCOMMANDS:
        added = subparsers.add_parser(
            subcommand.name,
            help=subcommand.help,
            description=subcommand.help,
            epilog=EXIT_CODES,
            allow_abbrev=False,
        )
        _add_shared(added)
        for argument in subcommand.arguments:
            added.add_argument(
                argument.name, help=argument.help, **argument.settings
            )
    return parser


def find_subcommand(name: str) -> Subcommand:
    """Return the subcommand with a name accepted by the parser."""
    return next(one for one in SUBCOMMANDS if one.name == name)


def _add_shared(parser: argparse.ArgumentParser) -> None:
    # SUPPRESS: otherwise the default of the subcommand parser would override
    # a flag given before the subcommand.
    parser.add_argument(
        '--json',
        dest='as_json',
        action='store_true',
        default=argparse.SUPPRESS,
        help='write JSON instead of tables',
    )
    add_options(parser, OperatorSettings, default=argparse.SUPPRESS)
