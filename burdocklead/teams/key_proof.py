"""Proof that the API key of a call was checked, sent with its attempts."""

from __future__ import annotations

import msgspec


class KeyProof(msgspec.Struct, frozen=True, array_like=True):
    """Proof that a configuration version had the key of a call.

    Attributes:
        digest: Digest of the key.
        version: The configuration version.
    """

    digest: bytes
    version: int
