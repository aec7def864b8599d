"""Writing log lines without ever waiting for their reader."""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Callable

import msgspec

MAX_WAITING_BYTES = 1048576  # A reader that stops for seconds loses nothing.
MAX_LINES_PER_S = 200  # Of one message; the busiest day wrote 40 of one.


class LogStream:
    """A stream for log lines on a descriptor that may be full.

    Lines that find no room are left out and counted; the count is written
    once there is room again.

    Attributes:
        descriptor: Where the lines go; it is made non-blocking.
        waiting: Bytes that found no room yet.
        waiting_bytes: Length of those.
        left_out: Lines left out since the last line that told so.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor from now on."""
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take over a line; it is written as soon as there is room."""
        self.flush()
        if self.left_out and not self.waiting:
            self._take(_notice(self.left_out))
            self.left_out = 0
        self._take(text.encode(errors='replace'))
        self.flush()

    def flush(self) -> None:
        """Write what there is room for."""
        while self.waiting:
            content = self.waiting.popleft()
            written = self._try_write(content)
            self.waiting_bytes -= written
            if written < len(content):
                self.waiting.appendleft(content[written:])
                return

    def _take(self, content: bytes) -> None:
        if self.waiting_bytes + len(content) > MAX_WAITING_BYTES:
            self.left_out += 1
            return
        self.waiting.append(content)
        self.waiting_bytes += len(content)

    def _try_write(self, content: bytes) -> int:
        try:
            return os.write(self.descriptor, content)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader is gone for good; there is nobody left to tell.
            self.left_out += 1
            return len(content)


class LineLimit:
    """Bounds the lines of each message in each second.

    Attributes:
        clock: Returns the monotonic time in s.
        second: The present second.
        counts: Lines of each message in it.
        left_out: Lines of each message left out and not told yet.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with a fresh second."""
        self.clock = clock
        self.second = 0
        self.counts: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def admit(self, message: str) -> bool:
        """Return True if a line with this message may be written now."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts.clear()
        self.counts[message] += 1
        if self.counts[message] > MAX_LINES_PER_S:
            self.left_out[message] += 1
            return False
        return True

    def take_left_out(self, message: str) -> int:
        """Return the lines of a message left out so far, and forget them."""
        return self.left_out.pop(message, 0)


def _notice(count: int) -> bytes:
    content = {'message': 'lines left out', 'level': 'warning', 'count': count}
    line = msgspec.json.encode(content).decode()
    return f'{line}\n'.encode()
