"""Credentials with which a process authenticates to other processes."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from burdocklead.connection.cluster_key import ClusterKey, load_cluster_key
from burdocklead.connection.tls import TlsFiles, load_tls
from burdocklead.exceptions import SettingsError
from burdocklead.settings import DaemonSettings, ProcessSettings


@dataclass(frozen=True, slots=True)
class PeerCredentials:
    """Cluster key and TLS files of one process.

    Attributes:
        key: Cluster key.
        tls: TLS files, None if TLS is off.
    """

    key: ClusterKey
    tls: TlsFiles | None = None


def load_peer_credentials(settings: ProcessSettings) -> PeerCredentials:
    """Load the credentials named in the settings.

    Raises:
        SettingsError: If a file can't be used.
    """
    return PeerCredentials(
        load_cluster_key(settings.cluster_key_file),
        load_tls(
            settings.tls_certificate, settings.tls_key, settings.tls_authority
        ),
    )


def caller_tls(
    settings: DaemonSettings, credentials: PeerCredentials
) -> ssl.SSLContext | None:
    """Return the TLS context of the callers' listener, None for plain HTTP.

    Raises:
        SettingsError: If TLS is enabled and its files are not set.
    """
    if settings.caller_tls == 'off':
        return None
    if credentials.tls is None:
        reason = 'TLS for callers requires the TLS files to be set'
        raise SettingsError(reason, step='tls')
    return credentials.tls.server_context(verify_peer=False)
