"""Claims: which attempt may run a keyed non-idempotent call."""

from __future__ import annotations

import enum
import hashlib

import msgspec

CLAIM_PREFIX = 'claim/'


class ClaimState(enum.StrEnum):
    """State of a keyed call; ``released`` means that nothing ran."""

    running = 'running'
    finished = 'finished'
    unknown = 'unknown'
    released = 'released'


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer kept for resends of a keyed call.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: Whole body; empty if not kept.
        kept: False if the answer was too large to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


class Claim(msgspec.Struct, frozen=True):
    """The value of a claim register.

    Attributes:
        fingerprint: Digest of service, method, path and body.
        attempt_id: Attempt that may run.
        daemon_id: Daemon beside the upstream that may run it.
        incarnation: Incarnation of that daemon.
        state: What is known of the call.
        answer: The answer, None if not finished or not kept.
    """

    fingerprint: str
    attempt_id: str
    daemon_id: str
    incarnation: int
    state: ClaimState = ClaimState.running
    answer: StoredAnswer | None = None


class ClaimStart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask that an attempt becomes the one that may run a keyed call.

    Attributes:
        key: Register key of the call, see ``claim_key``.
        claim: The claim to be written.
        replaces: Attempt known not to have run and fenced; empty if none.
    """

    key: str
    claim: Claim
    replaces: str = ''


class ClaimFinish(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Record what came of the attempt that holds a claim."""

    key: str
    claim: Claim


class ClaimReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The claim in force after a request; the asker compares attempts."""

    claim: Claim


def claim_key(service: str, key: str) -> str:
    """Return the register key of an idempotency key of one service."""
    digest = hashlib.sha256(f'{service}\n{key}'.encode()).hexdigest()
    return f'{CLAIM_PREFIX}{digest[:32]}'


def decode_claim(value: bytes) -> Claim | None:
    """Return the claim held in a register value, None if there is none."""
    if not value:
        return None
    return msgspec.msgpack.decode(value, type=Claim)


def start_claim(current: Claim | None, request: ClaimStart) -> Claim:
    """Return the claim in force after a request to start."""
    if current is None:
        return request.claim
    if current.fingerprint != request.claim.fingerprint:
        return current
    if current.state is ClaimState.released:
        return request.claim
    replaced = request.replaces == current.attempt_id
    if replaced and current.state is ClaimState.running:
        return request.claim
    return current


def finish_claim(current: Claim | None, request: ClaimFinish) -> Claim:
    """Return the claim in force after a request to finish."""
    if current is None or current.state is ClaimState.finished:
        return current or request.claim
    if current.attempt_id != request.claim.attempt_id:
        return current
    if current.state is ClaimState.released:
        return current
    return request.claim
