"""Validation of the target and the headers of a caller's request."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from burdocklead.exceptions import BurdockleadError
from burdocklead.request.headers import (
    DEADLINE_HEADER,
    KEY_HEADER,
    header_values,
)
from burdocklead.values import RefusalCause

MAX_KEY_LENGTH = 255
HEXADECIMAL = 16
TARGET_PATTERN = re.compile('/[!-~]*')
AMBIGUOUS_SEGMENT = re.compile(r'/(\.{1,2})?(?=/)|/\.{1,2}$')
INVALID_ESCAPE = re.compile('%(?![0-9a-fA-F]{2})')
ESCAPE = re.compile('%([0-9a-fA-F]{2})')
AMBIGUOUS_IF_ESCAPED = re.compile(r'[\w.~/\\-]', re.ASCII)
KEY_PATTERN = re.compile('[!-~]([ -~]*[!-~])?')


class CallerInputError(BurdockleadError):
    """A caller's request is invalid; the call did not run.

    Attributes:
        cause: Cause of the refusal.
    """

    def __init__(self, cause: RefusalCause, reason: str) -> None:
        """Initialize the error with the cause of the refusal."""
        super().__init__(reason, step='read call')
        self.cause = cause


def check_target(target: str) -> None:
    """Check that the path of a target is unambiguous.

    If an upstream normalized or decoded the path further than route matching
    does, the call would run under the rules of another route.

    Raises:
        CallerInputError: If the target doesn't start with a slash, or has a
            fragment or characters outside of printable ASCII, or if its path
            has dot segments, empty segments, invalid escapes, or escapes of
            slashes, backslashes, ``.``, ``-``, ``~``, letters, digits or
            underscores.
    """
    path = target.partition('?')[0]
    reason = ''
    if not TARGET_PATTERN.fullmatch(target) or '#' in target:
        reason = 'the target must be a path of ASCII characters'
    elif AMBIGUOUS_SEGMENT.search(path):
        reason = 'the path must not have dot segments or empty segments'
    elif INVALID_ESCAPE.search(path) or _has_ambiguous_escape(path):
        reason = 'the path has an escape that could be read in two ways'
    if reason:
        raise CallerInputError(RefusalCause.bad_target, reason)


def _has_ambiguous_escape(path: str) -> bool:
    return any(
        AMBIGUOUS_IF_ESCAPED.match(chr(int(code, HEXADECIMAL)))
        for code in ESCAPE.findall(path)
    )


def check_headers(headers: Iterable[tuple[str, str]]) -> None:
    """Check that header values are valid UTF-8.

    Raises:
        CallerInputError: If one isn't.
    """
    for name, value in headers:
        try:
            value.encode()
        except UnicodeEncodeError:
            reason = f'the header {name} is not UTF-8'
            raise CallerInputError(RefusalCause.bad_headers, reason) from None


def read_deadline(headers: Iterable[tuple[str, str]]) -> float:
    """Return the time that the caller waits in ms, infinite if not given.

    Raises:
        CallerInputError: If it isn't one positive number.
    """
    values = header_values(headers, DEADLINE_HEADER)
    if not values:
        return math.inf
    try:
        limit_ms = float(values[0])
    except ValueError:
        limit_ms = math.nan
    if len(values) > 1 or not 0 < limit_ms < math.inf:
        reason = f'{DEADLINE_HEADER} must be one positive number of ms'
        raise CallerInputError(RefusalCause.bad_deadline, reason)
    return limit_ms


def read_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the idempotency key, empty if the caller gave none.

    Raises:
        CallerInputError: If there is more than one, or if it is empty, too
            long, starts or ends with a space, or has characters other than
            printable ASCII.
    """
    values = header_values(headers, KEY_HEADER)
    if not values:
        return ''
    key = values[0]
    if (
        len(values) > 1
        or len(key) > MAX_KEY_LENGTH
        or not KEY_PATTERN.fullmatch(key)
    ):
        reason = (
            f'{KEY_HEADER} must be one text of 1 to {MAX_KEY_LENGTH} '
            'printable ASCII characters'
        )
        raise CallerInputError(RefusalCause.bad_key, reason)
    return key
