"""Description of the machine and resource usage of processes, from /proc."""

from __future__ import annotations

import os
import subprocess
from collections.abc import Iterable
from pathlib import Path

import msgspec

from devtools.processes import source_root

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
BYTES_PER_MIB = 1048576
NS_PER_S = 1_000_000_000


class Machine(msgspec.Struct, frozen=True):
    """The machine of a run, without host names and paths.

    Attributes:
        cores: Cores that the run may use.
        model: CPU model.
        load_average: One-minute load average.
    """

    cores: int
    model: str
    load_average: float


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of a process since its start.

    Attributes:
        cpu_s: CPU time in s.
        memory_mib: Resident memory in MiB.
        threads: Number of threads.
        wakeups: Voluntary context switches of all threads.
    """

    cpu_s: float
    memory_mib: float
    threads: int
    wakeups: int


def describe_machine() -> Machine:
    """Return the machine with its current load average."""
    models = [
        line.partition(':')[2].strip()
        for line in Path('/proc/cpuinfo').read_text().splitlines()
        if line.startswith('model name')
    ]
    return Machine(
        len(os.sched_getaffinity(0)), models[0], round(os.getloadavg()[0], 2)
    )


def revision() -> str:
    """Return the git revision, marked as dirty if the sources differ."""
    described = subprocess.run(
        ['git', 'describe', '--always', '--dirty', '--abbrev=10'],
        cwd=source_root(),
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or 'unknown'


def usage_of(pid: int) -> Usage:
    """Return the resource usage of a process so far."""
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    resident = int((folder / 'statm').read_text().split()[1])
    tasks = list((folder / 'task').iterdir())
    return Usage(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        memory_mib=resident * PAGE_BYTES / BYTES_PER_MIB,
        threads=len(tasks),
        wakeups=sum(map(_voluntary_switches, tasks)),
    )


def _voluntary_switches(task: Path) -> int:
    for line in (task / 'status').read_text().splitlines():
        if line.startswith('voluntary_ctxt_switches'):
            return int(line.split()[1])
    return 0


def cpu_of_pids(pids: Iterable[int]) -> float:
    """Return the total CPU time of processes in s, with ns resolution."""
    return sum(map(_cpu_ns_of_threads, pids)) / NS_PER_S


def _cpu_ns_of_threads(pid: int) -> int:
    tasks = (Path('/proc') / str(pid) / 'task').iterdir()
    return sum(
        int((task / 'schedstat').read_text().split()[0]) for task in tasks
    )
