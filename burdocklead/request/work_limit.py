"""End of all work of a daemon that stops."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from burdocklead.request.caller_input import CallerInputError
from burdocklead.values import RefusalCause


@dataclass(slots=True)
class WorkLimit:
    """Time at which a stopping daemon ends the calls in progress.

    Attributes:
        ends_at: Loop time in s, infinite unless the daemon stops.
        timeouts: Timeouts of the attempts in progress.
    """

    ends_at: float = math.inf
    timeouts: set[asyncio.Timeout] = field(default_factory=set)

    def end_calls_at(self, at: float) -> None:
        """End all calls at a loop time in s, with their true outcomes."""
        self.ends_at = at
        for timeout in self.timeouts:
            planned = timeout.when()
            if planned is None or planned > at:
                timeout.reschedule(at)

    @contextlib.asynccontextmanager
    async def timeout_at(self, deadline: float) -> AsyncIterator[None]:
        """Raise TimeoutError at a deadline, or when all calls end."""
        end = min(deadline, self.ends_at)
        async with asyncio.timeout_at(end) as timeout:
            self.timeouts.add(timeout)
            try:
                yield
            finally:
                self.timeouts.discard(timeout)

    def check_deadline(self, deadline: float) -> None:
        """Check that a call ends before the daemon does.

        Args:
            deadline: Deadline of the call as loop time in s.

        Raises:
            CallerInputError: If the call could be cut.
        """
        if deadline > self.ends_at:
            reason = 'this daemon stops before the deadline of the call'
            raise CallerInputError(RefusalCause.draining, reason)
