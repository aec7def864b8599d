"""Load probes to the daemons of upstreams, within the measuring budget."""

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
MESSAGES_PER_PROBE = 2
BYTES_PER_PROBE = 184  # Probe and reply, packet headers included.
UNANSWERED_WEIGHT = 2


@dataclass(frozen=True, slots=True)
class Prober:
    """Probes upstreams that would get the next call but have an old report.

    Probes are sent on open links only: an upstream that gets calls has one.

    Attributes:
        directory: Upstreams by service.
        planner: Chooses the upstreams to probe.
        budget: Limits the messages and bytes per second.
        metrics: Counts probes, messages and bytes.
    """

    directory: DaemonDirectory
    planner: ProbePlanner
    budget: MeasuringBudget
    metrics: MetricSet

    async def run_forever(self) -> None:
        """Start probes at a fixed interval until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.start_probes(group)
                await asyncio.sleep(PROBE_INTERVAL_S)

    def start_probes(self, group: asyncio.TaskGroup) -> None:
        """Start the probes that are due, as far as the budget allows."""
        deployment = self.directory.deployment()
        if deployment is None:
            return
        self.budget.limits = deployment.measuring
        now = asyncio.get_running_loop().time()
        for member in self.planner.plan(
            self.directory.candidates_by_service, now
        ):
            link = self.directory.find_open_link(member)
            if link is None:
                continue
            if not self.budget.try_spend(
                MESSAGES_PER_PROBE, BYTES_PER_PROBE, now
            ):
                self.metrics.count(PROBES, 'over-budget')
                return
            self.planner.record_probe(member.daemon_id, now)
            self.metrics.count(MEASURING_MESSAGES, amount=MESSAGES_PER_PROBE)
            self.metrics.count(MEASURING_BYTES, amount=BYTES_PER_PROBE)
            group.create_task(self._run_probe(link))

    async def _run_probe(self, link: PeerLink) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        with contextlib.suppress(LinkError):
            link.send_nowait(Ping(0))
        await asyncio.sleep(PROBE_TIMEOUT_S)
        view = self.planner.router.view_of(link.daemon_id)
        if view.load_at >= sent_at:
            self.metrics.count(PROBES, 'answered')
            return
        self.metrics.count(PROBES, 'unanswered')
        view.add_penalty(UNANSWERED_WEIGHT, loop.time())
