"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, Protocol


class Network(Protocol):
    """Opens connections in memory."""

    async def connect(
        self, factory: Callable[[], asyncio.Protocol], port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Return a connection to a port."""


class VirtualSelector(selectors.SelectSelector):
    """Waits for no file; moves the clock instead.

    Attributes:
        now: Virtual time in s.
    """

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock to the next timer."""
        if timeout is None:
            raise RuntimeError(
                'every task waits for something that never comes'
            )
        self.now += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in virtual time and connections in memory.

    Attributes:
        network: Opens the connections.
        failures: Errors that reached the loop.
    """

    def __init__(self) -> None:
        """Start at time zero without a network."""
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)
        self.network: Network | None = None
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(
            lambda loop, problem: self.failures.append(problem)
        )

    def time(self) -> float:
        """Return the virtual time in s."""
        return self.virtual_selector.now

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Return a connection in memory."""
        if self.network is None:
            raise OSError('there is no network')
        return await self.network.connect(protocol_factory, port)


def run_virtually(
    main: Callable[[VirtualLoop], Awaitable[None]],
) -> list[dict[str, Any]]:
    """Run a coroutine in virtual time; return errors that reached the loop."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main(loop))
        _cancel_rest(loop)
    finally:
        loop.close()
    return loop.failures


def _cancel_rest(loop: VirtualLoop) -> None:
    rest = asyncio.all_tasks(loop)
    for task in rest:
        task.cancel()
    loop.run_until_complete(_gather(rest))


async def _gather(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
