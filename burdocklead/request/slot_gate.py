"""Asynchronous waiting for a slot of the local upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from burdocklead.connection.frames import Attempt
from burdocklead.fairness.nested_calls import ParentCalls
from burdocklead.fairness.tickets import (
    Admitted,
    Decision,
    Queued,
    Refused,
    Ticket,
)
from burdocklead.request.admission import AdmissionQueue
from burdocklead.request.latency_estimate import estimate_latency
from burdocklead.request.upstream_load import PaceView
from burdocklead.values import Estimate, LoadReport, RefusalCause


class SlotGate:
    """Lets attempts wait for the decisions of the admission queue.

    Attributes:
        queue: Admission queue of the upstream.
        waiters: Futures of the waiting attempts, by attempt.
        parents: Calls that hold a slot, to recognize their nested calls.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        """Start without waiting attempts."""
        self.queue = queue
        self.waiters: dict[str, asyncio.Future[Admitted | Refused]] = {}
        self.parents = ParentCalls()

    async def admit(self, ticket: Ticket) -> Admitted | Refused:
        """Wait for the decision on an attempt, at most until its deadline."""
        loop = asyncio.get_running_loop()
        offer = self.queue.offer(ticket, loop.time())
        self._apply_decisions(offer.displaced)
        if not isinstance(offer.verdict, Queued):
            return offer.verdict
        waiter: asyncio.Future[Admitted | Refused] = loop.create_future()
        self.waiters[ticket.attempt_id] = waiter
        try:
            async with asyncio.timeout_at(ticket.deadline):
                return await waiter
        except TimeoutError:
            return self._stop_waiting(ticket.attempt_id, waiter)
        except asyncio.CancelledError:
            if self._stop_waiting(ticket.attempt_id, waiter) == Admitted():
                self._release_unused(ticket.attempt_id)
            raise
        finally:
            self.waiters.pop(ticket.attempt_id, None)

    def withdraw(self, attempt_id: str) -> None:
        """Cancel the wait of an attempt."""
        self.queue.withdraw(attempt_id)
        waiter = self.waiters.get(attempt_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(Refused(RefusalCause.cancelled))

    def refuse_waiting(self, cause: RefusalCause) -> None:
        """Refuse all attempts that wait for a slot."""
        for attempt_id, waiter in self.waiters.items():
            self.queue.withdraw(attempt_id)
            if not waiter.done():
                waiter.set_result(Refused(cause))

    def release(
        self,
        attempt_id: str,
        service_ms: float,
        *,
        finished: bool,
        pace: float = 1,
    ) -> None:
        """Release a slot; waiting attempts may get it."""
        now = asyncio.get_running_loop().time()
        self._apply_decisions(
            self.queue.release(
                attempt_id, service_ms, now, finished=finished, pace=pace
            )
        )

    def median_service_ms(self, attempt: Attempt) -> float:
        """Return the median service time of an attempt's route in ms."""
        key = f'{attempt.service}/{attempt.route}'
        cost = self.queue.table.costs.cost_of(key, attempt.cost_ms)
        return cost.median.estimate

    def estimate(self, route: str, cost_ms: float) -> Estimate:
        """Return the time that a new call of a route would take."""
        now = asyncio.get_running_loop().time()
        return estimate_latency(self.queue, route, cost_ms, now)

    def set_pace(self, pace: PaceView, now: float) -> None:
        """Replace the pace and admit the waiting calls that may start now."""
        self._apply_decisions(self.queue.set_pace(pace, now))

    def load(self) -> LoadReport:
        """Return the current load."""
        return self.queue.load(asyncio.get_running_loop().time())

    def _stop_waiting(
        self, attempt_id: str, waiter: asyncio.Future[Admitted | Refused]
    ) -> Admitted | Refused:
        if waiter.done() and not waiter.cancelled():
            return waiter.result()
        self.queue.withdraw(attempt_id)
        return Refused(RefusalCause.deadline)

    def _release_unused(self, attempt_id: str) -> None:
        """Release a slot whose attempt did not start."""
        self.release(attempt_id, 0, finished=False)

    def _apply_decisions(self, decisions: Sequence[Decision]) -> None:
        """Pass decisions to the waiting attempts.

        A wait may have been cancelled earlier in this iteration of the event
        loop, before its task could run; the slot then goes to the next call.
        """
        for decision in decisions:
            waiter = self.waiters.get(decision.ticket.attempt_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision.verdict)
            elif decision.verdict == Admitted():
                self._release_unused(decision.ticket.attempt_id)
