"""Reports errors that no other code handles."""

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
    """Reports failures of the event loop and of long-running tasks.

    Attributes:
        events: Event ring that records failures.
        metrics: Metrics that count failures.
        stop: Requests a graceful stop of the process.
    """

    def __init__(
        self, events: EventRing, metrics: MetricSet, stop: Callable[[], None]
    ) -> None:
        """Create a supervisor that watches nothing yet."""
        self.events = events
        self.metrics = metrics
        self.stop = stop

    def watch_loop(self) -> None:
        """Report errors that the running event loop would only log."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_error)

    def start(
        self, name: str, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run a long-lived task whose failure stops the process.

        A process without one of its tasks must not appear healthy; the
        service manager restarts it.
        """
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._on_task_done)
        return task

    def report(self, step: str, error: BaseException | None) -> None:
        """Log, count and record an unexpected error."""
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
    """Return a supervisor that watches the event loop of a process."""
    supervisor = Supervisor(
        lifecycle.events, metrics, lifecycle.stop_requested.set
    )
    supervisor.watch_loop()
    return supervisor
