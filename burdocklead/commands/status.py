"""Show the status of the deployment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import chain

import msgspec

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.replica_client import (
    ControlStatus,
    ReplicaView,
    fetch_replica_views,
)
from burdocklead.commands.tables import Table
from burdocklead.exceptions import UnreachableError
from burdocklead.values import Member

STEP = 'status'


class ReplicaRow(msgspec.Struct, frozen=True):
    """Status of one control replica."""

    name: str
    reachable: bool
    quorum: bool
    version: int
    problem: str


class StatusReport(msgspec.Struct, frozen=True):
    """Output of ``status``; a list that no replica reports is None.

    Attributes:
        replicas: Control replicas in the order of the settings.
        daemons: Daemons known to the replicas.
        versions_in_force: Number of daemons by the version that they serve.
        drains: Daemons drained by operators.
        blocked: Fingerprints of requests blocked after crashes.
        dead_signals: Descriptions of signals that no longer carry
            information.
        evacuations: Evacuated zones.
    """

    replicas: tuple[ReplicaRow, ...]
    daemons: tuple[Member, ...]
    versions_in_force: dict[int, int]
    drains: tuple[str, ...] | None
    blocked: tuple[str, ...] | None
    dead_signals: tuple[str, ...] | None
    evacuations: tuple[str, ...] | None


async def show_status(context: CommandContext) -> ExitCode:
    """Show the status and return the exit code.

    Raises:
        UnreachableError: If no replica responds.
    """
    report = build_report(await fetch_replica_views(context, STEP))
    if context.as_json:
        context.write_json(report)
    else:
        _write_report(context, report)
    if not any(replica.reachable for replica in report.replicas):
        raise UnreachableError('no replica answers', step=STEP, peer='control')
    if any(replica.quorum for replica in report.replicas):
        return ExitCode.done
    context.warn('status: control: no replica has a quorum')
    return ExitCode.not_known


def build_report(views: tuple[ReplicaView, ...]) -> StatusReport:
    """Merge the statuses of the replicas into one report.

    Replicas without a quorum are used only if no replica has one.
    """
    answered = [view.status for view in views if view.status is not None]
    sources = [status for status in answered if status.quorum] or answered
    daemons = newest_members(sources)
    in_force = Counter(member.version_in_force for member in daemons)
    return StatusReport(
        replicas=tuple(_row_of(view) for view in views),
        daemons=daemons,
        versions_in_force=dict(sorted(in_force.items())),
        drains=_merge(status.drains for status in sources),
        blocked=_merge(status.blocked for status in sources),
        dead_signals=_merge(status.dead_signals for status in sources),
        evacuations=_merge(status.evacuations for status in sources),
    )


def newest_members(sources: Iterable[ControlStatus]) -> tuple[Member, ...]:
    """Return the newest record of each daemon."""
    newest: dict[str, Member] = {}
    records = chain.from_iterable(status.members for status in sources)
    for member in records:
        known = newest.get(member.daemon_id)
        if known is None or _order_of(member) > _order_of(known):
            newest[member.daemon_id] = member
    return tuple(newest[name] for name in sorted(newest))


def _order_of(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision


def _merge(
    groups: Iterable[tuple[str, ...] | None],
) -> tuple[str, ...] | None:
    """Return the union of the lists, None if no replica reports one."""
    known_groups = [group for group in groups if group is not None]
    if not known_groups:
        return None
    return tuple(sorted(set(chain.from_iterable(known_groups))))


def _row_of(view: ReplicaView) -> ReplicaRow:
    if view.status is None:
        return ReplicaRow(view.peer.name, False, False, 0, view.problem)
    status = view.status
    return ReplicaRow(status.replica, True, status.quorum, status.version, '')


def _write_report(context: CommandContext, report: StatusReport) -> None:
    context.write_table(_replica_table(report))
    if report.daemons:
        context.write_table(_daemon_table(report))
    for version, count in report.versions_in_force.items():
        context.write(f'version {version} in force at {count} daemons')
    for label, names in (
        ('drained by an operator', report.drains),
        ('evacuated zones', report.evacuations),
        ('blocked after crashes', report.blocked),
        ('dead signals', report.dead_signals),
    ):
        context.write(f'{label}: {_join_names(names)}')


def _replica_table(report: StatusReport) -> Table:
    rows = tuple(
        (
            replica.name,
            _yes_or_no(replica.reachable),
            _yes_or_no(replica.quorum),
            str(replica.version),
            replica.problem,
        )
        for replica in report.replicas
    )
    columns = ('replica', 'reachable', 'quorum', 'version', 'problem')
    return Table('', columns, rows)


def _daemon_table(report: StatusReport) -> Table:
    rows = tuple(
        (
            member.daemon_id,
            member.zone,
            member.service,
            str(member.slots),
            'draining' if member.draining else 'serving',
            str(member.version_in_force),
        )
        for member in report.daemons
    )
    columns = ('daemon', 'zone', 'upstream of', 'slots', 'state', 'version')
    return Table('', columns, rows)


def _join_names(names: tuple[str, ...] | None) -> str:
    if names is None:
        return 'not known'
    return ', '.join(names) or 'none'


def _yes_or_no(value: bool) -> str:
    return 'yes' if value else 'no'
