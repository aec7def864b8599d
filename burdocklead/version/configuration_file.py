"""Decoding and checking of configuration files."""

from __future__ import annotations

import hashlib
import tomllib

import msgspec

from burdocklead.exceptions import ConfigurationError
from burdocklead.version.deployment import Deployment, Route, Service

STEP = 'check'


def digest_of(text: bytes) -> str:
    """Return the SHA-256 digest of a file in hexadecimal digits."""
    return hashlib.sha256(text).hexdigest()


def decode_deployment(text: bytes, peer: str = '') -> Deployment:
    """Return the deployment that a file describes.

    Args:
        text: The file as UTF-8 encoded TOML.
        peer: Name of the file for errors.

    Raises:
        ConfigurationError: With every problem found.
    """
    try:
        tables = tomllib.loads(text.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigurationError((str(error),), step=STEP, peer=peer) from None
    try:
        deployment = msgspec.convert(tables, Deployment)
    except msgspec.ValidationError as error:
        raise ConfigurationError((str(error),), step=STEP, peer=peer) from None
    problems = find_problems(deployment)
    if problems:
        raise ConfigurationError(problems, step=STEP, peer=peer)
    return deployment


def find_problems(deployment: Deployment) -> tuple[str, ...]:
    """Return every problem that types alone do not show."""
    problems = []
    if deployment.version < 1:
        problems.append('version: must be 1 or more')
    if not deployment.services:
        problems.append('services: must name at least one service')
    for name, service in deployment.services.items():
        problems.extend(_service_problems(f'services.{name}', service))
    return tuple(problems)


def _service_problems(place: str, service: Service) -> list[str]:
    problems = []
    if not service.routes:
        problems.append(f'{place}.routes: must name at least one route')
    if service.hedge_after_ms and not service.retry_ratio:
        problems.append(f'{place}.retry_ratio: must be above 0 to hedge')
    for index, route in enumerate(service.routes):
        problems.extend(_route_problems(f'{place}.routes[{index}]', route))
    return problems


def _route_problems(place: str, route: Route) -> list[str]:
    problems = []
    if not route.path.startswith('/'):
        problems.append(f'{place}.path: must start with /')
    if route.timeout_ms <= 0:
        problems.append(f'{place}.timeout_ms: must be above 0')
    if route.cost_ms <= 0:
        problems.append(f'{place}.cost_ms: must be above 0')
    if route.idempotent and route.key_required:
        problems.append(f'{place}.key_required: is for non-idempotent routes')
    return problems
