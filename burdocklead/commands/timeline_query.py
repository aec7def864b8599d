"""Query of the ``timeline`` subcommand, parsed from its flags."""

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
    hybrid_time_after,
    hybrid_time_before,
    parse_timestamp,
)


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Query for events of the timeline.

    Attributes:
        selection: Filter of the events.
        processes: Names of the processes, empty for all.
        follow: True to keep running and show new events.
        html: Output file of the HTML page, None for no page.
    """

    selection: Selection
    processes: frozenset[str] = frozenset()
    follow: bool = False
    html: Path | None = None

    def includes(self, process: str) -> bool:
        """Return True if events of a process are requested."""
        return not self.processes or process in self.processes


def query_from_flags(flags: argparse.Namespace, now_ns: int) -> TimelineQuery:
    """Return the query given by the flags.

    Raises:
        SettingsError: Lists every invalid flag.
    """
    problems: list[str] = []
    since = _parse_time_flag(flags.since, '--since', now_ns, problems)
    until = _parse_time_flag(flags.until, '--until', now_ns, problems)
    selection = Selection(
        since=EARLIEST if since is None else hybrid_time_before(since),
        until=LATEST if until is None else hybrid_time_after(until),
        service=flags.service,
        call_id=flags.call,
        kinds=_parse_kind_flag(flags.kind, problems),
    )
    if flags.follow and flags.html:
        problems.append('--html writes past events only and cannot --follow')
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
