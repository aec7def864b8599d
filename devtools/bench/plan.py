"""Plan and result of a load process, exchanged as JSON."""

from __future__ import annotations

import enum

import msgspec


class Policy(enum.StrEnum):
    """How the load process chooses among the addresses of an arm.

    ``least_stale`` chooses the least busy upstream by the last poll of its
    load, however old that is.
    """

    round_robin = 'round-robin'
    random = 'random'
    least_stale = 'least-stale'


class CallKind(msgspec.Struct, frozen=True):
    """One kind of call.

    Attributes:
        name: Name in the report.
        path: Path and query.
        method: HTTP method.
        work_ms: Service time requested from the fake upstream in ms.
        weight: Share of the arm's calls, relative to the other kinds.
        body_bytes: Size of the request body.
        limit_ms: Latency limit in ms: the call's deadline, and the bound up
            to which an answer counts as goodput.
    """

    name: str
    path: str
    method: str = 'GET'
    work_ms: float = 0
    weight: float = 1
    body_bytes: int = 0
    limit_ms: float = 1000


class Arm(msgspec.Struct, frozen=True):
    """One of the alternatives that are compared.

    Attributes:
        addresses: Addresses that receive the calls, as IP:PORT.
        kinds: Mix of calls.
        policy: How an address is chosen.
        pids: Processes whose CPU time is read around each step; only for
            plans that run on a single load process.
    """

    addresses: tuple[str, ...]
    kinds: tuple[CallKind, ...]
    policy: Policy = Policy.round_robin
    pids: tuple[int, ...] = ()


class Step(msgspec.Struct, frozen=True):
    """A period in which one arm receives calls.

    Attributes:
        label: Steps of the same label are reported together.
        arm: Name of the arm.
        seconds: Duration in s.
        rate: Calls per second; ``load_pool`` divides the rate of a whole run
            among the load processes.
    """

    label: str
    arm: str
    seconds: float
    rate: float


class Plan(msgspec.Struct, frozen=True):
    """A complete run of one load process."""

    seed: int
    arms: dict[str, Arm]
    steps: tuple[Step, ...]


class StepStart(msgspec.Struct, frozen=True):
    """A step of a plan and when it starts.

    Attributes:
        offset: Start in s from the start of the plan.
        step: The step.
    """

    offset: float
    step: Step


def starts_of(steps: tuple[Step, ...]) -> tuple[StepStart, ...]:
    """Return each step with its start time."""
    offset = float(0)
    starts = []
    for step in steps:
        starts.append(StepStart(offset, step))
        offset += step.seconds
    return tuple(starts)


class CallFigures(msgspec.Struct):
    """Statistics of one kind of call under one label.

    Attributes:
        label: Label of the steps.
        kind: Kind of call.
        calls: Calls sent.
        good: Complete answers within the latency limit.
        outcomes: Calls by outcome.
        latency: Encoded histogram of latencies in us.
        lag: Encoded histogram of the delays between scheduled and actual
            send times in us.
        cpu_ms: CPU time per call of each step in ms.
    """

    label: str
    kind: str
    calls: int
    good: int
    outcomes: dict[str, int]
    latency: str
    lag: str
    cpu_ms: list[float] = []


class LoadResult(msgspec.Struct, frozen=True):
    """The result of one load process.

    Attributes:
        figures: Statistics by label and kind.
        cpu_share: Share of one core that the load process used.
    """

    figures: tuple[CallFigures, ...]
    cpu_share: float


def interleaved(
    arms: tuple[str, ...],
    rate: float,
    seconds: float,
    turn_s: float,
    pause_s: float = 0,
) -> tuple[Step, ...]:
    """Return steps that alternate between the arms in short turns.

    Args:
        arms: Names of the arms, in order.
        rate: Calls per second during a turn.
        seconds: Total duration of all arms in s.
        turn_s: Duration of one turn in s.
        pause_s: Duration without calls after each turn in s.
    """
    rounds = max(int(seconds / ((turn_s + pause_s) * len(arms))), 1)
    one_round = []
    for arm in arms:
        one_round.append(Step(arm, arm, turn_s, rate))
        if pause_s:
            one_round.append(Step('', arm, pause_s, 0))
    return tuple(one_round) * rounds
