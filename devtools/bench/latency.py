"""Latency that the product adds to a call, compared with a direct call."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator, Mapping

from devtools.bench.load_pool import MergedLoadResult, run_load
from devtools.bench.plan import Arm, CallKind, Plan, interleaved
from devtools.bench.quiet import QUIET_LABEL
from devtools.bench.scenario import (
    CALLS_PER_S,
    TARGET_ADDED_P99_MS,
    CpuMeter,
    Layout,
    Options,
    ScenarioResult,
    cpu_of,
    pid_of,
    running_deployment,
    unpacked_revision,
)
from devtools.local_deployment import LocalDeployment
from devtools.processes import ManagedProcess

TURN_S = 0.25
WARM_UP_S = 2
IDLE_S = 3
MS_PER_S = 1000
ANSWER_BYTES = 500
SERVICE = 'job-sheets'
REMOTE_SERVICE = 'archive'
PRODUCT_ARMS = ('local', 'link')
CALL_PATH = f'/{SERVICE}/sheets/17'
BASELINE_PREFIX = 'old '
BARE_PROXY = 'bare-proxy'


def latency_arms(deployment: LocalDeployment, prefix: str) -> dict[str, Arm]:
    """Return arms to one upstream: direct, through its daemon, over a link."""
    upstream = deployment.upstreams[f'{SERVICE}-0'].addresses['http']
    local_daemon = deployment.daemons[f'{SERVICE}-0'].addresses['http']
    remote_daemon = deployment.daemons[f'{REMOTE_SERVICE}-0'].addresses['http']
    direct = CallKind('view-sheet', '/sheets/17')
    proxied_kinds = (CallKind('view-sheet', CALL_PATH),)
    pids = tuple(pid_of(one) for one in deployment.daemons.values())
    return {
        f'{prefix}straight': Arm((upstream,), (direct,)),
        f'{prefix}local': Arm((local_daemon,), proxied_kinds, pids=pids),
        f'{prefix}link': Arm((remote_daemon,), proxied_kinds, pids=pids),
    }


def run_latency(options: Options) -> ScenarioResult:
    """Compare a direct call, one through the local daemon and one over a link.

    With a baseline revision, the arms of its daemons are interleaved with
    those of the current sources.
    """
    result = ScenarioResult(
        settings={
            'rate': CALLS_PER_S,
            'slice_s': TURN_S,
            'baseline': options.baseline,
        },
        facts={'target added p99 ms': TARGET_ADDED_P99_MS},
    )
    program = 'profiled-daemon' if options.profile_folder else 'daemon'
    layout = Layout(
        {SERVICE: 1, REMOTE_SERVICE: 1}, controls=1, daemon_program=program
    )
    with contextlib.ExitStack() as stack:
        deployments = {'': stack.enter_context(running_deployment(layout))}
        if options.baseline:
            sources = stack.enter_context(unpacked_revision(options.baseline))
            baseline_layout = Layout(layout.counts, controls=1, sources=sources)
            deployments[BASELINE_PREFIX] = stack.enter_context(
                running_deployment(baseline_layout)
            )
        proxy = stack.enter_context(bare_proxy(deployments['']))
        compare(options, deployments, proxy, result)
    return result


@contextlib.contextmanager
def bare_proxy(deployment: LocalDeployment) -> Iterator[ManagedProcess]:
    """Run a minimal proxy for the upstream."""
    upstream = deployment.upstreams[f'{SERVICE}-0'].addresses['http']
    arguments = ('--upstream', upstream)
    proxy = ManagedProcess(
        BARE_PROXY, 'bare-proxy', arguments, deployment.folder
    )
    proxy.start()
    try:
        proxy.wait_ready()
        yield proxy
    finally:
        proxy.stop()


def compare(
    options: Options,
    deployments: Mapping[str, LocalDeployment],
    proxy: ManagedProcess,
    result: ScenarioResult,
) -> None:
    """Interleave the calls of all arms and add their figures to the result."""
    arms = all_arms(deployments, proxy)
    warm_up_steps = interleaved(tuple(arms), CALLS_PER_S, WARM_UP_S, TURN_S)
    run_load(Plan(options.seed, arms, warm_up_steps))
    idle_shares = idle_cpu_shares(deployments)
    steps = interleaved(tuple(arms), CALLS_PER_S, options.seconds, TURN_S)
    meters = {
        prefix: CpuMeter(deployment.daemons, idle_shares[prefix])
        for prefix, deployment in deployments.items()
    }
    proxy_meter = CpuMeter({BARE_PROXY: proxy})
    load = run_load(Plan(options.seed, arms, steps))
    result.add(load)
    result.facts[f'{BARE_PROXY} cpu ms per call'] = (
        proxy_meter.cpu_s_above_idle() * MS_PER_S / load.row(BARE_PROXY).calls
    )
    for prefix, meter in meters.items():
        result.facts[f'{prefix}rest, share of a core'] = idle_shares[prefix]
        result.facts.update(
            deployment_facts(load, prefix, meter.cpu_s_above_idle())
        )


def all_arms(
    deployments: Mapping[str, LocalDeployment], proxy: ManagedProcess
) -> dict[str, Arm]:
    """Return the arms of all deployments and of the bare proxy."""
    arms: dict[str, Arm] = {}
    for prefix, deployment in deployments.items():
        deployment.set_behaviour(
            f'{SERVICE}-0', service_ms=0, answer_bytes=ANSWER_BYTES
        )
        arms.update(latency_arms(deployment, prefix))
    kinds = (CallKind('view-sheet', '/sheets/17'),)
    arms[BARE_PROXY] = Arm(
        (proxy.addresses['http'],), kinds, pids=(pid_of(proxy),)
    )
    return arms


def idle_cpu_shares(
    deployments: Mapping[str, LocalDeployment],
) -> dict[str, float]:
    """Return the share of a core that idle daemons use, by label prefix."""
    before = {name: cpu_of(one.daemons) for name, one in deployments.items()}
    time.sleep(IDLE_S)
    return {
        name: (cpu_of(one.daemons) - before[name]) / IDLE_S
        for name, one in deployments.items()
    }


def deployment_facts(
    load: MergedLoadResult, prefix: str, cpu_s: float
) -> dict[str, float]:
    """Return the scalar results of one deployment.

    Args:
        load: Report of the load processes.
        prefix: Label prefix of the deployment.
        cpu_s: CPU time of its daemons in s, without their idle use.
    """
    calls = sum(
        load.row(f'{prefix}{arm_name}').calls for arm_name in PRODUCT_ARMS
    )
    name = f'{prefix}daemons cpu ms per call, local and link'
    return {
        name: cpu_s * MS_PER_S / calls,
        **added_latencies(load, prefix, ''),
        **added_latencies(load, prefix, QUIET_LABEL),
    }


def added_latencies(
    load: MergedLoadResult, prefix: str, suffix: str
) -> dict[str, float]:
    """Return the latency that each arm adds to a direct call in ms."""
    facts: dict[str, float] = {}
    if not load.has_row(f'{prefix}straight{suffix}'):
        return facts
    direct = load.row(f'{prefix}straight{suffix}')
    arm_names = PRODUCT_ARMS if prefix else (*PRODUCT_ARMS, BARE_PROXY)
    for arm_name in arm_names:
        label = f'{prefix}{arm_name}{suffix}'
        if load.has_row(label):
            row = load.row(label)
            facts[f'{label} added p50 ms'] = row.p50_ms - direct.p50_ms
            facts[f'{label} added p99 ms'] = row.p99_ms - direct.p99_ms
    return facts
