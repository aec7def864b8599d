"""Measures what teams and routes of a configuration cost in one process."""

from __future__ import annotations

import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import msgspec

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.sealing import seal_reply
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.teams.key_index import KeyIndex
from burdocklead.version.configuration_file import (
    decode_deployment,
    digest_of,
    encode_deployment,
)
from burdocklead.version.deployment import Deployment, HostRoute, Service, Team
from burdocklead.version.route_table import RouteTable

TEAMS = 82
KEYS_PER_TEAM = 2
KEY_BYTES = 24
WORD_BYTES = 4
ROUTES = 1400
SERVICES = 74
RUNS = 30
LOOKUPS = 20000
MS_PER_S = 1000
NS_PER_S = 1000000000
LINK_BITS_PER_S = 4650000
BITS_PER_BYTE = 8


def _word(rng: random.Random) -> str:
    """Return a random name, which compresses worse than real ones."""
    return rng.randbytes(WORD_BYTES).hex()


def example_deployment(rng: random.Random) -> Deployment:
    """Return a configuration with the numbers above."""
    services = {f'service-{number}': Service() for number in range(SERVICES)}
    routes = {
        f'route-{_word(rng)}': HostRoute(
            host=f'host-{number % SERVICES}.example',
            path_prefix=f'/v1/{_word(rng)}/{_word(rng)}/',
            idempotent=bool(number % 2),
            timeout_ms=3491,
            objective_ms=582,
            max_attempts=3,
            service=f'service-{number % SERVICES}',
            anonymous=False,
        )
        for number in range(ROUTES)
    }
    teams = {
        f'team-{_word(rng)}': Team(
            keys=tuple(
                rng.randbytes(KEY_BYTES).hex() for _ in range(KEYS_PER_TEAM)
            ),
            rank=1,
            rate=2.5,
            burst=10,
        )
        for number in range(TEAMS)
    }
    return Deployment(
        version=7, services=services, host_routes=routes, teams=teams
    )


def median_s(run: Callable[[], object]) -> float:
    """Return the median time of a function in s."""
    times = []
    for _ in range(RUNS):
        started = time.perf_counter()
        run()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


def index_bytes(deployment: Deployment) -> int:
    """Return the memory in bytes that an index takes."""
    tracemalloc.start()
    index = KeyIndex(deployment)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken if index.owners else 0


def format_times(deployment: Deployment, text: bytes) -> str:
    """Return the times to put a version in force."""
    decode_ms = median_s(partial(decode_deployment, text)) * MS_PER_S
    table_ms = median_s(partial(RouteTable, deployment)) * MS_PER_S
    index_ms = median_s(partial(KeyIndex, deployment)) * MS_PER_S
    return (
        f'decode and check the file: {decode_ms:.2f} ms\n'
        f'build the route table: {table_ms:.2f} ms\n'
        f'build the key index: {index_ms:.2f} ms, '
        f'{index_bytes(deployment)} bytes'
    )


def format_lookups(deployment: Deployment, rng: random.Random) -> str:
    """Return the times to look up keys."""
    index = KeyIndex(deployment)
    known = [key for team in deployment.teams.values() for key in team.keys]
    tried = rng.choices(known, k=LOOKUPS)
    unknown = [f'{key}x' for key in tried]
    known_ns, unknown_ns = (
        median_s(partial(_look_up, index, keys)) / LOOKUPS * NS_PER_S
        for keys in (tried, unknown)
    )
    return (
        f'look up a known key: {known_ns:.0f} ns\n'
        f'look up an unknown key: {unknown_ns:.0f} ns'
    )


def _look_up(index: KeyIndex, keys: list[str]) -> None:
    for key in keys:
        index.find_owner(key)


def format_sizes(text: bytes) -> str:
    """Return the sizes of the file and of the message that carries it."""
    message = msgspec.msgpack.encode(AcceptedFile(7, digest_of(text), text))
    sealed = seal_reply(ClusterKey(b''), b'', message)
    link_ms = len(sealed) * BITS_PER_BYTE / LINK_BITS_PER_S * MS_PER_S
    return (
        f'file: {len(text)} bytes; in a reply to a heartbeat, compressed: '
        f'{len(sealed)} bytes, {link_ms:.0f} ms of a 4.65 Mbit/s link'
    )


def measure() -> str:
    """Return the measurements as lines of text."""
    rng = random.Random(5)
    deployment = example_deployment(rng)
    text = encode_deployment(deployment)
    return '\n'.join(
        (
            f'{TEAMS} teams, {KEYS_PER_TEAM} keys each, {ROUTES} routes',
            format_times(deployment, text),
            format_lookups(deployment, rng),
            format_sizes(text),
        )
    )


if __name__ == '__main__':
    sys.stdout.write(f'{measure()}\n')
