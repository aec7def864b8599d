"""A queue of waiting calls of one class, in the order in which they start."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Payload = TypeVar('Payload')
SortKey = tuple[bool, int, bool, int, float]


@dataclass(frozen=True, slots=True)
class WaitingCall(Generic[Payload]):
    """One call that waits for a slot.

    Attributes:
        sort_key: Whether it will miss its objective; its rank, 0 first;
            whether it is a new call rather than a nested one; the round of its
            team; the latest start in s that meets its objective, or else its
            deadline.
        latest_start: Latest start in s that meets its deadline.
        cost_ms: Median service time in ms at its arrival.
        since: Monotonic time of its arrival in s.
        call_id: Identifier by which it is removed.
        payload: Object that the queue returns for it.
    """

    sort_key: SortKey
    latest_start: float
    cost_ms: float
    since: float
    call_id: str
    payload: Payload


@dataclass(slots=True)
class WaitingCalls(Generic[Payload]):
    """Waiting calls by sort key; calls with equal keys by arrival.

    Attributes:
        calls: The calls, next one first.
        work_ms: Sum of their median service times in ms.
    """

    calls: list[WaitingCall[Payload]] = field(default_factory=list)
    work_ms: float = 0

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self.calls)

    def add(self, call: WaitingCall[Payload]) -> None:
        """Insert a call by its sort key."""
        bisect.insort_right(self.calls, call, key=_sort_key_of)
        self.work_ms += call.cost_ms

    def first(self) -> WaitingCall[Payload]:
        """Return the call that is next."""
        return self.calls[0]

    def last(self) -> WaitingCall[Payload]:
        """Return the call that is shed first."""
        return self.calls[-1]

    def pop_first(self) -> WaitingCall[Payload]:
        """Remove and return the call that is next."""
        return self._take(0)

    def remove(self, call_id: str) -> bool:
        """Remove a call; return True if it was waiting."""
        for index, call in enumerate(self.calls):
            if call.call_id == call_id:
                self._take(index)
                return True
        return False

    def work_before(self, sort_key: SortKey) -> float:
        """Return the work ahead of a new call in ms."""
        if not self.calls or self.calls[-1].sort_key <= sort_key:
            return self.work_ms
        index = bisect.bisect_right(self.calls, sort_key, key=_sort_key_of)
        return sum(call.cost_ms for call in self.calls[:index])

    def _take(self, index: int) -> WaitingCall[Payload]:
        call = self.calls.pop(index)
        self.work_ms = max(self.work_ms - call.cost_ms, 0) if self.calls else 0
        return call


def _sort_key_of(call: WaitingCall[Payload]) -> SortKey:
    return call.sort_key
