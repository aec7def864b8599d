"""Asks upstreams' daemons for their load, within the measuring budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from burdocklead.exceptions import LinkError
from burdocklead.metrics import (
    MEASURING_BYTES,
    MEASURING_MESSAGES,
    PROBES,
    MetricSet,
)
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.measuring import MeasuringBudget, ProbePlanner
from burdocklead.values import Member

PROBE_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.5
PROBE_MESSAGES = 2
PROBE_BYTES = 160
SILENT_WEIGHT = 2

Probe = Callable[[Member], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class Prober:
    """Sends probes where knowledge is old and a call would go.

    Attributes:
        directory: Upstreams by service.
        planner: Chooses whom to ask.
        budget: Messages and bytes that may be spent.
        probe: Asks a daemon for its load or raises LinkError.
        metrics: Counts probes, messages and bytes.
    """

    directory: DaemonDirectory
    planner: ProbePlanner
    budget: MeasuringBudget
    probe: Probe
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
            if member.daemon_id == self.directory.settings.daemon_id:
                continue
            if not self.budget.take(PROBE_MESSAGES, PROBE_BYTES, now):
                self.metrics.count(PROBES, 'over-budget')
                return
            self.planner.note_probe(member.daemon_id, now)
            self.metrics.count(MEASURING_MESSAGES, amount=PROBE_MESSAGES)
            self.metrics.count(MEASURING_BYTES, amount=PROBE_BYTES)
            group.create_task(self._run_probe(member))

    async def _run_probe(self, member: Member) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self.probe(member)
        except (LinkError, TimeoutError):
            self.metrics.count(PROBES, 'unanswered')
            view = self.planner.router.view_of(member.daemon_id)
            view.punish(SILENT_WEIGHT, loop.time())
            return
        self.metrics.count(PROBES, 'answered')
