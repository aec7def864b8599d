"""Counts and logs what a process refuses or closes to save memory."""

from __future__ import annotations

import asyncio

from burdocklead.log_events import MEMORY_SHED
from burdocklead.memory.budget import MemoryBudget, Shed


def record_shed(budget: MemoryBudget, reason: Shed) -> None:
    """Count a refusal or a closed connection; log one in a second."""
    if budget.count_shed(reason, asyncio.get_running_loop().time()):
        MEMORY_SHED.write(cause=reason.value, number=budget.shed[reason])
