"""Settings of each program, declared as typed options."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from burdocklead.options import (
    Addresses,
    Choice,
    FilePath,
    NamedAddresses,
    Number,
    OptionalAddress,
    SocketAddress,
    Text,
    option,
)
from burdocklead.values import Address

MEBIBYTE = 1048576
LOG_FORMS = ('text', 'json')
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
ON_OFF = ('off', 'on')
ANY_PORT = '127.0.0.1:0'


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings shared by the long-lived programs."""

    zone: str = option(Text(), None, 'availability zone of this VM')
    cluster_key_file: Path | None = option(
        FilePath(must_exist=True), '', 'file with the shared cluster key'
    )
    tls_certificate: Path | None = option(
        FilePath(must_exist=True), '', 'file with the certificate chain'
    )
    tls_key: Path | None = option(
        FilePath(must_exist=True), '', 'file with the private key'
    )
    tls_authority: Path | None = option(
        FilePath(must_exist=True),
        '',
        'file with the trusted certificate authorities',
    )
    ready_file: Path | None = option(
        FilePath(),
        '',
        'file to which the addresses are written once the process serves',
    )
    rate_window: float = option(
        Number(0.1, 3600),
        '5',
        'length in s of the sliding window for the rate limits of teams',
    )
    rate_overage: float = option(
        Number(0, 10), '0.1', 'tolerated share of calls over such a limit'
    )
    rate_slack: float = option(
        Number(0, 1000000),
        '0',
        'tolerated calls per window in addition to that share',
    )
    memory_budget: int = option(
        Number(16 * MEBIBYTE, 1048576 * MEBIBYTE, whole=True),
        '268435456',
        'most bytes that the process holds for calls, bodies, answers and '
        'connections; large bodies then wait unread or are refused',
    )
    log_form: str = option(Choice(LOG_FORMS), 'text', 'format of log lines')
    log_level: str = option(Choice(LOG_LEVELS), 'info', 'lowest log level')


@dataclass(frozen=True, slots=True)
class DaemonSettings(ProcessSettings):
    """Settings of one ``burdocklead-daemon`` process."""

    daemon_id: str = option(Text(), None, 'name of this daemon')
    listen: Address = option(
        SocketAddress(), '127.0.0.1:8080', 'address for callers'
    )
    link_listen: Address = option(
        SocketAddress(), '127.0.0.1:8081', 'address for other daemons'
    )
    admin_listen: Address = option(
        SocketAddress(),
        '127.0.0.1:8082',
        'address for the upstream and for metrics',
    )
    control: tuple[tuple[str, Address], ...] = option(
        NamedAddresses(), None, 'control replicas as NAME=IP:PORT,...'
    )
    heartbeat_interval: float = option(
        Number(0.05, 10), '0.5', 'time between heartbeats in s'
    )
    max_body_bytes: int = option(
        Number(1, 64 * MEBIBYTE, whole=True), '1048576', 'largest body in bytes'
    )
    max_answer_bytes: int = option(
        Number(1, 64 * MEBIBYTE, whole=True),
        '16777216',
        'largest body of an answer in bytes',
    )
    max_answer_head_bytes: int = option(
        Number(256, MEBIBYTE, whole=True),
        '65536',
        'most bytes that an upstream may send for one request outside of '
        'bodies: status lines, headers and trailers',
    )
    max_answer_header_lines: int = option(
        Number(1, 10000, whole=True),
        '256',
        'most header and trailer lines that an upstream may send for one '
        'request',
    )
    max_skipped_answers: int = option(
        Number(0, 1000, whole=True),
        '16',
        'most interim responses and answers to other requests that an '
        'upstream may send before its answer',
    )
    answer_head_timeout: float = option(
        Number(0.1, 600),
        '5',
        'time in s from the first byte of the head of an answer to its end',
    )
    min_answer_rate: float = option(
        Number(1, 1000000000),
        '1000',
        'lowest mean rate of the body of an answer in bytes/s, after 30 s',
    )
    upstream_keep_alive: float = option(
        Number(0, 3600),
        '4',
        'time in s for which an idle connection to the upstream is kept; the '
        'upstream may state a shorter one',
    )
    max_pending_attempts: int = option(
        Number(1, 1000000, whole=True),
        '10000',
        'most unfinished attempts, on each link and at the upstream',
    )
    max_links: int = option(
        Number(1, 100000, whole=True), '2000', 'most links from other daemons'
    )
    link_backlog_bytes: int = option(
        Number(1, 1024 * MEBIBYTE, whole=True),
        '67108864',
        'unsent bytes of one link above which calls are refused',
    )
    link_idle: float = option(
        Number(1, 86400), '60', 'time in s after which an unused link is closed'
    )
    link_advertise: Address | None = option(
        OptionalAddress(), '', 'link address announced to other daemons'
    )
    remembered_attempts: int = option(
        Number(1, 10000000, whole=True),
        '10000',
        'finished attempts to remember',
    )
    remembered_bytes: int = option(
        Number(1, 1024 * MEBIBYTE, whole=True),
        '16777216',
        'memory for remembered attempts in bytes',
    )
    finish_limit: float = option(
        Number(0, 600),
        '30',
        'time that a non-idempotent call may run past its deadline in s',
    )
    drain_notice: float = option(
        Number(0, 60),
        '1.2',
        'time in s between the announcement and the start of a drain',
    )
    evacuation_notice: float = option(
        Number(0, 60),
        '0.6',
        'time in s between hearing of the evacuation of the own zone and '
        'refusing calls',
    )
    drain_limit: float = option(
        Number(0, 3600), '60', 'time limit of a graceful stop in s'
    )
    caller_tls: str = option(
        Choice(ON_OFF),
        'off',
        'on to serve callers over TLS with the files of the tls options',
    )

    def max_frame_bytes(self) -> int:
        """Return the size of the largest frame of a link in bytes."""
        return max(self.max_body_bytes, self.max_answer_bytes) + MEBIBYTE


@dataclass(frozen=True, slots=True)
class ControlSettings(ProcessSettings):
    """Settings of one ``burdocklead-control`` process."""

    replica_id: str = option(Text(), None, 'name of this replica')
    listen: Address = option(
        SocketAddress(), '127.0.0.1:8090', 'address for daemons and replicas'
    )
    admin_listen: Address = option(
        SocketAddress(), '127.0.0.1:8091', 'address for operators and metrics'
    )
    advertise: Address | None = option(
        OptionalAddress(),
        '',
        'control address announced to daemons and replicas',
    )
    data_folder: Path = option(FilePath(), None, 'folder for durable state')
    replicas: tuple[tuple[str, Address], ...] = option(
        NamedAddresses(allow_empty=True),
        '',
        'first replica set as NAME=IP:PORT,...; empty to use seeds',
    )
    seeds: tuple[Address, ...] = option(
        Addresses(),
        '',
        'control addresses of the first replica set if its names are not '
        'known, as IP:PORT,...',
    )
    bootstrap: str = option(
        Choice(ON_OFF), 'on', 'off if a replica set exists already'
    )
    target_size: int = option(
        Number(0, 99, whole=True),
        '0',
        'replicas that the set keeps without an operator; 0 is off',
    )
    member_lease: float = option(
        Number(0.2, 60), '3', 'time in s after which a silent daemon is removed'
    )
    exchange_interval: float = option(
        Number(0.05, 10), '0.25', 'time between exchanges of replicas in s'
    )
    operator_token_file: Path | None = option(
        FilePath(must_exist=True), '', 'file with the operator token'
    )

    def own_address(self) -> Address:
        """Return the control address at which others reach the replica."""
        return self.advertise or self.listen


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings shared by all ``burdocklead`` subcommands."""

    control_admin: tuple[tuple[str, Address], ...] = option(
        NamedAddresses(),
        'local=127.0.0.1:8091',
        'control replicas as NAME=IP:PORT,... (their admin addresses)',
    )
    timeout: float = option(Number(0.1, 600), '10', 'time limit in s')
    operator_token_file: Path | None = option(
        FilePath(must_exist=True), '', 'file with the operator token'
    )
    tls_authority: Path | None = option(
        FilePath(must_exist=True),
        '',
        'file with the trusted certificate authorities',
    )
