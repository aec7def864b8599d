"""Options, results and deployments that the scenarios share."""

from __future__ import annotations

import contextlib
import subprocess
import tempfile
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from devtools.bench.histograms import Row
from devtools.bench.load_pool import MergedLoadResult
from devtools.bench.machine import Usage, usage_of
from devtools.local_deployment import LocalDeployment
from devtools.processes import ManagedProcess, source_root

CALLS_PER_S = 373
TARGET_ADDED_P99_MS = 0.83
EXAMPLE = 'cedarline.toml'
ARCHIVE_COST_LINE = 'cost_ms = 20'
Settings = dict[str, float | str]


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a run.

    Attributes:
        seed: Seed of all schedules.
        seconds: Duration of load in s, divided among the parts of a scenario.
        profile_folder: Folder for CPU profiles, None to disable profiling.
        variant: Variant of a scenario, empty for its default.
        baseline: Revision to compare with, empty for none.
    """

    seed: int
    seconds: float
    profile_folder: Path | None = None
    variant: str = ''
    baseline: str = ''


@dataclass(slots=True)
class ScenarioResult:
    """Result of a scenario."""

    settings: Settings = field(default_factory=dict)
    rows: list[Row] = field(default_factory=list)
    facts: dict[str, float] = field(default_factory=dict)
    cpu_shares: list[float] = field(default_factory=list)

    def add(self, load: MergedLoadResult) -> None:
        """Add the results of one run of the load processes."""
        self.rows.extend(load.rows)
        self.cpu_shares.extend(load.cpu_shares)


@dataclass(frozen=True, slots=True)
class Layout:
    """Components of a deployment.

    Attributes:
        counts: Number of upstreams by service.
        slots: Slots of each upstream.
        controls: Number of control replicas.
        daemon_program: Program of each daemon.
        sources: Checkout that daemons and replicas run from, None for this
            one.
        file: Configuration file.
        cost_ms: Service time declared for the archive route in ms, None to
            leave the file as it is.
    """

    counts: Mapping[str, int]
    slots: int = 20
    controls: int = 3
    daemon_program: str = 'daemon'
    sources: Path | None = None
    file: Path = source_root() / 'examples' / EXAMPLE
    cost_ms: float | None = None


@contextlib.contextmanager
def running_deployment(layout: Layout) -> Iterator[LocalDeployment]:
    """Run a deployment with its configuration in force."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = LocalDeployment(
            Path(folder),
            daemon_program=layout.daemon_program,
            sources=layout.sources,
        )
        try:
            start(deployment, layout)
            yield deployment
        finally:
            stop(deployment, layout)


def stop(deployment: LocalDeployment, layout: Layout) -> None:
    """Stop all processes.

    Profiled daemons are stopped one at a time first, so that each can write
    its profile.
    """
    if layout.daemon_program != 'daemon':
        for daemon in deployment.daemons.values():
            daemon.stop()
    deployment.stop()


def start(deployment: LocalDeployment, layout: Layout) -> None:
    """Start all processes and wait until the configuration is in force."""
    deployment.start_controls(layout.controls)
    deployment.start_daemons_with_upstreams(layout.counts, layout.slots)
    deployment.apply(configuration_file(layout, deployment.folder))
    deployment.wait_in_force(1)


def configuration_file(layout: Layout, folder: Path) -> Path:
    """Return the configuration file, a copy if the layout sets a cost."""
    if layout.cost_ms is None:
        return layout.file
    text = layout.file.read_text()
    if ARCHIVE_COST_LINE not in text:
        raise ValueError(f'no line {ARCHIVE_COST_LINE!r}')
    path = folder / 'bench.toml'
    path.write_text(
        text.replace(ARCHIVE_COST_LINE, f'cost_ms = {layout.cost_ms}')
    )
    return path


@contextlib.contextmanager
def unpacked_revision(name: str) -> Iterator[Path]:
    """Unpack a revision of the repository into a temporary folder."""
    archive = subprocess.run(
        ['git', 'archive', name],
        cwd=source_root(),
        check=True,
        capture_output=True,
    )
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            ['tar', '-x', '-C', folder], input=archive.stdout, check=True
        )
        yield Path(folder)


def pid_of(process: ManagedProcess) -> int:
    """Return the id of a running process."""
    if process.popen is None:
        raise RuntimeError(f'{process.name} is not running')
    return process.popen.pid


def usage(process: ManagedProcess) -> Usage:
    """Return the resource usage of a running process so far."""
    return usage_of(pid_of(process))


def cpu_of(processes: Mapping[str, ManagedProcess]) -> float:
    """Return the total CPU time of processes so far in s."""
    return sum(usage(process).cpu_s for process in processes.values())


class CpuMeter:
    """Measures the CPU time of processes beyond their idle use."""

    def __init__(
        self, processes: Mapping[str, ManagedProcess], idle_share: float = 0
    ) -> None:
        """Start measuring.

        Args:
            processes: Running processes by name.
            idle_share: Share of a core that they use together while idle.
        """
        self.processes = processes
        self.idle_share = idle_share
        self.started = time.monotonic()
        self.before = cpu_of(processes)

    def cpu_s_above_idle(self) -> float:
        """Return the CPU time since the start without idle use, in s."""
        elapsed = time.monotonic() - self.started
        return cpu_of(self.processes) - self.before - self.idle_share * elapsed
