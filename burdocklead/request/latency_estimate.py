"""Latency estimate for a new call to the local upstream."""

from __future__ import annotations

from burdocklead.request.admission import AdmissionQueue
from burdocklead.values import Estimate


def estimate_latency(
    queue: AdmissionQueue, route: str, cost_ms: float, now: float
) -> Estimate:
    """Return the expected latency of a new call, queueing included.

    Args:
        queue: Admission queue of the upstream.
        route: Route key, ``service/route``.
        cost_ms: Service time in ms assumed before the first call.
        now: Monotonic time in s.
    """
    cost = queue.table.costs.cost_of(route, cost_ms)
    wait_ms = queue.expected_wait_ms(now)
    service_ms = cost.baseline.estimate * queue.table.present_slowness(now)
    service_ms *= queue.table.contention_factor()
    return Estimate(
        expected_ms=wait_ms + queue.pace.expected_ms(service_ms, now),
        conservative_ms=wait_ms
        + queue.pace.expected_ms(cost.conservative_ms(), now),
    )
