"""Seeded, open-loop arrival schedules and address selection, without I/O."""

from __future__ import annotations

import random
from collections.abc import Sequence

from devtools.bench.plan import Arm, CallKind, Policy, Step


def poisson_times(
    rng: random.Random, rate: float, seconds: float
) -> list[float]:
    """Return the arrival times of a Poisson process, in s from 0.

    The schedule is open loop: it doesn't depend on responses.

    Args:
        rng: Random source of the inter-arrival times.
        rate: Mean arrivals per second; 0 gives an empty schedule.
        seconds: End of the schedule in s.
    """
    times: list[float] = []
    now = rng.expovariate(rate) if rate else seconds
    while now < seconds:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def choose_kind(rng: random.Random, kinds: Sequence[CallKind]) -> CallKind:
    """Return a random kind, weighted by ``weight``."""
    return rng.choices(kinds, [kind.weight for kind in kinds])[0]


def step_schedule(
    rng: random.Random, step: Step, kinds: Sequence[CallKind]
) -> list[tuple[float, CallKind]]:
    """Return each call's kind and its time in s from the start of the step."""
    times = poisson_times(rng, step.rate, step.seconds)
    return [(time, choose_kind(rng, kinds)) for time in times]


class AddressChooser:
    """Chooses the address of each call of one arm.

    Attributes:
        busy_shares: Last polled share of slots in use, by address.
    """

    def __init__(self, arm: Arm, rng: random.Random) -> None:
        """Start without polled shares; unpolled addresses count as idle."""
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
