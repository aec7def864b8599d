"""Explain one call or all failed calls from log files."""

from __future__ import annotations

from collections.abc import Sequence

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.tables import Table
from burdocklead.timeline.call_trace import (
    CallTrace,
    FailureGroup,
    TraceStep,
    group_failures,
    trace_call,
)
from burdocklead.timeline.log_lines import ParsedLogs, read_logs

COLUMNS = ('time', 'process', 'step')


async def explain_call(
    context: CommandContext, call: str, files: Sequence[str]
) -> ExitCode:
    """Show the trace of a call and return the exit code.

    Raises:
        FileError: If a file can't be read.
    """
    logs = _read(context, files)
    trace = trace_call(logs, call)
    if context.as_json:
        context.write_json(trace)
    else:
        _write_trace(context, trace)
    return ExitCode.done if trace.steps else ExitCode.not_known


async def explain_failures(
    context: CommandContext, files: Sequence[str]
) -> ExitCode:
    """Show the unanswered calls grouped by cause.

    Raises:
        FileError: If a file can't be read.
    """
    groups = group_failures(_read(context, files))
    if context.as_json:
        context.write_json(groups)
    elif groups:
        context.write_table(_table_of(groups))
    else:
        context.write('every call in these logs was answered')
    return ExitCode.done


def _read(context: CommandContext, files: Sequence[str]) -> ParsedLogs:
    logs = read_logs(files)
    if logs.skipped:
        context.warn(f'explain: {logs.skipped} lines are not JSON log lines')
    return logs


def _write_trace(context: CommandContext, trace: CallTrace) -> None:
    entered = trace.entry or 'not known'
    context.write(f'call {trace.call}, entered at {entered}')
    if trace.steps:
        context.write_table(_steps('', trace.steps))
    context.write(f'result: {trace.result or "not known"}')
    for problem in trace.missing:
        context.write(f'missing: {problem}')
    if trace.around:
        context.write_table(_steps('State changes of its peers', trace.around))


def _steps(title: str, lines: Sequence[TraceStep]) -> Table:
    rows = tuple((one.time, one.process, one.text) for one in lines)
    return Table(title, COLUMNS, rows)


def _table_of(groups: Sequence[FailureGroup]) -> Table:
    rows = tuple(
        (str(one.count), one.service, one.outcome, one.cause, one.example)
        for one in groups
    )
    return Table('', ('calls', 'service', 'outcome', 'cause', 'example'), rows)
