"""Tail latency of the balancers with healthy and with disturbed upstreams."""

from __future__ import annotations

import contextlib
import enum
import itertools
import threading
from collections.abc import Iterator

from devtools.bench.load_pool import run_load
from devtools.bench.plan import Plan, interleaved
from devtools.bench.scenario import Options, ScenarioResult, running_deployment
from devtools.bench.shapes import (
    SHAPES,
    SLOTS,
    WORK_MS,
    Balancer,
    Shape,
    arm_of,
    mixed_kinds,
)
from devtools.local_deployment import LocalDeployment

UTILIZATION = 0.5
TURN_S = 4
PAUSE_S = 2
STRAGGLER_SLOWDOWN = 10
NEIGHBOUR_SLOWDOWN = 4
NEIGHBOUR_PHASE_S = 0.5
MISLEADING_SLOTS = 10 * SLOTS
MISLEADING_SLOWDOWN = 3


class Condition(enum.StrEnum):
    """Behaviour of the first upstream during the measurement.

    Attributes:
        quiet: As usual.
        straggler: Slow throughout.
        neighbour: Alternately slow and normal.
        misleading: Slow, while it reports more slots than it has.
    """

    quiet = 'quiet'
    straggler = 'straggler'
    neighbour = 'noisy neighbour'
    misleading = 'misleading'


def run_tail(options: Options) -> ScenarioResult:
    """Compare all balancers under every condition.

    The variant selects the shape.
    """
    shape = SHAPES[options.variant or 'garantiewerk']
    rate = UTILIZATION * shape.saturation
    result = ScenarioResult(
        settings={'shape': shape.name, 'targets': shape.targets, 'rate': rate}
    )
    layout = shape.layout(WORK_MS)
    with running_deployment(layout) as deployment:
        for condition in Condition:
            with disturbance(deployment, shape, condition):
                compare(options, deployment, shape, condition, result)
    return result


def compare(
    options: Options,
    deployment: LocalDeployment,
    shape: Shape,
    condition: Condition,
    result: ScenarioResult,
) -> None:
    """Measure all balancers, interleaved, under one condition."""
    kinds = mixed_kinds(shape)
    arms = {
        f'{balancer.value}, {condition.value}': arm_of(
            deployment, shape, balancer, kinds
        )
        for balancer in Balancer
    }
    seconds = options.seconds / len(Condition)
    rate = UTILIZATION * shape.saturation
    steps = interleaved(tuple(arms), rate, seconds, TURN_S, PAUSE_S)
    result.add(run_load(Plan(options.seed, arms, steps)))


@contextlib.contextmanager
def disturbance(
    deployment: LocalDeployment, shape: Shape, condition: Condition
) -> Iterator[None]:
    """Disturb the first upstream while the context is open."""
    first = shape.target(0)
    ended = threading.Event()
    neighbour = threading.Thread(
        target=_alternate_slowdown, args=(deployment, first, ended)
    )
    match condition:
        case Condition.straggler:
            deployment.set_behaviour(first, slowdown=STRAGGLER_SLOWDOWN)
        case Condition.misleading:
            deployment.set_behaviour(
                first,
                slowdown=MISLEADING_SLOWDOWN,
                reported_slots=MISLEADING_SLOTS,
            )
        case Condition.neighbour:
            neighbour.start()
    try:
        yield
    finally:
        ended.set()
        _end_disturbance(deployment, first, neighbour)


def _end_disturbance(
    deployment: LocalDeployment, name: str, neighbour: threading.Thread
) -> None:
    if neighbour.is_alive():
        neighbour.join()
    deployment.set_behaviour(name)


def _alternate_slowdown(
    deployment: LocalDeployment, name: str, ended: threading.Event
) -> None:
    for slowdown in itertools.cycle((NEIGHBOUR_SLOWDOWN, 1)):
        deployment.set_behaviour(name, slowdown=slowdown)
        if ended.wait(NEIGHBOUR_PHASE_S):
            return
