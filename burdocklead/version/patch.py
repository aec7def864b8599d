"""Patches: changes to single items of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from burdocklead.version.deployment import (
    CallerLimits,
    Deployment,
    HostRoute,
    Service,
    Team,
)

EntryT = TypeVar('EntryT')


class DeploymentPatch(msgspec.Struct, frozen=True, kw_only=True):
    """Items to add or replace, and names of items to remove.

    Attributes:
        version: Version of the configuration after the patch.
        services: Services to add or replace, by name.
        host_routes: Host routes to add or replace, by name.
        teams: Teams to add or replace, by name.
        limits: New limits on callers, None to keep the current ones.
        removed_services: Names of services to remove.
        removed_host_routes: Names of host routes to remove.
        removed_teams: Names of teams to remove.
    """

    version: int
    services: dict[str, Service] = msgspec.field(default_factory=dict)
    host_routes: dict[str, HostRoute] = msgspec.field(default_factory=dict)
    teams: dict[str, Team] = msgspec.field(default_factory=dict)
    limits: CallerLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_host_routes: tuple[str, ...] = ()
    removed_teams: tuple[str, ...] = ()


class PatchFile(DeploymentPatch, frozen=True, kw_only=True):
    """A patch in a file written by an operator.

    Attributes:
        base: Version that the patch applies to.
    """

    base: int


def apply_patch(current: Deployment, patch: DeploymentPatch) -> Deployment:
    """Return the patched configuration without checking it."""
    return msgspec.structs.replace(
        current,
        version=patch.version,
        services=_patched(
            current.services, patch.services, patch.removed_services
        ),
        host_routes=_patched(
            current.host_routes, patch.host_routes, patch.removed_host_routes
        ),
        teams=_patched(current.teams, patch.teams, patch.removed_teams),
        limits=patch.limits or current.limits,
    )


def _patched(
    current: Mapping[str, EntryT],
    changed: Mapping[str, EntryT],
    removed: Iterable[str],
) -> dict[str, EntryT]:
    entries = {**current, **changed}
    for name in removed:
        entries.pop(name, None)
    return entries
