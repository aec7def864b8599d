"""Patches: changes to single items of a configuration."""

from __future__ import annotations

import msgspec

from burdocklead.version.deployment import (
    CallerLimits,
    Deployment,
    HostRoute,
    Service,
)


class DeploymentPatch(msgspec.Struct, frozen=True, kw_only=True):
    """Items to add or replace, and names of items to remove.

    Attributes:
        version: Version of the configuration after the patch.
        services: Services to add or replace, by name.
        host_routes: Host routes to add or replace, by name.
        limits: New limits on callers, None to keep the current ones.
        removed_services: Names of services to remove.
        removed_host_routes: Names of host routes to remove.
    """

    version: int
    services: dict[str, Service] = msgspec.field(default_factory=dict)
    host_routes: dict[str, HostRoute] = msgspec.field(default_factory=dict)
    limits: CallerLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_host_routes: tuple[str, ...] = ()


class PatchFile(DeploymentPatch, frozen=True, kw_only=True):
    """A patch in a file written by an operator.

    Attributes:
        base: Version that the patch applies to.
    """

    base: int


def apply_patch(current: Deployment, patch: DeploymentPatch) -> Deployment:
    """Return the patched configuration without checking it."""
    services = {**current.services, **patch.services}
    for service in patch.removed_services:
        services.pop(service, None)
    host_routes = {**current.host_routes, **patch.host_routes}
    for route in patch.removed_host_routes:
        host_routes.pop(route, None)
    return msgspec.structs.replace(
        current,
        version=patch.version,
        services=services,
        host_routes=host_routes,
        limits=patch.limits or current.limits,
    )
