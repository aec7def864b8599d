"""Non-idempotent calls with an idempotency key, claimed before dispatch."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from burdocklead.connection.control_messages import ControlReply
from burdocklead.connection.frames import (
    Answer,
    AttemptResult,
    Lost,
    Query,
    Refusal,
)
from burdocklead.durable.claims import (
    Claim,
    ClaimFinish,
    ClaimReply,
    ClaimStart,
    ClaimState,
    StoredAnswer,
    claim_key,
)
from burdocklead.exceptions import ControlError
from burdocklead.request.attempt_runner import NO_LOAD
from burdocklead.request.call import (
    Call,
    CallResult,
    answered,
    answered_without_body,
    not_run,
    result_of_attempts,
    unknown,
)
from burdocklead.request.dispatch import Dispatcher
from burdocklead.values import Member, RefusalCause

FINISH_TIMEOUT_S = 2.0

ClaimRequester = Callable[
    [ClaimStart | ClaimFinish, float], Awaitable[ControlReply]
]
AnswerLimit = Callable[[], int]


@dataclass(frozen=True, slots=True)
class KeyedCalls:
    """Runs each keyed call at most once.

    Attributes:
        dispatcher: Runs the attempts.
        request_claim: Sends a claim request to control with a timeout in
            seconds; raises ControlError.
        answer_limit: Returns the size in bytes of the largest answer body
            that is stored.
        pending: Tasks that continue after their caller has left.
    """

    dispatcher: Dispatcher
    request_claim: ClaimRequester
    answer_limit: AnswerLimit
    pending: set[asyncio.Task[Any]] = field(default_factory=set)

    async def run(self, call: Call) -> CallResult:
        """Return the result of a keyed call, or of an earlier one with its key.

        The call continues after its caller disconnects, so that a resend
        gets its result.
        """
        task = asyncio.create_task(self._run(call))
        self._keep_reference(task)
        return await asyncio.shield(task)

    async def _run(self, call: Call) -> CallResult:
        self.dispatcher.earn(call)
        replaces = ''
        tried: set[str] = set()
        attempts = 0
        while True:
            member = await self.dispatcher.choose(call, tried)
            if member is None:
                return not_run(RefusalCause.no_upstream)
            claim = self._new_claim(call, member)
            outcome = await self._acquire_claim(call, claim, replaces)
            if isinstance(outcome, CallResult):
                return outcome
            replaces = outcome
            if outcome != claim.attempt_id:
                continue
            attempts += 1
            result = await self._run_attempt(call, member, claim, attempts)
            if not await self.dispatcher.wait_for_retry(call, result, attempts):
                await self._finish_claim(call, claim, result)
                return result_of_attempts([result])
            tried.add(member.daemon_id)

    async def _acquire_claim(
        self, call: Call, claim: Claim, replaces: str
    ) -> CallResult | str:
        """Claim the key for an attempt.

        Returns the attempt's ID if it holds the claim now. If another attempt
        holds it, returns the result of that attempt, or its ID if it never
        ran and its claim can be replaced. Without a reply from control, the
        result is a refusal.

        Args:
            call: The call.
            claim: Claim of the attempt.
            replaces: ID of the earlier attempt whose claim it may replace,
                empty if there is none.
        """
        try:
            existing = await self._send_start(call, claim, replaces)
        except ControlError:
            return not_run(RefusalCause.no_quorum)
        if existing.attempt_id == claim.attempt_id:
            return claim.attempt_id
        earlier_result = await self._result_of_existing(call, existing)
        return existing.attempt_id if earlier_result is None else earlier_result

    def _new_claim(self, call: Call, member: Member) -> Claim:
        return Claim(
            fingerprint=claim_fingerprint_of(call),
            attempt_id=self.dispatcher.new_id(),
            daemon_id=member.daemon_id,
            incarnation=member.incarnation,
        )

    async def _send_start(
        self, call: Call, claim: Claim, replaces: str
    ) -> Claim:
        key = _claim_key_of(call)
        remaining = call.deadline - asyncio.get_running_loop().time()
        request = ClaimStart(key, claim, replaces)
        reply = await self.request_claim(request, max(remaining, 0))
        return _claim_from_reply(reply)

    async def _run_attempt(
        self, call: Call, member: Member, claim: Claim, number: int
    ) -> AttemptResult:
        if self.dispatcher.keys.is_revoked(call.key_proof):
            cause = RefusalCause.unknown_api_key
            return Refusal(claim.attempt_id, cause, NO_LOAD)
        attempt = self.dispatcher.attempt_of(
            call, member, claim.attempt_id, number
        )
        return await self.dispatcher.runner.run(call, member, attempt)

    async def _finish_claim(
        self, call: Call, claim: Claim, result: AttemptResult
    ) -> None:
        """Record a result in the claim.

        Waits until the call's deadline at most; recording then continues in
        the background.
        """
        final_claim = self._final_claim(claim, result)
        if final_claim is None:
            return
        key = _claim_key_of(call)
        task = asyncio.create_task(
            self._send_finish(ClaimFinish(key, final_claim))
        )
        self._keep_reference(task)
        remaining = call.deadline - asyncio.get_running_loop().time()
        await asyncio.wait({task}, timeout=max(remaining, 0))

    async def _send_finish(self, request: ClaimFinish) -> None:
        try:
            await self.request_claim(request, FINISH_TIMEOUT_S)
        except ControlError:
            return

    def _final_claim(self, claim: Claim, result: AttemptResult) -> Claim | None:
        """Return the claim to record, None if the result isn't final."""
        match result:
            case Answer():
                return msgspec.structs.replace(
                    claim,
                    state=ClaimState.finished,
                    answer=self._stored_answer(result),
                )
            case Refusal():
                return msgspec.structs.replace(claim, state=ClaimState.released)
            case Lost(final=True):
                return msgspec.structs.replace(claim, state=ClaimState.unknown)
        return None

    def _stored_answer(self, answer: Answer) -> StoredAnswer:
        if len(answer.body) > self.answer_limit():
            return StoredAnswer(answer.status, (), b'', kept=False)
        return StoredAnswer(answer.status, answer.headers, bytes(answer.body))

    async def _result_of_existing(
        self, call: Call, existing: Claim
    ) -> CallResult | None:
        """Return the result for a claimed key, None if it never ran."""
        if existing.fingerprint != claim_fingerprint_of(call):
            return not_run(RefusalCause.key_reused)
        if (
            existing.state is ClaimState.finished
            and existing.answer is not None
        ):
            if existing.answer.kept:
                return answered(existing.answer)
            return answered_without_body(existing.answer)
        if existing.state is not ClaimState.running:
            return unknown('an earlier attempt has an unknown outcome')
        result = await self._resolve_existing(call, existing)
        if isinstance(result, Refusal):
            return None
        await self._finish_claim(call, existing, result)
        return result_of_attempts([result])

    async def _resolve_existing(
        self, call: Call, existing: Claim
    ) -> AttemptResult:
        member = self.dispatcher.directory.find_member(existing.daemon_id)
        if member is None or member.incarnation < existing.incarnation:
            return _lost(existing, 'the daemon that ran it is not present')
        if member.incarnation > existing.incarnation:
            return _lost(
                existing, 'the daemon that ran it restarted', final=True
            )
        query = Query(existing.attempt_id, existing.incarnation)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self.dispatcher.runner.resolve(member, query)
        except TimeoutError:
            return _lost(existing, 'deadline passed')

    def _keep_reference(self, task: asyncio.Task[Any]) -> None:
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)


def claim_fingerprint_of(call: Call) -> str:
    """Return a digest that identifies resends of the same call."""
    rules = call.match
    head = f'{rules.service_name}\n{call.method}\n{rules.path}\n'
    digest = hashlib.sha256(head.encode())
    digest.update(call.body)
    return digest.hexdigest()


def _claim_key_of(call: Call) -> str:
    return claim_key(call.match.service_name, call.key, call.team)


def _lost(existing: Claim, reason: str, *, final: bool = False) -> Lost:
    return Lost(existing.attempt_id, reason, False, NO_LOAD, final)


def _claim_from_reply(reply: ControlReply) -> Claim:
    if isinstance(reply, ClaimReply):
        return reply.claim
    raise ControlError('unexpected reply', step='claim')
