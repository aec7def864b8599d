"""Changes of named items of a configuration."""

from __future__ import annotations

import msgspec

from burdocklead.version.deployment import (
    CallerLimits,
    Deployment,
    HostRoute,
    Service,
)


class DeploymentPatch(msgspec.Struct, frozen=True, kw_only=True):
    """Items to put in place and names to take out.

    Attributes:
        version: Version of the configuration after the patch.
        services: Services to add or to replace by name.
        host_routes: Host routes to add or to replace by name.
        limits: Limits on callers, None to keep them.
        removed_services: Names of services to take out.
        removed_host_routes: Names of host routes to take out.
    """

    version: int
    services: dict[str, Service] = msgspec.field(default_factory=dict)
    host_routes: dict[str, HostRoute] = msgspec.field(default_factory=dict)
    limits: CallerLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_host_routes: tuple[str, ...] = ()


class PatchFile(DeploymentPatch, frozen=True, kw_only=True):
    """A patch as operators write it.

    Attributes:
        base: Version that the patch changes.
    """

    base: int


def apply_patch(current: Deployment, patch: DeploymentPatch) -> Deployment:
    """Return the configuration after a patch; it is not checked yet."""
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
