"""What an entry daemon knows of one upstream, without I/O."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from burdocklead.values import LoadReport

MS_PER_S = 1000
REPORT_TRUST_S = 0.02
OTHERS_SHARE = 0.1
SLOWNESS_SHARE = 0.25
SLOWNESS_STEP = 1.0  # One long call says little, its route has a long tail.
SLOWNESS_FLOOR = 0.05
SLOWNESS_DECAY_S = 5.0
SLOWNESS_LIMIT = 20.0
PENALTY_DECAY_S = 1.0
PENALTY_LIMIT = 20.0
SILENCE_FACTOR = 4


@dataclass(slots=True)
class Decaying:
    """A number that decays towards its neutral value.

    Attributes:
        neutral: Value without observations.
        decay_s: Time constant in s.
        amount: Difference from the neutral value at ``at``.
        at: Monotonic time of the last change in s.
    """

    neutral: float
    decay_s: float
    amount: float = 0
    at: float = 0

    def read(self, now: float) -> float:
        """Return the present value."""
        if not self.amount:
            return self.neutral
        return self.neutral + self.amount * math.exp(
            (self.at - now) / self.decay_s
        )

    def write(self, number: float, now: float) -> None:
        """Set the present value."""
        self.amount = number - self.neutral
        self.at = now


def _slowness() -> Decaying:
    return Decaying(1, SLOWNESS_DECAY_S)


def _penalty() -> Decaying:
    return Decaying(0, PENALTY_DECAY_S)


@dataclass(slots=True)
class UpstreamView:
    """What an entry daemon knows of one upstream.

    Attributes:
        in_flight: Attempts of this entry without a result, by route.
        sent: Sum of ``in_flight``.
        load: Last load report, None before the first.
        load_at: Monotonic time of that report in s.
        others: Slots that others used by the last report.
        others_mean: Decaying mean of ``others``.
        slowness: Time to an answer as a multiple of the route's usual one.
        penalty: Weight of failures seen lately.
        avoid_until: Monotonic time until which it is a last resort in s.
        due: Monotonic time by which some answer is due in s.
    """

    in_flight: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    load: LoadReport | None = None
    load_at: float = -math.inf
    others: float = 0
    others_mean: float = 0
    slowness: Decaying = field(default_factory=_slowness)
    penalty: Decaying = field(default_factory=_penalty)
    avoid_until: float = 0
    due: float = math.inf

    def start(self, route: str, usual_ms: float, now: float) -> None:
        """Note an attempt."""
        self.in_flight[route] += 1
        self.sent += 1
        self.due = min(self.due, now + _patience(usual_ms))

    def finish(self, route: str) -> None:
        """Note that an attempt has its result or was given up."""
        self.sent -= 1
        self.in_flight[route] -= 1
        if self.in_flight[route] <= 0:
            self.in_flight.pop(route)
        if not self.sent:
            self.due = math.inf

    def record_answer(self, ratio: float, next_ms: float, now: float) -> None:
        """Take note of an answer.

        Args:
            ratio: Its time as a multiple of the route's usual one.
            next_ms: Usual time of the longest attempt still in flight in ms.
            now: Monotonic time in s.
        """
        before = self.slowness.read(now)
        step = math.log(max(ratio, SLOWNESS_FLOOR) / before)
        step = min(max(step, -SLOWNESS_STEP), SLOWNESS_STEP)
        slowness = before * math.exp(step * SLOWNESS_SHARE)
        self.slowness.write(min(slowness, SLOWNESS_LIMIT), now)
        if self.sent:
            self.due = now + _patience(next_ms)

    def punish(self, weight: float, now: float) -> None:
        """Add a failure's weight."""
        penalty = self.penalty.read(now) + weight
        self.penalty.write(min(penalty, PENALTY_LIMIT), now)

    def record_load(self, load: LoadReport, now: float) -> None:
        """Take over a load report."""
        self.load = load
        self.load_at = now
        self.others = max(load.busy + load.queued - self.sent, 0)
        self.others_mean += (self.others - self.others_mean) * OTHERS_SHARE

    def trust(self, now: float) -> float:
        """Return the weight of the last report, from 0 to 1."""
        age_s = now - self.load_at
        return math.exp(-age_s / REPORT_TRUST_S)

    def used_slots(self, now: float) -> float:
        """Return the slots that are probably used and wanted now."""
        trust = self.trust(now)
        others = trust * self.others + (1 - trust) * self.others_mean
        return self.sent + others

    def silence_ms(self, now: float) -> float:
        """Return the time for which an answer is overdue in ms."""
        return max(now - self.due, 0) * MS_PER_S


def _patience(usual_ms: float) -> float:
    return usual_ms * SILENCE_FACTOR / MS_PER_S
