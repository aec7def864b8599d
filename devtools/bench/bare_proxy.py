"""A minimal HTTP proxy on the same library, the lower bound of proxy cost.

It forwards each call to one upstream and does nothing else: no routing, no
admission control, no outcome header, no metrics.
"""

from __future__ import annotations

import argparse
import asyncio
import signal

import uvloop
from aiohttp import ClientSession, TCPConnector, web
from yarl import URL

from burdocklead.options import FilePath, SocketAddress
from burdocklead.process.admin_http import start_site
from burdocklead.process.lifecycle import write_ready_file

LISTEN = '127.0.0.1:0'


async def run_proxy(flags: argparse.Namespace) -> None:
    """Forward calls until SIGTERM."""
    async with ClientSession(connector=TCPConnector(limit=0)) as session:

        async def forward(request: web.Request) -> web.Response:
            url = URL(f'http://{flags.upstream}{request.raw_path}')
            body = await request.read() or None
            async with session.request(
                request.method, url, data=body
            ) as answer:
                return web.Response(
                    body=await answer.read(), status=answer.status
                )

        application = web.Application()
        application.router.add_route('*', '/{path:.*}', forward)
        listen = SocketAddress().parse(LISTEN)
        runner, own_address = await start_site(application, listen)
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        write_ready_file(flags.ready_file, {'http': str(own_address)})
        await stop.wait()
        await runner.cleanup()


def main() -> None:
    """Run a proxy for one upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--upstream', required=True)
    parser.add_argument('--ready-file', type=FilePath().parse)
    uvloop.run(run_proxy(parser.parse_args()))


if __name__ == '__main__':
    main()
