"""Budget of all load probes and choice of background ones, without I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from burdocklead.request.routing import Candidates, Router
from burdocklead.values import Member
from burdocklead.version.deployment import Measuring

BUDGET_WINDOW_S = 1.0
STALE_LOAD_S = 0.25
ACTIVE_SERVICE_S = 10.0


@dataclass(frozen=True, slots=True)
class ProbeCost:
    """Traffic of one probe and its reply.

    Attributes:
        at: Monotonic time in s.
        messages: Number of messages.
        byte_count: Size in bytes, packet headers included.
    """

    at: float
    messages: int
    byte_count: int


@dataclass(slots=True)
class MeasuringBudget:
    """Limits the messages and bytes of probes in any one second.

    Attributes:
        limits: Limits of the configuration in force.
        spent: Costs of the last second, oldest first.
        messages: Total messages in ``spent``.
        byte_count: Total bytes in ``spent``.
    """

    limits: Measuring = field(default_factory=Measuring)
    spent: deque[ProbeCost] = field(default_factory=deque)
    messages: int = 0
    byte_count: int = 0

    def try_spend(self, messages: int, byte_count: int, now: float) -> bool:
        """Spend from the budget; return False if it would exceed a limit."""
        self._expire(now)
        if self.messages + messages > self.limits.messages_per_second:
            return False
        if self.byte_count + byte_count > self.limits.bytes_per_second:
            return False
        self.spent.append(ProbeCost(now, messages, byte_count))
        self.messages += messages
        self.byte_count += byte_count
        return True

    def _expire(self, now: float) -> None:
        while self.spent and self.spent[0].at + BUDGET_WINDOW_S <= now:
            oldest = self.spent.popleft()
            self.messages -= oldest.messages
            self.byte_count -= oldest.byte_count


@dataclass(slots=True)
class ProbePlanner:
    """Chooses upstreams for the background probes that are sent over links.

    Attributes:
        router: State of the upstreams.
        daemon_id: ID of this daemon, which needs no probe.
        probed_at: Monotonic time of the last probe by daemon in s.
    """

    router: Router
    daemon_id: str = ''
    probed_at: dict[str, float] = field(default_factory=dict)

    def plan(
        self, services: Mapping[str, Candidates], now: float
    ) -> list[Member]:
        """Return at most one upstream of each recently called service.

        It is the one that a call would go to now, if its load is stale.
        """
        planned = []
        for service, called_at in tuple(self.router.called_at.items()):
            if called_at + ACTIVE_SERVICE_S < now:
                self.router.called_at.pop(service)
                continue
            candidates = services.get(service, Candidates())
            others = candidates.without((self.daemon_id,))
            best = self.router.choose_for_probe(others, now)
            if best is not None and self._is_stale(best.daemon_id, now):
                planned.append(best)
        return planned

    def record_probe(self, daemon_id: str, now: float) -> None:
        """Record the time of a probe."""
        self.probed_at[daemon_id] = now

    def forget(self, daemon_id: str) -> None:
        """Drop an upstream that has left."""
        self.probed_at.pop(daemon_id, None)

    def _is_stale(self, daemon_id: str, now: float) -> bool:
        updated_at = max(
            self.router.view_of(daemon_id).load_at,
            self.probed_at.get(daemon_id, float('-inf')),
        )
        return updated_at + STALE_LOAD_S <= now
