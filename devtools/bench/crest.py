"""Goodput and tail latency at and after the crest of a swing."""

from __future__ import annotations

from devtools.bench.load_pool import run_load
from devtools.bench.plan import CallKind, Plan, Step
from devtools.bench.scene import Findings, Layout, Options, running_deployment
from devtools.bench.shapes import (
    LIMIT_MS,
    MS_PER_S,
    SHAPES,
    SLOTS,
    WORK_MS,
    Shape,
    Way,
    arm_of,
)

FACTORS = (0.5, 1, 1.5, 2, 3)
RECOVERY = 0.5
WAYS = (Way.round_robin, Way.product)
PAUSE_S = 2
LOAD_PROCESSES = 2


def crest_steps(
    way: Way, saturation: float, seconds: float
) -> tuple[Step, ...]:
    """Return a swing up through the factors and the time after it.

    Args:
        way: The way that gets the swing.
        saturation: Calls a second that fill all slots.
        seconds: Time of the whole swing in s.
    """
    turn_s = seconds / (len(FACTORS) + 1)
    up = tuple(
        Step(f'{way}, {factor}x', way, turn_s, factor * saturation)
        for factor in FACTORS
    )
    after = Step(f'{way}, after', way, turn_s, RECOVERY * saturation)
    pause = Step('', way, PAUSE_S, 0)
    return (*up, after, pause)


def both_swings(saturation: float, seconds: float) -> tuple[Step, ...]:
    """Return the swing of each way, one after the other."""
    steps: list[Step] = []
    for way in WAYS:
        steps.extend(crest_steps(way, saturation, seconds))
    return tuple(steps)


def run_crest(options: Options) -> Findings:
    """Compare a swing through the product with one through round robin."""
    shape = SHAPES[options.variant or 'garantiewerk']
    saturation = shape.targets * SLOTS * MS_PER_S / WORK_MS
    findings = Findings(
        settings={'shape': shape.name, 'saturation': saturation}
    )
    layout = Layout({shape.service: shape.targets}, SLOTS, controls=1)
    kinds = (CallKind('call', shape.path, work_ms=WORK_MS, limit_ms=LIMIT_MS),)
    with running_deployment(layout) as deployment:
        arms = {
            way.value: arm_of(deployment, shape, way, kinds) for way in WAYS
        }
        steps = both_swings(saturation, options.seconds / len(WAYS))
        plan = Plan(options.seed, arms, steps)
        findings.add(run_load(plan, LOAD_PROCESSES))
    add_goodput(findings, shape, saturation, options.seconds / len(WAYS))
    return findings


def add_goodput(
    findings: Findings, shape: Shape, saturation: float, seconds: float
) -> None:
    """Add the goodput of each step as a share of saturation."""
    turn_s = seconds / (len(FACTORS) + 1)
    for row in findings.rows:
        if row.label.endswith(('x', 'after')):
            goodput = row.good / turn_s / saturation
            name = f'{shape.name}, {row.label}, goodput over saturation'
            findings.facts[name] = goodput
