"""Names of HTTP headers, and the filter for forwarded headers."""

from __future__ import annotations

from collections.abc import Iterable

OUTCOME_HEADER = 'Burdocklead-Outcome'
CAUSE_HEADER = 'Burdocklead-Cause'
CALL_HEADER = 'Burdocklead-Call-Id'
ANSWER_HEADER = 'Burdocklead-Answer'
DEADLINE_HEADER = 'Burdocklead-Deadline-Ms'
ATTEMPT_HEADER = 'Burdocklead-Attempt-Id'
ATTEMPT_NUMBER_HEADER = 'Burdocklead-Attempt'
NOT_RUN_HEADER = 'Burdocklead-Not-Run'
KEY_HEADER = 'Idempotency-Key'
API_KEY_HEADER = 'Burdocklead-Api-Key'
TEAM_HEADER = 'Burdocklead-Team'
LENGTH_HEADER = 'Content-Length'

PRODUCT_HEADERS = frozenset(
    name.lower()
    for name in (
        OUTCOME_HEADER,
        CAUSE_HEADER,
        CALL_HEADER,
        ANSWER_HEADER,
        DEADLINE_HEADER,
        ATTEMPT_HEADER,
        ATTEMPT_NUMBER_HEADER,
        NOT_RUN_HEADER,
    )
)
UNFORWARDED_HEADERS = PRODUCT_HEADERS | frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def forwarded_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward with a call or its answer.

    Drops ``UNFORWARDED_HEADERS`` and the headers listed in ``Connection``. The
    others keep their order and duplicates.
    """
    pairs = [(str(name), value) for name, value in headers]
    dropped = UNFORWARDED_HEADERS | _listed_in_connection(pairs)
    return tuple(
        (name, _as_utf8(value))
        for name, value in pairs
        if name.lower() not in dropped
    )


def _listed_in_connection(pairs: Iterable[tuple[str, str]]) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    )


def _as_utf8(value: str) -> str:
    if value.isascii():
        return value
    return value.encode('utf-8', 'surrogateescape').decode('utf-8', 'replace')


def without_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers without some.

    Args:
        headers: The headers.
        dropped: Names of headers to drop, in lower case.
    """
    return tuple(
        (name, text) for name, text in headers if name.lower() not in dropped
    )


def header_values(headers: Iterable[tuple[str, str]], wanted: str) -> list[str]:
    """Return all values of a header in order."""
    return [text for name, text in headers if name.lower() == wanted.lower()]


def as_header_text(text: str) -> str:
    """Return a text whose encoding as Latin-1 is the text as UTF-8."""
    return text.encode().decode('latin-1')
