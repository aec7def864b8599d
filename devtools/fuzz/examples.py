"""Runs Hypothesis tests with a seed and a number of examples."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from hypothesis import HealthCheck, Phase, given, seed, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

ExampleT = TypeVar('ExampleT')


def run_examples(
    check: Callable[[ExampleT], None],
    examples: strategies.SearchStrategy[ExampleT],
    seed_number: int,
    count: int,
    *,
    shrink: bool,
) -> None:
    """Check generated examples; raise AssertionError if one fails.

    Args:
        check: Raises AssertionError if an example violates an invariant.
        examples: Strategy that generates the examples.
        seed_number: Seed of the generator.
        count: Maximum number of examples.
        shrink: True to minimize a failing example.
    """
    run_settings = settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=_phases(shrink=shrink),
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    seed(seed_number)(run_settings(given(examples)(check)))()


def run_machine(
    machine: type[RuleBasedStateMachine],
    seed_number: int,
    count: int,
    steps: int,
    *,
    derandomize: bool,
    shrink: bool = True,
) -> None:
    """Run a state machine; raise AssertionError if an example fails.

    Args:
        machine: State machine to run.
        seed_number: Seed of the generator, ignored if derandomized.
        count: Maximum number of examples.
        steps: Maximum number of steps of an example.
        derandomize: True to generate the same examples on every run.
        shrink: True to minimize a failing example.
    """
    run_settings = settings(
        max_examples=count,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=derandomize,
        report_multiple_bugs=False,
        phases=_phases(shrink=shrink),
    )
    seeded = machine if derandomize else seed(seed_number)(machine)
    run_state_machine_as_test(seeded, settings=run_settings)


def _phases(*, shrink: bool) -> tuple[Phase, ...]:
    return (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
