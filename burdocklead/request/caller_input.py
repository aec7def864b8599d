"""Checks of what a caller sent, before anything runs."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from burdocklead.exceptions import BurdockleadError
from burdocklead.request.headers import DEADLINE_HEADER, KEY_HEADER
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
    """A call can't be taken as it was sent; it did not run.

    Attributes:
        cause: Why it is refused.
    """

    def __init__(self, cause: RefusalCause, reason: str) -> None:
        """Store the cause."""
        super().__init__(reason, step='read call')
        self.cause = cause


def check_target(target: str) -> None:
    """Check that a path has one reading only.

    An upstream that decodes more than the routes do would run a call under
    the rules of another route.

    Raises:
        CallerInputError: If it has dot segments, empty segments, bad
            escapes, escapes of slashes, letters or digits, characters
            outside ASCII or no path.
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
    """Check that header values are UTF-8.

    Raises:
        CallerInputError: If one is not.
    """
    for name, text in headers:
        try:
            text.encode()
        except UnicodeEncodeError:
            reason = f'the header {name} is not UTF-8'
            raise CallerInputError(RefusalCause.bad_headers, reason) from None


def read_deadline(headers: Iterable[tuple[str, str]]) -> float:
    """Return the time that the caller waits in ms, infinite if not told.

    Raises:
        CallerInputError: If it is not a positive number.
    """
    texts = _values_of(headers, DEADLINE_HEADER)
    if not texts:
        return math.inf
    try:
        limit_ms = float(texts[0])
    except ValueError:
        limit_ms = math.nan
    if len(texts) > 1 or not 0 < limit_ms < math.inf:
        reason = f'{DEADLINE_HEADER} must be one positive number of ms'
        raise CallerInputError(RefusalCause.bad_deadline, reason)
    return limit_ms


def read_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the idempotency key, empty if the caller gave none.

    Raises:
        CallerInputError: If it is empty, long or has control characters.
    """
    texts = _values_of(headers, KEY_HEADER)
    if not texts:
        return ''
    key = texts[0]
    if (
        len(texts) > 1
        or len(key) > MAX_KEY_LENGTH
        or not KEY_PATTERN.fullmatch(key)
    ):
        reason = (
            f'{KEY_HEADER} must be one text of 1 to {MAX_KEY_LENGTH} '
            'printable ASCII characters'
        )
        raise CallerInputError(RefusalCause.bad_key, reason)
    return key


def _values_of(headers: Iterable[tuple[str, str]], wanted: str) -> list[str]:
    return [text for name, text in headers if name.lower() == wanted.lower()]
