"""The first frames of a link that this daemon opens."""

from __future__ import annotations

import asyncio

from burdocklead.connection.frame_protocol import FrameProtocol, LinkEnd
from burdocklead.connection.frames import Hello, Welcome
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.exceptions import LinkError

STEP = 'connect'


class ClientHandshake:
    """Proves both ends of a link to each other before it is used.

    Attributes:
        identity: Who this daemon is.
        daemon_id: Daemon that is meant.
    """

    def __init__(self, identity: LinkIdentity, daemon_id: str) -> None:
        """Prepare to greet a daemon; needs a running loop."""
        self.identity = identity
        self.daemon_id = daemon_id
        self.welcome: asyncio.Future[Welcome] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self, protocol: FrameProtocol) -> int:
        """Return the incarnation of the daemon reached.

        Raises:
            LinkError: If it is another daemon or lacks the cluster key.
        """
        hello = self.identity.hello_to(self.daemon_id)
        protocol.send(hello, urgent=True)
        welcome = await self.welcome
        self._check(hello, welcome)
        proof = self.identity.prove(hello, welcome)
        protocol.send(proof, urgent=True)
        return welcome.incarnation

    def receive(self, welcome: Welcome) -> None:
        """Take the reply of the daemon reached."""
        if not self.welcome.done():
            self.welcome.set_result(welcome)

    def fail(self, end: LinkEnd) -> None:
        """Give up; the connection ended."""
        if not self.welcome.done():
            self.welcome.set_exception(
                LinkError(end.value, step=STEP, peer=self.daemon_id)
            )

    def _check(self, hello: Hello, welcome: Welcome) -> None:
        reason = ''
        if not self.identity.verify_welcome(hello, welcome):
            reason = 'the peer does not hold the cluster key'
        elif welcome.daemon_id != self.daemon_id:
            reason = f'the address belongs to {welcome.daemon_id}'
        if reason:
            raise LinkError(reason, step=STEP, peer=self.daemon_id)
