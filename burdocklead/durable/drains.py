"""The drain register: which daemons operators drain."""

from __future__ import annotations

import msgspec

DRAINS_KEY = 'drains'


class DrainList(msgspec.Struct, frozen=True, array_like=True):
    """The value of the drain register.

    Attributes:
        revision: Grows with each change; 0 before the first.
        daemons: Drained daemons in order of their names.
    """

    revision: int = 0
    daemons: tuple[str, ...] = ()


NO_DRAINS = DrainList()


def decode_drains(value: bytes) -> DrainList:
    """Return the list held in a register value."""
    if not value:
        return NO_DRAINS
    return msgspec.msgpack.decode(value, type=DrainList)


def decide_drain(
    current: DrainList, daemon_id: str, *, drained: bool
) -> DrainList:
    """Return the list after a daemon is drained or no longer drained."""
    if (daemon_id in current.daemons) == drained:
        return current
    following = {*current.daemons, daemon_id}
    if not drained:
        following.remove(daemon_id)
    return DrainList(current.revision + 1, tuple(sorted(following)))
