"""Load of the local upstream, as reported to load queries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.load_queries import LoadSocket
from burdocklead.metrics import MetricSet
from burdocklead.request.execution import AttemptExecutor
from burdocklead.values import Estimate, LoadReport


@dataclass(frozen=True, slots=True)
class LocalLoadSource:
    """Reports the load of the local upstream.

    Attributes:
        executor: Runs attempts on the upstream.
    """

    executor: AttemptExecutor

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this daemon."""
        return self.executor.incarnation

    def load(self) -> LoadReport:
        """Return the current load."""
        return self.executor.load()

    def estimate(self, route: str, cost_ms: float) -> Estimate | None:
        """Return the estimate for a new call, None if none is accepted."""
        executor = self.executor
        if executor.draining or executor.upstream is None:
            return None
        now = asyncio.get_running_loop().time()
        if executor.access.refusal_cause(now) is not None:
            return None
        return self.executor.gate.estimate(route, cost_ms)


def create_load_socket(
    executor: AttemptExecutor, key: ClusterKey, metrics: MetricSet
) -> LoadSocket:
    """Create the load query socket of a daemon without binding it."""
    return LoadSocket(key, LocalLoadSource(executor), metrics)
