"""Hedged attempts: a second attempt is sent if the first one is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from burdocklead.connection.frames import Answer, AttemptResult

SERVER_ERROR = 500
AttemptTask = asyncio.Task[AttemptResult]
HedgeStarter = Callable[
    [], Awaitable[Coroutine[Any, Any, AttemptResult] | None]
]


@dataclass(frozen=True, slots=True)
class HedgeResult:
    """Results of an attempt and its hedge.

    Attributes:
        results: Results in the order of their arrival.
        hedged: True if a hedge was started.
        cancelled: Attempts cancelled because the other one succeeded.
    """

    results: tuple[AttemptResult, ...]
    hedged: bool = False
    cancelled: int = 0


async def run_hedged(
    first: Coroutine[Any, Any, AttemptResult],
    start_hedge: HedgeStarter,
    after_s: float,
) -> HedgeResult:
    """Run an attempt and hedge it if it takes too long.

    The first successful answer cancels the other attempt.

    Args:
        first: The first attempt.
        start_hedge: Returns the hedge, None if none may be sent.
        after_s: Delay before the hedge in s.
    """
    tasks = [asyncio.create_task(first)]
    try:
        await asyncio.wait(tasks, timeout=after_s)
        hedge = None if tasks[0].done() else await start_hedge()
        if hedge is not None:
            tasks.append(asyncio.create_task(hedge))
        results = await _results_until_success(tasks)
    finally:
        cancelled_tasks = [task for task in tasks if task.cancel()]
        await asyncio.gather(*cancelled_tasks, return_exceptions=True)
    return HedgeResult(tuple(results), len(tasks) > 1, len(cancelled_tasks))


def _is_success(result: AttemptResult) -> bool:
    """Return True for an answer without a server error status."""
    return isinstance(result, Answer) and result.status < SERVER_ERROR


async def _results_until_success(
    tasks: list[AttemptTask],
) -> list[AttemptResult]:
    """Return the results up to the first success, or all without one."""
    results: list[AttemptResult] = []
    for finished in asyncio.as_completed(tasks):
        results.append(await finished)
        if _is_success(results[-1]):
            break
    return results
