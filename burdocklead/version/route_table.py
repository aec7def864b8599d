"""Finding the route of a call in one configuration version."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.version.deployment import Deployment, Route, Service


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The rules of one call.

    Attributes:
        service_name: Service called.
        service: Rules of the service.
        route: Rules of the route.
        path: Path below the service's prefix, with its query.
    """

    service_name: str
    service: Service
    route: Route
    path: str

    @property
    def key(self) -> str:
        """Return the name of the route over all services."""
        return f'{self.service_name}/{self.route.name}'


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration version."""

    deployment: Deployment

    def find_service(self, target: str) -> tuple[str, Service] | None:
        """Return the service named by the first segment of the target."""
        name = target.lstrip('/').partition('/')[0].partition('?')[0]
        service = self.deployment.services.get(name)
        if service is None:
            return None
        return name, service

    def find_route(self, method: str, target: str) -> RouteMatch | None:
        """Return the route with the longest matching path."""
        found = self.find_service(target)
        if found is None:
            return None
        name, service = found
        path = target[len(name) + 1 :] or '/'
        matching = [
            route
            for route in service.routes
            if route.method == method and _covers(route.path, path)
        ]
        if not matching:
            return None
        route = max(matching, key=lambda candidate: len(candidate.path))
        return RouteMatch(name, service, route, path)


def _covers(prefix: str, path: str) -> bool:
    bare = path.partition('?')[0]
    trimmed = prefix.rstrip('/')
    return bare == trimmed or bare.startswith(f'{trimmed}/')
