"""The drain register: the daemons that operators drain."""

from __future__ import annotations

import msgspec

from burdocklead.durable.register_values import decode_value

DRAINS_KEY = 'drains'


class DrainList(msgspec.Struct, frozen=True, array_like=True):
    """The value of the drain register.

    Attributes:
        revision: Incremented by each change; 0 before the first.
        daemons: Drained daemons, sorted by name.
    """

    revision: int = 0
    daemons: tuple[str, ...] = ()


NO_DRAINS = DrainList()


def decode_drains(value: bytes) -> DrainList:
    """Return the list encoded in a register value."""
    if not value:
        return NO_DRAINS
    return decode_value(value, DrainList, DRAINS_KEY)


def decide_drain(
    current: DrainList, daemon_id: str, *, drained: bool
) -> DrainList:
    """Return the list after a daemon's drain is started or ended."""
    if (daemon_id in current.daemons) == drained:
        return current
    following = {*current.daemons, daemon_id}
    if not drained:
        following.remove(daemon_id)
    return DrainList(current.revision + 1, tuple(sorted(following)))
