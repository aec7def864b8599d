"""Route lookup in one configuration version."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from burdocklead.version.deployment import (
    RANKS,
    Deployment,
    HostRoute,
    Route,
    Service,
)

ANY_METHOD = 'ANY'
INITIAL_COST_RATIO = 0.3  # The rest of the objective is for slow calls.
MIN_COST_MS = 0.01
# Per call. At 0.5, calls were refused although other upstreams of the service
# were free; a full service causes few more attempts.
HOST_ROUTE_RETRY_RATIO = 1.0
DEFAULT_SERVICE = Service()


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The service and the route that apply to one call.

    Attributes:
        service_name: Name of the service.
        service: Settings of the service; a host route overrides some.
        route: Route of the call; derived from a host route if that matched.
        path: Path sent to the upstream, with its query.
        rank: Rank of the call; 0 is shed last.
        objective_ms: Latency objective in ms, 0 if none.
    """

    service_name: str
    service: Service
    route: Route
    path: str
    rank: int = 1
    objective_ms: float = 0

    @property
    def key(self) -> str:
        """Return the name of the route, unique across services."""
        return f'{self.service_name}/{self.route.name}'


class RouteTable:
    """Routes of one configuration version.

    Attributes:
        deployment: The configuration.
        hosts: Names of host routes by host and path prefix.
        matchers: Matchers of the host routes called so far, by name.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Index the host routes."""
        self.deployment = deployment
        self.hosts: dict[str, dict[str, str]] = {}
        self.matchers: dict[str, HostRouteMatcher] = {}
        for name, route in deployment.host_routes.items():
            prefixes = self.hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = name

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
            if route.method == method and _has_prefix(route.path, path)
        ]
        if not matching:
            return None
        route = max(matching, key=lambda candidate: len(candidate.path))
        return RouteMatch(name, service, route, path, RANKS[route.priority])

    def find_host_route(
        self, host: str, target: str
    ) -> HostRouteMatcher | None:
        """Return the matcher of the host route with the longest prefix.

        A route whose host has a port matches only calls to this port, and
        goes before routes for all ports.
        """
        named = host.lower()
        return self._find_prefix(named, target) or self._find_prefix(
            _without_port(named), target
        )

    def _find_prefix(self, host: str, target: str) -> HostRouteMatcher | None:
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        path = target.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            name = prefixes.get(path[: end + 1])
            if name is not None:
                return self._matcher_of(name)
        return None

    def _matcher_of(self, name: str) -> HostRouteMatcher:
        """Return the matcher of a host route, built at its first call.

        Most of the thousands of routes of a configuration may get no call.
        """
        matcher = self.matchers.get(name)
        if matcher is None:
            route = self.deployment.host_routes[name]
            matcher = HostRouteMatcher(name, route, self.deployment)
            self.matchers[name] = matcher
        return matcher


class HostRouteMatcher:
    """Matches calls of one host route to one of its services.

    Attributes:
        name: Name of the route.
        route: The route as configured.
        matches: Route match of each service of the route.
        weights: Weight of each match.
    """

    def __init__(
        self, name: str, route: HostRoute, deployment: Deployment
    ) -> None:
        """Build the match of each service."""
        self.name = name
        self.route = route
        self.matches = tuple(
            _match_of(name, route, share.service, deployment)
            for share in route.shares()
        )
        self.weights = tuple(share.weight for share in route.shares())

    def match(self, target: str, rng: random.Random) -> RouteMatch:
        """Return the match of one call; its service is chosen by weight."""
        chosen = self.matches[0]
        if len(self.matches) > 1:
            chosen = rng.choices(self.matches, self.weights)[0]
        return RouteMatch(
            chosen.service_name,
            chosen.service,
            chosen.route,
            target,
            chosen.rank,
            chosen.objective_ms,
        )


def _match_of(
    name: str, route: HostRoute, service_name: str, deployment: Deployment
) -> RouteMatch:
    service = deployment.services.get(service_name, DEFAULT_SERVICE)
    return RouteMatch(
        service_name,
        msgspec.structs.replace(
            service,
            max_attempts=route.max_attempts,
            retry_ratio=HOST_ROUTE_RETRY_RATIO,
            retry_server_errors=True,
            hedge_learned=True,
        ),
        Route(
            name=name,
            method=ANY_METHOD,
            path=route.path_prefix,
            idempotent=route.idempotent,
            cost_ms=_initial_cost_ms(route),
            timeout_ms=route.timeout_ms,
            anonymous=route.anonymous is True,
        ),
        route.path_prefix,
        route.rank,
        route.objective_ms,
    )


def _initial_cost_ms(route: HostRoute) -> float:
    """Return the service time in ms assumed before the first call."""
    target_ms = route.objective_ms or route.timeout_ms
    return max(target_ms * INITIAL_COST_RATIO, MIN_COST_MS)


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(':')
    return name if separator and port.isdigit() else host


def _has_prefix(prefix: str, path: str) -> bool:
    bare_path = path.partition('?')[0]
    trimmed_prefix = prefix.rstrip('/')
    return bare_path == trimmed_prefix or bare_path.startswith(
        f'{trimmed_prefix}/'
    )
