"""Adaptive concurrency limits of an upstream, without I/O.

``ConcurrencyLimit`` ramps up for a new upstream. When calls slow down while
the limit is reached, it is lowered by one step as a trial; the step is
reverted unless calls get faster, so that throughput does not drop. The limit
rises again once calls are fast. ``ContentionLimit`` is for an upstream that
reports its pace: it leaves the last slots empty if using them lowers
throughput, and tries them again from time to time.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

UNCONTENDED_SHARE = 0.8  # Upstreams that slow down do so when nearly full.
TRIAL_CALLS = 15  # Their mean service time varies by a tenth of the usual.
TRIAL_INTERVAL_S = 120.0  # Each trial makes a few contended calls slow.
MAX_RATIO = 3.0  # Bounds the effect of one call of a long tail.
RATIO_WEIGHT = 0.1
RAMP_START_SHARE = 0.2
MAX_RAMP_S = 10.0
WARM_RATIO = 2.0
SLOW_RATIO = 1.5
FAST_RATIO = 1.25
STEP_DOWN_FACTOR = 0.8
MIN_LIMIT_SHARE = 0.1
IMPROVED_RATIO = 0.9
COOLDOWN_WINDOWS = 10
MIN_WINDOW_CALLS = 10


@dataclass(slots=True)
class ContentionLimit:
    """All slots of an upstream, or fewer if contention lowers throughput.

    Compares contended calls, which start while nearly all slots are in use,
    with all others.

    Attributes:
        slots: Announced slots.
        uncontended_ratio: Mean service time of uncontended calls as a
            multiple of the route's baseline, recent calls weighing more.
        contended_ratio: The same for contended calls.
        samples: Contended calls since the last trial began.
        trial_at: Monotonic time in s at which the next trial may begin.
    """

    slots: int
    uncontended_ratio: float = 1
    contended_ratio: float = 1
    samples: int = 0
    trial_at: float = 0

    def current(self, now: float) -> int:
        """Return the number of calls that may run now."""
        if self.samples < TRIAL_CALLS or not self._loses_throughput():
            return self.slots
        if now >= self.trial_at:
            self.samples = 0
            self.contended_ratio = self.uncontended_ratio
            return self.slots
        return self.uncontended_slots()

    def uncontended_slots(self) -> int:
        """Return the number of calls up to which there is no contention."""
        return max(int(self.slots * UNCONTENDED_SHARE), min(self.slots, 1))

    def is_contended(self, running: int) -> bool:
        """Return True if nearly all slots are in use."""
        return running > self.uncontended_slots()

    def expected_ratio(self, running: int) -> float:
        """Return the expected slowdown of a call by contention, at least 1.

        Args:
            running: Running calls, the new one included.
        """
        if not self.is_contended(running):
            return 1
        return max(self.contended_ratio / self.uncontended_ratio, 1)

    def observe(
        self, ratio: float, now: float, *, saturated: bool, running: int
    ) -> None:
        """Record a completed call.

        Args:
            ratio: Service time as a multiple of the route's baseline.
            now: Monotonic time in s.
            saturated: True if calls waited for a slot.
            running: Running calls when it started, itself included.
        """
        capped = min(ratio, MAX_RATIO)
        if not self.is_contended(running):
            self.uncontended_ratio += (
                capped - self.uncontended_ratio
            ) * RATIO_WEIGHT
            return
        self.contended_ratio += (capped - self.contended_ratio) * RATIO_WEIGHT
        self.samples += 1
        if self.samples == TRIAL_CALLS:
            self.trial_at = now + TRIAL_INTERVAL_S

    def resize(self, slots: int) -> None:
        """Change the number of announced slots."""
        self.slots = slots

    def _loses_throughput(self) -> bool:
        return (
            self.contended_ratio
            > self.uncontended_ratio * self.slots / self.uncontended_slots()
        )


@dataclass(slots=True)
class Window:
    """Completed calls since the limit was last reviewed.

    Attributes:
        skip: Completions to ignore, since their calls started before it.
        ratios: Service times as multiples of the route's baseline.
        saturated: Number of completions while calls waited for a slot.
    """

    skip: int = 0
    ratios: list[float] = field(default_factory=list)
    saturated: int = 0


@dataclass(slots=True)
class ConcurrencyLimit:
    """A limit that adapts to service times, up to the announced slots.

    Attributes:
        slots: Announced slots.
        started: Monotonic time in s of the first use, None before it.
        limit: Calls that may run now, before rounding.
        ramping: True until a new upstream is warm.
        window: Completed calls since the last review.
        before_step: Limit and median ratio before a trial step.
        cooldown: Remaining windows without a trial step.
    """

    slots: int
    started: float | None = None
    limit: float = 0
    ramping: bool = True
    window: Window = field(default_factory=Window)
    before_step: tuple[float, float] | None = None
    cooldown: int = 0

    def current(self, now: float) -> int:
        """Return the number of calls that may run now."""
        if self.started is None:
            self.started = now
            self.limit = max(self.slots * RAMP_START_SHARE, 1)
        if self.ramping and now - self.started > MAX_RAMP_S:
            self._finish_ramp()
        return max(min(int(self.limit), self.slots), min(self.slots, 1))

    def is_contended(self, running: int) -> bool:
        """Return False; this limit adapts to service times itself."""
        return False

    def expected_ratio(self, running: int) -> float:
        """Return 1; this limit adapts to service times itself."""
        return 1

    def observe(
        self, ratio: float, now: float, *, saturated: bool, running: int = 0
    ) -> None:
        """Record a completed call.

        Args:
            ratio: Service time as a multiple of the route's baseline.
            now: Monotonic time in s.
            saturated: True if calls waited for a slot.
            running: Running calls when it started; not used here.
        """
        self.current(now)
        if self.ramping:
            self._ramp(ratio)
            return
        if self.window.skip:
            self.window.skip -= 1
            return
        self.window.ratios.append(ratio)
        self.window.saturated += saturated
        if len(self.window.ratios) >= max(MIN_WINDOW_CALLS, int(self.limit)):
            running = int(self.limit)
            self._review_limit()
            self.window = Window(skip=running)

    def resize(self, slots: int) -> None:
        """Change the number of announced slots."""
        if not self.ramping and self.limit >= self.slots:
            self.limit = slots
        self.slots = slots

    def _ramp(self, ratio: float) -> None:
        if ratio <= WARM_RATIO:
            self.limit += 1
        if self.limit >= self.slots:
            self._finish_ramp()

    def _finish_ramp(self) -> None:
        self.ramping = False
        self.limit = self.slots

    def _review_limit(self) -> None:
        ratio = statistics.median(self.window.ratios)
        mostly_saturated = self.window.saturated * 2 > len(self.window.ratios)
        self._revert_failed_step(ratio)
        self.cooldown = max(self.cooldown - 1, 0)
        if ratio <= FAST_RATIO or not mostly_saturated:
            self.limit = min(self.limit + max(self.limit / 10, 1), self.slots)
        elif ratio >= SLOW_RATIO and not self.cooldown:
            self.before_step = (self.limit, ratio)
            floor = max(self.slots * MIN_LIMIT_SHARE, 1)
            self.limit = max(self.limit * STEP_DOWN_FACTOR, floor)

    def _revert_failed_step(self, ratio: float) -> None:
        """Restore the limit if the trial step did not make calls faster."""
        if self.before_step is None:
            return
        limit, earlier = self.before_step
        self.before_step = None
        if ratio > earlier * IMPROVED_RATIO:
            self.limit = limit
            self.cooldown = COOLDOWN_WINDOWS
