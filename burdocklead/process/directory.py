"""A daemon's view of the cluster: members, links and configuration."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

from burdocklead.connection.control_messages import MemberUpdate
from burdocklead.connection.frame_protocol import LinkEnd
from burdocklead.connection.frames import CrashNotice
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.connection.peer_link import PeerLink
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.evacuation.daemon_evacuations import DaemonEvacuations
from burdocklead.events import EventKind, EventRing
from burdocklead.exceptions import ConfigurationError, LinkError
from burdocklead.log_events import (
    MEMBER_DRAINING,
    MEMBER_JOINED,
    MEMBER_LEFT,
    VERSION_IN_FORCE,
    VERSION_NOT_USED,
)
from burdocklead.metrics import VERSIONS_NOT_USED, MetricSet
from burdocklead.request.attempt_runner import Link
from burdocklead.request.local_link import LocalLink
from burdocklead.request.routing import Candidates, Router
from burdocklead.settings import DaemonSettings
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import LoadReport, Member
from burdocklead.version.configuration_file import decode_deployment
from burdocklead.version.deployment import Deployment
from burdocklead.version.route_table import RouteTable

NO_CANDIDATES = Candidates()


class DaemonDirectory:
    """Members of the cluster, links to them and the configuration in force.

    Attributes:
        members: Current members by daemon ID.
        candidates_by_service: Upstreams that may receive new work by service.
        links: Links to other daemons by daemon ID.
        unconfirmed: Members that replicas which started a short time ago have
            not listed yet.
        evacuations: Evacuated zones, whose upstreams get no new work.
        table: Route table of the configuration in force, None without one.
        known_version: Newest version received; it is not in force if it
            can't be read.
        keys: API keys of the configuration in force.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        identity: LinkIdentity,
        local_link: LocalLink,
        events: EventRing,
        metrics: MetricSet,
        router: Router,
    ) -> None:
        """Start without members and without a configuration."""
        self.settings = settings
        self.identity = identity
        self.local_link = local_link
        self.metrics = metrics
        self.events = events
        self.router = router
        self.candidates_by_service: dict[str, Candidates] = {}
        self.members: dict[str, Member] = {}
        self.unconfirmed: set[str] = set()
        self.links: dict[str, PeerLink] = {}
        self.table: RouteTable | None = None
        self.known_version = 0
        self.keys = CurrentKeys()
        self.evacuations = DaemonEvacuations(
            settings.zone,
            local_link.executor,
            events,
            settings.evacuation_notice,
            self._update_candidates,
        )

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 without one."""
        return self.table.deployment.version if self.table else 0

    def deployment(self) -> Deployment | None:
        """Return the configuration in force, None without one."""
        return self.table.deployment if self.table else None

    def candidates(self, service: str) -> Candidates:
        """Return the upstreams of a service that may receive new work."""
        return self.candidates_by_service.get(service, NO_CANDIDATES)

    def count_members(self) -> int:
        """Return the number of current members."""
        return len(self.members)

    def find_member(self, daemon_id: str) -> Member | None:
        """Return a current member by daemon ID, None if it is absent."""
        return self.members.get(daemon_id)

    def link_to(self, member: Member) -> Link:
        """Return the link to a daemon; create or replace it if needed."""
        if member.daemon_id == self.settings.daemon_id:
            return self.local_link
        link = self.links.get(member.daemon_id)
        if link is None or link.address != member.link:
            if link is not None:
                link.close(LinkEnd.replaced)
            link = PeerLink(
                self.identity,
                member.daemon_id,
                member.link,
                self.observe_load,
                self.settings,
                self.metrics,
            )
            self.links[member.daemon_id] = link
        return link

    def find_open_link(self, member: Member) -> PeerLink | None:
        """Return the link to a daemon, None unless it is open."""
        link = self.links.get(member.daemon_id)
        return link if link is not None and link.protocol else None

    async def notify(self, member: Member, notice: CrashNotice) -> None:
        """Send a crash notice to another daemon and ignore link errors."""
        link = self.link_to(member)
        if isinstance(link, PeerLink):
            with contextlib.suppress(LinkError):
                await link.open(member.incarnation)
                link.send_nowait(notice)

    def apply_updates(
        self,
        updates: Iterable[MemberUpdate],
        *,
        is_snapshot: bool,
        is_settled: bool = True,
    ) -> None:
        """Apply changes of the membership.

        Args:
            updates: Members that joined, changed or left.
            is_snapshot: True if the updates list all members that the sender
                knows.
            is_settled: True if the sender knows all members, so that those
                it has not listed are removed.
        """
        updates = tuple(updates)
        listed_ids = {update.member.daemon_id for update in updates}
        if is_snapshot:
            self.unconfirmed = set(self.members)
        self.unconfirmed -= listed_ids
        if is_settled:
            for daemon_id in self.unconfirmed:
                self._remove(daemon_id)
                is_snapshot = True
            self.unconfirmed.clear()
        for update in updates:
            if update.gone:
                self._remove(update.member.daemon_id)
            else:
                self._add(update.member)
        if updates or is_snapshot:
            self._update_candidates()

    def install_file(self, file: AcceptedFile) -> None:
        """Put a newer configuration file in force.

        If it can't be read, the one before stays in force.
        """
        if file.version <= self.known_version:
            return
        self.known_version = file.version
        try:
            deployment = decode_deployment(file.text)
        except ConfigurationError as error:
            self.metrics.count(VERSIONS_NOT_USED)
            self.events.record(
                EventKind.version_refused, detail=f'version {file.version}'
            )
            VERSION_NOT_USED.write(version=file.version, cause=error.reason)
            return
        table = RouteTable(deployment)
        self.keys.use(deployment)
        self.table = table
        self.events.record(
            EventKind.version_in_force, detail=f'version {file.version}'
        )
        VERSION_IN_FORCE.write(version=file.version)

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close(LinkEnd.stopping)

    def observe_load(self, daemon_id: str, load: LoadReport) -> None:
        """Pass a load report to the router."""
        now = asyncio.get_running_loop().time()
        self.router.observe_load(daemon_id, load, now)

    def _update_candidates(self) -> None:
        """Group the members that may receive new work by service."""
        by_service: dict[str, list[Member]] = {}
        evacuated = set()
        for member in self.members.values():
            if not member.service or member.draining:
                continue
            accepting = by_service.setdefault(member.service, [])
            if self.evacuations.is_evacuated(member.zone):
                evacuated.add(member.service)
            else:
                accepting.append(member)
        self.candidates_by_service = {
            service: Candidates(
                tuple(members),
                tuple(
                    candidate
                    for candidate in members
                    if candidate.zone == self.router.zone
                ),
                service in evacuated,
            )
            for service, members in by_service.items()
        }

    def _add(self, member: Member) -> None:
        previous = self.members.get(member.daemon_id)
        self.local_link.executor.guard.merge(member.crashes)
        self.members[member.daemon_id] = member
        if previous is None:
            self.events.record(EventKind.member_joined, peer=member.daemon_id)
            _log_joined(member)
        elif member.draining and not previous.draining:
            self.events.record(EventKind.member_draining, peer=member.daemon_id)
            MEMBER_DRAINING.write(peer=member.daemon_id, service=member.service)
        elif member.incarnation != previous.incarnation:
            _log_joined(member)

    def _remove(self, daemon_id: str) -> None:
        member = self.members.pop(daemon_id, None)
        if member is None:
            return
        MEMBER_LEFT.write(peer=daemon_id, service=member.service)
        link = self.links.pop(daemon_id, None)
        if link is not None:
            link.close(LinkEnd.replaced)
        self.router.forget(daemon_id)
        self.events.record(EventKind.member_left, peer=daemon_id)


def _log_joined(member: Member) -> None:
    MEMBER_JOINED.write(
        peer=member.daemon_id,
        zone=member.zone,
        service=member.service,
        incarnation=member.incarnation,
    )
