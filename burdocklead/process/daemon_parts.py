"""The parts of one daemon process and how they hang together."""

from __future__ import annotations

import asyncio
import random
import time

from burdocklead.clock import HybridClock
from burdocklead.connection.control_client import ControlGroup
from burdocklead.connection.frames import Hello
from burdocklead.connection.link_server import LinkServer
from burdocklead.connection.peer_access import load_peer_access
from burdocklead.events import EventRing
from burdocklead.metrics import MetricSet
from burdocklead.process.caller_http import CallerPages
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.attempt_journal import AttemptJournal
from burdocklead.request.attempt_runner import AttemptRunner
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.request.routing import Router
from burdocklead.settings import DaemonSettings
from burdocklead.values import LoadReport


class DaemonParts:
    """The parts of one daemon process."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Make the parts; nothing listens yet."""
        self.settings = settings
        self.clock = HybridClock()
        self.events = EventRing(settings.daemon_id, self.clock)
        self.metrics = MetricSet()
        self.incarnation = time.time_ns()
        self.rng = random.Random(self.incarnation)
        self.executor = AttemptExecutor(
            self.incarnation, AttemptJournal(self.events, self.metrics)
        )
        self.router = Router(settings.zone, self.rng)
        self.access = load_peer_access(settings)
        self.control = ControlGroup(settings.control, self.access)
        hello = Hello(settings.daemon_id, self.incarnation)
        self.directory = DaemonDirectory(
            hello, self.executor, self.events, self.observe_load
        )
        prefix = f'{settings.daemon_id}.{self.incarnation:x}'
        self.dispatcher = Dispatcher(
            prefix,
            self.directory,
            AttemptRunner(self.directory, self.router),
            self.router,
            self.rng,
        )
        keyed_calls = KeyedCalls(
            self.dispatcher, self.control, self.directory.find_member
        )
        self.callers = CallerPages(
            settings,
            self.directory,
            self.dispatcher,
            keyed_calls,
            self.events,
            self.metrics,
        )
        self.links = LinkServer(self.executor)

    def observe_load(self, daemon_id: str, load: LoadReport) -> None:
        """Pass a load report to the router."""
        now = asyncio.get_running_loop().time()
        self.router.observe_load(daemon_id, load, now)
