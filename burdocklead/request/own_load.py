"""What this daemon tells of the load beside it."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.load_queries import LoadSocket
from burdocklead.metrics import MetricSet
from burdocklead.request.execution import AttemptExecutor
from burdocklead.values import Estimate, LoadReport


@dataclass(frozen=True, slots=True)
class OwnLoad:
    """Answers questions for the load of the upstream beside this daemon.

    Attributes:
        executor: Runs attempts at the upstream.
    """

    executor: AttemptExecutor

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this daemon."""
        return self.executor.incarnation

    def load(self) -> LoadReport:
        """Return the present load."""
        return self.executor.load()

    def estimate(self, route: str, cost_ms: float) -> Estimate | None:
        """Return the time that a call would take, None if none is taken."""
        if self.executor.draining or self.executor.upstream is None:
            return None
        return self.executor.gate.estimate(route, cost_ms)


def load_socket_of(
    executor: AttemptExecutor, key: ClusterKey, metrics: MetricSet
) -> LoadSocket:
    """Return the socket of a daemon for questions; it is not bound yet."""
    return LoadSocket(key, OwnLoad(executor), metrics)
