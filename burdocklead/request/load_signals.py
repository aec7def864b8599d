"""Detection of missing or constant load reports, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

SignalChangeHandler = Callable[[str, str], None]
DEAD_MIN_ANSWERS = 50
DEAD_MIN_AGE_S = 2.0
DEAD_MIN_IN_FLIGHT_RANGE = 3


def _ignore_change(daemon_id: str, reason: str) -> None:
    """Ignore a change; ``dead_reasons`` still lists dead signals."""


@dataclass(slots=True)
class LoadSignal:
    """Answers of one upstream since its last new load report, if any.

    Attributes:
        since: Monotonic time of that report or of the first answer in s.
        answer_count: Number of answers since then.
        min_in_flight: Fewest attempts of this daemon in flight at an answer.
        max_in_flight: Most attempts of this daemon in flight at an answer.
        dead_reason: Why the signal is dead, empty while it is alive.
    """

    since: float
    answer_count: int = 0
    min_in_flight: int = 0
    max_in_flight: int = 0
    dead_reason: str = ''


@dataclass(slots=True)
class LoadSignalMonitor:
    """Detects load reports that are missing or never change under traffic.

    Attributes:
        on_change: Called with a daemon ID and the reason why its signal is
            dead, or with an empty reason once it is alive again.
        signals: Signal by daemon.
        reports: Last report by daemon as busy, queued and slots.
    """

    on_change: SignalChangeHandler = _ignore_change
    signals: dict[str, LoadSignal] = field(default_factory=dict)
    reports: dict[str, tuple[int, int, int]] = field(default_factory=dict)

    def observe_report(
        self, daemon_id: str, report: tuple[int, int, int], now: float
    ) -> None:
        """Record a report; a changed one makes the signal alive again."""
        if self.reports.get(daemon_id) == report:
            return
        self.reports[daemon_id] = report
        signal = self.signals.pop(daemon_id, None)
        self.signals[daemon_id] = LoadSignal(now)
        if signal is not None and signal.dead_reason:
            self.on_change(daemon_id, '')

    def observe_answer(
        self, daemon_id: str, in_flight: int, now: float
    ) -> None:
        """Record an answer and the number of attempts in flight."""
        signal = self.signals.get(daemon_id)
        if signal is None:
            signal = LoadSignal(
                now, min_in_flight=in_flight, max_in_flight=in_flight
            )
            self.signals[daemon_id] = signal
        if not signal.answer_count:
            signal.min_in_flight = in_flight
            signal.max_in_flight = in_flight
        signal.answer_count += 1
        signal.min_in_flight = min(signal.min_in_flight, in_flight)
        signal.max_in_flight = max(signal.max_in_flight, in_flight)
        if not signal.dead_reason and self._is_dead(daemon_id, signal, now):
            known = daemon_id in self.reports
            signal.dead_reason = 'never changes' if known else 'never came'
            self.on_change(daemon_id, signal.dead_reason)

    def dead_reasons(self) -> dict[str, str]:
        """Return the reason of each dead signal by daemon."""
        return {
            daemon_id: signal.dead_reason
            for daemon_id, signal in self.signals.items()
            if signal.dead_reason
        }

    def forget(self, daemon_id: str) -> None:
        """Drop an upstream that has left."""
        self.signals.pop(daemon_id, None)
        self.reports.pop(daemon_id, None)

    def _is_dead(self, daemon_id: str, signal: LoadSignal, now: float) -> bool:
        if signal.answer_count < DEAD_MIN_ANSWERS:
            return False
        if now - signal.since < DEAD_MIN_AGE_S:
            return False
        in_flight_range = signal.max_in_flight - signal.min_in_flight
        return (
            daemon_id not in self.reports
            or in_flight_range >= DEAD_MIN_IN_FLIGHT_RANGE
        )
