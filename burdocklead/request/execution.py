"""Runs attempts at the upstream on this daemon's VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import assert_never

import msgspec

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptResult,
    AttemptState,
    Cancel,
    Lost,
    Query,
    Refusal,
    Verdict,
)
from burdocklead.evacuation.upstream_access import UpstreamAccess
from burdocklead.fairness.tickets import Refused, Ticket
from burdocklead.log_events import ATTEMPT_FAILED
from burdocklead.request.admission import AdmissionQueue, admission_for
from burdocklead.request.attempt_table import AttemptRecord, AttemptTable
from burdocklead.request.attempt_telemetry import AttemptTelemetry
from burdocklead.request.block_list import BlockList
from burdocklead.request.crash_guard import CrashGuard
from burdocklead.request.headers import ANSWER_HEADER
from burdocklead.request.pace_guard import PaceGuard
from burdocklead.request.slot_gate import SlotGate
from burdocklead.request.upstream_client import (
    AnswerTooLarge,
    Upstream,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamLost,
    UpstreamRefused,
    UpstreamResult,
)
from burdocklead.settings import DaemonSettings
from burdocklead.values import LoadReport, RefusalCause

MS_PER_S = 1000
BAD_GATEWAY = 502


@dataclass(slots=True, eq=False)
class Execution:
    """One attempt in progress.

    Attributes:
        attempt: The attempt.
        deadline: Loop time of the deadline in seconds.
        arrived: Loop time of arrival in seconds.
        sent: Whether the upstream may have received it.
        withdrawn: Whether it was cancelled before it was sent.
        task: Task that runs the attempt and returns its result.
    """

    attempt: Attempt
    deadline: float
    arrived: float = 0
    sent: bool = False
    withdrawn: bool = False
    task: asyncio.Task[AttemptResult] | None = None


class AttemptExecutor:
    """Admits attempts, runs them at the upstream and caches their results.

    Attributes:
        incarnation: Incarnation of this daemon.
        telemetry: Emits log entries, events and metrics for attempts.
        service: Service of the upstream, empty while there is none.
        upstream: The upstream, None while there is none.
        draining: Whether new attempts are refused.
        access: Other reasons to refuse attempts.
        gate: Queues attempts until the upstream has a free slot.
        table: Recent attempts and their results.
        client: HTTP client for the upstream, None until it is set.
        executions: Attempts in progress by ID.
        guard: Isolates requests that are suspected of crashing upstreams.
        pace_guard: Refreshes the upstream's reported pace, None if the
            upstream doesn't report one.
        queue_factory: Creates the admission queue of a new upstream from its
            number of slots.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: int,
        telemetry: AttemptTelemetry,
    ) -> None:
        """Initialize the executor without an upstream."""
        self.settings = settings
        self.telemetry = telemetry
        self.incarnation = incarnation
        self.service = ''
        self.upstream: Upstream | None = None
        self.draining = False
        self.access = UpstreamAccess()
        self.gate = SlotGate(admission_for(0))
        self.table = AttemptTable(
            settings.remembered_attempts, settings.remembered_bytes
        )
        self.client: UpstreamClient | None = None
        self.pace_guard: PaceGuard | None = None
        self.queue_factory: Callable[[int], AdmissionQueue] = admission_for
        self.executions: dict[str, Execution] = {}
        self.guard = CrashGuard(
            BlockList(settings.daemon_id), telemetry.events, telemetry.metrics
        )

    async def close(self) -> None:
        """Close the upstream client."""
        if self.client is not None:
            await self.client.close()

    def load(self) -> LoadReport:
        """Return the current load."""
        now = asyncio.get_running_loop().time()
        return self.access.warm_up.describe(self.gate.load(), now)

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt; a duplicate gets the result of the first run."""
        known = self.table.begin(attempt.attempt_id)
        if known is not None:
            return await self._result_of_duplicate(attempt, known)
        self.telemetry.start(attempt)
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        deadline = arrived + attempt.remaining_ms / MS_PER_S
        execution = Execution(attempt, deadline, arrived)
        self.executions[attempt.attempt_id] = execution
        execution.task = loop.create_task(self._execute(execution))
        return await asyncio.shield(execution.task)

    async def follow(self, attempt_id: str) -> AttemptResult | None:
        """Return the result of an attempt, once it is done if it is running.

        Returns None if no result is known.
        """
        execution = self.executions.get(attempt_id)
        if execution is None or execution.task is None:
            return self.table.query(attempt_id).result
        return await asyncio.shield(execution.task)

    def query(self, query: Query) -> Verdict:
        """Return the state of an attempt; an unseen one is fenced."""
        record = self.table.query(query.attempt_id)
        return Verdict(
            query.attempt_id, self.incarnation, record.state, record.result
        )

    def cancel(self, cancel: Cancel) -> Verdict:
        """Cancel an attempt and return its state.

        An attempt that wasn't sent is withdrawn, a running idempotent one is
        aborted, and any other goes on.
        """
        execution = self.executions.get(cancel.attempt_id)
        if execution is None:
            return self.query(Query(cancel.attempt_id, cancel.incarnation))
        attempt = execution.attempt
        result: AttemptResult | None = None
        if not execution.sent:
            execution.withdrawn = True
            self.gate.withdraw(attempt.attempt_id)
            result = self._refusal(attempt, RefusalCause.cancelled)
        elif attempt.idempotent and execution.task is not None:
            execution.task.cancel()
            result = self._lost(attempt, 'cancelled', crash_suspected=False)
        state = AttemptState.done if result else AttemptState.running
        return Verdict(attempt.attempt_id, self.incarnation, state, result)

    async def _result_of_duplicate(
        self, attempt: Attempt, known: AttemptRecord
    ) -> AttemptResult:
        result = known.result
        match known.state:
            case AttemptState.never_seen:
                return self._refusal(attempt, RefusalCause.fenced)
            case AttemptState.running:
                result = await self.follow(attempt.attempt_id)
        if result is None:
            return self._lost(attempt, 'forgotten', crash_suspected=False)
        return result

    async def _execute(self, execution: Execution) -> AttemptResult:
        attempt = execution.attempt
        try:
            cause = await self.guard.admit(attempt, execution.deadline)
            result = await self._admit_and_send(execution, cause)
        except asyncio.CancelledError:
            result = self._failure_result(execution, 'cancelled')
        except Exception as error:
            ATTEMPT_FAILED.write(attempt=attempt.attempt_id, exc_info=True)
            result = self._failure_result(execution, type(error).__name__)
        sent = sum(other.sent for other in self.executions.values())
        self.executions.pop(attempt.attempt_id, None)
        self.table.finish(attempt.attempt_id, result)
        self.telemetry.finish(attempt, result)
        return await self.guard.process_result(attempt, result, sent)

    def _failure_result(
        self, execution: Execution, reason: str
    ) -> AttemptResult:
        if execution.sent:
            return self._lost(execution.attempt, reason, crash_suspected=False)
        cause = RefusalCause.internal_error
        return self._refusal(execution.attempt, cause)

    async def _admit_and_send(
        self, execution: Execution, cause: RefusalCause | None
    ) -> AttemptResult:
        attempt = execution.attempt
        cause = cause or self._refusal_cause(attempt)
        if cause is not None:
            return self._refusal(attempt, cause)
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        if self.pace_guard is not None:
            await self.pace_guard.refresh(
                self.gate.median_service_ms(attempt),
                force=self.access.warm_up.wants_check(arrived),
            )
        cause = self.access.refusal_cause(loop.time())
        if cause is not None:
            return self._refusal(attempt, cause)
        verdict = await self.gate.admit(_ticket_of(execution, self.access))
        if isinstance(verdict, Refused):
            return self._refusal(attempt, verdict.cause)
        started = loop.time()
        pace = self.gate.queue.pace.pace
        self.telemetry.admit(attempt, started - arrived, pace)
        finished = False
        try:
            with self.gate.parents.track(attempt.call_id):
                result = await self._send(execution)
            finished = isinstance(result, Answer)
        finally:
            service_ms = (loop.time() - started) * MS_PER_S
            self.gate.release(
                attempt.attempt_id, service_ms, finished=finished, pace=pace
            )
        return result

    def _refusal_cause(self, attempt: Attempt) -> RefusalCause | None:
        if attempt.incarnation != self.incarnation:
            return RefusalCause.wrong_incarnation
        if self.draining:
            return RefusalCause.draining
        if self.upstream is None or self.service != attempt.service:
            return RefusalCause.no_upstream
        if len(self.executions) > self.settings.max_pending_attempts:
            return RefusalCause.too_many_pending
        return None

    async def _send(self, execution: Execution) -> AttemptResult:
        attempt = execution.attempt
        cause = _late_refusal_cause(self, execution)
        if cause is not None:
            return self._refusal(attempt, cause)
        now = asyncio.get_running_loop().time()
        remaining = execution.deadline - now
        if remaining <= 0:
            return self._refusal(attempt, RefusalCause.deadline)
        if self.client is None or self.upstream is None:
            return self._refusal(attempt, RefusalCause.no_upstream)
        limit = execution.deadline
        if not attempt.idempotent:
            limit += self.settings.finish_limit
        execution.sent = True
        self.access.warm_up.window.record(now)
        try:
            async with asyncio.timeout_at(limit):
                result = await self.client.exchange(
                    self.upstream, attempt, remaining * MS_PER_S
                )
        except TimeoutError:
            return self._lost(attempt, 'deadline passed', crash_suspected=False)
        return self._result_of(attempt, result)

    def _result_of(
        self, attempt: Attempt, result: UpstreamResult
    ) -> AttemptResult:
        match result:
            case UpstreamAnswer(status, headers, body):
                return Answer(
                    attempt.attempt_id, status, headers, body, self.load()
                )
            case AnswerTooLarge(status):
                return _too_large_answer(attempt, status, self.load())
            case UpstreamRefused(cause):
                return self._refusal(attempt, cause)
            case UpstreamLost(reason, crash_suspected):
                return self._lost(
                    attempt, reason, crash_suspected=crash_suspected
                )
        assert_never(result)

    def _refusal(self, attempt: Attempt, cause: RefusalCause) -> Refusal:
        return Refusal(attempt.attempt_id, cause, self.load())

    def _lost(
        self, attempt: Attempt, reason: str, *, crash_suspected: bool
    ) -> Lost:
        return Lost(attempt.attempt_id, reason, crash_suspected, self.load())


def _late_refusal_cause(
    executor: AttemptExecutor, execution: Execution
) -> RefusalCause | None:
    """Return why an attempt that has a slot may no longer be sent, if so."""
    if execution.withdrawn:
        return RefusalCause.cancelled
    if executor.draining:
        return RefusalCause.draining
    if executor.access.keys.is_revoked(execution.attempt.key_proof):
        return RefusalCause.unknown_api_key
    now = asyncio.get_running_loop().time()
    return executor.access.refusal_cause(now)


def _ticket_of(execution: Execution, access: UpstreamAccess) -> Ticket:
    attempt = execution.attempt
    now = asyncio.get_running_loop().time()
    return Ticket(
        attempt_id=attempt.attempt_id,
        route=f'{attempt.service}/{attempt.route}',
        rank=attempt.rank,
        cost_ms=attempt.cost_ms,
        deadline=execution.deadline,
        queue_limit=attempt.queue_limit,
        objective=_objective_of(execution),
        # A cold upstream may not take the call when its turn comes.
        may_queue=attempt.may_queue and not access.is_cold(now),
        nested=attempt.nested,
        team=attempt.team,
    )


def _objective_of(execution: Execution) -> float:
    left_ms = execution.attempt.objective_ms
    if left_ms is None:
        return 0
    return execution.arrived + left_ms / MS_PER_S


def _too_large_answer(
    attempt: Attempt, status: int, load: LoadReport
) -> Answer:
    content = {
        'outcome': 'answered',
        'cause': 'answer-too-large',
        'call_id': attempt.call_id,
        'upstream_status': status,
    }
    headers = (
        (ANSWER_HEADER, 'too-large'),
        ('Content-Type', 'application/json'),
    )
    body = msgspec.json.encode(content)
    return Answer(attempt.attempt_id, BAD_GATEWAY, headers, body, load)
