"""The configuration file as frozen data classes.

Each key is declared with its unit, bounds and meaning; the configuration
reference in the documentation is made from these declarations.
"""

from __future__ import annotations

import enum
from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]


class Priority(enum.StrEnum):
    """Which calls are shed last."""

    high = 'high'
    normal = 'normal'
    low = 'low'


class Declared(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables of a configuration file."""


class Route(Declared, frozen=True, kw_only=True):
    """A rule for calls of one method below one path."""

    name: Annotated[Name, Meta(description='Name in metrics and events.')]
    method: Annotated[
        str, Meta(pattern='^[A-Z]{1,16}$', description='HTTP method.')
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


class Service(Declared, frozen=True, kw_only=True):
    """One service and its rules."""

    routes: Annotated[
        tuple[Route, ...], Meta(description='Rules; the longest path wins.')
    ]
    queue_limit: Annotated[
        int,
        Meta(ge=0, le=100000, description='Calls waiting at one upstream.'),
    ] = 100
    max_attempts: Annotated[
        int, Meta(ge=1, le=10, description='Attempts of one call.')
    ] = 3
    retry_ratio: Annotated[
        float,
        Meta(ge=0, le=1, description='Retries and hedges per first attempt.'),
    ] = 0.1
    hedge_after_ms: Annotated[
        float,
        Meta(
            ge=0, le=60000, description='Wait before a hedge in ms; 0 is off.'
        ),
    ] = 0


class Measuring(Declared, frozen=True, kw_only=True):
    """The budget of one daemon for measuring upstreams."""

    messages_per_second: Annotated[
        float, Meta(ge=0, le=100000, description='Probes and replies per s.')
    ] = 20
    bytes_per_second: Annotated[
        float, Meta(ge=0, le=100000000, description='Bytes of those per s.')
    ] = 4000


class Crashes(Declared, frozen=True, kw_only=True):
    """Containment of a request that crashes its upstreams."""

    max_crashes: Annotated[
        int, Meta(ge=1, le=100, description='Crashes before it is refused.')
    ] = 2
    block_seconds: Annotated[
        float,
        Meta(ge=1, le=86400, description='Time for which it is refused in s.'),
    ] = 600


class Claims(Declared, frozen=True, kw_only=True):
    """Durable claims of keyed calls."""

    keep_seconds: Annotated[
        float,
        Meta(ge=1, le=2592000, description='Time a claim is kept in s.'),
    ] = 86400
    max_answer_bytes: Annotated[
        int,
        Meta(ge=0, le=1048576, description='Largest answer kept in bytes.'),
    ] = 16384


class Deployment(Declared, frozen=True, kw_only=True):
    """A whole configuration file."""

    version: Annotated[
        int,
        Meta(ge=1, le=2**53, description='Number that grows with each change.'),
    ]
    services: Annotated[
        dict[Name, Service],
        Meta(min_length=1, description='Services by name.'),
    ]
    measuring: Measuring = Measuring()
    crashes: Crashes = Crashes()
    claims: Claims = Claims()
