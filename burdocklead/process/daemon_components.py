"""Components of a daemon process and the connections between them."""

from __future__ import annotations

import random
import time

from burdocklead.clock import HybridClock
from burdocklead.connection.control_client import FailoverControlClient
from burdocklead.connection.link_identity import create_identity
from burdocklead.connection.link_server import LinkServer
from burdocklead.connection.peer_credentials import load_peer_credentials
from burdocklead.events import EventKind, EventRing
from burdocklead.memory.budget import MemoryBudget
from burdocklead.metrics import SIGNAL_DEAD, MetricSet
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.attempt_telemetry import AttemptTelemetry
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.load_signals import LoadSignalMonitor
from burdocklead.request.local_link import LocalLink
from burdocklead.request.local_load import create_load_socket
from burdocklead.request.placement import Placement
from burdocklead.request.probing import ProbingSelector
from burdocklead.request.recording_runner import RecordingRunner
from burdocklead.request.routing import Router
from burdocklead.settings import DaemonSettings
from burdocklead.version.deployment import Crashes, Measuring, Service


class DaemonComponents:
    """Components of a daemon process."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Create the components without opening any listener."""
        self.settings = settings
        self.clock = HybridClock()
        self.events = EventRing(settings.daemon_id, self.clock)
        self.metrics = MetricSet()
        self.incarnation = time.time_ns()
        rng = random.Random(self.incarnation)
        self.executor = AttemptExecutor(
            settings,
            self.incarnation,
            AttemptTelemetry(self.events, self.metrics),
        )
        self.router = Router(
            settings.zone, rng, LoadSignalMonitor(self.record_signal_change)
        )
        self.credentials = load_peer_credentials(settings)
        self.control = FailoverControlClient(settings.control, self.credentials)
        identity = create_identity(
            settings, self.incarnation, self.credentials, self.clock
        )
        self.directory = DaemonDirectory(
            settings,
            identity,
            LocalLink(self.executor),
            self.events,
            self.metrics,
            self.router,
        )
        self.executor.guard.peers = self.directory
        self.executor.access.keys = self.directory.keys
        self.executor.guard.limits = self.crash_limits
        self.executor.access.warm_up.service = self.local_service
        self.load_socket = create_load_socket(
            self.executor, self.credentials.key, self.metrics
        )
        self.selector = ProbingSelector(
            settings.daemon_id,
            self.router,
            self.load_socket,
            self.measuring_limits,
            self.metrics,
        )
        runner = RecordingRunner(self.directory, self.router, self.events)
        prefix = f'{settings.daemon_id}.{self.incarnation:x}'
        self.dispatcher = Dispatcher(
            prefix,
            self.directory,
            runner,
            Placement(self.directory, self.router, self.selector),
            rng,
            self.metrics,
            self.executor.guard,
            work_limit=runner.work_limit,
            keys=self.directory.keys,
        )
        self.links = LinkServer(
            self.executor, identity, settings, self.metrics, self.events
        )

    @property
    def budget(self) -> MemoryBudget:
        """Return the memory budget of the process."""
        return self.links.identity.budget

    def crash_limits(self) -> Crashes:
        """Return the crash limits of the configuration in force."""
        deployment = self.directory.deployment()
        return deployment.crashes if deployment else Crashes()

    def local_service(self) -> Service | None:
        """Return the service of the local upstream, None if not known."""
        deployment = self.directory.deployment()
        if deployment is None:
            return None
        return deployment.services.get(self.executor.service)

    def measuring_limits(self) -> Measuring:
        """Return the measuring limits of the configuration in force."""
        deployment = self.directory.deployment()
        return deployment.measuring if deployment else Measuring()

    def record_signal_change(self, daemon_id: str, reason: str) -> None:
        """Count and record that a load signal died or recovered."""
        if reason:
            self.metrics.count(SIGNAL_DEAD, reason.replace(' ', '-'))
        self.events.record(
            EventKind.signal_dead,
            peer=daemon_id,
            detail=reason or 'alive again',
        )

    def is_working(self) -> bool:
        """Return True while an attempt is in progress."""
        return bool(self.links.tasks or self.executor.executions)
