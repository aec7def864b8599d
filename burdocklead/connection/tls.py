"""TLS of links and of the callers' interface, from files."""

from __future__ import annotations

import contextlib
import ssl
from dataclasses import dataclass
from pathlib import Path

from burdocklead.exceptions import SettingsError

STEP = 'tls'
HANDSHAKE_TURNS = 6


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """The files of one certificate.

    Attributes:
        certificate: Certificate chain (PEM).
        private_key: Its private key (PEM).
        authority: Authority that signed it and its peers' certificates;
            None if peers are not asked for a certificate.
    """

    certificate: Path
    private_key: Path
    authority: Path | None = None


def choose_tls_files(
    certificate: Path | None,
    private_key: Path | None,
    authority: Path | None = None,
) -> TlsFiles | None:
    """Return the files, None if no file is set.

    Raises:
        SettingsError: If only some of the files are set.
    """
    if certificate and private_key:
        return TlsFiles(certificate, private_key, authority)
    if certificate or private_key or authority:
        reason = 'certificate and private key must both be set'
        raise SettingsError(reason, step=STEP)
    return None


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS settings of a listener.

    Raises:
        SettingsError: If a file can't be used or its certificate is not
            valid now.
    """
    context = _load(files, ssl.PROTOCOL_TLS_SERVER)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    _check_valid(context, files)
    return context


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS settings of links that this daemon opens.

    Peers are known by the proof of the cluster key and not by a host name,
    since they are reached by IP numbers.

    Raises:
        SettingsError: If a file can't be used.
    """
    return _load(files, ssl.PROTOCOL_TLS_CLIENT)


def _load(files: TlsFiles, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    peer = files.certificate
    try:
        context.load_cert_chain(files.certificate, files.private_key)
        if files.authority is not None:
            peer = files.authority
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(peer)) from error
    return context


def _check_valid(server: ssl.SSLContext, files: TlsFiles) -> None:
    """Let the certificate prove itself in a handshake in memory."""
    client = _load(files, ssl.PROTOCOL_TLS_CLIENT)
    if files.authority is None:
        client.load_verify_locations(files.certificate)
        client.verify_flags |= ssl.VerifyFlags.VERIFY_X509_PARTIAL_CHAIN
    try:
        _shake_hands(server, client)
    except ssl.SSLError as error:
        reason = getattr(error, 'verify_message', '') or str(error)
        raise SettingsError(
            reason, step=STEP, peer=str(files.certificate)
        ) from error


def _shake_hands(server: ssl.SSLContext, client: ssl.SSLContext) -> None:
    to_server = ssl.MemoryBIO()
    to_client = ssl.MemoryBIO()
    ends = [
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    for _ in range(HANDSHAKE_TURNS):
        for end in ends:
            with contextlib.suppress(ssl.SSLWantReadError):
                end.do_handshake()
