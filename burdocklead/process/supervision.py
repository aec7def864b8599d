"""Errors that no code expected: logged once, counted, never lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import UNEXPECTED_ERROR
from burdocklead.metrics import UNEXPECTED_ERRORS, MetricSet
from burdocklead.process.lifecycle import Lifecycle

UNNAMED = 'callback'


class Supervisor:
    """Watches the loop and the tasks that live as long as the process.

    Attributes:
        events: Ring for failures.
        metrics: Counts failures.
        stop: Asks the process to stop gracefully.
    """

    def __init__(
        self, events: EventRing, metrics: MetricSet, stop: Callable[[], None]
    ) -> None:
        """Prepare to watch; nothing is watched yet."""
        self.events = events
        self.metrics = metrics
        self.stop = stop

    def watch_loop(self) -> None:
        """Report what the running loop would only print."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_error)

    def start(
        self, name: str, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run work that must not end; its failure stops the process.

        A process that lost one of its loops must not look alive; the
        service manager starts a new one.
        """
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._on_task_done)
        return task

    def report(self, step: str, error: BaseException | None) -> None:
        """Log, count and record one unexpected error."""
        kind = type(error).__name__ if error else 'error'
        self.metrics.count(UNEXPECTED_ERRORS)
        self.events.record(
            EventKind.unexpected_error, detail=f'{step}: {kind}: {error}'
        )
        trace = (type(error), error, error.__traceback__) if error else None
        UNEXPECTED_ERROR.write(step=step, exc_info=trace)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self.report(task.get_name(), task.exception())
        self.stop()

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        task = context.get('task') or context.get('future')
        name = task.get_name() if isinstance(task, asyncio.Task) else UNNAMED
        self.report(
            f'{name}: {context.get("message", "")}', context.get('exception')
        )


def watch_process(metrics: MetricSet, lifecycle: Lifecycle) -> Supervisor:
    """Return the supervisor of a process, with its loop watched."""
    supervisor = Supervisor(
        lifecycle.events, metrics, lifecycle.stop_requested.set
    )
    supervisor.watch_loop()
    return supervisor
