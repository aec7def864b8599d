"""Show the timeline of events of all processes."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from burdocklead.clock import HybridTime
from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.http_client import Peer
from burdocklead.commands.replica_client import (
    ReplicaView,
    control_peers,
    fetch_replica_views,
    join_problems,
)
from burdocklead.commands.status import newest_members
from burdocklead.commands.timeline_query import (
    TimelineQuery,
    query_from_flags,
)
from burdocklead.events import Event
from burdocklead.exceptions import FileError, UnreachableError
from burdocklead.timeline.event_collection import (
    MAX_CONCURRENT,
    STEP,
    EventCollector,
    ProcessEvents,
)
from burdocklead.timeline.html_page import render_page
from burdocklead.timeline.merging import merge_events
from burdocklead.timeline.selection import Selection
from burdocklead.timeline.timestamps import format_timestamp

FOLLOW_INTERVAL_S = 0.5
NO_ADMIN_ADDRESS = 'advertises no admin address'


class ProcessReport(msgspec.Struct, frozen=True):
    """One process in the JSON report; see ``ProcessEvents``."""

    name: str
    problem: str
    overwritten: int
    gap: bool


class TimelineReport(msgspec.Struct, frozen=True):
    """JSON output of ``timeline``."""

    processes: tuple[ProcessReport, ...]
    events: tuple[Event, ...]


@dataclass(slots=True)
class ShownEvents:
    """Events and problems already shown, used while following.

    Attributes:
        until: Time of the last event shown, by name and admin address of the
            process.
        problems: Last problem shown, by process name.
    """

    until: dict[Peer, HybridTime] = field(default_factory=dict)
    problems: dict[str, str] = field(default_factory=dict)

    def selection_for(self, peer: Peer, selection: Selection) -> Selection:
        """Return the selection of events not shown yet."""
        since = max(selection.since, self.until.get(peer, selection.since))
        return replace(selection, since=since)


async def show_timeline(
    flags: argparse.Namespace, context: CommandContext
) -> ExitCode:
    """Show the timeline and return the exit code.

    Raises:
        SettingsError: If a flag is invalid.
        UnreachableError: If no control replica responds.
        FileError: If the page can't be written.
    """
    query = query_from_flags(flags, time.time_ns())
    if query.follow:
        return await follow_timeline(context, query)
    shown = ShownEvents()
    processes = await collect_events(context, query, shown)
    events = merge_events(process.events for process in processes)
    if query.html is not None:
        _write_page(query.html, render_page(events, processes))
    if context.as_json:
        context.write_json(_build_report(processes, events))
    elif query.html is None:
        _write_events(context, events)
    _write_warnings(context, processes, shown)
    reached = any(not process.problem for process in processes)
    return ExitCode.done if reached else ExitCode.not_known


async def follow_timeline(
    context: CommandContext, query: TimelineQuery
) -> ExitCode:
    """Show events as they occur, until ``--until`` or an interrupt."""
    shown = ShownEvents()
    while True:
        expired = time.time_ns() > query.selection.until.wall_ns
        processes = await collect_events(context, query, shown)
        events = merge_events(process.events for process in processes)
        if context.as_json:
            for event in events:
                context.write_json(event)
        else:
            _write_events(context, events)
        _write_warnings(context, processes, shown)
        context.output.flush()
        if expired:
            return ExitCode.done
        await asyncio.sleep(FOLLOW_INTERVAL_S)


async def collect_events(
    context: CommandContext, query: TimelineQuery, shown: ShownEvents
) -> tuple[ProcessEvents, ...]:
    """Return the new events of each process of the deployment.

    Raises:
        UnreachableError: If no control replica responds; only they know
            the daemons.
    """
    views = await fetch_replica_views(context, STEP)
    if all(view.status is None for view in views):
        reason = f'no replica answers ({join_problems(views)})'
        raise UnreachableError(reason, step=STEP, peer='control')
    daemons, without_address = _daemons_of(views)
    queried_peers = [
        peer
        for peer in (*control_peers(context), *daemons)
        if query.includes(peer.name)
    ]
    collector = EventCollector(
        context.settings.timeout, asyncio.Semaphore(MAX_CONCURRENT)
    )
    collected = await collector.collect(
        (peer, shown.selection_for(peer, query.selection))
        for peer in queried_peers
    )
    for peer, process in zip(queried_peers, collected, strict=True):
        if process.events:
            shown.until[peer] = process.events[-1].time
    return (
        *collected,
        *(one for one in without_address if query.includes(one.name)),
    )


def _daemons_of(
    views: Sequence[ReplicaView],
) -> tuple[list[Peer], list[ProcessEvents]]:
    """Return the daemons with an admin address and those without."""
    members = newest_members(view.status for view in views if view.status)
    peers = [
        Peer(member.daemon_id, member.admin)
        for member in members
        if member.admin is not None
    ]
    without_address = [
        ProcessEvents(member.daemon_id, problem=NO_ADMIN_ADDRESS)
        for member in members
        if member.admin is None
    ]
    return peers, without_address


def _write_page(path: Path, page: str) -> None:
    try:
        path.write_text(page, encoding='utf-8')
    except OSError as error:
        reason = error.strerror or str(error)
        raise FileError(reason, step=STEP, peer=str(path)) from None


def _write_events(context: CommandContext, events: Sequence[Event]) -> None:
    for event in events:
        context.write(describe_event(event))


def describe_event(event: Event) -> str:
    """Return the text of an event, without empty fields."""
    fields = (
        ('call', event.call_id),
        ('service', event.service),
        ('peer', event.peer),
        ('detail', event.detail),
    )
    named = ' '.join(f'{name}={text}' for name, text in fields if text)
    moment = format_timestamp(event.time.wall_ns)
    return f'{moment} {event.process:<16} {event.kind:<18} {named}'.rstrip()


def _build_report(
    processes: Sequence[ProcessEvents], events: Sequence[Event]
) -> TimelineReport:
    reports = tuple(
        ProcessReport(one.name, one.problem, one.overwritten, one.gap)
        for one in processes
    )
    return TimelineReport(reports, tuple(events))


def _write_warnings(
    context: CommandContext,
    processes: Sequence[ProcessEvents],
    shown: ShownEvents,
) -> None:
    for process in processes:
        problem = process.problem
        if process.gap and not problem:
            problem = (
                'older events were overwritten '
                f'({process.overwritten} since its start)'
            )
        if problem and shown.problems.get(process.name) != problem:
            context.warn(f'{STEP}: {process.name}: {problem}')
        shown.problems[process.name] = problem
