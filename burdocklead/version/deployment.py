"""The schema of the configuration file as frozen structs.

Each key is declared with its unit, bounds and meaning; the configuration
reference in the documentation is generated from these declarations.
"""

from __future__ import annotations

import enum
from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType, field

Name = Annotated[str, Meta(pattern=r'^[a-z][a-z0-9-]{0,62}\Z')]
Label = Annotated[str, Meta(min_length=1, max_length=253)]
Prefix = Annotated[str, Meta(pattern=r'^/([^ ?#]*/)?\Z')]
ApiKey = Annotated[str, Meta(pattern=r'^[!-~]{1,256}\Z')]
CallRate = Annotated[float, Meta(ge=0, le=1000000)]
Extensions = Annotated[
    dict[str, Any],
    Meta(description='Keys of other tools, kept and not used.'),
]


class Priority(enum.StrEnum):
    """Priority of the calls of a route; low priority is shed first."""

    high = 'high'
    normal = 'normal'
    low = 'low'


class LargeBodies(enum.StrEnum):
    """Which bodies of a route are usually large."""

    none = 'none'
    requests = 'requests'
    responses = 'responses'


RANKS = {Priority.high: 0, Priority.normal: 1, Priority.low: 2}


class ConfigTable(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all tables of a configuration file."""


class Route(ConfigTable, frozen=True, kw_only=True):
    """A route for calls of one method below one path prefix."""

    name: Annotated[Name, Meta(description='Name in metrics and events.')]
    method: Annotated[
        str, Meta(pattern=r'^[A-Z]{1,16}\Z', description='HTTP method.')
    ]
    path: Annotated[
        str,
        Meta(pattern='^/', description='Path prefix at the upstream.'),
    ]
    idempotent: Annotated[
        bool, Meta(description='True if a call may run more than once.')
    ]
    key_required: Annotated[
        bool,
        Meta(description='True to refuse calls without `Idempotency-Key`.'),
    ] = False
    priority: Annotated[
        Priority, Meta(description='Low priority is shed first.')
    ] = Priority.normal
    cost_ms: Annotated[
        float,
        Meta(ge=0.01, le=600000, description='Usual service time in ms.'),
    ] = 5
    timeout_ms: Annotated[
        float,
        Meta(ge=1, le=600000, description='Longest wait of a caller in ms.'),
    ] = 2000
    # Encoded only if it is given, as older daemons refuse unknown keys.
    anonymous: Annotated[
        bool | UnsetType,
        Meta(description='True to accept calls without an API key.'),
    ] = UNSET


class Service(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """A service with its routes and limits."""

    routes: Annotated[
        tuple[Route, ...],
        Meta(description='Routes; the longest matching path applies.'),
    ] = ()
    queue_limit: Annotated[
        int,
        Meta(
            ge=0, le=100000, description='Most calls waiting for one upstream.'
        ),
    ] = 100
    max_attempts: Annotated[
        int, Meta(ge=1, le=10, description='Attempts of one call.')
    ] = 3
    retry_ratio: Annotated[
        float,
        Meta(ge=0, le=1, description='Retries and hedges per first attempt.'),
    ] = 0.1
    retry_server_errors: Annotated[
        bool,
        Meta(description='True to repeat idempotent calls answered 5xx.'),
    ] = False
    hedge_after_ms: Annotated[
        float,
        Meta(
            ge=0, le=60000, description='Wait before a hedge in ms; 0 is off.'
        ),
    ] = 0
    hedge_learned: Annotated[
        bool,
        Meta(description='True to hedge calls that take longer than most.'),
    ] = False
    health_path: Annotated[
        str,
        Meta(pattern=r'^/[!-~]*\Z', description='Path of the health check.'),
    ] = '/'
    max_connections: Annotated[
        int,
        Meta(
            ge=1,
            le=1000000,
            description='Connections that one upstream accepts.',
        ),
    ] = 1000
    protocol: Annotated[
        Label, Meta(description='Protocol of the upstreams.')
    ] = 'h1'
    tls: Annotated[
        bool, Meta(description='True if the upstreams expect TLS.')
    ] = False
    cold_start_s: Annotated[
        Annotated[float, Meta(ge=0, le=3600)] | None,
        Meta(description='Time for which a start is cold in s.'),
    ] = None
    cold_rate: Annotated[
        CallRate | None,
        Meta(description='Calls per s to a cold upstream; 0 is no limit.'),
    ] = None
    extensions: Extensions = field(default_factory=dict)


class Share(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """A service that gets a weighted share of the calls of a host route."""

    service: Annotated[Label, Meta(description='Service that runs the calls.')]
    weight: Annotated[
        float,
        Meta(
            ge=0,
            le=1e9,
            description='Share of the calls, relative to the other weights.',
        ),
    ]
    extensions: Extensions = field(default_factory=dict)


class HostRoute(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """A route for calls to one host below one path prefix.

    Exactly one of ``service`` and ``split`` is given. Encoding omits defaults,
    as a configuration may have thousands of routes.
    """

    host: Annotated[Label, Meta(description='Host in the requests of callers.')]
    path_prefix: Annotated[
        Prefix, Meta(description='Path prefix; starts and ends with a slash.')
    ]
    idempotent: Annotated[
        bool, Meta(description='True if a call may run more than once.')
    ]
    timeout_ms: Annotated[
        float,
        Meta(gt=0, le=600000, description='Longest wait of a caller in ms.'),
    ]
    max_attempts: Annotated[
        int, Meta(ge=1, le=1000, description='Upstreams tried for one call.')
    ] = 1
    objective_ms: Annotated[
        float,
        Meta(
            ge=0, le=600000, description='Latency objective in ms; 0 is none.'
        ),
    ] = 0
    rank: Annotated[
        int, Meta(ge=0, le=1000, description='Rank; 0 is shed last.')
    ] = 1
    service: Annotated[str, Meta(description='Service of all calls.')] = ''
    split: Annotated[
        tuple[Share, ...],
        Meta(description='Services among which calls are split.'),
    ] = ()
    large_bodies: Annotated[
        LargeBodies, Meta(description='Which bodies are usually large.')
    ] = LargeBodies.none
    anonymous: Annotated[
        bool | None,
        Meta(description='True to accept calls without an API key.'),
    ] = None
    extensions: Extensions = field(default_factory=dict)

    def shares(self) -> tuple[Share, ...]:
        """Return the services of the route with their weights."""
        if self.service:
            return (Share(service=self.service, weight=1),)
        return self.split


class Team(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """A team whose callers send one of its API keys."""

    keys: Annotated[
        tuple[ApiKey, ...], Meta(description='API keys, unique to the team.')
    ] = ()
    rank: Annotated[
        Annotated[int, Meta(ge=0, le=1000)] | None,
        Meta(description='Rank of its calls instead of the rank of the route.'),
    ] = None
    rate: Annotated[
        CallRate | None,
        Meta(description='Calls per s at all daemons together; 0 is no limit.'),
    ] = None
    burst: Annotated[
        CallRate | None,
        Meta(description='Calls at once in addition to the rate.'),
    ] = None
    extensions: Extensions = field(default_factory=dict)


class CallerLimits(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """Limits on what a caller may send and on how long it may take."""

    max_header_bytes: Annotated[
        int, Meta(ge=256, le=16777216, description='Bytes of all headers.')
    ] = 65536
    max_body_bytes: Annotated[
        int, Meta(ge=0, le=2**40, description='Bytes of a body.')
    ] = 67108864
    header_timeout_ms: Annotated[
        float, Meta(gt=0, le=600000, description='Time for the headers in ms.')
    ] = 5000
    idle_timeout_ms: Annotated[
        float,
        Meta(gt=0, le=86400000, description='Idle time of connections in ms.'),
    ] = 60000
    extensions: Extensions = field(default_factory=dict)


class Measuring(ConfigTable, frozen=True, kw_only=True):
    """Limits on the traffic of one daemon for probing upstreams."""

    messages_per_second: Annotated[
        float, Meta(ge=0, le=100000, description='Probes and replies per s.')
    ] = 20
    bytes_per_second: Annotated[
        float,
        Meta(
            ge=0, le=100000000, description='Bytes of probes and replies per s.'
        ),
    ] = 4000
    asked_upstreams: Annotated[
        int,
        Meta(
            ge=0,
            le=16,
            description='Upstreams asked for their load before a call.',
        ),
    ] = 0


class Crashes(ConfigTable, frozen=True, kw_only=True):
    """Blocking of requests that crash upstreams."""

    max_crashes: Annotated[
        int,
        Meta(
            ge=1,
            le=100,
            description='Crashes after which a request is refused.',
        ),
    ] = 2
    block_seconds: Annotated[
        float,
        Meta(
            ge=1,
            le=86400,
            description='Time for which a request is refused in s.',
        ),
    ] = 600


class Claims(ConfigTable, frozen=True, kw_only=True):
    """Durable claims on calls with an idempotency key."""

    keep_seconds: Annotated[
        float,
        Meta(ge=1, le=2592000, description='Time a claim is kept in s.'),
    ] = 86400
    max_answer_bytes: Annotated[
        int,
        Meta(ge=0, le=1048576, description='Largest answer kept in bytes.'),
    ] = 16384


class Deployment(ConfigTable, frozen=True, kw_only=True, omit_defaults=True):
    """A whole configuration file."""

    version: Annotated[
        int,
        Meta(
            ge=1,
            le=2**53,
            description='Number that increases with each change.',
        ),
    ]
    services: Annotated[
        dict[Name, Service],
        Meta(min_length=1, description='Services by name.'),
    ]
    host_routes: Annotated[
        dict[Label, HostRoute],
        Meta(description='Routes by host and path prefix, by name.'),
    ] = field(default_factory=dict)
    teams: Annotated[
        dict[Label, Team],
        Meta(description='Teams by name; with any, callers send an API key.'),
    ] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    measuring: Measuring = Measuring()
    crashes: Crashes = Crashes()
    claims: Claims = Claims()
    extensions: Extensions = field(default_factory=dict)
