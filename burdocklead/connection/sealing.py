"""Control messages sealed with the cluster key.

A request is a nonce, a proof over nonce and payload, and the payload. A reply
is a proof over the request's nonce and the reply's payload, then the payload,
so that it fits no other request.
"""

from __future__ import annotations

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


@dataclass(frozen=True, slots=True)
class SealedRequest:
    """A request as it travels.

    Attributes:
        nonce: Ties the reply to the request.
        content: Bytes to send.
    """

    nonce: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class OpenedRequest:
    """A request whose proof was right.

    Attributes:
        nonce: Ties the reply to the request.
        payload: Encoded message.
    """

    nonce: bytes
    payload: bytes


def seal_request(key: ClusterKey, payload: bytes) -> SealedRequest:
    """Return a payload sealed as a request with a new nonce."""
    nonce = new_nonce()
    proof = key.prove(REQUEST, nonce, payload)
    return SealedRequest(nonce, nonce + proof + payload)


def open_request(key: ClusterKey, content: bytes) -> OpenedRequest:
    """Return the payload of a request.

    Raises:
        ControlError: If the sender did not prove the cluster key.
    """
    nonce = content[:NONCE_BYTES]
    proof = content[NONCE_BYTES:REQUEST_OVERHEAD]
    payload = content[REQUEST_OVERHEAD:]
    if not key.verify(proof, REQUEST, nonce, payload):
        raise ControlError('cluster key not proved', step='open request')
    return OpenedRequest(nonce, payload)


def seal_reply(key: ClusterKey, nonce: bytes, payload: bytes) -> bytes:
    """Return a payload sealed as the reply to the request with the nonce."""
    return key.prove(REPLY, nonce, payload) + payload


def open_reply(key: ClusterKey, nonce: bytes, content: bytes) -> bytes:
    """Return the payload of the reply to the request with the nonce.

    Raises:
        ControlError: If the replica did not prove the cluster key.
    """
    proof = content[:PROOF_BYTES]
    payload = content[PROOF_BYTES:]
    if not key.verify(proof, REPLY, nonce, payload):
        raise ControlError('cluster key not proved', step='open reply')
    return payload
