"""Authentication of control messages with the cluster key.

A sealed request consists of a nonce, a proof (HMAC) of nonce and payload, and
the payload. A sealed reply consists of a proof of the request's nonce and the
reply's payload, and the payload, so that it can't be replayed for another
request. Sealing doesn't encrypt. Long payloads are compressed, since member
lists and configurations repeat the same names.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from burdocklead.connection.cluster_key import (
    NONCE_BYTES,
    PROOF_BYTES,
    ClusterKey,
    new_nonce,
)
from burdocklead.exceptions import ControlError

REQUEST = b'request'
REPLY = b'reply'
REQUEST_OVERHEAD = NONCE_BYTES + PROOF_BYTES
MIN_COMPRESSED_BYTES = 400  # Shorter messages fit into one packet anyway.
# Level 6 saves 5 % on a large file but takes 1.7 times as long.
COMPRESSION_LEVEL = 1
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
PLAIN = b'\x00'
COMPRESSED = b'\x01'


@dataclass(frozen=True, slots=True)
class SealedRequest:
    """A request to send.

    Attributes:
        nonce: Random bytes that bind the reply to this request.
        content: Bytes to send.
    """

    nonce: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class OpenedRequest:
    """A received request with a valid proof.

    Attributes:
        nonce: Random bytes that bind the reply to this request.
        payload: Encoded message.
    """

    nonce: bytes
    payload: bytes


def seal_request(key: ClusterKey, payload: bytes) -> SealedRequest:
    """Return a sealed request with a payload and a new nonce."""
    nonce = new_nonce()
    packed = _pack(payload)
    proof = key.prove(REQUEST, nonce, packed)
    return SealedRequest(nonce, nonce + proof + packed)


def open_request(key: ClusterKey, content: bytes) -> OpenedRequest:
    """Verify a sealed request and return its payload.

    Raises:
        ControlError: If the request doesn't prove the cluster key, or if its
            payload can't be decompressed.
    """
    nonce = content[:NONCE_BYTES]
    proof = content[NONCE_BYTES:REQUEST_OVERHEAD]
    packed = content[REQUEST_OVERHEAD:]
    if not key.verify(proof, REQUEST, nonce, packed):
        raise ControlError('cluster key not proved', step='open request')
    return OpenedRequest(nonce, _unpack(packed, 'open request'))


def seal_reply(key: ClusterKey, nonce: bytes, payload: bytes) -> bytes:
    """Return a sealed reply with a payload to the request with a nonce."""
    packed = _pack(payload)
    return key.prove(REPLY, nonce, packed) + packed


def open_reply(key: ClusterKey, nonce: bytes, content: bytes) -> bytes:
    """Verify a sealed reply to a request and return its payload.

    Raises:
        ControlError: If the reply doesn't prove the cluster key for this
            request, or if its payload can't be decompressed.
    """
    proof = content[:PROOF_BYTES]
    packed = content[PROOF_BYTES:]
    if not key.verify(proof, REPLY, nonce, packed):
        raise ControlError('cluster key not proved', step='open reply')
    return _unpack(packed, 'open reply')


def _pack(payload: bytes) -> bytes:
    if len(payload) < MIN_COMPRESSED_BYTES:
        return PLAIN + payload
    return COMPRESSED + zlib.compress(payload, COMPRESSION_LEVEL)


def _unpack(packed: bytes, step: str) -> bytes:
    if not packed.startswith(COMPRESSED):
        return packed[len(PLAIN) :]
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(packed[1:], MAX_PAYLOAD_BYTES)
    except zlib.error as error:
        raise ControlError(str(error), step=step) from None
    if not decompressor.eof:
        raise ControlError('payload is too large or cut', step=step)
    return payload
