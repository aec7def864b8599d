"""Goodput and tail latency during and after a ramp into overload."""

from __future__ import annotations

from devtools.bench.load_pool import run_load
from devtools.bench.plan import CallKind, Plan, Step
from devtools.bench.scenario import Options, ScenarioResult, running_deployment
from devtools.bench.shapes import (
    MS_PER_S,
    SHAPES,
    SLOTS,
    Balancer,
    Shape,
    arm_of,
)

WORK_MS = 600
LIMIT_MS = 2000
LOAD_FACTORS = (0.5, 1, 1.5, 2, 3)
RECOVERY_FACTOR = 0.5
BALANCERS = (Balancer.round_robin, Balancer.product)
LOAD_PROCESSES = 2


def load_ramp_steps(
    balancer: Balancer, saturation: float, seconds: float
) -> tuple[Step, ...]:
    """Return steps of rising load and a recovery step after them.

    Args:
        balancer: Balancer that receives the load.
        saturation: Calls per second that fill all slots.
        seconds: Duration of all steps together in s.
    """
    step_s = seconds / (len(LOAD_FACTORS) + 1)
    ramp = tuple(
        Step(f'{balancer}, {factor}x', balancer, step_s, factor * saturation)
        for factor in LOAD_FACTORS
    )
    recovery = Step(
        f'{balancer}, after', balancer, step_s, RECOVERY_FACTOR * saturation
    )
    return (*ramp, recovery)


def run_overload(options: Options) -> ScenarioResult:
    """Compare a load ramp through the product with one through round robin.

    Each balancer gets fresh processes, because calls that the client has
    given up on would keep the upstreams busy during the next ramp.
    """
    shape = SHAPES[options.variant or 'garantiewerk']
    saturation = shape.targets * SLOTS * MS_PER_S / WORK_MS
    result = ScenarioResult(
        settings={
            'shape': shape.name,
            'saturation': saturation,
            'declared cost ms': WORK_MS,
        }
    )
    layout = shape.layout(WORK_MS)
    kinds = (CallKind('call', shape.path, work_ms=WORK_MS, limit_ms=LIMIT_MS),)
    for balancer in BALANCERS:
        with running_deployment(layout) as deployment:
            arms = {balancer.value: arm_of(deployment, shape, balancer, kinds)}
            steps = load_ramp_steps(
                balancer, saturation, options.seconds / len(BALANCERS)
            )
            plan = Plan(options.seed, arms, steps)
            result.add(run_load(plan, LOAD_PROCESSES))
    add_goodput(result, shape, saturation, options.seconds / len(BALANCERS))
    return result


def add_goodput(
    result: ScenarioResult, shape: Shape, saturation: float, seconds: float
) -> None:
    """Add the goodput of each step as a fraction of saturation."""
    step_s = seconds / (len(LOAD_FACTORS) + 1)
    for row in result.rows:
        if row.label.endswith(('x', 'after')):
            goodput = row.good / step_s / saturation
            name = f'{shape.name}, {row.label}, goodput over saturation'
            result.facts[name] = goodput
