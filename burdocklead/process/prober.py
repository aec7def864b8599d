"""Asks upstreams' daemons for their load, within the measuring budget."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from burdocklead.connection.frames import Ping
from burdocklead.connection.peer_link import PeerLink
from burdocklead.exceptions import LinkError
from burdocklead.metrics import (
    MEASURING_BYTES,
    MEASURING_MESSAGES,
    PROBES,
    MetricSet,
)
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.measuring import MeasuringBudget, ProbePlanner

PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.5
PROBE_MESSAGES = 2
PROBE_BYTES = 184
SILENT_WEIGHT = 2


@dataclass(frozen=True, slots=True)
class Prober:
    """Sends probes where knowledge is old and a call would go.

    Only open links carry probes: an upstream that calls go to has one.

    Attributes:
        directory: Upstreams by service.
        planner: Chooses whom to ask.
        budget: Messages and bytes that may be spent.
        metrics: Counts probes, messages and bytes.
    """

    directory: DaemonDirectory
    planner: ProbePlanner
    budget: MeasuringBudget
    metrics: MetricSet

    async def run_forever(self) -> None:
        """Probe again and again until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.start_probes(group)
                await asyncio.sleep(PROBE_INTERVAL_S)

    def start_probes(self, group: asyncio.TaskGroup) -> None:
        """Start the probes that are due and within the budget."""
        deployment = self.directory.deployment()
        if deployment is None:
            return
        self.budget.limits = deployment.measuring
        now = asyncio.get_running_loop().time()
        for member in self.planner.plan(self.directory.by_service, now):
            link = self.directory.open_link(member)
            if link is None:
                continue
            if not self.budget.try_spend(PROBE_MESSAGES, PROBE_BYTES, now):
                self.metrics.count(PROBES, 'over-budget')
                return
            self.planner.record_probe(member.daemon_id, now)
            self.metrics.count(MEASURING_MESSAGES, amount=PROBE_MESSAGES)
            self.metrics.count(MEASURING_BYTES, amount=PROBE_BYTES)
            group.create_task(self._run_probe(link))

    async def _run_probe(self, link: PeerLink) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        with contextlib.suppress(LinkError):
            link.tell(Ping(0))
        await asyncio.sleep(PROBE_TIMEOUT_S)
        view = self.planner.router.view_of(link.daemon_id)
        if view.load_at >= sent_at:
            self.metrics.count(PROBES, 'answered')
            return
        self.metrics.count(PROBES, 'unanswered')
        view.add_penalty(SILENT_WEIGHT, loop.time())
