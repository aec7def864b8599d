"""Fuzzes configurations: each accepted one is read back by every process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

import msgspec
from hypothesis import strategies

from burdocklead.durable.configuration import (
    NO_FILE,
    AcceptedFile,
    decide_change,
    decode_accepted_file,
    parse_proposal,
)
from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import decode_deployment
from devtools.fuzz.examples import run_examples

MAX_NESTING = 3000  # Above the limit of any decoder.
MAX_CHANGES = 4
# Calls between the entry point of a process and the decoder; they differ.
READER_DEPTHS = (0, 100, 300)
SERVICE_NAME = 'records'
LONE_SURROGATE = r'"\ud800"'

ResultT = TypeVar('ResultT')


def _nested_text(depth: int) -> str:
    return '[' * depth + ']' * depth


def extension_texts() -> strategies.SearchStrategy[str]:
    """Return the strategy for JSON texts of the value of an extension."""
    leaves = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(),
    )
    values = strategies.recursive(
        leaves,
        lambda children: strategies.one_of(
            strategies.lists(children, max_size=3),
            strategies.dictionaries(strategies.text(), children, max_size=3),
        ),
        max_leaves=6,
    )
    return strategies.one_of(
        values.map(lambda value: msgspec.json.encode(value).decode()),
        strategies.integers(1, MAX_NESTING).map(_nested_text),
        strategies.sampled_from(
            ('1e400', '-0', '1' * 40, LONE_SURROGATE, 'NaN')
        ),
    )


def change_lists() -> strategies.SearchStrategy[list[tuple[bool, str]]]:
    """Return the strategy for changes: a patch or not, and an extension."""
    return strategies.lists(
        strategies.tuples(strategies.booleans(), extension_texts()),
        min_size=1,
        max_size=MAX_CHANGES,
    )


def text_of_change(base: int, extension: str, *, is_patch: bool) -> bytes:
    """Return a configuration file or a patch with an extension."""
    service = f'{{"extensions":{{"note":{extension}}}}}'
    first = f'"base":{base},' if is_patch else ''
    routes = (
        '"host_routes":{"r":{"host":"h","path_prefix":"/","idempotent":true,'
        f'"timeout_ms":100,"service":"{SERVICE_NAME}"}}}},'
    )
    services = f'"services":{{"{SERVICE_NAME}":{service}}}'
    return f'{{{first}"version":{base + 1},{routes}{services}}}'.encode()


def call_deeper(depth: int, function: Callable[[], ResultT]) -> ResultT:
    """Return the result of a function that is called some calls deeper."""
    if depth:
        return call_deeper(depth - 1, function)
    return function()


def check_changes(changes: Sequence[tuple[bool, str]]) -> None:
    """Apply changes; each accepted version must be readable everywhere."""
    current = NO_FILE
    for is_patch, extension in changes:
        text = text_of_change(
            current.version,
            extension,
            is_patch=is_patch and current.version > 0,
        )
        try:
            updated, result = decide_change(current, parse_proposal(text))
        except ConfigurationError:
            continue
        if result.accepted:
            current = decode_accepted_file(msgspec.msgpack.encode(updated))
            _check_readers(current, extension)


def _check_readers(file: AcceptedFile, extension: str) -> None:
    sent = msgspec.json.decode(extension.encode())
    read = partial(decode_deployment, file.text)
    for depth in READER_DEPTHS:
        try:
            deployment = call_deeper(depth, read)
        except ConfigurationError as error:
            raise AssertionError(f'accepted, not readable: {error}') from None
        assert deployment.version == file.version, 'another version was read'
        note = deployment.services[SERVICE_NAME].extensions['note']
        assert note == sent, 'the extension was read back as another value'


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_examples(check_changes, change_lists(), seed, count, shrink=shrink)
