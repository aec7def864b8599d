"""A read shows an older configuration after the loss of a single disk."""

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand_ins_2'))

from deployment import (  # noqa: E402
    BROKEN, HELD, NOT_RUN, Deployment, configuration, route, run_case,
    trouble_wanted,
)

WIPED, BEHIND, HOLDER = 1, 2, 3  # Core machines.
ROUNDS = 3  # The second freeze may come too late in a round.
FREEZE_S = 4.0
SEND_AT_S = 3.3  # Of the first freeze.
DOWN_S = 3.0
LONG_FREEZE_S = 7.5
APPLY_S = 2.0  # configApplyMs.
JOIN_LIMIT_S = 12.0
AFTER_S = 5.0
CHANGE_AFTER_S = 2.5  # Once all machines run again.


async def read_version(deployment, core):
    """Return the version that a core machine answers, None without one."""
    code, body = await asyncio.to_thread(
        deployment.operate, 'config.get', None, None, core
    )
    if code != 200:
        return None
    version = json.loads(body)['version']
    deployment.record.write(f'operator: core {core} answers version {version}')
    return version


async def wait_taken_in(deployment, name, mark):
    """Wait until a core machine logs that it is in the replica set."""
    path = deployment.folder / f'{name}.log'
    until = time.monotonic() + JOIN_LIMIT_S
    while time.monotonic() < until:
        if b'"message":"replica set"' in path.read_bytes()[mark:]:
            lines = path.read_bytes()[mark:].decode().splitlines()
            if any(
                '"message":"replica set"' in line and '"epoch":1,' not in line
                for line in lines
            ):
                return True
        await asyncio.sleep(0.003)
    return False


async def play(deployment):
    """Play one round; return its exit code."""
    record = deployment.record
    trouble = trouble_wanted()
    deployment.start_core()
    first = configuration(1, {'r': route('beta')}, ['alpha', 'beta'])
    if not await asyncio.to_thread(deployment.apply, first, 0):
        return NOT_RUN
    await asyncio.sleep(3)
    frozen_at = time.monotonic()
    if trouble:
        deployment.send_signal(f'core-{BEHIND}', signal.SIGSTOP)
    await asyncio.sleep(SEND_AT_S)
    second = configuration(2, {'r': route('alpha')}, ['alpha', 'beta'])
    status, _ = await asyncio.to_thread(
        deployment.operate, 'config.replace', second, 1, WIPED, 3
    )
    if status != 200:
        return NOT_RUN
    acknowledged_at = time.monotonic()
    record.write('version 2 is acknowledged')
    if trouble:
        name = f'core-{WIPED}'
        process = deployment.processes[name]
        process.kill()
        process.wait()
        shutil.rmtree(deployment.folder / f'data-{name}')
        record.write(f'platform: {name} is killed and loses its disk')
        deployment.bootstrap = False
        await asyncio.sleep(max(frozen_at + FREEZE_S - time.monotonic(), 0))
        deployment.send_signal(f'core-{BEHIND}', signal.SIGCONT)
        await asyncio.sleep(
            max(acknowledged_at + DOWN_S - time.monotonic(), 0)
        )
        mark = (deployment.folder / f'{name}.log').stat().st_size
        deployment.start(name, 'control', WIPED)
        if not await wait_taken_in(deployment, name, mark):
            return NOT_RUN
        deployment.send_signal(f'core-{HOLDER}', signal.SIGSTOP)
    else:
        await asyncio.sleep(DOWN_S)
    stopped_at = time.monotonic()
    thaws_at = stopped_at + LONG_FREEZE_S
    code = HELD
    thawed = not trouble
    changed = 0
    while time.monotonic() < thaws_at + AFTER_S:
        if not thawed and time.monotonic() > thaws_at:
            deployment.send_signal(f'core-{HOLDER}', signal.SIGCONT)
            thawed = True
        cores = [WIPED, BEHIND, *([HOLDER] if changed else [])]
        for core in cores:
            asked_at = time.monotonic()
            version = await read_version(deployment, core)
            late = asked_at > acknowledged_at + APPLY_S
            if version == 1 and late:
                if code == HELD:
                    record.write(
                        f'BROKEN: core {core} answers an older version, asked '
                        f'{asked_at - acknowledged_at:.1f} s after the '
                        'acknowledgement'
                    )
                code = BROKEN
        since_thaw = time.monotonic() - thaws_at
        if code == BROKEN and not changed and since_thaw > CHANGE_AFTER_S:
            # Another operator, who builds on the version that was answered.
            third = configuration(3, {'r': route('beta')}, ['alpha', 'beta'])
            changed, _ = await asyncio.to_thread(
                deployment.operate, 'config.replace', third, 1, BEHIND
            )
            if changed == 200:
                record.write(
                    'BROKEN: versions 2 and 3 are acknowledged on top of '
                    'version 1, and version 2 is lost'
                )
        await asyncio.sleep(0.3)
    return code


async def case(deployment):
    record = deployment.record
    code = NOT_RUN
    for one in range(ROUNDS):
        record.write(f'round {one + 1}')
        if one:
            deployment = Deployment(record)
        try:
            result = await play(deployment)
        finally:
            deployment.close()
        record.write(f'round {one + 1}: {result}')
        code = result if code == NOT_RUN or result == BROKEN else code
        if result == BROKEN or not trouble_wanted():
            break
    return code


run_case(FOLDER, case)
