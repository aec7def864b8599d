"""Key and certificates of one daemon, from its settings."""

from __future__ import annotations

import ssl

from burdocklead.connection.cluster_key import load_cluster_key
from burdocklead.connection.frames import Hello
from burdocklead.connection.handshake import LinkIdentity
from burdocklead.connection.tls import (
    choose_tls_files,
    make_client_context,
    make_server_context,
)
from burdocklead.exceptions import SettingsError
from burdocklead.settings import DaemonSettings


def link_identity(settings: DaemonSettings, incarnation: int) -> LinkIdentity:
    """Return who a daemon is on its links.

    Raises:
        SettingsError: If the key or a TLS file can't be used.
    """
    key = load_cluster_key(settings.cluster_key_file)
    hello = Hello(settings.daemon_id, incarnation)
    files = choose_tls_files(
        settings.link_certificate,
        settings.link_private_key,
        settings.link_authority,
    )
    if files is None:
        return LinkIdentity(hello, key)
    if files.authority is None:
        reason = 'TLS of links needs an authority'
        raise SettingsError(reason, step='tls')
    return LinkIdentity(
        hello, key, make_client_context(files), make_server_context(files)
    )


def caller_tls(settings: DaemonSettings) -> ssl.SSLContext | None:
    """Return the TLS settings of the callers' interface, None for plain HTTP.

    Raises:
        SettingsError: If a TLS file can't be used.
    """
    files = choose_tls_files(
        settings.caller_certificate, settings.caller_private_key
    )
    return make_server_context(files) if files else None
