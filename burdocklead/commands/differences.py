"""Compares two deployment configurations key by key, without I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdocklead.version.deployment import Deployment

NAME_KEY = 'name'
HIDDEN_TEXT = '(secret)'


@dataclass(frozen=True, slots=True)
class Secret:
    """A value that is compared but not shown."""

    text: str = field(repr=False)


class Change(enum.StrEnum):
    """Kind of change of a key."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


class Difference(msgspec.Struct, frozen=True, omit_defaults=True):
    """One key that differs.

    Attributes:
        change: Kind of change.
        key: Path of the key; list entries are given by name if they have one.
        old: Value in force, None if the key is added.
        new: Value in the file, None if the key is removed.
    """

    change: Change
    key: str
    old: Any = None
    new: Any = None


def find_differences(
    old: Deployment | None, new: Deployment
) -> tuple[Difference, ...]:
    """Return the keys that differ, sorted; defaults count as set."""
    before = dict(_leaves_of(old)) if old else {}
    after = dict(_leaves_of(new))
    differences = []
    for key in sorted(before.keys() | after.keys()):
        difference = _difference_of(key, before, after)
        if difference is not None:
            differences.append(difference)
    return tuple(differences)


def _difference_of(
    key: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Difference | None:
    if key not in before:
        return Difference(Change.added, key, new=_shown(after[key]))
    if key not in after:
        return Difference(Change.removed, key, old=_shown(before[key]))
    old, new = before[key], after[key]
    if old == new:
        return None
    return Difference(Change.changed, key, _shown(old), _shown(new))


def _shown(leaf: Any) -> Any:
    return HIDDEN_TEXT if isinstance(leaf, Secret) else leaf


def _leaves_of(deployment: Deployment) -> Iterator[tuple[str, Any]]:
    tables = msgspec.to_builtins(deployment)
    for team in tables.get('teams', {}).values():
        team['keys'] = [Secret(key) for key in team.get('keys', ())]
    return _iterate_leaves(tables, '')


def _iterate_leaves(node: Any, path: str) -> Iterator[tuple[str, Any]]:
    match node:
        case dict():
            for name, entry in node.items():
                yield from _iterate_leaves(entry, f'{path}.{name}'.lstrip('.'))
        case list() | tuple():
            for index, entry in enumerate(node):
                label = _label_of(entry, index)
                yield from _iterate_leaves(entry, f'{path}[{label}]')
        case _:
            yield path, node


def _label_of(entry: Any, index: int) -> str:
    if isinstance(entry, dict) and NAME_KEY in entry:
        return str(entry[NAME_KEY])
    return str(index)
