"""Non-blocking output of log lines, with bounds on memory and rate."""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Callable

import msgspec

MAX_BUFFERED_BYTES = 1048576  # No loss if the reader stops for seconds.
MAX_LINES_PER_S = 200  # Per message; the peak on the busiest day was 40.


class LogStream:
    """A stream of log lines to a file descriptor that may be full.

    Lines that do not fit in the buffer are dropped and counted; the count is
    written once the descriptor accepts data again.

    Attributes:
        descriptor: File descriptor for the lines, set to non-blocking.
        buffered: Lines not yet written.
        buffered_bytes: Size of these lines in bytes.
        dropped: Lines dropped since the last notice.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking."""
        self.descriptor = descriptor
        self.buffered: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or buffer it until the descriptor accepts it."""
        self.flush()
        if self.dropped and not self.buffered:
            self._append(_dropped_notice(self.dropped))
            self.dropped = 0
        self._append(text.encode(errors='replace'))
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        while self.buffered:
            content = self.buffered.popleft()
            written = self._try_write(content)
            self.buffered_bytes -= written
            if written < len(content):
                self.buffered.appendleft(content[written:])
                return

    def _append(self, content: bytes) -> None:
        if self.buffered_bytes + len(content) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffered.append(content)
        self.buffered_bytes += len(content)

    def _try_write(self, content: bytes) -> int:
        try:
            return os.write(self.descriptor, content)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader is gone, so there is nowhere to report the error.
            self.dropped += 1
            return len(content)


class LogRateLimit:
    """Limits the log lines with the same message in each second.

    Attributes:
        clock: Returns the monotonic time in s.
        second: Current second of the clock.
        counts: Lines of each message in the current second.
        dropped: Dropped lines of each message, not reported yet.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without any lines counted."""
        self.clock = clock
        self.second = 0
        self.counts: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def admit(self, message: str) -> bool:
        """Return True if a line with this message may be written now."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts.clear()
        self.counts[message] += 1
        if self.counts[message] > MAX_LINES_PER_S:
            self.dropped[message] += 1
            return False
        return True

    def take_dropped(self, message: str) -> int:
        """Return the number of dropped lines of a message and reset it."""
        return self.dropped.pop(message, 0)


def _dropped_notice(count: int) -> bytes:
    content = {'message': 'lines left out', 'level': 'warning', 'count': count}
    line = msgspec.json.encode(content).decode()
    return f'{line}\n'.encode()
