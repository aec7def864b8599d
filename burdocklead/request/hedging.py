"""A second attempt beside a slow first one; the first answer wins."""

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
    """What came of an attempt and its hedge.

    Attributes:
        results: Results so far, the first answer last.
        hedged: True if a hedge was started.
        cancelled: Attempts that were cancelled since another one answered.
    """

    results: tuple[AttemptResult, ...]
    hedged: bool = False
    cancelled: int = 0


async def run_hedged(
    first: Coroutine[Any, Any, AttemptResult],
    start_hedge: HedgeStarter,
    after_s: float,
) -> HedgeResult:
    """Return the first answer of an attempt and its hedge.

    Args:
        first: The first attempt.
        start_hedge: Returns the hedge, None if it must not run.
        after_s: Wait for the first attempt before the hedge in s.
    """
    tasks = [asyncio.create_task(first)]
    try:
        await asyncio.wait(tasks, timeout=after_s)
        hedge = None if tasks[0].done() else await start_hedge()
        if hedge is not None:
            tasks.append(asyncio.create_task(hedge))
        results = await _first_answer(tasks)
    finally:
        cancelled_tasks = [task for task in tasks if task.cancel()]
        await asyncio.gather(*cancelled_tasks, return_exceptions=True)
    return HedgeResult(tuple(results), len(tasks) > 1, len(cancelled_tasks))


def _is_success(result: AttemptResult) -> bool:
    """Return True for an answer that is not an error of the upstream."""
    return isinstance(result, Answer) and result.status < SERVER_ERROR


async def _first_answer(tasks: list[AttemptTask]) -> list[AttemptResult]:
    """Return the results up to the first good answer, or all of them."""
    results: list[AttemptResult] = []
    for finished in asyncio.as_completed(tasks):
        results.append(await finished)
        if _is_success(results[-1]):
            break
    return results
