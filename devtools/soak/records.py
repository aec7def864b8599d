"""What callers, upstreams and operators saw, and the promises it must keep."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from burdocklead.values import Outcome

NO_OUTCOME = ''


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as its caller saw it.

    Attributes:
        mark: Unique name of the call, which its upstream writes down.
        entry: Daemon that was called.
        idempotent: True if it may run more than once.
        started: Monotonic time of its start in s.
        ended: Monotonic time of its end in s.
        limit_s: Time in which it must have a result.
        outcome: What was told, empty if the connection ended.
        intact: True if the answer was the one of this call, whole.
        error: What the caller saw if there is no outcome.
    """

    mark: str
    entry: str
    idempotent: bool
    started: float
    ended: float
    limit_s: float
    outcome: str = NO_OUTCOME
    intact: bool = True
    error: str = ''


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a process was harmed from outside.

    Attributes:
        name: The process.
        start: Monotonic time of its start in s.
        end: Monotonic time from which it is well again in s.
    """

    name: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ServedVersion:
    """A version that a daemon said to serve.

    Attributes:
        daemon: The daemon.
        process: Number of its process, which a restart changes.
        version: The version.
    """

    daemon: str
    process: int
    version: int


@dataclass(slots=True)
class SoakRecord:
    """All that was seen in one run.

    Attributes:
        calls: Calls that ended.
        disturbances: Harmed processes.
        accepted: Digests accepted by version.
        seen: Versions that daemons served, in the order they were asked.
        problems: Broken promises that were found on the way.
    """

    calls: list[CallRecord] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    accepted: dict[int, set[str]] = field(default_factory=dict)
    seen: list[ServedVersion] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def record_accepted(self, version: int, digest: str) -> None:
        """Take note that control accepted a file."""
        self.accepted.setdefault(version, set()).add(digest)

    def newest_accepted(self) -> int:
        """Return the newest version that was acknowledged."""
        return max(self.accepted, default=0)

    def was_disturbed(self, call: CallRecord) -> bool:
        """Return True if the entry of a call was harmed during it."""
        return any(
            one.name == call.entry
            and one.start < call.ended
            and call.started < one.end
            for one in self.disturbances
        )


def find_problems(
    record: SoakRecord, executions: Mapping[str, int]
) -> list[str]:
    """Return every broken promise.

    Args:
        record: What was seen.
        executions: How often each mark was run, over all upstreams.
    """
    return [
        *record.problems,
        *_call_problems(record, executions),
        *_version_problems(record),
    ]


def _call_problems(
    record: SoakRecord, executions: Mapping[str, int]
) -> Iterator[str]:
    for call in record.calls:
        yield from _wrong_outcomes(call, executions.get(call.mark, 0))
        if not record.was_disturbed(call):
            yield from _missing_or_late_outcomes(call)


def _wrong_outcomes(call: CallRecord, ran: int) -> Iterator[str]:
    if ran > 1 and not call.idempotent:
        yield f'{call.mark} ran {ran} times'
    if call.outcome == Outcome.not_run and ran:
        yield f'{call.mark} was told not run and ran {ran} times'
    if call.outcome == Outcome.answered and not (ran and call.intact):
        yield f'{call.mark} got an answer that is not its own'


def _missing_or_late_outcomes(call: CallRecord) -> Iterator[str]:
    took_s = call.ended - call.started
    if call.outcome == NO_OUTCOME:
        yield f'{call.mark} got no outcome from {call.entry}{call.error}'
    elif took_s > call.limit_s:
        yield f'{call.mark} waited {took_s:.2f} s at {call.entry}'


def _version_problems(record: SoakRecord) -> Iterator[str]:
    for version, digests in record.accepted.items():
        if len(digests) > 1:
            yield f'two contents of version {version} were accepted'
    highest: dict[tuple[str, int], int] = {}
    for one in record.seen:
        known = highest.setdefault((one.daemon, one.process), one.version)
        if one.version < known:
            yield f'{one.daemon} went from version {known} to {one.version}'
        highest[one.daemon, one.process] = max(known, one.version)


def summary_of(record: SoakRecord) -> str:
    """Return one line of counts."""
    outcomes = Counter(call.outcome or 'no outcome' for call in record.calls)
    counts = ', '.join(f'{count} {name}' for name, count in outcomes.items())
    return (
        f'{len(record.calls)} calls ({counts}), '
        f'{len(record.disturbances)} disturbances, '
        f'{len(record.accepted)} versions accepted'
    )


def count_executions(lines: Iterable[str]) -> Counter[str]:
    """Return how often each mark stands in the lines of upstreams."""
    return Counter(line.strip() for line in lines if line.strip())
