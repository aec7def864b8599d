"""Simulates many members in one process that sends their heartbeats."""

from __future__ import annotations

import argparse
import asyncio
import time

import uvloop

from burdocklead.clock import HybridClock
from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    Cursor,
    Heartbeat,
    HeartbeatReply,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.options import SocketAddress
from burdocklead.values import Address, Member

INTERVAL_S = 0.5
REPLY_TIMEOUT_S = 5
UNUSED_ADDRESS = Address('127.0.0.1', 9)


def make_client(address: str) -> ControlClient:
    """Return a client of the replica at IP:PORT, without a cluster key."""
    parsed = SocketAddress().parse(address)
    return ControlClient('control', parsed, PeerCredentials(ClusterKey(b'')))


async def send_heartbeats(
    client: ControlClient, number: int, interval_s: float
) -> None:
    """Send the heartbeats of one member, as a daemon does, until cancelled."""
    clock = HybridClock()
    cursor = Cursor()
    member = Member(
        daemon_id=f'stand-in-{number}',
        incarnation=time.time_ns(),
        revision=0,
        zone='vancouver',
        link=UNUSED_ADDRESS,
        http=UNUSED_ADDRESS,
        service='survey',
        slots=20,
    )
    version = 0
    while True:
        message = Heartbeat(member, cursor, version, clock.issue())
        reply = await client.request(message, REPLY_TIMEOUT_S)
        if isinstance(reply, HeartbeatReply):
            cursor = reply.cursor
            version = reply.file.version if reply.file else version
        await asyncio.sleep(interval_s)


async def run_members(flags: argparse.Namespace) -> None:
    """Send the heartbeats of all members through one client.

    Their starts are spread evenly over the heartbeat interval.
    """
    client = make_client(flags.control)
    tasks = []
    for number in range(flags.count):
        tasks.append(
            asyncio.create_task(send_heartbeats(client, number, flags.interval))
        )
        await asyncio.sleep(flags.interval / flags.count)
    await asyncio.gather(*tasks)


def main() -> None:
    """Run the simulated members until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--control', required=True)
    parser.add_argument('--count', type=int, required=True)
    parser.add_argument('--interval', type=float, default=INTERVAL_S)
    uvloop.run(run_members(parser.parse_args()))


if __name__ == '__main__':
    main()
