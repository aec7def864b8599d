"""Apply a configuration file, a whole one or a patch."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode, read_file
from burdocklead.commands.control_pages import (
    ReplicaView,
    ask_in_turn,
    view_replicas,
)
from burdocklead.commands.http_client import HttpAnswer, Request
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
DECIDED = frozenset((200, 409))
POLL_S = 0.2


class Problems(msgspec.Struct, frozen=True):
    """Body of control's answer to a file that is not valid."""

    problems: tuple[str, ...]


class ApplyReport(msgspec.Struct, frozen=True):
    """What ``apply`` reports.

    Attributes:
        result: Control's decision.
        missing: Processes that do not serve the version yet, None if the
            command did not wait for them.
    """

    result: ApplyResult
    missing: tuple[str, ...] | None = None


async def apply_file(
    context: CommandContext, path: Path, *, base: int | None, wait: bool
) -> ExitCode:
    """Send a checked file to control and return the exit code.

    Args:
        context: What the command works with.
        path: A whole configuration or a patch.
        base: Version that the file must replace, None for any.
        wait: True to wait until it is in force everywhere.
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
    """Return control's decision on a file.

    Raises:
        ConfigurationError: If control finds the file not valid.
        UnreachableError: If the file reached no replica.
        LostAnswerError: If it is not known whether the file was accepted.
    """
    headers = {} if base is None else {BASE_HEADER: str(base)}
    request = Request(STEP, 'PUT', '/v1/configuration', text, headers)
    try:
        result = _decision_of(await ask_in_turn(context, request), name)
    except (LostAnswerError, BadAnswerError) as error:
        raise _not_known(error.reason) from None
    if result.accepted and result.digest != digest_of(text):
        raise _not_known('control accepted another content')
    return result


def _decision_of(answer: HttpAnswer, name: str) -> ApplyResult:
    if answer.status == BAD_REQUEST:
        problems = answer.decode(Problems).problems
        raise ConfigurationError(problems, step=STEP, peer=name)
    if answer.status in DECIDED:
        return answer.decode(ApplyResult)
    raise answer.failure()


def _not_known(reason: str) -> LostAnswerError:
    return LostAnswerError(
        f'not known; send the same file again ({reason})',
        step=STEP,
        peer='control',
    )


async def wait_in_force(
    context: CommandContext, version: int
) -> tuple[str, ...]:
    """Return who does not serve a version when the time limit is over."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + context.settings.timeout
    while True:
        views = await view_replicas(context, STEP)
        missing = find_missing(views, version)
        if not missing or loop.time() >= limit:
            return missing
        await asyncio.sleep(POLL_S)


def find_missing(
    views: tuple[ReplicaView, ...], version: int
) -> tuple[str, ...]:
    """Return the processes that are not known to serve a version."""
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
