"""Shared key with which the processes of a deployment authenticate."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from pathlib import Path

from burdocklead.exceptions import SettingsError

MIN_KEY_BYTES = 16
NONCE_BYTES = 16
PROOF_BYTES = hashlib.sha256().digest_size


@dataclass(frozen=True, slots=True)
class ClusterKey:
    """Secret shared by all processes of one deployment.

    Attributes:
        secret: The key, empty if the deployment has none.
    """

    secret: bytes

    def prove(self, *parts: bytes) -> bytes:
        """Return the HMAC of the parts, each prefixed with its length."""
        code = hmac.new(self.secret, digestmod=hashlib.sha256)
        for part in parts:
            code.update(len(part).to_bytes(8, 'big'))
            code.update(part)
        return code.digest()

    def verify(self, proof: bytes, *parts: bytes) -> bool:
        """Return True if the proof matches the parts, in constant time."""
        return hmac.compare_digest(proof, self.prove(*parts))


def new_nonce() -> bytes:
    """Return random bytes for a single use."""
    return secrets.token_bytes(NONCE_BYTES)


def load_cluster_key(path: Path | None) -> ClusterKey:
    """Return the key stored in a file, an empty key if there is no file.

    Raises:
        SettingsError: If the file can't be read or the key is too short.
    """
    if path is None:
        return ClusterKey(b'')
    step = 'cluster key'
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(str(error), step=step, peer=str(path)) from error
    if len(secret) < MIN_KEY_BYTES:
        reason = f'must hold at least {MIN_KEY_BYTES} bytes'
        raise SettingsError(reason, step=step, peer=str(path))
    return ClusterKey(secret)
