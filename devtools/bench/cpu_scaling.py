"""CPU time per call as a function of rate and body size."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from devtools.bench.histograms import fit_line
from devtools.bench.latency import (
    ANSWER_BYTES,
    MS_PER_S,
    SERVICE,
    idle_cpu_shares,
    latency_arms,
)
from devtools.bench.load_pool import run_load
from devtools.bench.plan import Arm, Plan, Step
from devtools.bench.scenario import (
    CALLS_PER_S,
    CpuMeter,
    Layout,
    Options,
    ScenarioResult,
    running_deployment,
)
from devtools.local_deployment import LocalDeployment

RATES = (100, 250, CALLS_PER_S)
BODY_BYTES = (0, 10_000, 100_000)
BODY_RATE = 100
PRODUCT_ARMS = ('local', 'link')
WARM_UP_S = 1
NO_PREFIX = ''
BYTES_PER_KB = 1000


def run_cpu_scaling(options: Options) -> ScenarioResult:
    """Measure CPU time per call over rate, then over body size."""
    result = ScenarioResult()
    counts = {SERVICE: 1, 'archive': 1}
    with running_deployment(Layout(counts, controls=1)) as deployment:
        deployment.set_behaviour(
            f'{SERVICE}-0', service_ms=0, answer_bytes=ANSWER_BYTES
        )
        idle_share = idle_cpu_shares({NO_PREFIX: deployment})[NO_PREFIX]
        meter = CpuPerCallMeter(options.seed, deployment, idle_share, result)
        seconds = options.seconds / len(PRODUCT_ARMS)
        for arm_name in PRODUCT_ARMS:
            measure_rates(meter, arm_name, seconds / 2)
            measure_body_sizes(meter, arm_name, seconds / 2)
    return result


def measure_rates(
    meter: CpuPerCallMeter, arm_name: str, seconds: float
) -> None:
    """Measure one arm at each rate."""
    for rate in RATES:
        label = f'{arm_name}, {rate} calls a s'
        meter.measure(Step(label, arm_name, seconds / len(RATES), rate), 0)


def measure_body_sizes(
    meter: CpuPerCallMeter, arm_name: str, seconds: float
) -> None:
    """Measure one arm at each body size."""
    points = []
    for size in BODY_BYTES:
        label = f'{arm_name}, {size} bytes'
        step = Step(label, arm_name, seconds / len(BODY_BYTES), BODY_RATE)
        points.append((size / BYTES_PER_KB, meter.measure(step, size)))
    name = f'{arm_name}, cpu ms per call and kB'
    meter.result.facts[name] = fit_line(points)[0]


@dataclass(frozen=True, slots=True)
class CpuPerCallMeter:
    """Measures the CPU time per call.

    Attributes:
        seed: Seed of all schedules.
        deployment: Deployment under test.
        idle_share: Share of a core that its daemons use while idle.
        result: Result to which the figures are added.
    """

    seed: int
    deployment: LocalDeployment
    idle_share: float
    result: ScenarioResult

    def measure(self, step: Step, body_bytes: int) -> float:
        """Return the CPU time per call in ms, summed over both daemons."""
        arms = {step.arm: self.arm_with_body(step.arm, body_bytes)}
        warm_up_step = msgspec.structs.replace(step, seconds=WARM_UP_S)
        run_load(Plan(self.seed, arms, (warm_up_step,)))
        meter = CpuMeter(self.deployment.daemons, self.idle_share)
        load = run_load(Plan(self.seed, arms, (step,)))
        self.result.add(load)
        calls = load.row(step.label).calls
        cpu_ms = meter.cpu_s_above_idle() * MS_PER_S / calls
        self.result.facts[f'{step.label}, cpu ms per call'] = cpu_ms
        return cpu_ms

    def arm_with_body(self, arm_name: str, body_bytes: int) -> Arm:
        """Return an arm whose calls have a body of the given size."""
        arm = latency_arms(self.deployment, '')[arm_name]
        kinds = tuple(
            msgspec.structs.replace(kind, body_bytes=body_bytes)
            for kind in arm.kinds
        )
        return msgspec.structs.replace(arm, kinds=kinds)
