"""Small value types shared by all layers."""

from __future__ import annotations

import enum

import msgspec

# A large body refers to the memory in which it was received.
Body = bytes | memoryview


class Address(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An IP address and a port.

    Attributes:
        host: IP address.
        port: TCP port, 0 to let the kernel choose.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Outcome(enum.StrEnum):
    """Outcome of a call as reported to its caller."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'


class RefusalCause(enum.StrEnum):
    """Cause of a refusal; a refused call did not run."""

    no_configuration = 'no-configuration'
    unknown_service = 'unknown-service'
    unknown_route = 'unknown-route'
    bad_request = 'bad-request'
    bad_target = 'bad-target'
    bad_headers = 'bad-headers'
    bad_deadline = 'bad-deadline'
    bad_key = 'bad-key'
    bad_body = 'bad-body'
    body_too_large = 'body-too-large'
    key_required = 'key-required'
    key_reused = 'key-reused'
    no_upstream = 'no-upstream'
    queue_full = 'queue-full'
    shed = 'shed'
    deadline = 'deadline'
    cancelled = 'cancelled'
    too_many_pending = 'too-many-pending'
    internal_error = 'internal-error'
    draining = 'draining'
    fenced = 'fenced'
    duplicate = 'duplicate'
    wrong_incarnation = 'wrong-incarnation'
    upstream_refused = 'upstream-refused'
    upstream_unreachable = 'upstream-unreachable'
    link_failed = 'link-failed'
    no_quorum = 'no-quorum'
    key_in_progress = 'key-in-progress'
    crash_suspect = 'crash-suspect'
    suspect_elsewhere = 'suspect-elsewhere'
    overloaded = 'overloaded'
    not_at_once = 'not-at-once'
    unknown_api_key = 'unknown-api-key'
    unsure_configuration = 'unsure-configuration'
    team_limit = 'team-limit'
    cold_upstream = 'cold-upstream'
    zone_evacuated = 'zone-evacuated'
    memory_budget = 'memory-budget'


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of an upstream as seen by the daemon beside it.

    Attributes:
        busy: Calls running at the upstream.
        queued: Calls admitted and waiting for a slot.
        slots: Calls that may run at the same time.
        expected_wait_ms: Expected queue time of a new short call.
        cold_ms: Remaining time in ms for which the upstream is cold.
    """

    busy: int
    queued: int
    slots: int
    expected_wait_ms: float = 0
    cold_ms: int = 0


class Estimate(msgspec.Struct, frozen=True, array_like=True):
    """Current latency estimate of a new call of one route at an upstream.

    Attributes:
        expected_ms: Expected latency, queueing included.
        conservative_ms: Latency that most calls do not exceed in normal
            operation, queueing included.
    """

    expected_ms: float
    conservative_ms: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of a request that was at an upstream when it crashed.

    Attributes:
        fingerprint: Digest of the request.
        crash_id: ID of the crash, unique across daemons.
        daemon_id: Daemon beside the upstream.
        crashed_at_s: Wall time of the crash in s.
        alone: True if no other request can have caused the crash.
        cleared: True once the request was answered.
    """

    fingerprint: str
    crash_id: str
    daemon_id: str
    crashed_at_s: int
    alone: bool
    cleared: bool = False


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one daemon, distributed to all others.

    Attributes:
        daemon_id: Name of the daemon.
        incarnation: Start time in ns, orders restarts of one daemon.
        revision: Number of changes within one incarnation.
        zone: Availability zone.
        link: Address of the daemon's link listener.
        http: Address of the daemon's HTTP listener.
        service: Service of the upstream beside it; empty if none.
        slots: Slots that the upstream announced.
        draining: True if the upstream must not receive new work.
        version_in_force: Configuration version that the daemon serves.
        admin: Address of the daemon's admin endpoints.
        crashes: Reports of requests at crashes of the upstream.
        dead_signals: Load signals that carry no information.
    """

    daemon_id: str
    incarnation: int
    revision: int
    zone: str
    link: Address
    http: Address
    service: str = ''
    slots: int = 0
    draining: bool = False
    version_in_force: int = 0
    admin: Address | None = None
    crashes: tuple[CrashReport, ...] = ()
    dead_signals: tuple[str, ...] = ()
