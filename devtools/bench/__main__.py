"""Command line of the benchmarks."""

from __future__ import annotations

import argparse
import os
import pstats
import sys
import time
from collections.abc import Callable
from pathlib import Path

from devtools.bench.blocking import run_head_of_line
from devtools.bench.control_plane import (
    run_claims,
    run_restart,
    run_rollout,
)
from devtools.bench.cpu_scaling import run_cpu_scaling
from devtools.bench.idle_cost import run_idle_cost
from devtools.bench.latency import run_latency
from devtools.bench.machine import describe_machine, revision
from devtools.bench.measuring import run_measuring
from devtools.bench.overload import run_overload
from devtools.bench.plots import write_plot
from devtools.bench.profiled_daemon import PROFILE_VARIABLE
from devtools.bench.report import BenchResult, table, write_result
from devtools.bench.scenario import Options, ScenarioResult
from devtools.bench.tail import run_tail
from devtools.processes import source_root, use_repository_sources

RESULT_FOLDER = source_root() / 'bench-results'
PROFILE_LINES = 45
MAX_SECONDS = 600

SCENARIOS: dict[str, Callable[[Options], ScenarioResult]] = {
    'latency': run_latency,
    'tail': run_tail,
    'crest': run_overload,
    'blocking': run_head_of_line,
    'measuring': run_measuring,
    'resting': run_idle_cost,
    'growth': run_cpu_scaling,
    'spreading': run_rollout,
    'restarting': run_restart,
    'claims': run_claims,
}


def parse_flags() -> argparse.Namespace:
    """Parse the command-line flags."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scenario', choices=SCENARIOS, default='latency')
    parser.add_argument('--variant', default='')
    parser.add_argument('--baseline', default='', help='git revision')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--plot', action='store_true')
    return parser.parse_args()


def run_scenario(flags: argparse.Namespace, options: Options) -> BenchResult:
    """Run a scenario and return its result."""
    machine = describe_machine()
    scenario_result = SCENARIOS[flags.scenario](options)
    return BenchResult(
        scenario=flags.scenario,
        revision=revision(),
        seed=options.seed,
        seconds=options.seconds,
        machine=machine,
        load_average_after=describe_machine().load_average,
        settings=scenario_result.settings,
        rows=scenario_result.rows,
        facts=scenario_result.facts,
        load_cpu_shares=scenario_result.cpu_shares,
    )


def print_profile(folder: Path) -> None:
    """Print the functions in which the profiled daemons spent most time."""
    for path in sorted(folder.glob('*.prof')):
        statistics = pstats.Stats(str(path), stream=sys.stdout)
        statistics.sort_stats('tottime').print_stats(PROFILE_LINES)


def main() -> int:
    """Run one scenario, write its result to a file and return the exit code."""
    flags = parse_flags()
    use_repository_sources()
    profile_folder = None
    if flags.profile:
        profile_folder = RESULT_FOLDER / f'profile-{time.time_ns()}'
        profile_folder.mkdir(parents=True)
        os.environ[PROFILE_VARIABLE] = str(profile_folder)
    seconds = min(flags.seconds, MAX_SECONDS)
    options = Options(
        flags.seed, seconds, profile_folder, flags.variant, flags.baseline
    )
    result = run_scenario(flags, options)
    print(table(result))
    path = write_result(result, RESULT_FOLDER)
    print(f'written to {path.relative_to(source_root())}')
    if flags.plot:
        image = write_plot(result, path)
        print(f'plotted to {image.relative_to(source_root())}')
    if profile_folder is not None:
        print_profile(profile_folder)
    return 0


if __name__ == '__main__':
    sys.exit(main())
