"""Ends processes that use more memory than their machine has."""

from __future__ import annotations

import asyncio
from pathlib import Path

RESTART_S = 0.5
BYTES_PER_MB = 1000000


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    text = Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    return 0


async def enforce_memory(deployment, number, service, ends, peaks):
    """Kill a process above its memory and start it again, as the platform."""
    name = f'sidecar-{number}'
    limit = deployment.site.memory_mb * BYTES_PER_MB
    while True:
        await asyncio.sleep(0.02)
        used = resident_bytes(deployment.processes[name].pid)
        peaks[number] = max(peaks.get(number, 0), used)
        if used <= limit:
            continue
        deployment.record.write(f'{name} uses {used} bytes, more than {limit}')
        deployment.kill(name)
        ends[number] = ends.get(number, 0) + 1
        await asyncio.sleep(RESTART_S)
        deployment.start_daemon(number, service)
