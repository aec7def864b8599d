"""Waiting for a slot of the upstream beside this daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from burdocklead.connection.frames import Attempt
from burdocklead.request.admission import (
    AdmissionQueue,
    Admitted,
    Decision,
    Queued,
    Refused,
    Ticket,
)
from burdocklead.request.latency_estimate import estimate_latency
from burdocklead.request.upstream_load import PaceView
from burdocklead.values import Estimate, LoadReport, RefusalCause


class SlotGate:
    """Lets attempts wait for the decisions of the admission queue.

    Attributes:
        queue: Admission of the upstream.
        waiters: Attempts without a decision.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        """Start without waiting attempts."""
        self.queue = queue
        self.waiters: dict[str, asyncio.Future[Admitted | Refused]] = {}

    async def admit(self, ticket: Ticket) -> Admitted | Refused:
        """Return the decision on an attempt, at its deadline at the latest."""
        loop = asyncio.get_running_loop()
        offer = self.queue.offer(ticket, loop.time())
        self._settle(offer.displaced)
        if not isinstance(offer.verdict, Queued):
            return offer.verdict
        waiter: asyncio.Future[Admitted | Refused] = loop.create_future()
        self.waiters[ticket.attempt_id] = waiter
        try:
            async with asyncio.timeout_at(ticket.deadline):
                return await waiter
        except TimeoutError:
            return self._give_up(ticket.attempt_id, waiter)
        except asyncio.CancelledError:
            if self._give_up(ticket.attempt_id, waiter) == Admitted():
                self._give_back(ticket.attempt_id)
            raise
        finally:
            self.waiters.pop(ticket.attempt_id, None)

    def withdraw(self, attempt_id: str) -> None:
        """Let a waiting attempt wait no longer."""
        self.queue.withdraw(attempt_id)
        waiter = self.waiters.get(attempt_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(Refused(RefusalCause.cancelled))

    def release(
        self,
        attempt_id: str,
        service_ms: float,
        *,
        finished: bool,
        pace: float = 1,
    ) -> None:
        """Give a slot back; waiting attempts may get it."""
        now = asyncio.get_running_loop().time()
        self._settle(
            self.queue.release(
                attempt_id, service_ms, now, finished=finished, pace=pace
            )
        )

    def usual_ms(self, attempt: Attempt) -> float:
        """Return the usual service time of an attempt's route in ms."""
        key = f'{attempt.service}/{attempt.route}'
        cost = self.queue.table.costs.cost_of(key, attempt.cost_ms)
        return cost.usual.estimate

    def estimate(self, route: str, cost_ms: float) -> Estimate:
        """Return the time that a new call of a route would take."""
        now = asyncio.get_running_loop().time()
        return estimate_latency(self.queue, route, cost_ms, now)

    def set_pace(self, pace: PaceView, now: float) -> None:
        """Start what may start at the present pace of the upstream."""
        self._settle(self.queue.set_pace(pace, now))

    def load(self) -> LoadReport:
        """Return the present load."""
        return self.queue.load(asyncio.get_running_loop().time())

    def _give_up(
        self, attempt_id: str, waiter: asyncio.Future[Admitted | Refused]
    ) -> Admitted | Refused:
        if waiter.done() and not waiter.cancelled():
            return waiter.result()
        self.queue.withdraw(attempt_id)
        return Refused(RefusalCause.deadline)

    def _give_back(self, attempt_id: str) -> None:
        """Give back a slot that nobody used."""
        self.release(attempt_id, 0, finished=False)

    def _settle(self, decisions: Sequence[Decision]) -> None:
        """Hand decisions to those who wait.

        A wait may have been cut in this turn of the loop, before its task
        could run again; the slot then goes to the next call.
        """
        for decision in decisions:
            waiter = self.waiters.get(decision.ticket.attempt_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision.verdict)
            elif decision.verdict == Admitted():
                self._give_back(decision.ticket.attempt_id)
