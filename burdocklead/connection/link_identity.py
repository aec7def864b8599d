"""Identity of a daemon on its links, and mutual authentication."""

from __future__ import annotations

import ssl
from dataclasses import dataclass, field

import msgspec

from burdocklead.clock import HybridClock
from burdocklead.connection.cluster_key import new_nonce
from burdocklead.connection.frames import Hello, Proof, Welcome
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.memory.budget import BudgetLimits, MemoryBudget
from burdocklead.settings import DaemonSettings

SERVER_ROLE = b'welcome'
CLIENT_ROLE = b'proof'


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity and credentials of this daemon on its links.

    Attributes:
        hello: ID and incarnation of this daemon.
        credentials: Cluster key and TLS files.
        clock: Hybrid clock for the timestamps of frames.
        budget: Memory for large frames.
    """

    hello: Hello
    credentials: PeerCredentials
    clock: HybridClock
    budget: MemoryBudget = field(default_factory=MemoryBudget)

    def client_tls(self) -> ssl.SSLContext | None:
        """Return the TLS context for opening links, None for plain TCP."""
        tls = self.credentials.tls
        return tls.client_context() if tls else None

    def server_tls(self) -> ssl.SSLContext | None:
        """Return the TLS context for accepting links, None for plain TCP."""
        tls = self.credentials.tls
        return tls.server_context(verify_peer=True) if tls else None

    def hello_to(self, wanted_id: str) -> Hello:
        """Return the first frame of a link to another daemon."""
        return msgspec.structs.replace(
            self.hello, nonce=new_nonce(), wanted_id=wanted_id
        )

    def welcome(self, hello: Hello) -> Welcome:
        """Return the reply to the first frame of another daemon."""
        unproven = Welcome(
            self.hello.daemon_id, self.hello.incarnation, new_nonce(), b''
        )
        proof = self.credentials.key.prove(
            SERVER_ROLE, *_transcript(hello, unproven)
        )
        return msgspec.structs.replace(unproven, proof=proof)

    def verify_welcome(self, hello: Hello, welcome: Welcome) -> bool:
        """Return True if the welcome proves the cluster key."""
        return self.credentials.key.verify(
            welcome.proof, SERVER_ROLE, *_transcript(hello, welcome)
        )

    def prove(self, hello: Hello, welcome: Welcome) -> Proof:
        """Return the third frame of a link, with the proof of the key."""
        return Proof(
            self.credentials.key.prove(
                CLIENT_ROLE, *_transcript(hello, welcome)
            )
        )

    def verify_proof(
        self, hello: Hello, welcome: Welcome, proof: Proof
    ) -> bool:
        """Return True if the third frame proves the cluster key."""
        return self.credentials.key.verify(
            proof.proof, CLIENT_ROLE, *_transcript(hello, welcome)
        )


def create_identity(
    settings: DaemonSettings,
    incarnation: int,
    credentials: PeerCredentials,
    clock: HybridClock,
) -> LinkIdentity:
    """Return the identity of a daemon with these settings."""
    budget = MemoryBudget(BudgetLimits(settings.memory_budget))
    hello = Hello(settings.daemon_id, incarnation)
    return LinkIdentity(hello, credentials, clock, budget)


def _transcript(hello: Hello, welcome: Welcome) -> list[bytes]:
    return [
        hello.nonce,
        welcome.nonce,
        hello.daemon_id.encode(),
        str(hello.incarnation).encode(),
        hello.wanted_id.encode(),
        welcome.daemon_id.encode(),
        str(welcome.incarnation).encode(),
    ]
