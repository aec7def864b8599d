"""The evacuation register: the zones that operators evacuate, without I/O."""

from __future__ import annotations

import msgspec

from burdocklead.durable.register_values import decode_value

EVACUATIONS_KEY = 'evacuations'
MAX_ZONE_NAME = 253


class EvacuatedZones(msgspec.Struct, frozen=True, array_like=True):
    """Zones to which no calls are sent.

    Attributes:
        revision: Incremented by each change; 0 before the first.
        zones: Evacuated zones, sorted by name.
    """

    revision: int = 0
    zones: tuple[str, ...] = ()


class EvacuationRegister(msgspec.Struct, frozen=True, array_like=True):
    """The value of the evacuation register.

    Attributes:
        evacuated: The evacuated zones.
        restored: Zones whose evacuation ended, sorted by name. Their names
            stay valid when no process of the zone is left.
    """

    evacuated: EvacuatedZones = EvacuatedZones()
    restored: tuple[str, ...] = ()

    def has_name(self, zone: str) -> bool:
        """Return True if the zone is or was evacuated."""
        return zone in self.evacuated.zones or zone in self.restored


EMPTY_REGISTER = EvacuationRegister()


def decode_evacuations(value: bytes) -> EvacuationRegister:
    """Return the content of a register value."""
    if not value:
        return EMPTY_REGISTER
    return decode_value(value, EvacuationRegister, EVACUATIONS_KEY)


def decide_evacuation(
    current: EvacuationRegister, zone: str, *, evacuate: bool
) -> EvacuationRegister:
    """Return the register after an evacuation is started or ended."""
    zones = current.evacuated.zones
    if (zone in zones) == evacuate:
        return current
    restored = {*current.restored, zone}
    following = {*zones, zone}
    changed = restored if evacuate else following
    changed.remove(zone)
    return EvacuationRegister(
        EvacuatedZones(
            current.evacuated.revision + 1, tuple(sorted(following))
        ),
        tuple(sorted(restored)),
    )


def is_newer(update: EvacuatedZones, known: EvacuatedZones | None) -> bool:
    """Return True if a list replaces the one that is known, if any."""
    return known is None or update.revision > known.revision
