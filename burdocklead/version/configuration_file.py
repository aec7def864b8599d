"""Decoding and validation of configuration files."""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterator
from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec

from burdocklead.decoding import decode_outside
from burdocklead.exceptions import ConfigurationError
from burdocklead.version.deployment import Deployment, HostRoute, Route, Service
from burdocklead.version.extensions import find_extension_problems
from burdocklead.version.patch import PatchFile

STEP = 'check'
PATCH_KEY = 'base'  # Only a patch has a base version.
JSON_START = b'{'
# Half of the largest control message, which holds other state beside it.
MAX_TEXT_BYTES = 8388608
TABLES_DECODER = msgspec.json.Decoder(dict[str, Any])


TableT = TypeVar('TableT', bound=msgspec.Struct)


def digest_of(text: bytes) -> str:
    """Return the SHA-256 digest of a file in hexadecimal digits."""
    return hashlib.sha256(text).hexdigest()


def decode_deployment(text: bytes, peer: str = '') -> Deployment:
    """Return the deployment that a file describes.

    Args:
        text: The file as UTF-8 encoded TOML, or as a JSON object.
        peer: Name of the file in error messages.

    Raises:
        ConfigurationError: With every problem found.
    """
    return convert_deployment(_parse(text, peer), peer)


def convert_deployment(tables: dict[str, Any], peer: str = '') -> Deployment:
    """Return the deployment that parsed tables describe.

    Args:
        tables: Parsed tables of a configuration file.
        peer: Name of the source in error messages.

    Raises:
        ConfigurationError: With every problem found.
    """
    deployment = _convert_tables(tables, Deployment, peer)
    problems = find_problems(deployment)
    if problems:
        raise ConfigurationError(problems, step=STEP, peer=peer)
    return deployment


def decode_change(text: bytes, peer: str = '') -> Deployment | PatchFile:
    """Return the complete deployment or the patch that a file describes.

    A patch can be fully checked only after it is applied to its base.

    Raises:
        ConfigurationError: With every problem found.
    """
    tables = _parse(text, peer)
    if PATCH_KEY in tables:
        return _convert_tables(tables, PatchFile, peer)
    return convert_deployment(tables, peer)


def encode_checked(deployment: Deployment) -> bytes:
    """Return the text to store, after decoding it as its readers do.

    Raises:
        ConfigurationError: With every problem found, or if the text does not
            describe the same deployment.
    """
    problems = tuple(find_extension_problems(deployment))
    if problems:
        raise ConfigurationError(problems, step=STEP)
    text = encode_deployment(deployment)
    if decode_deployment(text) != deployment:
        problem = 'the configuration would change when it is stored as JSON'
        raise ConfigurationError((problem,), step=STEP)
    return text


def check_size(text: bytes) -> None:
    """Check that replicas and daemons can send a text to each other.

    Raises:
        ConfigurationError: If it is too large.
    """
    if len(text) > MAX_TEXT_BYTES:
        problem = f'has {len(text)} bytes, more than {MAX_TEXT_BYTES}'
        raise ConfigurationError((problem,), step=STEP)


def encode_deployment(deployment: Deployment) -> bytes:
    """Return a deployment as the JSON text of a configuration file."""
    return msgspec.json.encode(deployment)


def _convert_tables(
    tables: dict[str, Any], table: type[TableT], peer: str
) -> TableT:
    try:
        return msgspec.convert(tables, table)
    except RecursionError:
        problems: tuple[str, ...] = ('nested too deeply',)
        raise ConfigurationError(problems, step=STEP, peer=peer) from None
    except msgspec.ValidationError as error:
        # msgspec stops at the first problem; report all of them at once.
        problems = tuple(_type_problems(tables, table, '')) or (str(error),)
        raise ConfigurationError(problems, step=STEP, peer=peer) from None


def _parse(text: bytes, peer: str) -> dict[str, Any]:
    try:
        if text.startswith(JSON_START):
            return decode_outside(TABLES_DECODER.decode, text)
        return decode_outside(tomllib.loads, text.decode())
    except (
        UnicodeDecodeError,
        tomllib.TOMLDecodeError,
        msgspec.DecodeError,
    ) as error:
        raise ConfigurationError((str(error),), step=STEP, peer=peer) from None


def find_problems(deployment: Deployment) -> tuple[str, ...]:
    """Return every violated rule that types and bounds do not cover."""
    problems = list(find_extension_problems(deployment))
    for name, service in deployment.services.items():
        location = f'services.{name}'
        if not service.routes and not deployment.host_routes:
            problems.append(f'{location}.routes: must name at least one route')
        problems.extend(_service_problems(location, service))
    problems.extend(_host_route_problems(deployment))
    problems.extend(_team_problems(deployment))
    return tuple(problems)


def _team_problems(deployment: Deployment) -> Iterator[str]:
    """Yield each name that can't be sent and key of two teams, without it."""
    owners: dict[str, str] = {}
    for name, team in deployment.teams.items():
        if not name.isprintable() or name != name.strip():
            yield f'teams.{name!r}: is no name that a header can have'
        for key in team.keys:
            first = owners.setdefault(key, name)
            if first != name:
                yield f'teams.{name}.keys: shares a key with {first}'


def _host_route_problems(deployment: Deployment) -> Iterator[str]:
    route_names: dict[tuple[str, str], str] = {}
    for name, route in deployment.host_routes.items():
        location = f'host_routes.{name}'
        first = route_names.setdefault(
            (route.host.lower(), route.path_prefix), name
        )
        if first != name:
            yield f'{location}: has the same host and prefix as {first}'
        yield from _share_problems(location, route)
        for share in route.shares():
            if share.service not in deployment.services:
                yield f'{location}: {share.service} is not a known service'


def _share_problems(location: str, route: HostRoute) -> Iterator[str]:
    if bool(route.service) == bool(route.split):
        yield f'{location}: must have exactly one of service and split'
    if route.split and not sum(share.weight for share in route.split):
        yield f'{location}.split: must have a weight above 0'


def _service_problems(location: str, service: Service) -> Iterator[str]:
    if service.hedge_after_ms and not service.retry_ratio:
        yield f'{location}.retry_ratio: must be above 0 to hedge'
    if service.hedge_after_ms and service.max_attempts == 1:
        yield f'{location}.max_attempts: must be above 1 to hedge'
    seen_names: set[str] = set()
    seen_rules: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        route_location = f'{location}.routes[{index}]'
        if route.name in seen_names:
            yield f'{route_location}.name: is used twice'
        if (route.method, route.path) in seen_rules:
            yield f'{route_location}.path: is used twice for {route.method}'
        seen_names.add(route.name)
        seen_rules.add((route.method, route.path))
        yield from _route_problems(route_location, route)


def _route_problems(location: str, route: Route) -> Iterator[str]:
    if route.idempotent and route.key_required:
        yield f'{location}.key_required: must be false on idempotent routes'
    if route.cost_ms > route.timeout_ms:
        yield f'{location}.cost_ms: must not be above timeout_ms'


def _type_problems(node: Any, type_hint: Any, location: str) -> Iterator[str]:
    """Yield a problem for each value that does not have its declared type."""
    declared = (
        get_args(type_hint)[0]
        if get_origin(type_hint) is Annotated
        else type_hint
    )
    if _is_table(declared):
        yield from _table_problems(node, declared, location)
    elif get_origin(declared) is dict and isinstance(node, dict) and node:
        yield from _mapping_problems(node, declared, location)
    elif get_origin(declared) is tuple and isinstance(node, list):
        yield from _list_problems(node, declared, location)
    else:
        yield from _leaf_problems(node, type_hint, location)


def _is_table(type_hint: Any) -> bool:
    return isinstance(type_hint, type) and issubclass(type_hint, msgspec.Struct)


def _mapping_problems(
    node: dict[str, Any], type_hint: Any, location: str
) -> Iterator[str]:
    key_type, entry_type = get_args(type_hint)
    for key, entry in node.items():
        yield from _leaf_problems(key, key_type, f'{location}.{key}')
        yield from _type_problems(entry, entry_type, f'{location}.{key}')


def _list_problems(
    node: list[Any], type_hint: Any, location: str
) -> Iterator[str]:
    entry_type = get_args(type_hint)[0]
    for index, entry in enumerate(node):
        yield from _type_problems(entry, entry_type, f'{location}[{index}]')


def _table_problems(
    node: Any, table: type[msgspec.Struct], location: str
) -> Iterator[str]:
    if not isinstance(node, dict):
        yield f'{location}: must be a table'
        return
    prefix = f'{location}.' if location else ''
    fields = {field.name: field for field in msgspec.structs.fields(table)}
    for name in sorted(node.keys() - fields.keys()):
        yield f'{prefix}{name}: is not a known key'
    for name, field in fields.items():
        entry = node.get(name, msgspec.UNSET)
        if entry is not msgspec.UNSET:
            yield from _type_problems(entry, field.type, f'{prefix}{name}')
        elif field.required:
            yield f'{prefix}{name}: is missing'


def _leaf_problems(node: Any, type_hint: Any, location: str) -> Iterator[str]:
    try:
        msgspec.convert(node, type_hint)
    except msgspec.ValidationError as error:
        reason = str(error).replace('Expected ', 'expected ', 1)
        yield f'{location}: {reason}'
