"""TLS contexts of all listeners and links, loaded from three files."""

from __future__ import annotations

import datetime
import ssl
from dataclasses import dataclass
from pathlib import Path

import pynng

from burdocklead.exceptions import SettingsError

STEP = 'tls'
PEER_NAME = 'burdocklead'


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files with the certificate and key of a process.

    The certificate must contain the DNS name ``burdocklead``, which the
    processes of a deployment verify, and the IP addresses of the listeners,
    which operators and clients connect to.

    Attributes:
        certificate: Certificate chain of this process.
        key: Private key of the certificate.
        authority: CA certificates that sign those of all processes.
    """

    certificate: Path
    key: Path
    authority: Path

    def server_context(self, *, verify_peer: bool) -> ssl.SSLContext:
        """Return the context of a listener.

        Args:
            verify_peer: True to require a client certificate.
        """
        context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=self.authority
        )
        context.load_cert_chain(self.certificate, self.key)
        if verify_peer:
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def client_context(self) -> ssl.SSLContext:
        """Return the context of a link, which presents the certificate."""
        context = ssl.create_default_context(cafile=self.authority)
        context.load_cert_chain(self.certificate, self.key)
        return context

    def control_server_config(self) -> pynng.TLSConfig:
        """Return the TLS configuration of a control listener."""
        return self._control_config(pynng.TLSConfig.MODE_SERVER, None)

    def control_client_config(self) -> pynng.TLSConfig:
        """Return the TLS configuration of a control client."""
        return self._control_config(pynng.TLSConfig.MODE_CLIENT, PEER_NAME)

    def _control_config(
        self, mode: int, server_name: str | None
    ) -> pynng.TLSConfig:
        return pynng.TLSConfig(
            mode,
            server_name=server_name,
            own_cert_string=self.certificate.read_text(),
            own_key_string=self.key.read_text(),
            ca_string=self.authority.read_text(),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )


def load_tls(
    certificate: Path | None, key: Path | None, authority: Path | None
) -> TlsFiles | None:
    """Return the TLS files after validating them, None if none is set.

    Raises:
        SettingsError: If only some are set, or a file is invalid.
    """
    paths = (certificate, key, authority)
    if not any(paths):
        return None
    if certificate is None or key is None or authority is None:
        reason = 'certificate, key and authority must be set together'
        raise SettingsError(reason, step=STEP)
    _check_dates(certificate)
    _check_dates(authority)
    files = TlsFiles(certificate, key, authority)
    try:
        files.server_context(verify_peer=True)
    except (OSError, ValueError) as error:
        raise SettingsError(
            f'cannot be used: {error}', step=STEP, peer=str(key)
        ) from error
    return files


def _check_dates(path: Path) -> None:
    # Imported only if TLS is used: the module takes 8 MiB of resident memory.
    from cryptography import x509  # noqa: WPS433

    try:
        certificates = x509.load_pem_x509_certificates(path.read_bytes())
    except (OSError, ValueError) as error:
        reason = f'is not a valid certificate: {error}'
        raise SettingsError(reason, step=STEP, peer=str(path)) from error
    now = datetime.datetime.now(datetime.UTC)
    for cert in certificates:
        if cert.not_valid_after_utc <= now:
            reason = f'expired on {cert.not_valid_after_utc:%Y-%m-%d}'
            raise SettingsError(reason, step=STEP, peer=str(path))
        if cert.not_valid_before_utc > now:
            reason = f'is not valid before {cert.not_valid_before_utc:%Y-%m-%d}'
            raise SettingsError(reason, step=STEP, peer=str(path))
