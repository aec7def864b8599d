"""Cost of measuring upstream load: messages, bytes and CPU time."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from pathlib import Path

import requests

from burdocklead.metrics import MEASURING_BYTES, MEASURING_MESSAGES, Metric
from devtools.bench.control_plane import apply_configuration
from devtools.bench.load_pool import run_load
from devtools.bench.plan import CallKind, Plan, Step
from devtools.bench.scenario import (
    CpuMeter,
    Layout,
    Options,
    ScenarioResult,
    running_deployment,
)
from devtools.bench.shapes import LIMIT_MS, SHAPES, Balancer, Shape, arm_of
from devtools.local_deployment import HTTP_TIMEOUT_S, LocalDeployment
from devtools.processes import ManagedProcess

ROUNDS = 3
RATES_PER_TARGET = (2, 60)
WORK_MS = 50
BUDGET_LINE = 'messages_per_second = 20'
BUDGETS = (0, 20, 200)


@dataclass(slots=True)
class BudgetSamples:
    """Samples of one budget and rate, one per round.

    Attributes:
        cpu_share: Share of a core that one daemon used.
        messages: Messages per second of one daemon.
        bytes_s: Bytes per second of one daemon.
    """

    cpu_share: list[float] = field(default_factory=list)
    messages: list[float] = field(default_factory=list)
    bytes_s: list[float] = field(default_factory=list)


def run_measuring(options: Options) -> ScenarioResult:
    """Compare budgets of 0, 20 and 200 messages per second in rounds.

    Every answer carries the load of its upstream, so a daemon with many calls
    needs no probes; each budget is measured at a low and a high rate.
    """
    shape = SHAPES[options.variant or 'cedarline']
    result = ScenarioResult(settings={'shape': shape.name})
    samples_by_label: dict[str, BudgetSamples] = {}
    layout = Layout({shape.service: shape.targets}, controls=1)
    with running_deployment(layout) as deployment:
        for number, budget in enumerate(BUDGETS * ROUNDS):
            apply_budget(deployment, layout.file, number + 2, budget)
            for step in budget_steps(shape, budget, options.seconds):
                samples = samples_by_label.setdefault(
                    step.label, BudgetSamples()
                )
                run_budget_step(options, deployment, shape, step, samples)
    for label, samples in samples_by_label.items():
        result.facts.update(median_facts(label, samples))
    return result


def budget_steps(shape: Shape, budget: int, seconds: float) -> list[Step]:
    """Return a step at each rate.

    ``seconds`` is the duration of all steps of the scenario.
    """
    step_s = seconds / (ROUNDS * len(BUDGETS) * len(RATES_PER_TARGET))
    return [
        Step(
            f'budget {budget}, {rate} calls a s and target',
            Balancer.product,
            step_s,
            rate * shape.targets,
        )
        for rate in RATES_PER_TARGET
    ]


def apply_budget(
    deployment: LocalDeployment, source: Path, version: int, budget: int
) -> None:
    """Apply a version with a budget in messages per second and wait for it."""
    apply_configuration(deployment, configuration_text(source, version, budget))
    deployment.wait_in_force(version)


def configuration_text(source: Path, version: int, budget: int) -> str:
    """Return a file's text with another version and measuring budget."""
    text = source.read_text().replace('version = 1', f'version = {version}', 1)
    if BUDGET_LINE not in text:
        raise ValueError(f'no line {BUDGET_LINE!r}')
    return text.replace(BUDGET_LINE, f'messages_per_second = {budget}')


def run_budget_step(
    options: Options,
    deployment: LocalDeployment,
    shape: Shape,
    step: Step,
    samples: BudgetSamples,
) -> None:
    """Send the calls of one step and record the cost of measuring."""
    kind = CallKind('call', shape.path, work_ms=WORK_MS, limit_ms=LIMIT_MS)
    arms = {step.arm: arm_of(deployment, shape, Balancer.product, (kind,))}
    before = measuring_totals(deployment)
    meter = CpuMeter(deployment.daemons)
    run_load(Plan(options.seed, arms, (step,)))
    cpu_s = meter.cpu_s_above_idle()
    messages, bytes_sent = measuring_totals(deployment)
    daemon_seconds = step.seconds * len(deployment.daemons)
    samples.cpu_share.append(cpu_s / daemon_seconds)
    samples.messages.append((messages - before[0]) / daemon_seconds)
    samples.bytes_s.append((bytes_sent - before[1]) / daemon_seconds)


def measuring_totals(deployment: LocalDeployment) -> tuple[float, float]:
    """Return the measuring messages and bytes of all daemons so far."""
    texts = [fetch_metrics(one) for one in deployment.daemons.values()]
    return (
        sum(counter_total(text, MEASURING_MESSAGES) for text in texts),
        sum(counter_total(text, MEASURING_BYTES) for text in texts),
    )


def fetch_metrics(process: ManagedProcess) -> str:
    """Return the metrics of a process in the text format."""
    url = f'http://{process.addresses["admin"]}/metrics'
    return requests.get(url, timeout=HTTP_TIMEOUT_S).text


def counter_total(text: str, metric: Metric) -> float:
    """Return the sum of a counter over all label values."""
    lines = [line for line in text.splitlines() if line.startswith(metric.name)]
    return sum(float(line.split()[-1]) for line in lines)


def median_facts(label: str, samples: BudgetSamples) -> dict[str, float]:
    """Return the medians over the rounds of one budget and rate."""
    return {
        f'{label}: messages a s': statistics.median(samples.messages),
        f'{label}: bytes a s': statistics.median(samples.bytes_s),
        f'{label}: share of a core': statistics.median(samples.cpu_share),
    }
