"""The upstream client protocol and the results of its exchanges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from burdocklead.connection.frames import Attempt, Headers
from burdocklead.values import Address, Body, RefusalCause


@dataclass(frozen=True, slots=True)
class Upstream:
    """The upstream on this daemon's VM.

    Attributes:
        address: Its address on this VM.
        instance: Name of its incarnation, empty if it has none.
    """

    address: Address
    instance: str = ''


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The upstream answered.

    Attributes:
        status: HTTP status.
        headers: Headers in their original order.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: Body


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """The upstream did not run the call."""

    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """The attempt was sent and no valid, complete answer was received.

    Attributes:
        reason: Short description of the failure.
        crash_suspected: Whether the upstream is suspected to have crashed.
    """

    reason: str
    crash_suspected: bool


@dataclass(frozen=True, slots=True)
class AnswerTooLarge:
    """The body of the answer exceeds the size limit.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


UpstreamResult = (
    UpstreamAnswer | UpstreamRefused | UpstreamLost | AnswerTooLarge
)


class UpstreamClient(Protocol):
    """Sends attempts to an upstream."""

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Send an attempt and return the result.

        Cancelling this coroutine aborts the request.
        """

    async def close(self) -> None:
        """Close all connections."""
