"""Renders the timeline as a self-contained HTML page, without I/O."""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Iterator, Sequence
from html import escape
from importlib.resources import files
from string import Template

from burdocklead.events import Event
from burdocklead.timeline.event_collection import ProcessEvents
from burdocklead.timeline.merging import lanes_of
from burdocklead.timeline.timestamps import format_timestamp

LANE_WIDTH_PX = 190
ROW_HEIGHT_PX = 20
TIME_WIDTH_PX = 210
DOT_INSET_PX = 12
DOT_RADIUS_PX = 4
LABEL_CHARACTERS = 25
ASSETS = files('burdocklead.timeline') / 'assets'


def render_page(
    events: Sequence[Event], processes: Sequence[ProcessEvents]
) -> str:
    """Return the HTML page of events in causal order, with a lane per process.

    Text from other processes is escaped, and the content security policy of
    the page allows only its own script.
    """
    lanes = lanes_of(events, (process.name for process in processes))
    script = (ASSETS / 'page.js').read_text(encoding='utf-8')
    style = (ASSETS / 'page.css').read_text(encoding='utf-8')
    template = (ASSETS / 'page.html').read_text(encoding='utf-8')
    return Template(template).substitute(
        script=script,
        script_hash=_hash_of(script),
        style=style,
        style_hash=_hash_of(style),
        problems=''.join(_problem_items(processes)),
        heads=''.join(_lane_heading(lane) for lane in lanes),
        calls=''.join(_call_options(events)),
        width=TIME_WIDTH_PX + LANE_WIDTH_PX * (len(lanes) + 1),
        height=ROW_HEIGHT_PX * (len(events) + 1),
        lines=''.join(_lane_lines(lanes, len(events))),
        events=''.join(_event_groups(events, lanes)),
    )


def _hash_of(text: str) -> str:
    digest = hashlib.sha256(text.encode()).digest()
    return base64.b64encode(digest).decode()


def _problem_items(processes: Sequence[ProcessEvents]) -> Iterator[str]:
    for process in processes:
        if process.problem:
            text = f'{process.name}: {process.problem}'
            yield f'<li class="problem">{escape(text)}</li>'
        elif process.gap:
            text = f'{process.name}: {process.overwritten} events overwritten'
            yield f'<li class="problem">{escape(text)}</li>'


def _lane_heading(lane: str) -> str:
    return f'<div class="head" title="{escape(lane)}">{escape(lane)}</div>'


def _call_options(events: Sequence[Event]) -> Iterator[str]:
    calls = dict.fromkeys(event.call_id for event in events if event.call_id)
    for call_id in calls:
        yield f'<option value="{escape(call_id)}"></option>'


def _lane_lines(lanes: Sequence[str], rows: int) -> Iterator[str]:
    bottom = ROW_HEIGHT_PX * (rows + 1)
    for left in map(_lane_left, range(len(lanes))):
        yield (
            f'<line class="lane" x1="{left}" x2="{left}" y1="0" '
            f'y2="{bottom}"></line>'
        )


def _event_groups(
    events: Sequence[Event], lanes: Sequence[str]
) -> Iterator[str]:
    left_by_process = {
        lane: _lane_left(index) for index, lane in enumerate(lanes)
    }
    for row, event in enumerate(events, start=1):
        yield _event_group(event, left_by_process[event.process], row)


def _event_group(event: Event, left: int, row: int) -> str:
    top = row * ROW_HEIGHT_PX
    moment = format_timestamp(event.time.wall_ns)
    label = f'{event.kind} {event.detail or event.peer}'.strip()
    description = (
        f'{moment} {event.process} {event.kind} call={event.call_id} '
        f'service={event.service} peer={event.peer} {event.detail}'
    )
    return (
        f'<g class="event" data-call="{escape(event.call_id)}" '
        f'data-kind="{escape(event.kind)}" data-text="{escape(description)}">'
        f'<title>{escape(description)}</title>'
        f'<text class="time" x="4" y="{top + DOT_RADIUS_PX}">{moment}</text>'
        f'<circle cx="{left}" cy="{top}" r="{DOT_RADIUS_PX}"></circle>'
        f'<text x="{left + DOT_INSET_PX}" y="{top + DOT_RADIUS_PX}">'
        f'{escape(_shorten(label))}</text></g>'
    )


def _shorten(label: str) -> str:
    if len(label) <= LABEL_CHARACTERS:
        return label
    return f'{label[: LABEL_CHARACTERS - 1]}\N{HORIZONTAL ELLIPSIS}'


def _lane_left(index: int) -> int:
    return TIME_WIDTH_PX + LANE_WIDTH_PX * index + DOT_INSET_PX
