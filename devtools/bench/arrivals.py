"""Arrival schedules: open loop, seeded, without I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence

from devtools.bench.plan import Arm, CallKind, Policy, Step


def poisson_times(
    rng: random.Random, rate: float, seconds: float
) -> list[float]:
    """Return times of arrival in s from 0, independent of any answer.

    Args:
        rng: Source of the gaps.
        rate: Mean arrivals a second; 0 gives none.
        seconds: End of the schedule in s.
    """
    times: list[float] = []
    now = rng.expovariate(rate) if rate else seconds
    while now < seconds:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def choose_kind(rng: random.Random, kinds: Sequence[CallKind]) -> CallKind:
    """Return one kind by its weight."""
    return rng.choices(kinds, [kind.weight for kind in kinds])[0]


def step_schedule(
    rng: random.Random, step: Step, kinds: Sequence[CallKind]
) -> list[tuple[float, CallKind]]:
    """Return the time from the step's start in s and the kind of each call."""
    times = poisson_times(rng, step.rate, step.seconds)
    return [(time, choose_kind(rng, kinds)) for time in times]


class AddressChooser:
    """Chooses the address of each call of one arm.

    Attributes:
        busy_shares: Last polled share of slots in use by address.
    """

    def __init__(self, arm: Arm, rng: random.Random) -> None:
        """Start without reports."""
        self.arm = arm
        self.rng = rng
        self.sent = 0
        self.busy_shares: dict[str, float] = {}

    def choose(self) -> str:
        """Return the address for the next call."""
        addresses = self.arm.addresses
        match self.arm.policy:
            case Policy.round_robin:
                self.sent += 1
                return addresses[self.sent % len(addresses)]
            case Policy.random:
                return self.rng.choice(addresses)
            case Policy.least_stale:
                shares = [self.busy_shares.get(one, 0) for one in addresses]
                least = min(shares)
                best = [
                    one
                    for one, share in zip(addresses, shares, strict=True)
                    if share == least
                ]
                return self.rng.choice(best)
