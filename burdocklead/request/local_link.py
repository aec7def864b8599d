"""Link from a daemon to the upstream on its own VM."""

from __future__ import annotations

from burdocklead.connection.frames import (
    Attempt,
    AttemptResult,
    AttemptState,
    Cancel,
    Query,
    Verdict,
)
from burdocklead.request.execution import AttemptExecutor


class LocalLink:
    """Passes attempts to the daemon's own executor, without a connection."""

    def __init__(self, executor: AttemptExecutor) -> None:
        """Initialize the link with the executor."""
        self.executor = executor

    async def open(self, incarnation: int) -> None:
        """Do nothing; there is no connection."""

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt and return its result."""
        return await self.executor.run(attempt)

    async def query(self, query: Query) -> Verdict:
        """Return the state of an attempt; waits until a running one is done."""
        verdict = self.executor.query(query)
        if verdict.state is not AttemptState.running:
            return verdict
        result = await self.executor.follow(query.attempt_id)
        return Verdict(
            query.attempt_id, verdict.incarnation, AttemptState.done, result
        )

    async def withdraw(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return its state."""
        return self.executor.cancel(cancel)

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt and ignore its state."""
        self.executor.cancel(cancel)

    def close(self, reason: str) -> None:
        """Do nothing; there is no connection."""
