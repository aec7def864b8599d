"""The way of this daemon's own callers to the upstream beside it."""

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
    """Runs attempts of this daemon's own callers without a connection."""

    def __init__(self, executor: AttemptExecutor) -> None:
        """Lead to the executor."""
        self.executor = executor

    async def open(self, incarnation: int) -> None:
        """Do nothing; there is no connection."""

    async def run_attempt(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt."""
        return await self.executor.run(attempt)

    async def query(self, query: Query) -> Verdict:
        """Return what is known of an attempt; a running one is awaited."""
        verdict = self.executor.query(query)
        if verdict.state is not AttemptState.running:
            return verdict
        result = await self.executor.follow(query.attempt_id)
        return Verdict(
            query.attempt_id, verdict.incarnation, AttemptState.done, result
        )

    async def withdraw(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return what was true."""
        return self.executor.cancel(cancel)

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt without waiting for what was true."""
        self.executor.cancel(cancel)

    def close(self, reason: str) -> None:
        """Do nothing; there is no connection."""
