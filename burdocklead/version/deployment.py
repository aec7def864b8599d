"""The configuration file as frozen data classes."""

from __future__ import annotations

import enum

import msgspec


class Priority(enum.StrEnum):
    """Which calls are shed last."""

    high = 'high'
    normal = 'normal'
    low = 'low'


class Route(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A rule for calls of one method below one path.

    Attributes:
        name: Name of the route in metrics and events.
        method: HTTP method.
        path: Path prefix below the service's own prefix.
        idempotent: True if a call may run more than once.
        key_required: True if a call without ``Idempotency-Key`` is refused.
        priority: Order in which calls are shed.
        cost_ms: Usual service time in ms.
        timeout_ms: Longest time that a caller waits in ms.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    key_required: bool = False
    priority: Priority = Priority.normal
    cost_ms: float = 5
    timeout_ms: float = 2000


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One service and its rules.

    Attributes:
        routes: Rules, the longest matching path goes first.
        queue_limit: Calls that may wait beside one upstream.
        max_attempts: Attempts of one call, the first one included.
        retry_ratio: Retries and hedges per first attempt.
        hedge_after_ms: Wait before an idempotent call is hedged; 0 is off.
    """

    routes: tuple[Route, ...]
    queue_limit: int = 100
    max_attempts: int = 3
    retry_ratio: float = 0.1
    hedge_after_ms: float = 0


class Measuring(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The budget of one daemon for measuring upstreams.

    Attributes:
        messages_per_second: Probes sent and answered.
        bytes_per_second: Bytes of those probes.
    """

    messages_per_second: float = 20
    bytes_per_second: float = 4000


class Deployment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A whole configuration file.

    Attributes:
        version: Number that grows with every change.
        services: Services by name.
        measuring: Budget for measuring.
    """

    version: int
    services: dict[str, Service]
    measuring: Measuring = Measuring()
