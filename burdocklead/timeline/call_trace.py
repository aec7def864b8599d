"""Traces one call through the logs of all processes.

The clocks of VMs differ, so log lines are put in causal order: the daemon of
the upstream admits or refuses an attempt before the attempt ends at the entry
daemon, and the entry daemon ends the attempts of a call before the call.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from burdocklead import log_events
from burdocklead.timeline.log_lines import LogLine, ParsedLogs

ATTEMPT_ADMITTED = log_events.ATTEMPT_ADMITTED.message
ATTEMPT_NOT_ANSWERED = log_events.ATTEMPT_NOT_ANSWERED.message
ATTEMPT_ENDED = log_events.ATTEMPT_ENDED.message
CALL_NOT_ANSWERED = log_events.CALL_NOT_ANSWERED.message
CAUSAL_RANK = {ATTEMPT_ADMITTED: 0, ATTEMPT_NOT_ANSWERED: 1, ATTEMPT_ENDED: 2}
# Messages without a call ID that explain the state of a peer.
PEER_MESSAGES = frozenset(
    event.message
    for event in (
        log_events.STATE_CHANGED,
        log_events.UPSTREAM_FOUND,
        log_events.UPSTREAM_LEFT,
        log_events.UPSTREAM_LOST,
        log_events.STOPPED_WITH_WORK,
    )
)


class TraceStep(msgspec.Struct, frozen=True):
    """One step of a call.

    Attributes:
        process: Process that logged the step.
        time: Wall time of that process.
        text: Log message and its fields.
    """

    process: str
    time: str
    text: str


class CallTrace(msgspec.Struct, frozen=True):
    """Trace of one call.

    Attributes:
        call: ID of the call.
        entry: Entry daemon, empty if unknown.
        result: Result returned to the caller, empty if unknown.
        steps: Steps in causal order.
        missing: Log lines that are expected but missing.
        around: State changes of the peers of its attempts.
    """

    call: str
    entry: str
    result: str
    steps: tuple[TraceStep, ...]
    missing: tuple[str, ...]
    around: tuple[TraceStep, ...]


class FailureGroup(msgspec.Struct, frozen=True):
    """Unanswered calls with the same service, outcome and cause.

    Attributes:
        service: Service called.
        outcome: Outcome returned to the caller.
        cause: Cause of the outcome.
        count: Number of calls.
        example: ID of one of the calls.
    """

    service: str
    outcome: str
    cause: str
    count: int
    example: str


def trace_call(logs: ParsedLogs, call: str) -> CallTrace:
    """Return the trace of a call, as far as it was logged."""
    call_lines = [line for line in logs.lines if line.text('call') == call]
    attempts = _lines_by_attempt(call_lines)
    steps = [
        step
        for attempt in attempts
        for step in sorted(attempt, key=_causal_rank)
    ]
    ends = [line for line in call_lines if line.message == CALL_NOT_ANSWERED]
    steps.extend(ends)
    entries = [
        line.process for line in call_lines if line.message in _ENTRY_MESSAGES
    ]
    peers = {
        line.text('peer')
        for line in call_lines
        if line.message == ATTEMPT_ENDED
    }
    return CallTrace(
        call=call,
        entry=entries[-1] if entries else '',
        result=_call_result(call_lines),
        steps=tuple(map(_trace_step, steps)),
        missing=tuple(_missing(logs, call_lines, attempts)),
        around=tuple(
            _trace_step(line)
            for line in logs.lines
            if line.process in peers and line.message in PEER_MESSAGES
        ),
    )


_ENTRY_MESSAGES = frozenset((ATTEMPT_ENDED, CALL_NOT_ANSWERED))


def group_failures(logs: ParsedLogs) -> tuple[FailureGroup, ...]:
    """Return unanswered calls grouped by cause, largest group first."""
    counts: Counter[tuple[str, str, str]] = Counter()
    examples: dict[tuple[str, str, str], str] = {}
    for line in logs.lines:
        if line.message != CALL_NOT_ANSWERED:
            continue
        key = (line.text('service'), line.text('outcome'), line.text('cause'))
        counts[key] += 1
        examples.setdefault(key, line.text('call'))
    return tuple(
        FailureGroup(*key, count, examples[key])
        for key, count in counts.most_common()
    )


def _lines_by_attempt(call_lines: Iterable[LogLine]) -> list[list[LogLine]]:
    """Return the lines of each attempt, attempts in order of their end."""
    attempts: dict[str, list[LogLine]] = defaultdict(list)
    for line in call_lines:
        if line.message in CAUSAL_RANK:
            attempts[line.text('attempt')].append(line)
    return sorted(attempts.values(), key=_attempt_time)


def _attempt_time(lines: list[LogLine]) -> str:
    return max(lines, key=_causal_rank).time


def _causal_rank(line: LogLine) -> int:
    return CAUSAL_RANK[line.message]


def _call_result(call_lines: Iterable[LogLine]) -> str:
    result = ''
    for line in call_lines:
        if line.message == CALL_NOT_ANSWERED:
            outcome, cause = line.text('outcome'), line.text('cause')
            return f'{outcome}: {cause}, status {line.text("status")}'
        if line.message == ATTEMPT_ENDED and line.text('outcome') == 'answer':
            result = f'answered: status {line.text("cause")}'
    return result


def _missing(
    logs: ParsedLogs, call_lines: list[LogLine], attempts: list[list[LogLine]]
) -> list[str]:
    if not call_lines:
        return ['no log line has this call ID']
    problems = []
    for lines in attempts:
        by_message = {line.message: line for line in lines}
        ended = by_message.get(ATTEMPT_ENDED)
        attempt = lines[0].text('attempt')
        if ended is None:
            problems.append(f'{attempt}: no log line of its entry daemon')
        elif len(by_message) == 1 and ended.text('outcome') == 'lost':
            problems.append(f'{attempt}: {_explain_missing_lines(logs, ended)}')
    return problems


def _explain_missing_lines(logs: ParsedLogs, ended: LogLine) -> str:
    peer = ended.text('peer')
    if peer not in logs.processes:
        return f'the log of {peer} is not among the files'
    return f'{peer} logged nothing about it: it was stopped or unreachable'


def _is_empty(value: object) -> bool:
    return value is None or value == ''


def _trace_step(line: LogLine) -> TraceStep:
    hidden = frozenset(('call', 'attempt', 'level', 'channel', 'process'))
    shown_fields = ', '.join(
        f'{name} {value}'
        for name, value in line.fields.items()
        if name not in hidden and not _is_empty(value)
    )
    return TraceStep(line.process, line.time, f'{line.message}: {shown_fields}')
