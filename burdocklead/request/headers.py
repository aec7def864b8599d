"""HTTP headers of the product and of forwarded calls."""

from __future__ import annotations

from collections.abc import Iterable

OUTCOME_HEADER = 'Burdocklead-Outcome'
CAUSE_HEADER = 'Burdocklead-Cause'
CALL_HEADER = 'Burdocklead-Call-Id'
DEADLINE_HEADER = 'Burdocklead-Deadline-Ms'
ATTEMPT_HEADER = 'Burdocklead-Attempt-Id'
ATTEMPT_NUMBER_HEADER = 'Burdocklead-Attempt'
NOT_RUN_HEADER = 'Burdocklead-Not-Run'
KEY_HEADER = 'Idempotency-Key'

HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        DEADLINE_HEADER.lower(),
        ATTEMPT_HEADER.lower(),
        ATTEMPT_NUMBER_HEADER.lower(),
        NOT_RUN_HEADER.lower(),
        OUTCOME_HEADER.lower(),
        CAUSE_HEADER.lower(),
        CALL_HEADER.lower(),
    )
)


def forwarded_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that travel with a call or its answer."""
    return tuple(
        (str(name), text)
        for name, text in headers
        if name.lower() not in HOP_HEADERS
    )
