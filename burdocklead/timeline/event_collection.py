"""Collects events from the processes of a deployment."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace
from urllib.parse import urlencode

import msgspec

from burdocklead.commands.http_client import (
    OK,
    HttpResponse,
    Peer,
    Request,
    send_request,
)
from burdocklead.events import Event
from burdocklead.exceptions import BadAnswerError, BurdockleadError
from burdocklead.timeline.selection import EventPage, Selection

STEP = 'timeline'
MAX_CONCURRENT = 64


class ProcessEvents(msgspec.Struct, frozen=True):
    """Events of one process.

    Attributes:
        name: Name of the process.
        problem: Why events are missing, empty if the response is complete.
        overwritten: Number of events overwritten since the process started.
        gap: True if events in the requested time were overwritten.
        events: Its events in order.
    """

    name: str
    problem: str = ''
    overwritten: int = 0
    gap: bool = False
    events: tuple[Event, ...] = ()


@dataclass(frozen=True, slots=True)
class EventCollector:
    """Requests events from processes with bounded concurrency.

    Attributes:
        limit_s: Time limit for each process in s.
        slots: Limits the number of concurrent requests.
    """

    limit_s: float
    slots: asyncio.Semaphore

    async def collect(
        self, peer_selections: Iterable[tuple[Peer, Selection]]
    ) -> tuple[ProcessEvents, ...]:
        """Return the events of each process, in the order of the peers."""
        requests = (self._collect_from(*request) for request in peer_selections)
        return tuple(await asyncio.gather(*requests))

    async def _collect_from(
        self, peer: Peer, selection: Selection
    ) -> ProcessEvents:
        pages: list[EventPage] = []
        problem = ''
        try:
            async with self.slots, asyncio.timeout(self.limit_s):
                await self._read_pages(peer, selection, pages)
        except BurdockleadError as error:
            problem = error.reason
        except TimeoutError:
            problem = f'no complete response within {self.limit_s:g} s'
        return _process_events(peer, pages, problem)

    async def _read_pages(
        self, peer: Peer, selection: Selection, pages: list[EventPage]
    ) -> None:
        more = True
        while more:
            path = f'/v1/events?{urlencode(selection.query())}'
            request = Request(STEP, 'GET', path)
            response = await send_request(peer, request, self.limit_s)
            page = _page_of(response, selection)
            pages.append(page)
            more = page.more and bool(page.events)
            if more:
                selection = replace(selection, since=page.events[-1].time)


def _page_of(response: HttpResponse, selection: Selection) -> EventPage:
    if response.status != OK:
        raise response.failure()
    page = response.decode(EventPage)
    latest = selection.since
    for event in page.events:
        if event.time <= latest:
            raise BadAnswerError(
                'sent events out of order', step=STEP, peer=response.peer
            )
        latest = event.time
    return page


def _process_events(
    peer: Peer, pages: list[EventPage], problem: str
) -> ProcessEvents:
    events = tuple(event for page in pages for event in page.events)
    overwritten = max((page.overwritten for page in pages), default=0)
    gap = any(page.gap for page in pages)
    # The settings may name a replica differently than the replica itself.
    name = pages[0].process if pages else peer.name
    return ProcessEvents(name, problem, overwritten, gap, events)
