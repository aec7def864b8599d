"""Checks of extensions, the only keys that the schema does not bound."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from burdocklead.version.deployment import Deployment

# Decoders give up at a depth that depends on their callers; this one is far
# below it for every process that reads the configuration.
MAX_DEPTH = 32


def find_extension_problems(deployment: Deployment) -> Iterator[str]:
    """Yield a problem for each table whose extensions nest too deeply."""
    for location, extensions in _tables(deployment):
        if _is_deeper(extensions, MAX_DEPTH):
            name = f'{location}.extensions' if location else 'extensions'
            yield f'{name}: must not nest more than {MAX_DEPTH} levels deep'


def _tables(
    deployment: Deployment,
) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yield the location and the extensions of each table."""
    yield '', deployment.extensions
    yield 'limits', deployment.limits.extensions
    for name, service in deployment.services.items():
        yield f'services.{name}', service.extensions
    for name, team in deployment.teams.items():
        yield f'teams.{name}', team.extensions
    for name, route in deployment.host_routes.items():
        yield f'host_routes.{name}', route.extensions
        for index, share in enumerate(route.split):
            yield f'host_routes.{name}.split[{index}]', share.extensions


def _is_deeper(extensions: Mapping[str, Any], max_depth: int) -> bool:
    """Return True if a value nests deeper, without recursion."""
    level: list[Any] = list(extensions.values())
    for _ in range(max_depth):
        level = [child for node in level for child in _children(node)]
        if not level:
            return False
    return any(isinstance(node, list | dict) for node in level)


def _children(node: Any) -> list[Any]:
    match node:
        case dict():
            return list(node.values())
        case list():
            return node
    return []
