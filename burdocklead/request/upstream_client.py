"""What an exchange with the upstream beside this daemon may come to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from burdocklead.connection.frames import Attempt, Headers
from burdocklead.values import Address, RefusalCause


@dataclass(frozen=True, slots=True)
class Upstream:
    """The upstream beside this daemon.

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
        headers: Headers in order.
        body: Whole body.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """The upstream did not run the call."""

    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """The call was sent and no whole answer came.

    Attributes:
        reason: What was seen, in a few words.
        crashed: True if the upstream closed without an answer.
    """

    reason: str
    crashed: bool


@dataclass(frozen=True, slots=True)
class AnswerTooLarge:
    """The upstream answered with more than is carried.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


UpstreamResult = (
    UpstreamAnswer | UpstreamRefused | UpstreamLost | AnswerTooLarge
)


class UpstreamClient(Protocol):
    """Carries attempts to an upstream."""

    async def exchange(
        self, upstream: Upstream, attempt: Attempt, remaining_ms: float
    ) -> UpstreamResult:
        """Return what came of one exchange; a cancelled one is cut."""

    async def close(self) -> None:
        """Close all connections."""
