"""Compare a file or a patch with the configuration in force."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.commands.differences import Difference, find_differences
from burdocklead.commands.show import fetch_file
from burdocklead.commands.tables import Table
from burdocklead.durable.configuration import (
    decide_change,
    parse_proposal,
    text_after_change,
)
from burdocklead.version.configuration_file import decode_deployment

STEP = 'diff'


class DiffReport(msgspec.Struct, frozen=True):
    """Output of ``diff``.

    Attributes:
        version: Version of the file.
        version_in_force: Version accepted by control, 0 for none.
        refusal: Why ``apply`` would refuse the file, empty if it would not.
        differences: Keys that differ.
    """

    version: int
    version_in_force: int
    refusal: str
    differences: tuple[Difference, ...]


async def diff_file(context: CommandContext, path: Path) -> ExitCode:
    """Show the keys that a file would change and return the exit code."""
    text = read_file(path, STEP)
    proposal = parse_proposal(text, peer=str(path))
    current = await fetch_file(context, STEP)
    old = decode_deployment(current.text) if current.version else None
    _, result = decide_change(current, proposal)
    new = decode_deployment(text_after_change(current, proposal.content))
    report = DiffReport(
        new.version, current.version, result.reason, find_differences(old, new)
    )
    if context.as_json:
        context.write_json(report)
    else:
        _write_report(context, report)
    return ExitCode.done


def _write_report(context: CommandContext, report: DiffReport) -> None:
    if report.differences:
        context.write_table(_table_of(report))
    else:
        context.write('no differences')
    if report.refusal:
        context.write(f'apply would refuse this file: {report.refusal}')


def _table_of(report: DiffReport) -> Table:
    rows = tuple(
        (one.change.value, one.key, _cell_text(one.old), _cell_text(one.new))
        for one in report.differences
    )
    return Table('', ('change', 'key', 'in force', 'file'), rows)


def _cell_text(entry: object) -> str:
    return '' if entry is None else msgspec.json.encode(entry).decode()
