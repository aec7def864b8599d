"""Fuzzes the rate limits of teams against faults of every process and link.

Many daemons send calls of teams while processes are killed and frozen, links
lose messages in one direction, replicas lose their quorum and limits are
lowered. No window may contain more admitted calls than the bound, and once the
faults have ended, a team within its limit is not refused.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from hypothesis import strategies

from burdocklead.allowance.limits import AllowanceRules, TeamLimit
from devtools.fuzz.allowance_system import (
    TICK_S,
    AllowanceSystem,
    SimulatedDaemon,
)
from devtools.fuzz.examples import run_examples

RULES = AllowanceRules(slack=20)
WARM_UP_S = 4
RECOVERY_S = 12
CHECKED_S = 4  # At the end, after the recovery.
HIGH = TeamLimit(rate=40, burst=20)
LOW = TeamLimit(rate=10, burst=5)
SMALL = TeamLimit(rate=5, burst=10)
SMALL_RATE = 3  # Calls per s of the team within its limit.
HOT_FACTORS = (0.5, 1, 3, 6)
FAULTS = (
    'kill holder',
    'kill holder',
    'freeze holder',
    'cut holder off its quorum',
    'lose requests to holder',
    'lose replies of holder',
    'lose replies',
    'delay replies of holder',
    'freeze daemons',
    'restart daemons',
    'be idle',
    'lower limit',
    'wait',
)
DURATIONS_S = (0.5, 1.5, 4, 12)
GAPS_S = (0, 0.5, 2, 6)
APPLY_S = 2.0

Fault = tuple[str, int, int, int]


@dataclass(frozen=True, slots=True)
class Script:
    """One example.

    Attributes:
        seed: Seed of delays, losses and calls.
        daemons: Number of daemons.
        factor: Calls of the hot team, relative to its rate.
        faults: Kinds of faults with their durations, their targets and the
            time until the next one.
    """

    seed: int
    daemons: int
    factor: float
    faults: tuple[Fault, ...]


class AllowanceRun:
    """Runs one example.

    Attributes:
        system: The processes.
        hot: Limit of the hot team.
        lowered_at: Time in s at which its limit was lowered, None if never.
        idle_until: Time in s until which the hot team sends nothing.
    """

    def __init__(self, script: Script) -> None:
        """Create the processes of an example."""
        self.script = script
        self.rng = random.Random(script.seed)
        self.system = AllowanceSystem(RULES, self.rng)
        self.hot = HIGH
        self.lowered_at: float | None = None
        self.idle_until = float(0)
        self.small_due = float(0)
        self.system.populate(3, script.daemons, self._limits())

    def run(self) -> None:
        """Run the example; raise AssertionError on a violation."""
        self._advance(WARM_UP_S)
        for fault, duration, target, gap in self.script.faults:
            self._inject(fault, DURATIONS_S[duration], target)
            self._advance(GAPS_S[gap])
        self._advance(max(DURATIONS_S))
        self.system.late_rate = 0
        self._advance(RECOVERY_S)
        self._check_bounds()
        self._check_progress()

    def _limits(self) -> dict[str, TeamLimit]:
        return {'hot': self.hot, 'small': SMALL}

    def _advance(self, length_s: float) -> None:
        for _ in range(round(length_s / TICK_S)):
            self._send_calls()
            self.system.tick()

    def _send_calls(self) -> None:
        now = self.system.now
        daemons = self.system.daemons
        while self.small_due <= now:
            self.small_due += 1 / SMALL_RATE
            self.rng.choice(daemons).arrived.append('small')
        if now < self.idle_until:
            return
        expected = self.hot.rate * self.script.factor * TICK_S
        count = int(expected + self.rng.random())
        for _ in range(count):
            self.rng.choice(daemons).arrived.append('hot')

    def _inject(self, fault: str, duration_s: float, target: int) -> None:
        system = self.system
        until = system.now + duration_s
        holder = system.holder()
        match fault:
            case 'kill holder':
                holder.restart()
                holder.frozen_until = until
            case 'freeze holder':
                holder.frozen_until = until
            case 'cut holder off its quorum':
                holder.cut_until = until
            case 'delay replies of holder':
                system.delays[holder.name] = until
            case 'be idle':
                self.idle_until = until
            case 'lower limit' if self.lowered_at is None:
                self.hot = LOW
                self.lowered_at = system.now
                system.use_limits(self._limits())

            case _:
                for daemon in _targets(system.daemons, target):
                    self._inject_at(daemon, fault, until)

    def _inject_at(
        self, daemon: SimulatedDaemon, fault: str, until: float
    ) -> None:
        """Inject a fault of one daemon or of its links."""
        system = self.system
        holder = system.holder().name
        names = [replica.name for replica in system.replicas]
        match fault:
            case 'lose requests to holder':
                system.cut({(daemon.name, holder)}, until)
            case 'lose replies of holder':
                system.cut({(holder, daemon.name)}, until)
            case 'lose replies':
                system.cut({(name, daemon.name) for name in names}, until)
            case 'freeze daemons':
                daemon.frozen_until = until
            case 'restart daemons':
                daemon.restart(RULES, system.now + daemon.offset)

    def _check_bounds(self) -> None:
        """Check every window of the admitted calls."""
        hot = self.system.admitted['hot']
        _check_windows(self.system.admitted['small'], SMALL)
        if self.lowered_at is None:
            _check_windows(hot, HIGH)
            return
        applied_at = self.lowered_at + APPLY_S + RULES.window_s
        _check_windows([at for at in hot if at < applied_at], HIGH)
        _check_windows([at for at in hot if at >= applied_at], LOW)

    def _check_progress(self) -> None:
        """Check that a team within its limit is not refused at the end."""
        since = self.system.now - CHECKED_S
        late = [at for at in self.system.refused['small'] if at > since]
        assert not late, f'{len(late)} calls within the limit refused'


def _targets(
    daemons: Sequence[SimulatedDaemon], target: int
) -> Sequence[SimulatedDaemon]:
    """Return one half of the daemons, the other one, or all."""
    return daemons[target::2] if target < 2 else daemons


def _check_windows(times: Sequence[float], limit: TeamLimit) -> None:
    allowed = limit.rate * RULES.window_s + limit.burst
    allowed = allowed * (1 + RULES.overage) + RULES.slack
    for index, start in enumerate(times):
        end = start + RULES.window_s
        count = bisect_right(times, end - TICK_S / 2) - index
        assert count <= allowed, (
            f'{count} calls from {start:.2f} s on, {allowed:.1f} allowed'
        )


def scripts() -> strategies.SearchStrategy[Script]:
    """Return the strategy for examples."""
    fault = strategies.tuples(
        strategies.sampled_from(FAULTS),
        strategies.integers(0, len(DURATIONS_S) - 1),
        strategies.integers(0, 2),
        strategies.integers(0, len(GAPS_S) - 1),
    )
    return strategies.builds(
        Script,
        strategies.integers(0, 1 << 32),
        strategies.sampled_from((1, 3, 12, 40)),
        strategies.sampled_from(HOT_FACTORS),
        strategies.lists(fault, min_size=1, max_size=8).map(tuple),
    )


def check_script(script: Script) -> None:
    """Run one example."""
    AllowanceRun(script).run()


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_examples(check_script, scripts(), seed, count, shrink=shrink)
