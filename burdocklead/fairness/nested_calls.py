"""Recognition of the calls that the local upstream makes while it runs one.

An upstream may name such a call ``PARENT.REST``, where ``PARENT`` is the ID
of the call that it runs and ``REST`` contains no dot.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field

# A client can name its calls like nested ones; the limit bounds what it gains.
MAX_NESTED_PER_PARENT = 16


@dataclass(slots=True)
class ParentCall:
    """A call that runs at the local upstream.

    Attributes:
        attempts: Attempts of it that run there.
        nested: Nested calls recognized so far.
    """

    attempts: int = 0
    nested: int = 0


@dataclass(slots=True)
class ParentCalls:
    """Calls that run at the local upstream, by call ID.

    Attributes:
        running: The calls; one without a running attempt has no entry.
    """

    running: dict[str, ParentCall] = field(default_factory=dict)

    @contextlib.contextmanager
    def track(self, call_id: str) -> Iterator[None]:
        """Count an attempt of a call as running until the context ends."""
        parent = self.running.setdefault(call_id, ParentCall())
        parent.attempts += 1
        try:
            yield
        finally:
            parent.attempts -= 1
            if not parent.attempts:
                self.running.pop(call_id, None)

    def recognize(self, call_id: str) -> bool:
        """Return True if a new call is nested in one that runs here.

        Counts it, as only a limited number is recognized for each parent.
        """
        parent = self.running.get(call_id.rpartition('.')[0])
        if parent is None or parent.nested >= MAX_NESTED_PER_PARENT:
            return False
        parent.nested += 1
        return True
