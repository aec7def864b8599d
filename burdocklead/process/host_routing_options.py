"""Options of daemons with host-based routing."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.memory.process_limits import PortLimits
from burdocklead.request.dialect import CallerDialect, UpstreamDialect
from burdocklead.request.shared_budget import RetryLimit
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a graceful stop, counted from the signal.

    Attributes:
        unready_s: Time for callers to see that this daemon is not ready;
            connections stay open until then.
        limit_s: Time after which work in progress is abandoned.
    """

    unready_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class HostRoutingOptions:
    """Options that a deployment sets for its daemons.

    Attributes:
        settings: Settings of the daemon.
        caller_dialect: Reads and writes the headers of callers.
        upstream_dialect: Reads and writes the headers of the upstream.
        retry_limit: Limit on the retries of all daemons together.
        stop_times: Times of a graceful stop.
        metrics_listen: Listen address for metrics, None to serve none.
        caller_ports: Limits on the connections of callers.
    """

    settings: DaemonSettings
    caller_dialect: CallerDialect
    upstream_dialect: UpstreamDialect
    retry_limit: RetryLimit
    stop_times: StopTimes
    metrics_listen: Address | None = None
    caller_ports: PortLimits = PortLimits()
