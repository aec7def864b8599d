"""What a deployment brings to the daemons whose callers name hosts."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.request.dialect import CallerDialect, UpstreamDialect
from burdocklead.request.shared_budget import RetryLimit
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a graceful stop, from the signal on.

    Attributes:
        unready_s: Time in which callers learn that this daemon is not
            ready; connections are kept until then.
        limit_s: Time after which work in progress is given up.
    """

    unready_s: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class HostDaemonPlan:
    """What a deployment brings to its daemons.

    Attributes:
        settings: Settings of the daemon.
        caller_dialect: Headers of the callers.
        upstream_dialect: Headers of the upstream.
        retry_terms: Retries that all daemons together may send.
        stop_times: Times of a graceful stop.
        metrics_listen: Address of the metrics page, None without one.
    """

    settings: DaemonSettings
    caller_dialect: CallerDialect
    upstream_dialect: UpstreamDialect
    retry_terms: RetryLimit
    stop_times: StopTimes
    metrics_listen: Address | None = None
