"""Generates the reference pages of the documentation from the code.

Run as ``python -m devtools.reference_pages``; a test compares the committed
pages with the generated ones.
"""

from __future__ import annotations

import enum
import inspect
import tomllib
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import NoneType
from typing import Annotated, Any, get_args, get_origin

import msgspec

from burdocklead import log_events
from burdocklead.exceptions import BurdockleadError
from burdocklead.metrics import DECLARED
from burdocklead.options import (
    Addresses,
    Choice,
    FilePath,
    NamedAddresses,
    Number,
    OptionalAddress,
    SocketAddress,
    Text,
    declared_options,
    flag_of,
    variable_of,
)
from burdocklead.settings import (
    ControlSettings,
    DaemonSettings,
    OperatorSettings,
)
from burdocklead.version.deployment import Deployment
from devtools.processes import source_root

EXAMPLE_FILE = 'examples/cedarline.toml'
ABSENT_TYPES = frozenset((NoneType, msgspec.UnsetType))
NO_DEFAULTS = (None, msgspec.NODEFAULT, msgspec.UNSET)
NO_UNIT = '-'
ESCAPED_BAR = '&#124;'
UNIT_BY_SUFFIX = (
    ('messages_per_second', 'messages per s'),
    ('bytes_per_second', 'bytes per s'),
    ('_ms', 'ms'),
    ('_seconds', 's'),
    ('_bytes', 'bytes'),
)
UNIT_BY_KEY = {
    'asked_upstreams': 'upstreams',
    'version': 'count',
    'queue_limit': 'calls',
    'max_attempts': 'attempts',
    'retry_ratio': 'share',
    'max_crashes': 'crashes',
    'max_connections': 'connections',
    'rank': 'rank',
    'weight': 'weight',
    'cold_start_s': 's',
    'cold_rate': 'calls/s',
    'rate': 'calls/s',
    'burst': 'calls',
}
TYPE_NAMES = {
    str: 'text',
    bool: 'true or false',
    int: 'whole',
    float: 'number',
    dict: 'table',
    tuple: 'list',
}
VALUE_FORMATS = {
    SocketAddress: 'IP:PORT',
    OptionalAddress: 'IP:PORT',
    NamedAddresses: 'NAME=IP:PORT,...',
    Addresses: 'IP:PORT,...',
    FilePath: 'path',
}
GENERATED_NOTICE = (
    'This page is made by `python -m devtools.reference_pages`.\n'
)


def configuration_page() -> str:
    """Return the page on the keys of the configuration file."""
    example = tomllib.loads((source_root() / EXAMPLE_FILE).read_text())
    rows = list(_key_rows(Deployment, '', example))
    columns = ('key', 'type', 'unit', 'bounds', 'default', 'example', 'meaning')
    return _page('Configuration reference', (('', columns, rows),))


def settings_page() -> str:
    """Return the page on the settings of each program."""
    columns = ('flag', 'variable', 'value', 'default', 'meaning')
    sections = tuple(
        (f'`{program}`', columns, list(_setting_rows(kind)))
        for program, kind in (
            ('burdocklead-daemon', DaemonSettings),
            ('burdocklead-control', ControlSettings),
            ('burdocklead', OperatorSettings),
        )
    )
    return _page('Settings reference', sections)


def metrics_page() -> str:
    """Return the page on the metrics."""
    rows = [
        (
            f'`{metric.name}`',
            metric.kind.name,
            ', '.join(f'`{label}`' for label in metric.labels) or NO_UNIT,
            metric.help,
        )
        for metric in sorted(DECLARED, key=lambda metric: metric.name)
    ]
    columns = ('metric', 'kind', 'labels', 'meaning')
    return _page('Metrics reference', (('', columns, rows),))


def logs_page() -> str:
    """Return the page on the log events and their fields."""
    events = [
        (
            event.message,
            event.channel,
            event.level.name,
            ', '.join(f'`{name}`' for name in event.fields) or NO_UNIT,
            event.when,
        )
        for event in sorted(log_events.DECLARED, key=_event_order)
    ]
    columns = ('message', 'channel', 'level', 'fields', 'written when')
    fields = [(f'`{name}`', text) for name, text in log_events.FIELDS.items()]
    return _page(
        'Log reference',
        (
            ('Events', columns, events),
            ('Fields', ('field', 'holds'), fields),
        ),
    )


def _event_order(event: log_events.LogEvent) -> tuple[str, str]:
    return event.channel, event.message


def errors_page() -> str:
    """Return the page on the exception classes."""
    rows = [
        (
            f'`{kind.__name__}`',
            f'`{kind.__mro__[1].__name__}`',
            _summary_of(kind),
        )
        for kind in _classes_of(BurdockleadError)
    ]
    return _page(
        'Errors reference', (('', ('error', 'is a', 'meaning'), rows),)
    )


PAGES: dict[str, Callable[[], str]] = {
    'configuration-reference.md': configuration_page,
    'settings-reference.md': settings_page,
    'metrics-reference.md': metrics_page,
    'logs-reference.md': logs_page,
    'errors-reference.md': errors_page,
}


def write_pages(folder: Path) -> None:
    """Write all reference pages to a folder."""
    for name, render in PAGES.items():
        (folder / name).write_text(render(), encoding='utf-8')


Section = tuple[str, Sequence[str], Sequence[Sequence[str]]]


def _page(title: str, sections: Sequence[Section]) -> str:
    lines = [f'# {title}', '', GENERATED_NOTICE]
    for heading, columns, rows in sections:
        if heading:
            lines.extend((f'## {heading}', ''))
        lines.append(_table_line(columns))
        lines.append(_table_line(['---' for _ in columns]))
        lines.extend(_table_line(row) for row in rows)
        lines.append('')
    return '\n'.join(lines)


def _table_line(cells: Sequence[str]) -> str:
    escaped = (cell.replace('|', ESCAPED_BAR) for cell in cells)
    return f'| {" | ".join(escaped)} |'


def _classes_of(
    kind: type[BurdockleadError],
) -> Iterator[type[BurdockleadError]]:
    if kind.__module__ == BurdockleadError.__module__:
        yield kind
    for subclass in sorted(kind.__subclasses__(), key=_class_name):
        yield from _classes_of(subclass)


def _class_name(kind: type[BurdockleadError]) -> str:
    return kind.__name__


def _summary_of(kind: type[Any]) -> str:
    return (inspect.getdoc(kind) or '').partition('\n')[0]


def _key_rows(
    table: type[msgspec.Struct], prefix: str, example: Any
) -> Iterator[tuple[str, ...]]:
    for field in msgspec.structs.fields(table):
        inner, meta = _split_field_type(field.type)
        key = f'{prefix}.{field.name}'.lstrip('.')
        example_value = (
            example.get(field.name) if isinstance(example, dict) else None
        )
        nested = _nested_table(inner)
        if nested is None:
            yield _key_row(key, field, inner, meta, example_value)
            continue
        suffix = {dict: '.NAME', tuple: '[]'}.get(get_origin(inner), '')
        yield from _key_rows(
            nested, key + suffix, _first_example(example_value)
        )


def _split_annotated(kind: Any) -> tuple[Any, tuple[Any, ...]]:
    if get_origin(kind) is Annotated:
        inner, *meta = get_args(kind)
        return inner, tuple(meta)
    return kind, ()


def _split_field_type(kind: Any) -> tuple[Any, tuple[Any, ...]]:
    """Return the type of a value and its annotations, also if optional."""
    inner, meta = _split_annotated(kind)
    declared = [one for one in get_args(inner) if one not in ABSENT_TYPES]
    if ABSENT_TYPES.isdisjoint(get_args(inner)):
        return inner, meta
    value_type, value_meta = _split_annotated(declared[0])
    return value_type, (*value_meta, *meta)


def _nested_table(kind: Any) -> type[msgspec.Struct] | None:
    for candidate in (kind, *get_args(kind)):
        inner = _split_annotated(candidate)[0]
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            return inner
    return None


def _first_example(example_value: Any) -> Any:
    match example_value:
        case list() if example_value:
            return example_value[0]
        case dict() if all(
            isinstance(one, dict) for one in example_value.values()
        ):
            return next(iter(example_value.values()), None)
        case _:
            return example_value


def _key_row(
    key: str,
    field: msgspec.structs.FieldInfo,
    inner: Any,
    meta: Sequence[msgspec.Meta],
    example_value: Any,
) -> tuple[str, ...]:
    required = field.required
    default = 'required' if required else _as_json_code(field.default)
    example = default if example_value is None else _as_json_code(example_value)
    if required and example_value is None:
        raise ValueError(f'{key}: no example in {EXAMPLE_FILE}')
    meaning = next((one.description for one in meta if one.description), None)
    if meaning is None:
        raise ValueError(f'{key}: no description')
    bounds = ' '.join(filter(None, map(_bounds_of, meta))) or NO_UNIT
    unit = _unit_of(field.name, inner)
    first_columns = (f'`{key}`', _type_name(inner), unit, bounds)
    return (*first_columns, default, example, meaning)


def _type_name(inner: Any) -> str:
    if isinstance(inner, type) and issubclass(inner, enum.Enum):
        return ', '.join(f'`{one.value}`' for one in inner)
    return TYPE_NAMES[get_origin(inner) or inner]


def _unit_of(name: str, inner: Any) -> str:
    if inner not in {int, float}:
        return NO_UNIT
    for suffix, unit in UNIT_BY_SUFFIX:
        if name.endswith(suffix):
            return unit
    return UNIT_BY_KEY[name]


def _bounds_of(meta: msgspec.Meta) -> str:
    if meta.ge is not None:
        return f'{meta.ge} to {meta.le}'
    if meta.gt is not None:
        return f'above {meta.gt}, to {meta.le}'
    if meta.max_length is not None:
        return f'up to {meta.max_length} characters'
    return f'`{meta.pattern}`' if meta.pattern else ''


def _as_json_code(entry: Any) -> str:
    if any(entry is one for one in NO_DEFAULTS):
        return 'unset'
    return f'`{msgspec.json.encode(entry).decode()}`'


def _setting_rows(kind: type[Any]) -> Iterator[tuple[str, ...]]:
    for name, declared in declared_options(kind).items():
        default = 'required' if declared.default is None else declared.default
        yield (
            f'`{flag_of(name)}`',
            f'`{variable_of(name)}`',
            _value_format(declared.kind),
            default or 'unset',
            declared.help,
        )


def _value_format(kind: Any) -> str:
    match kind:
        case Text():
            return 'text'
        case Choice(words):
            return ', '.join(f'`{word}`' for word in words)
        case Number(low, high, whole):
            return f'{"whole" if whole else "number"}, {low} to {high}'
    value_format = VALUE_FORMATS.get(type(kind))
    if value_format is None:
        raise ValueError(f'{kind}: no value format declared')
    return value_format


if __name__ == '__main__':
    write_pages(source_root() / 'docs')
