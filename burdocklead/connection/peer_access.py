"""What a process needs to reach the system's other processes."""

from __future__ import annotations

from dataclasses import dataclass

from burdocklead.connection.cluster_key import ClusterKey, load_cluster_key
from burdocklead.connection.tls import TlsFiles, load_tls
from burdocklead.settings import ControlSettings, DaemonSettings


@dataclass(frozen=True, slots=True)
class PeerAccess:
    """The key and the TLS files of one process.

    Attributes:
        key: Cluster key.
        tls: TLS files, None if TLS is off.
    """

    key: ClusterKey
    tls: TlsFiles | None = None


def load_peer_access(settings: ControlSettings | DaemonSettings) -> PeerAccess:
    """Return the access that the settings name.

    Raises:
        SettingsError: If a file can't be used.
    """
    return PeerAccess(
        load_cluster_key(settings.cluster_key_file),
        load_tls(
            settings.tls_certificate, settings.tls_key, settings.tls_authority
        ),
    )
