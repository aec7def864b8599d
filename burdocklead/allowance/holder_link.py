"""Requests of a daemon to the lease holder, wherever it is."""

from __future__ import annotations

from burdocklead.allowance.messages import GrantReply, GrantRequest
from burdocklead.connection.control_client import (
    ControlClient,
    FailoverControlClient,
)
from burdocklead.exceptions import ControlError

# A lost request is given up early, as fallback starts soon after.
REQUEST_TIMEOUT_S = 0.5
STEP = 'grants'


class HolderLink:
    """Sends requests to the lease holder and searches for it.

    It has its own connection, because a request that times out closes its
    connection, which heartbeats need.

    Attributes:
        control: Clients of all control replicas.
        client: Connection to the replica in use, None before the first.
        index: Number of the replica that is asked next.
    """

    def __init__(self, control: FailoverControlClient) -> None:
        """Start without a connection."""
        self.control = control
        self.client: ControlClient | None = None
        self.index = control.preferred

    @property
    def name(self) -> str:
        """Return the ID of the replica in use, empty without one."""
        return self.client.name if self.client else ''

    async def request(self, message: GrantRequest) -> GrantReply:
        """Return the reply of the lease holder.

        Raises:
            ControlError: If the replica in use did not answer or is not the
                lease holder; the next request goes to another replica.
        """
        client = self._current()
        try:
            reply = await client.request(message, REQUEST_TIMEOUT_S)
        except ControlError:
            self._leave(client, '')
            raise
        if isinstance(reply, GrantReply) and reply.term:
            return reply
        holder = reply.holder if isinstance(reply, GrantReply) else ''
        self._leave(client, holder)
        raise ControlError(
            'is not the lease holder', step=STEP, peer=client.name
        )

    def close(self) -> None:
        """Close the connection."""
        if self.client is not None:
            self.client.close()
            self.client = None

    def _current(self) -> ControlClient:
        if self.client is None:
            clients = self.control.clients
            replica = clients[self.index % len(clients)]
            self.client = ControlClient(
                replica.name, replica.address, self.control.credentials
            )
        return self.client

    def _leave(self, client: ControlClient, holder: str) -> None:
        """Use the named replica next, or the following one without a name."""
        if client is not self.client:
            return
        self.close()
        names = [one.name for one in self.control.clients]
        if holder in names and holder != client.name:
            self.index = names.index(holder)
        else:
            self.index = (self.index + 1) % len(names)
