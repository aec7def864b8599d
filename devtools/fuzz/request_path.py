"""Fuzzes the request path against an oracle that counts executions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import assert_never

from hypothesis import strategies

from devtools.fuzz.examples import run_examples
from devtools.fuzz.request_network import FaultRates
from devtools.fuzz.request_simulation import Simulation, create_tracked_task
from devtools.fuzz.virtual_loop import VirtualLoop, run_virtually

DAEMONS = 3
KEYS = 2
MIN_STEPS = 15
MAX_STEPS = 50


@dataclass(frozen=True)
class SendCall:
    """A caller sends a call without an idempotency key."""

    entry: int
    idempotent: bool


@dataclass(frozen=True)
class SendKeyed:
    """A caller sends or repeats a call with an idempotency key."""

    entry: int
    key: int


@dataclass(frozen=True)
class CrashDaemon:
    """A daemon is killed."""

    daemon: int


@dataclass(frozen=True)
class RestartDaemon:
    """A killed daemon is restarted."""

    daemon: int


@dataclass(frozen=True)
class BounceDaemon:
    """A daemon is killed and restarted at once."""

    daemon: int


@dataclass(frozen=True)
class CrashUpstream:
    """An upstream is killed."""

    daemon: int


@dataclass(frozen=True)
class RestartUpstream:
    """A killed upstream is restarted."""

    daemon: int


@dataclass(frozen=True)
class SetDrain:
    """A daemon starts or stops draining."""

    daemon: int
    draining: bool


@dataclass(frozen=True)
class DropFrames:
    """Open links of a daemon start to drop frames."""

    daemon: int


@dataclass(frozen=True)
class SetClaimsDown:
    """The claim registers lose or regain their quorum."""

    down: bool


@dataclass(frozen=True)
class Wait:
    """Virtual time passes."""

    seconds: float


DaemonStep = (
    CrashDaemon
    | RestartDaemon
    | BounceDaemon
    | CrashUpstream
    | RestartUpstream
    | SetDrain
)
Step = SendCall | SendKeyed | DropFrames | SetClaimsDown | Wait | DaemonStep


@dataclass(frozen=True)
class Script:
    """An example of the fuzzer.

    Attributes:
        seed: Seed of the simulation.
        rates: Fault probabilities of the network.
        remembered_attempts: Attempts that a daemon remembers.
        steps: Steps in order.
    """

    seed: int
    rates: FaultRates
    remembered_attempts: int
    steps: tuple[Step, ...]


def script_strategy() -> strategies.SearchStrategy[Script]:
    """Return the strategy for scripts; some contain no faults."""
    daemon = strategies.integers(0, DAEMONS - 1)
    key = strategies.integers(0, KEYS - 1)
    step = strategies.one_of(
        strategies.builds(SendKeyed, daemon, key),
        strategies.builds(SendKeyed, daemon, key),
        strategies.builds(SendCall, daemon, strategies.booleans()),
        strategies.builds(SendCall, daemon, strategies.just(value=False)),
        strategies.builds(CrashDaemon, daemon),
        strategies.builds(RestartDaemon, daemon),
        strategies.builds(BounceDaemon, daemon),
        strategies.builds(CrashUpstream, daemon),
        strategies.builds(RestartUpstream, daemon),
        strategies.builds(SetDrain, daemon, strategies.booleans()),
        strategies.builds(DropFrames, daemon),
        strategies.builds(SetClaimsDown, strategies.booleans()),
        strategies.builds(
            Wait, strategies.sampled_from((0.002, 0.02, 0.2, 1.0, 4.0))
        ),
        strategies.builds(
            Wait, strategies.sampled_from((0.002, 0.005, 0.01, 0.1))
        ),
    )
    probability = strategies.sampled_from((0, 0.05, 0.2))
    seeds = strategies.integers(0, 2**32)
    faulty = strategies.builds(
        Script,
        seeds,
        strategies.builds(
            FaultRates, probability, probability, probability, probability
        ),
        strategies.sampled_from((2, 1000)),
        _step_tuples(step),
    )
    fault_free_step = strategies.one_of(
        strategies.builds(SendKeyed, daemon, key),
        strategies.builds(SendCall, daemon, strategies.booleans()),
        strategies.builds(Wait, strategies.sampled_from((0.002, 0.05, 0.5))),
    )
    fault_free = strategies.builds(
        Script,
        seeds,
        strategies.just(FaultRates()),
        strategies.just(1000),
        _step_tuples(fault_free_step),
    )
    return strategies.one_of(faulty, faulty, faulty, faulty, fault_free)


def _step_tuples(
    step: strategies.SearchStrategy[Step],
) -> strategies.SearchStrategy[tuple[Step, ...]]:
    steps = strategies.lists(step, min_size=MIN_STEPS, max_size=MAX_STEPS)
    return steps.map(tuple)


def run_script(script: Script) -> None:
    """Run a script; raise AssertionError if an invariant is violated."""

    async def run_steps(loop: VirtualLoop) -> None:
        loop.set_task_factory(create_tracked_task)
        simulation = Simulation(
            script.seed, script.rates, script.remembered_attempts, DAEMONS
        )
        loop.network = simulation.network
        for number, step in enumerate(script.steps):
            await run_step(simulation, step, number)
        await simulation.settle()
        simulation.oracle.check(simulation.non_idempotent)
        if is_fault_free(script):
            simulation.oracle.check_no_unknown_outcome()

    failures = run_virtually(run_steps)
    assert not failures, failures


def is_fault_free(script: Script) -> bool:
    """Return True if a script contains no faults."""
    fault_free_steps = (SendCall, SendKeyed, SetDrain, Wait)
    return script.rates == FaultRates() and all(
        isinstance(step, fault_free_steps) for step in script.steps
    )


async def run_step(simulation: Simulation, step: Step, number: int) -> None:
    """Run a step of a script."""
    match step:
        case SendCall(entry, idempotent):
            payload = b'plain-%d' % number
            simulation.call(entry, payload, idempotent=idempotent, keyed=False)
        case SendKeyed(entry, key):
            payload = b'keyed-%d' % key
            simulation.call(entry, payload, idempotent=False, keyed=True)
        case DropFrames(daemon):
            simulation.network.drop_frames(simulation.daemons[daemon])
        case SetClaimsDown(down):
            simulation.claims.down = down
        case Wait(seconds):
            await asyncio.sleep(seconds)
        case _:
            change_daemon(simulation, step)


def change_daemon(simulation: Simulation, step: DaemonStep) -> None:
    """Run a step that changes a daemon or its upstream."""
    match step:
        case CrashDaemon(daemon):
            simulation.crash_daemon(daemon)
        case RestartDaemon(daemon):
            simulation.restart_daemon(daemon)
        case BounceDaemon(daemon):
            simulation.crash_daemon(daemon)
            simulation.restart_daemon(daemon)
        case CrashUpstream(daemon):
            simulation.upstreams[daemon].crash()
        case RestartUpstream(daemon):
            simulation.upstreams[daemon].restart()
        case SetDrain(daemon, draining):
            simulation.drain(daemon, draining)
        case _:
            assert_never(step)


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_examples(run_script, script_strategy(), seed, count, shrink=shrink)
