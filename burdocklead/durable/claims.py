"""Claims: which attempt may run a non-idempotent call with a key."""

from __future__ import annotations

import enum
import hashlib

import msgspec

from burdocklead.durable.register_values import decode_value

CLAIM_PREFIX = 'claim/'


class ClaimState(enum.StrEnum):
    """State of a call with a key; ``released`` means that nothing ran."""

    running = 'running'
    finished = 'finished'
    unknown = 'unknown'
    released = 'released'


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer stored for repeated requests of a call with a key.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
        body: Complete body, empty if not stored.
        kept: False if the answer was too large to be stored.
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
        daemon_id: Daemon next to the upstream that may run it.
        incarnation: Incarnation of that daemon.
        state: State of the call.
        answer: The answer, None unless the call is finished.
    """

    fingerprint: str
    attempt_id: str
    daemon_id: str
    incarnation: int
    state: ClaimState = ClaimState.running
    answer: StoredAnswer | None = None


class ClaimStart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks for the claim on a call with a key, for one attempt.

    Attributes:
        key: Register key of the call, see ``claim_key``.
        claim: The claim to be written.
        replaces: Attempt that is known not to have run and is fenced, empty
            if none.
    """

    key: str
    claim: Claim
    replaces: str = ''


class ClaimFinish(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Records the result of the attempt that holds a claim."""

    key: str
    claim: Claim


class ClaimReply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The claim in force after a request.

    The sender compares the attempt with its own to see whether it holds the
    claim.
    """

    claim: Claim


def claim_key(service: str, key: str, team: str = '') -> str:
    """Return the register key of an idempotency key of one service.

    Args:
        service: Name of the service.
        key: The idempotency key.
        team: Team of the caller, empty if none. Teams never share a claim, as
            it may hold an answer.
    """
    owner = f'{service}\n{team}' if team else service
    digest = hashlib.sha256(f'{owner}\n{key}'.encode()).hexdigest()
    return f'{CLAIM_PREFIX}{digest[:32]}'


def decode_claim(value: bytes) -> Claim | None:
    """Return the claim encoded in a register value, None if empty."""
    if not value:
        return None
    return decode_value(value, Claim, 'claims')


def start_claim(current: Claim | None, request: ClaimStart) -> Claim:
    """Return the claim in force after a ``ClaimStart`` request."""
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
    """Return the claim in force after a ``ClaimFinish`` request."""
    if current is None or current.state is ClaimState.finished:
        return current or request.claim
    if current.attempt_id != request.claim.attempt_id:
        return current
    if current.state is ClaimState.released:
        return current
    return request.claim
