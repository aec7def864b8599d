"""Handshake of a link that this daemon opens."""

from __future__ import annotations

import asyncio

from burdocklead.connection.frame_protocol import FrameProtocol, LinkEnd
from burdocklead.connection.frames import Hello, Welcome
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.exceptions import LinkError

STEP = 'connect'


class ClientHandshake:
    """Authenticates both ends of a link before it is used.

    Attributes:
        identity: Identity of this daemon.
        daemon_id: ID of the daemon to be reached.
        welcome: Future of the reply to the first frame.
    """

    def __init__(self, identity: LinkIdentity, daemon_id: str) -> None:
        """Initialize the handshake; requires a running event loop."""
        self.identity = identity
        self.daemon_id = daemon_id
        self.welcome: asyncio.Future[Welcome] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self, protocol: FrameProtocol) -> int:
        """Run the handshake and return the incarnation of the daemon.

        Raises:
            LinkError: If another daemon was reached, if it doesn't hold the
                cluster key, or if the connection ended.
        """
        hello = self.identity.hello_to(self.daemon_id)
        protocol.send(hello, urgent=True)
        welcome = await self.welcome
        self._check(hello, welcome)
        proof = self.identity.prove(hello, welcome)
        protocol.send(proof, urgent=True)
        return welcome.incarnation

    def receive(self, welcome: Welcome) -> None:
        """Receive the reply to the first frame."""
        if not self.welcome.done():
            self.welcome.set_result(welcome)

    def fail(self, end: LinkEnd) -> None:
        """Fail because the connection ended."""
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
