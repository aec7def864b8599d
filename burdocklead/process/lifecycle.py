"""Lifecycle of a process and its signal handlers."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from transitions import Machine

from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import STATE_CHANGED

EXIT_FORCED = 1
STATES = ('starting', 'serving', 'draining', 'stopped')
TRANSITIONS = (
    {'trigger': 'start_serving', 'source': 'starting', 'dest': 'serving'},
    {
        'trigger': 'start_draining',
        'source': ['starting', 'serving'],
        'dest': 'draining',
    },
    {'trigger': 'finish', 'source': '*', 'dest': 'stopped'},
)


class Lifecycle:
    """States of one process; the first signal drains, the second exits.

    Attributes:
        state: One of ``STATES``.
        stop_requested: Set by the first signal.
    """

    state: str
    start_serving: Callable[[], bool]
    start_draining: Callable[[], bool]
    finish: Callable[[], bool]

    def __init__(self, events: EventRing, zone: str, incarnation: int) -> None:
        """Start in the state ``starting``.

        Args:
            events: Event ring of the process.
            zone: Its availability zone.
            incarnation: Its start time in ns.
        """
        self.events = events
        self.zone = zone
        self.incarnation = incarnation
        self.stop_requested = asyncio.Event()
        self.machine = Machine(
            model=self,
            states=list(STATES),
            transitions=list(TRANSITIONS),
            initial='starting',
            auto_transitions=False,
            after_state_change='record_state',
        )

    def record_state(self, *arguments: Any) -> None:
        """Record and log the state that was entered."""
        self.events.record(EventKind.state_change, detail=self.state)
        STATE_CHANGED.write(
            process=self.events.process,
            zone=self.zone,
            incarnation=self.incarnation,
            state=self.state,
        )

    def watch_signals(self) -> None:
        """Install handlers for SIGTERM and SIGINT, and ignore SIGHUP."""
        loop = asyncio.get_running_loop()
        self.watch_hangup(_ignore_hangup)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.handle_signal)

    def watch_hangup(self, on_hangup: Callable[[], None]) -> None:
        """Call a function on each SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, on_hangup)

    def handle_signal(self) -> None:
        """Request a graceful stop; exit at once on the second signal."""
        if self.stop_requested.is_set():
            os._exit(EXIT_FORCED)  # noqa: WPS437
        self.stop_requested.set()


def _ignore_hangup() -> None:
    """Ignore SIGHUP; no settings are reloaded."""


def write_ready_file(path: Path | None, content: object) -> None:
    """Write the ready file, which gives the launcher the addresses."""
    if path is None:
        return
    temporary = path.with_suffix('.tmp')
    temporary.write_bytes(msgspec.json.encode(content))
    temporary.replace(path)
