"""What an operator asks of the time line, from its flags."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path

from burdocklead.events import EventKind
from burdocklead.exceptions import SettingsError
from burdocklead.timeline.event_collection import STEP
from burdocklead.timeline.selection import (
    EARLIEST,
    LATEST,
    Selection,
    parse_kinds,
)
from burdocklead.timeline.timestamps import (
    parse_timestamp,
    stamp_after,
    stamp_before,
)


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """What the operator wants to see.

    Attributes:
        selection: Which events.
        processes: Names of the processes, empty for all.
        follow: True to go on with later events.
        html: File for the page, None for none.
    """

    selection: Selection
    processes: frozenset[str] = frozenset()
    follow: bool = False
    html: Path | None = None

    def includes(self, process: str) -> bool:
        """Return True if a process is to be asked."""
        return not self.processes or process in self.processes


def query_from_flags(flags: argparse.Namespace, now_ns: int) -> TimelineQuery:
    """Return the question that flags stand for.

    Raises:
        SettingsError: Names every flag that is not understood.
    """
    problems: list[str] = []
    since = _parse_time_flag(flags.since, '--since', now_ns, problems)
    until = _parse_time_flag(flags.until, '--until', now_ns, problems)
    selection = Selection(
        since=EARLIEST if since is None else stamp_before(since),
        until=LATEST if until is None else stamp_after(until),
        service=flags.service,
        call_id=flags.call,
        kinds=_parse_kind_flag(flags.kind, problems),
    )
    if flags.follow and flags.html:
        problems.append('--html shows what has happened and cannot --follow')
    if selection.since >= selection.until:
        problems.append('--since must be before --until')
    if problems:
        raise SettingsError('; '.join(problems), step=STEP)
    processes = frozenset(filter(None, flags.process.split(',')))
    return TimelineQuery(selection, processes, flags.follow, flags.html)


def _parse_time_flag(
    text: str, flag: str, now_ns: int, problems: list[str]
) -> int | None:
    if not text:
        return None
    try:
        return parse_timestamp(text, now_ns)
    except (ValueError, OverflowError) as error:
        problems.append(f'{flag}: {error}')
        return None


def _parse_kind_flag(text: str, problems: list[str]) -> frozenset[EventKind]:
    try:
        return parse_kinds(text)
    except ValueError as error:
        problems.append(f'--{error}')
        return frozenset()
