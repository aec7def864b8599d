"""An event loop whose clock advances to the next timer without waiting."""

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
        """Connect to a port."""


class VirtualSelector(selectors.SelectSelector):
    """Watches no files and advances the clock instead of waiting.

    Attributes:
        now: Virtual time in s.
    """

    def __init__(self) -> None:
        """Set the clock to 0."""
        super().__init__()
        self.now = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout."""
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time and connections in memory.

    Attributes:
        virtual_selector: Holds the virtual clock.
        network: Opens the connections, None for no network.
        failures: Contexts of errors passed to the exception handler.
    """

    def __init__(self) -> None:
        """Create a loop at time 0 without a network."""
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)
        self.network: Network | None = None
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(
            lambda loop, error: self.failures.append(error)
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
        """Connect to a port in memory; the host is ignored."""
        if self.network is None:
            raise OSError('the virtual loop has no network')
        return await self.network.connect(protocol_factory, port)


def run_virtually(
    main: Callable[[VirtualLoop], Awaitable[None]],
) -> list[dict[str, Any]]:
    """Run a coroutine in virtual time; return the errors of the loop."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main(loop))
        _cancel_tasks(loop)
    finally:
        loop.close()
    return loop.failures


def _cancel_tasks(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(_gather(tasks))


async def _gather(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
