"""Holds calls back while their upstream is temporarily slow."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from burdocklead.request.slot_gate import SlotGate
from burdocklead.request.upstream_load import PaceView

MAX_PACE_AGE_S = 0.025  # The pace of a shared VM changes every 150 ms.
HOLD_POLL_INTERVAL_S = 0.02
CHECK_TIMEOUT_S = 0.1  # A slower health check gives no current pace.
MIN_CHECKED_COST_MS = 20  # Shorter calls lose less than waiting costs.


@dataclass(slots=True)
class PaceGuard:
    """Keeps the pace of the upstream up to date while calls want to start.

    Attributes:
        pace: Pace that the upstream reports.
        gate: Gate at which calls wait.
        check: Requests a load report from the upstream.
        running: Task of the check in progress, None if there is none.
        poll_task: Task that polls the pace while calls are held, or None.
    """

    pace: PaceView
    gate: SlotGate
    check: Callable[[], Awaitable[object]]
    running: asyncio.Task[None] | None = None
    poll_task: asyncio.Task[None] | None = field(default=None)

    async def refresh(self, cost_ms: float, *, force: bool = False) -> None:
        """Update the pace if it is outdated and the call takes long enough.

        Args:
            cost_ms: Median service time of the call in ms.
            force: True to check the upstream in any case.
        """
        loop = asyncio.get_running_loop()
        if force or (
            cost_ms >= MIN_CHECKED_COST_MS
            and self.pace.age_s(loop.time()) > MAX_PACE_AGE_S
        ):
            await self._run_check()
        self._hold_or_release()

    async def _run_check(self) -> None:
        if self.running is None:
            self.running = asyncio.create_task(self._check_once())
        await asyncio.shield(self.running)

    async def _check_once(self) -> None:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                await self.check()
        except TimeoutError:
            self.pace.slow_since = None
        finally:
            self.running = None

    def _hold_or_release(self) -> None:
        now = asyncio.get_running_loop().time()
        self.gate.set_pace(self.pace, now)
        if self.pace.is_slow() and self.poll_task is None:
            self.poll_task = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        """Poll the pace while it is slow and calls wait."""
        try:
            while self.pace.is_slow() and self.gate.waiters:
                await asyncio.sleep(HOLD_POLL_INTERVAL_S)
                await self._run_check()
                now = asyncio.get_running_loop().time()
                self.gate.set_pace(self.pace, now)
        finally:
            self.poll_task = None
