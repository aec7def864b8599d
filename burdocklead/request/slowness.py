"""Decaying values, and the smoothed slowness of recent calls."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS_STEP = 1.0  # Bounds the effect of one call of a long tail.
MIN_RATIO = 0.05
SLOWNESS_DECAY_S = 5.0
MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class DecayingValue:
    """A number that decays exponentially towards its neutral value.

    Attributes:
        neutral: Value without observations.
        decay_s: Time constant of the decay in s.
        offset: Difference from the neutral value at ``updated_at``.
        updated_at: Monotonic time of the last change in s.
    """

    neutral: float
    decay_s: float
    offset: float = 0
    updated_at: float = 0

    def read(self, now: float) -> float:
        """Return the current value."""
        if not self.offset:
            return self.neutral
        return self.neutral + self.offset * math.exp(
            (self.updated_at - now) / self.decay_s
        )

    def write(self, number: float, now: float) -> None:
        """Set the current value."""
        self.offset = number - self.neutral
        self.updated_at = now


def _new_level() -> DecayingValue:
    return DecayingValue(1, SLOWNESS_DECAY_S)


@dataclass(slots=True)
class Slowness:
    """A smoothed ratio of times to their usual values.

    One observation moves it by a bounded step.

    Attributes:
        level: The ratio; 1 is usual.
    """

    level: DecayingValue = field(default_factory=_new_level)

    def read(self, now: float) -> float:
        """Return the current ratio."""
        return self.level.read(now)

    def observe(self, ratio: float, now: float) -> None:
        """Record a time as a multiple of its usual value."""
        updated = step_towards(ratio, self.level.read(now))
        self.level.write(updated, now)


def step_towards(ratio: float, before: float) -> float:
    """Return a smoothed ratio after one more observation.

    Args:
        ratio: Observed time as a multiple of its usual value.
        before: Smoothed ratio before the observation.
    """
    step = math.log(max(ratio, MIN_RATIO) / before)
    step = min(max(step, -MAX_SLOWNESS_STEP), MAX_SLOWNESS_STEP)
    return min(before * math.exp(step * SLOWNESS_WEIGHT), MAX_SLOWNESS)
