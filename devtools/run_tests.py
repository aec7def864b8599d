"""Runs the feature files with behave in parallel and prints the totals.

Features that measure memory run one at a time, after all others. Failures of
scenarios in ``KNOWN-RED.txt`` are printed but not counted.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

from devtools.processes import source_root, use_repository_sources

KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'
SCENARIO_PREFIX = 'scenario: '
DEFAULT_JOBS = 4
SERIAL_FOLDER = 'tests/memory'


class Scenario(msgspec.Struct, frozen=True):
    """A scenario in behave's report."""

    name: str
    type: str
    location: str
    status: str = 'untested'


class Feature(msgspec.Struct, frozen=True):
    """A feature in behave's report."""

    name: str
    elements: tuple[Scenario, ...] = ()


@dataclass(frozen=True, slots=True)
class ScenarioGroups:
    """Scenarios by result."""

    passed: tuple[Scenario, ...]
    failed: tuple[Scenario, ...]
    known_failures: tuple[Scenario, ...]


def known_failure_names() -> frozenset[str]:
    """Return the names of the scenarios that are expected to fail."""
    path = source_root() / KNOWN_FAILURES_FILE
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(SCENARIO_PREFIX).strip()
        for line in lines
        if line.startswith(SCENARIO_PREFIX)
    )


def group_scenarios(scenarios: Sequence[Scenario]) -> ScenarioGroups:
    """Group scenarios by result; any status but ``passed`` is a failure."""
    known_names = known_failure_names()
    failed = [one for one in scenarios if one.status != 'passed']
    return ScenarioGroups(
        tuple(one for one in scenarios if one.status == 'passed'),
        tuple(one for one in failed if one.name not in known_names),
        tuple(one for one in failed if one.name in known_names),
    )


def _scenarios_in(features: Sequence[Feature]) -> Iterator[Scenario]:
    for feature in features:
        for element in feature.elements:
            if element.type == 'scenario':
                yield element


def feature_files(paths: Sequence[str]) -> list[Path]:
    """Return the feature files at or below the paths, sorted by path."""
    files: set[Path] = set()
    for path in map(Path, paths):
        files.update(path.rglob('*.feature') if path.is_dir() else [path])
    return sorted(files)


def run_features(files: Sequence[Path], jobs: int) -> list[Scenario]:
    """Run feature files in parallel, then those that have to run alone."""
    serial_folder = (source_root() / SERIAL_FOLDER).resolve()
    alone = [path for path in files if serial_folder in path.resolve().parents]
    together = [path for path in files if path not in alone]
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(run_feature, together))
    results.extend(map(run_feature, alone))
    return [one for result in results for one in result]


def run_feature(path: Path) -> list[Scenario]:
    """Run a feature file and return its scenarios; print failing output."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = ['-m', 'behave', '--format', 'json', '--outfile', str(report)]
        plain_options = ['--format', 'plain', '--no-color', str(path)]
        completed = subprocess.run(
            [sys.executable, *command, *plain_options],
            cwd=source_root(),
            check=False,
            capture_output=True,
            text=True,
        )
        if completed.returncode:
            sys.stdout.write(completed.stdout + completed.stderr)
        if not report.exists():
            return [Scenario(str(path), 'scenario', str(path), 'not run')]
        content = report.read_bytes()
    features = msgspec.json.decode(content, type=tuple[Feature, ...])
    return list(_scenarios_in(features))


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('paths', nargs='*', default=['tests'])
    parser.add_argument('--jobs', type=int, default=DEFAULT_JOBS)
    flags = parser.parse_args()
    use_repository_sources()
    scenarios = run_features(feature_files(flags.paths), flags.jobs)
    groups = group_scenarios(scenarios)
    for scenario in groups.failed:
        print(f'failed: {scenario.location} {scenario.name}')
    for known in groups.known_failures:
        print(f'known red: {known.location} {known.name}')
    print(f'{len(groups.passed)} passed, {len(groups.failed)} failed')
    return 0 if groups.passed and not groups.failed else 1


if __name__ == '__main__':
    sys.exit(main())
