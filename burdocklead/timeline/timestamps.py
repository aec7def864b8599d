"""Parses and formats the timestamps of the CLI, without I/O."""

from __future__ import annotations

import re
from datetime import UTC, datetime

from burdocklead.clock import HybridTime

NS_PER_S = 1_000_000_000
NS_PER_MICROSECOND = 1000
MICROSECONDS_PER_S = 1_000_000
AGE = re.compile(r'(\d{1,6})([smhd])')
SECONDS_BY_UNIT = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}
LAST_COUNT = 2**62


def parse_timestamp(text: str, now_ns: int) -> int:
    """Return a timestamp in ns since 1970.

    Args:
        text: Age such as ``90s``, ``5m``, ``2h`` or ``1d``, or a time in
            ISO 8601, in UTC if it has no offset.
        now_ns: Current time in ns since 1970.

    Raises:
        ValueError: If the text has neither form.
    """
    ago = AGE.fullmatch(text)
    if ago is not None:
        seconds = int(ago.group(1)) * SECONDS_BY_UNIT[ago.group(2)]
        return max(now_ns - seconds * NS_PER_S, 0)
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(
            f'{text!r} is neither a time in ISO 8601 nor an age such as 5m'
        ) from None
    return _nanoseconds_of(moment)


def hybrid_time_before(wall_ns: int) -> HybridTime:
    """Return a hybrid timestamp before all those of a wall time."""
    return HybridTime(max(wall_ns - 1, 0), LAST_COUNT)


def hybrid_time_after(wall_ns: int) -> HybridTime:
    """Return a hybrid timestamp after all those of a wall time."""
    return HybridTime(wall_ns, LAST_COUNT)


def format_timestamp(wall_ns: int) -> str:
    """Return a timestamp in ISO 8601, in UTC, with microseconds."""
    seconds, rest_ns = divmod(wall_ns, NS_PER_S)
    moment = datetime.fromtimestamp(seconds, UTC).replace(
        microsecond=rest_ns // NS_PER_MICROSECOND
    )
    return moment.isoformat(timespec='microseconds').replace('+00:00', 'Z')


def _nanoseconds_of(moment: datetime) -> int:
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    since_epoch = moment - datetime(1970, 1, 1, tzinfo=UTC)
    whole_seconds = (
        since_epoch.days * SECONDS_BY_UNIT['d'] + since_epoch.seconds
    )
    if whole_seconds < 0:
        raise ValueError('must not be before 1970')
    microseconds = whole_seconds * MICROSECONDS_PER_S + since_epoch.microseconds
    return microseconds * NS_PER_MICROSECOND
