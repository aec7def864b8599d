"""An answer of an upstream that is being received."""

from __future__ import annotations

from dataclasses import dataclass, field

from burdocklead.connection.http_messages import find_header
from burdocklead.memory.body_intake import BodyIntake
from burdocklead.memory.budget import SMALL_BYTES

PIECE_BYTES = 65536


@dataclass(slots=True)
class PartialAnswer:
    """An answer that is being received.

    Attributes:
        started: Loop time in s of its first byte, later of its body.
        foreign: True if it belongs to another request; its body is dropped.
        in_body: True once its headers are complete.
        large: Its body if that is large, None otherwise.
        body: A small body, or what was received last of a large one.
        flush_at: Size of that in bytes from which it is moved. An upstream may
            send chunks of one byte, so a chunk costs little.
    """

    started: float
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    foreign: bool = False
    in_body: bool = False
    large: BodyIntake | None = None

    flush_at: int = SMALL_BYTES

    def announced_bytes(self) -> int:
        """Return the announced size of the body, 0 if there is none."""
        text = find_header(self.headers, 'content-length') or ''
        return int(text) if text.isdecimal() else 0

    def flush(self) -> bool:
        """Move what was received last to a large body.

        Returns False if there is no room for it.
        """
        received = bytes(self.body)
        self.body.clear()
        return self.large is None or self.large.append(received)
