"""Records of a soak, and the guarantees that they are checked against."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from burdocklead.values import Outcome
from devtools.upstream import FLOOD_PREFIX

NO_OUTCOME = ''
# The kernel's buffers of both ends are full before a daemon reads anything.
MAX_FLOOD_BYTES = 16 * 1048576


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as observed by its caller.

    Attributes:
        mark: Unique name of the call, which upstreams record.
        entry: Entry daemon that was called.
        idempotent: True if the call may run more than once.
        started: Monotonic time of its start in s.
        ended: Monotonic time of its end in s.
        limit_s: Time in s within which it must have a result.
        outcome: Reported outcome, empty if there was none.
        intact: False if an answered call got a body that isn't its own.
        error: Error of the caller, empty if there was none.
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
class Disruption:
    """A period in which a process was disrupted by a fault.

    Attributes:
        name: Name of the process.
        start: Monotonic time of its start in s.
        end: Monotonic time in s by which the process has recovered, infinite
            until the cluster is healed.
    """

    name: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ServedVersion:
    """A version that a daemon reported as served.

    Attributes:
        daemon: Name of the daemon.
        process: ID of its process, which changes when it restarts.
        version: Version of the configuration.
    """

    daemon: str
    process: int
    version: int


@dataclass(slots=True)
class SoakRecord:
    """All observations of one run.

    Attributes:
        calls: Calls that ended.
        disruptions: Periods in which processes were disrupted.
        accepted: Digests of the accepted files by version.
        served_versions: Versions that daemons reported, in request order.
        flood_bytes: Bytes that were taken of each endless answer.
        problems: Violations that were found during the run.
    """

    calls: list[CallRecord] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    accepted: dict[int, set[str]] = field(default_factory=dict)
    served_versions: list[ServedVersion] = field(default_factory=list)
    flood_bytes: list[int] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def record_accepted(self, version: int, digest: str) -> None:
        """Record that control accepted a file."""
        self.accepted.setdefault(version, set()).add(digest)

    def newest_accepted(self) -> int:
        """Return the newest version that control accepted, 0 if none."""
        return max(self.accepted, default=0)

    def end_disruptions(self, healed_at: float) -> None:
        """End the disruptions that lasted until the cluster was healed."""
        self.disruptions = [
            one if one.end < math.inf else replace(one, end=healed_at)
            for one in self.disruptions
        ]

    def was_disrupted(self, call: CallRecord) -> bool:
        """Return True if the entry daemon of a call was disrupted during it."""
        return any(
            one.name == call.entry
            and one.start < call.ended
            and call.started < one.end
            for one in self.disruptions
        )


def find_problems(
    record: SoakRecord, executions: Mapping[str, int]
) -> list[str]:
    """Return a description of each violated guarantee.

    Args:
        record: Observations of the run.
        executions: Number of executions by mark, over all upstreams.
    """
    return [
        *record.problems,
        *_call_problems(record, executions),
        *_version_problems(record),
        *_flood_problems(record),
    ]


def _call_problems(
    record: SoakRecord, executions: Mapping[str, int]
) -> Iterator[str]:
    for call in record.calls:
        yield from _wrong_outcomes(call, executions.get(call.mark, 0))
        if not record.was_disrupted(call):
            yield from _missing_or_late_outcomes(call)


def _wrong_outcomes(call: CallRecord, ran: int) -> Iterator[str]:
    if ran > 1 and not call.idempotent:
        yield f'{call.mark} ran {ran} times'
    if call.outcome == Outcome.not_run and ran:
        yield f'{call.mark} was reported as not run and ran {ran} times'
    if call.outcome == Outcome.answered and not (ran and call.intact):
        yield f'{call.mark} got an answer that is not its own'


def _missing_or_late_outcomes(call: CallRecord) -> Iterator[str]:
    took_s = call.ended - call.started
    if call.outcome == NO_OUTCOME:
        yield f'{call.mark} got no outcome from {call.entry}{call.error}'
    elif took_s > call.limit_s:
        yield f'{call.mark} took {took_s:.2f} s at {call.entry}'


def _version_problems(record: SoakRecord) -> Iterator[str]:
    for version, digests in record.accepted.items():
        if len(digests) > 1:
            yield f'two different files with version {version} were accepted'
    highest: dict[tuple[str, int], int] = {}
    for one in record.served_versions:
        known = highest.setdefault((one.daemon, one.process), one.version)
        if one.version < known:
            yield f'{one.daemon} went from version {known} to {one.version}'
        highest[one.daemon, one.process] = max(known, one.version)


def _flood_problems(record: SoakRecord) -> Iterator[str]:
    for taken in record.flood_bytes:
        if taken > MAX_FLOOD_BYTES:
            yield f'a daemon took {taken} bytes of an endless answer'


def summary_of(record: SoakRecord) -> str:
    """Return one line with the counts of a run."""
    outcomes = Counter(call.outcome or 'no outcome' for call in record.calls)
    counts = ', '.join(f'{count} {name}' for name, count in outcomes.items())
    return (
        f'{len(record.calls)} calls ({counts}), '
        f'{len(record.disruptions)} disruptions, '
        f'{len(record.accepted)} versions accepted, '
        f'{len(record.flood_bytes)} endless answers'
    )


def count_executions(lines: Iterable[str]) -> Counter[str]:
    """Return the number of executions by mark, from the lines of upstreams."""
    marks = map(str.strip, lines)
    return Counter(
        mark for mark in marks if mark and not mark.startswith(FLOOD_PREFIX)
    )


def read_flood_bytes(lines: Iterable[str]) -> list[int]:
    """Return the bytes taken of each endless answer, from the same lines."""
    return [
        int(line.removeprefix(FLOOD_PREFIX))
        for line in lines
        if line.startswith(FLOOD_PREFIX)
    ]
