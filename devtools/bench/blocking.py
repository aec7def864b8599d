"""Head-of-line blocking: latency of short calls with and without long ones."""

from __future__ import annotations

import msgspec

from devtools.bench.histograms import Row
from devtools.bench.load_pool import MergedLoadResult, run_load
from devtools.bench.plan import Arm, CallKind, Plan, Step, interleaved
from devtools.bench.scenario import Options, ScenarioResult, running_deployment
from devtools.bench.shapes import SHAPES, Balancer, Shape, arm_of
from devtools.local_deployment import LocalDeployment

SHORT_MS = 200
LONG_MS = 4000
LONG_WEIGHT = 0.14
RATE_PER_TARGET = 25
TURN_S = 8
PAUSE_S = 4
ALONE = 'short alone'
MIXED = 'with long'
BALANCERS = (Balancer.random, Balancer.round_robin, Balancer.product)


def run_head_of_line(options: Options) -> ScenarioResult:
    """Compare how much long calls slow down short ones under each balancer.

    The rate of short calls is the same with and without long ones; the long
    calls are additional, so that 95 of 100 slots are in use.
    """
    shape = SHAPES[options.variant or 'cedarline']
    rate = RATE_PER_TARGET * shape.targets
    result = ScenarioResult(settings={'shape': shape.name, 'rate': rate})
    layout = shape.layout(SHORT_MS)
    with running_deployment(layout) as deployment:
        arms = blocking_arms(deployment, shape)
        steps = interleaved(tuple(arms), rate, options.seconds, TURN_S, PAUSE_S)
        faster = tuple(with_long_rate(step) for step in steps)
        load = run_load(Plan(options.seed, arms, faster))
    result.add(load)
    for balancer in BALANCERS:
        result.facts.update(ratios(load, balancer))
    return result


def blocking_arms(deployment: LocalDeployment, shape: Shape) -> dict[str, Arm]:
    """Return two arms for each balancer, without and with long calls."""
    short = CallKind('short', shape.path, work_ms=SHORT_MS)
    long = CallKind(
        'long', shape.path, work_ms=LONG_MS, weight=LONG_WEIGHT, limit_ms=10000
    )
    arms = {}
    for balancer in BALANCERS:
        arms[f'{balancer}, {ALONE}'] = arm_of(
            deployment, shape, balancer, (short,)
        )
        arms[f'{balancer}, {MIXED}'] = arm_of(
            deployment, shape, balancer, (short, long)
        )
    return arms


def with_long_rate(step: Step) -> Step:
    """Return the step, with a higher rate if its arm includes long calls."""
    if not step.label.endswith(MIXED):
        return step
    return msgspec.structs.replace(step, rate=step.rate * (1 + LONG_WEIGHT))


def ratios(load: MergedLoadResult, balancer: Balancer) -> dict[str, float]:
    """Return the latency of short calls with long ones divided by without."""
    alone = load.row(f'{balancer}, {ALONE}', 'short')
    mixed = load.row(f'{balancer}, {MIXED}', 'short')
    return {
        f'{balancer}, {name}, with long over alone': read(mixed) / read(alone)
        for name, read in (('p50', _p50), ('p99', _p99), ('p99.9', _p999))
    }


def _p50(row: Row) -> float:
    return row.p50_ms


def _p99(row: Row) -> float:
    return row.p99_ms


def _p999(row: Row) -> float:
    return row.p999_ms
