"""Key and certificates of one daemon, from its settings."""

from __future__ import annotations

import ssl

from burdocklead.connection.frames import Hello
from burdocklead.connection.handshake import LinkIdentity
from burdocklead.connection.peer_access import PeerAccess
from burdocklead.connection.tls import load_caller_tls
from burdocklead.settings import DaemonSettings


def link_identity(
    settings: DaemonSettings, incarnation: int, access: PeerAccess
) -> LinkIdentity:
    """Return who a daemon is on its links."""
    hello = Hello(settings.daemon_id, incarnation)
    if access.tls is None:
        return LinkIdentity(hello, access.key)
    return LinkIdentity(
        hello,
        access.key,
        access.tls.client_context(),
        access.tls.server_context(verify_peer=True),
    )


def caller_tls(settings: DaemonSettings) -> ssl.SSLContext | None:
    """Return the TLS settings of the callers' interface, None for plain HTTP.

    Raises:
        SettingsError: If a TLS file can't be used.
    """
    return load_caller_tls(
        settings.caller_certificate, settings.caller_private_key
    )
