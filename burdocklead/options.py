"""Typed options that are read from flags and environment variables."""

from __future__ import annotations

import argparse
import dataclasses
import ipaddress
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar

from burdocklead.exceptions import SettingsError
from burdocklead.values import Address

MAX_PORT = 65535
ENV_PREFIX = 'BURDOCKLEAD_'
METADATA_KEY = 'option'

SettingsT = TypeVar('SettingsT')


class OptionKind(Protocol):
    """Parser of the text of one option."""

    def parse(self, text: str) -> Any:
        """Return the typed value.

        Raises:
            ValueError: If the text is invalid.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A text without leading and trailing white space."""

    allow_empty: bool = False

    def parse(self, text: str) -> str:
        """Return the stripped text."""
        stripped = text.strip()
        if not stripped and not self.allow_empty:
            raise ValueError('must not be empty')
        return stripped


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One of the given words."""

    words: tuple[str, ...]

    def parse(self, text: str) -> str:
        """Return the text if it is one of the words."""
        if text not in self.words:
            raise ValueError(f'must be one of {", ".join(self.words)}')
        return text


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number within inclusive bounds."""

    low: float
    high: float
    whole: bool = False

    def parse(self, text: str) -> float:
        """Return the number, as an int if only whole numbers are allowed."""
        try:
            number = int(text) if self.whole else float(text)
        except ValueError:
            raise ValueError('must be a number') from None
        if not self.low <= number <= self.high:
            raise ValueError(f'must be from {self.low} to {self.high}')
        return number


@dataclasses.dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address and a port, such as ``127.0.0.1:8080``."""

    def parse(self, text: str) -> Address:
        """Return the address."""
        host, separator, port = text.rpartition(':')
        if not separator or not port.isdecimal() or int(port) > MAX_PORT:
            raise ValueError('must be IP:PORT')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError:
            raise ValueError('must start with an IP address') from None
        return Address(host.strip('[]'), int(port))


@dataclasses.dataclass(frozen=True, slots=True)
class OptionalAddress:
    """An IP address and a port, or an empty text."""

    def parse(self, text: str) -> Address | None:
        """Return the address, None for an empty text."""
        return SocketAddress().parse(text) if text else None


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """A list such as ``127.0.0.1:1,127.0.0.1:2``; it may be empty."""

    def parse(self, text: str) -> tuple[Address, ...]:
        """Return the addresses in the given order."""
        parts = [part.strip() for part in text.split(',')]
        return tuple(SocketAddress().parse(part) for part in parts if part)


@dataclasses.dataclass(frozen=True, slots=True)
class NamedAddresses:
    """Named addresses, such as ``a=127.0.0.1:1,b=127.0.0.1:2``."""

    allow_empty: bool = False

    def parse(self, text: str) -> tuple[tuple[str, Address], ...]:
        """Return pairs of name and address in the given order."""
        pairs = []
        for part in filter(None, text.split(',')):
            name, separator, address = part.strip().partition('=')
            if not separator or not name:
                raise ValueError('must be NAME=IP:PORT,...')
            pairs.append((name, SocketAddress().parse(address)))
        if not pairs and not self.allow_empty:
            raise ValueError('must name at least one replica')
        if len({name for name, _ in pairs}) != len(pairs):
            raise ValueError('must not name a replica twice')
        return tuple(pairs)


@dataclasses.dataclass(frozen=True, slots=True)
class FilePath:
    """A path, which must exist if ``must_exist`` is set."""

    must_exist: bool = False

    def parse(self, text: str) -> Path | None:
        """Return the path, None for an empty text."""
        if not text:
            return None
        path = Path(text)
        if self.must_exist and not path.exists():
            raise ValueError(f'{path} does not exist')
        return path


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One declared option.

    Attributes:
        kind: Parses and validates the text.
        default: Text used if neither the flag nor the environment variable is
            set; None makes the option required.
        help: What the option sets, with its unit.
    """

    kind: OptionKind
    default: str | None
    help: str


def option(kind: OptionKind, default: str | None, help_text: str) -> Any:
    """Return a data class field that declares one option."""
    declared = Option(kind, default, help_text)
    return dataclasses.field(metadata={METADATA_KEY: declared})


def flag_of(name: str) -> str:
    """Return the flag of a field name."""
    return f'--{name.replace("_", "-")}'


def variable_of(name: str) -> str:
    """Return the environment variable of a field name."""
    return f'{ENV_PREFIX}{name.upper()}'


def declared_options(settings_class: type[Any]) -> dict[str, Option]:
    """Return the options of a settings class by field name."""
    return {
        field.name: field.metadata[METADATA_KEY]
        for field in dataclasses.fields(settings_class)
    }


def add_options(
    parser: argparse.ArgumentParser,
    settings_class: type[Any],
    *,
    default: str | None = None,
) -> None:
    """Add a flag to the parser for each option of the settings class.

    Args:
        parser: Parser that takes the flags.
        settings_class: Data class whose fields were made by ``option``.
        default: Value that the parser stores for a flag that is not given.
    """
    for name, declared in declared_options(settings_class).items():
        shown = 'required' if declared.default is None else declared.default
        note = f'{variable_of(name)}; {shown or "unset"}'
        parser.add_argument(
            flag_of(name),
            dest=name,
            metavar='VALUE',
            default=default,
            help=f'{declared.help} [{note}]'.replace('%', '%%'),
        )


def read_settings(
    settings_class: type[SettingsT],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> SettingsT:
    """Parse and validate the settings; flags override the environment.

    Args:
        settings_class: Data class whose fields were made by ``option``.
        flags: Text of each flag by field name, None if not given.
        environment: Environment variables.

    Raises:
        SettingsError: With every flag whose value is invalid or missing.
    """
    parsed: dict[str, Any] = {}
    problems = []
    for name, declared in declared_options(settings_class).items():
        text = flags.get(name)
        if text is None:
            text = environment.get(variable_of(name), declared.default)
        try:
            parsed[name] = _parse_option(declared, text)
        except ValueError as error:
            problems.append(f'{flag_of(name)} ({variable_of(name)}) {error}')
    if problems:
        raise SettingsError('; '.join(problems), step='settings')
    return settings_class(**parsed)


def _parse_option(declared: Option, text: str | None) -> Any:
    if text is None:
        raise ValueError('is required')
    return declared.kind.parse(text)


def parse_command_line(
    settings_class: type[SettingsT],
    description: str,
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> SettingsT:
    """Return the settings of a program from its command line."""
    parser = argparse.ArgumentParser(description=description)
    add_options(parser, settings_class)
    namespace = parser.parse_args(arguments)
    return read_settings(settings_class, namespace.__dict__, environment)
