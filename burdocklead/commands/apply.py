"""Apply a complete configuration file or a patch."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.commands.http_client import HttpResponse, Request
from burdocklead.commands.replica_client import (
    ReplicaView,
    fetch_replica_views,
    send_with_failover,
)
from burdocklead.durable.configuration import ApplyResult, parse_proposal
from burdocklead.exceptions import (
    BadAnswerError,
    ConfigurationError,
    LostAnswerError,
)
from burdocklead.version.configuration_file import digest_of

STEP = 'apply'
BASE_HEADER = 'If-Match'
BAD_REQUEST = 400
RESULT_STATUSES = frozenset((200, 409))
POLL_S = 0.2


class Problems(msgspec.Struct, frozen=True):
    """Response body of control for an invalid file."""

    problems: tuple[str, ...]


class ApplyReport(msgspec.Struct, frozen=True):
    """Output of ``apply``.

    Attributes:
        result: Decision of control.
        missing: Processes that do not serve the version yet, None if the
            command did not wait.
    """

    result: ApplyResult
    missing: tuple[str, ...] | None = None


async def apply_file(
    context: CommandContext, path: Path, *, base: int | None, wait: bool
) -> ExitCode:
    """Send a file to control and return the exit code.

    Args:
        context: Settings and output of the command.
        path: A complete configuration or a patch.
        base: Version that the file must replace, None for any.
        wait: True to wait until all processes serve the version.
    """
    text = read_file(path, STEP)
    proposal = parse_proposal(text, base, str(path))
    result = await send_file(context, text, str(path), proposal.base)
    missing: tuple[str, ...] | None = None
    if wait and result.accepted:
        missing = await wait_in_force(context, result.version)
    _write_report(context, ApplyReport(result, missing))
    if not result.accepted:
        return ExitCode.refused
    return ExitCode.not_known if missing else ExitCode.done


async def send_file(
    context: CommandContext, text: bytes, name: str, base: int | None = None
) -> ApplyResult:
    """Return the decision of control on a file.

    Raises:
        ConfigurationError: If control rejects the file as invalid.
        UnreachableError: If no replica could be reached.
        LostAnswerError: If the file may or may not have been accepted.
    """
    headers = {} if base is None else {BASE_HEADER: str(base)}
    request = Request(STEP, 'PUT', '/v1/configuration', text, headers)
    try:
        result = _decode_result(
            await send_with_failover(context, request), name
        )
    except (LostAnswerError, BadAnswerError) as error:
        raise _outcome_unknown(error.reason) from None
    if result.accepted and result.digest != digest_of(text):
        raise _outcome_unknown('control accepted different content')
    return result


def _decode_result(response: HttpResponse, name: str) -> ApplyResult:
    if response.status == BAD_REQUEST:
        problems = response.decode(Problems).problems
        raise ConfigurationError(problems, step=STEP, peer=name)
    if response.status in RESULT_STATUSES:
        return response.decode(ApplyResult)
    raise response.failure()


def _outcome_unknown(reason: str) -> LostAnswerError:
    return LostAnswerError(
        f'not known; send the same file again ({reason})',
        step=STEP,
        peer='control',
    )


async def wait_in_force(
    context: CommandContext, version: int
) -> tuple[str, ...]:
    """Return the processes that do not serve a version at the time limit."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + context.settings.timeout
    while True:
        views = await fetch_replica_views(context, STEP)
        missing = find_missing(views, version)
        if not missing or loop.time() >= deadline:
            return missing
        await asyncio.sleep(POLL_S)


def find_missing(
    views: tuple[ReplicaView, ...], version: int
) -> tuple[str, ...]:
    """Return the processes not reported to serve a version."""
    missing = set()
    newest: dict[str, int] = {}
    for view in views:
        if view.status is None or view.status.version < version:
            missing.add(view.peer.name)
        for member in view.status.members if view.status else ():
            known = newest.get(member.daemon_id, 0)
            newest[member.daemon_id] = max(known, member.version_in_force)
    missing.update(name for name, known in newest.items() if known < version)
    return tuple(sorted(missing))


def _write_report(context: CommandContext, report: ApplyReport) -> None:
    if context.as_json:
        context.write_json(report)
        return
    result = report.result
    if not result.accepted:
        context.write(f'refused: {result.reason}')
        return
    context.write(f'accepted: version {result.version}')
    if report.missing:
        context.write(f'not in force yet: {", ".join(report.missing)}')
    elif report.missing is not None:
        context.write('in force everywhere')
