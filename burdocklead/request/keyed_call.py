"""Keyed non-idempotent calls: claimed before they are dispatched."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
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
    outcome_of,
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
    """Runs keyed calls at most once.

    Attributes:
        dispatcher: Runs the attempts.
        request_claim: Sends a request about a claim to control, with a time
            limit in s; raises ControlError.
        answer_limit: Returns the largest answer that is kept, in bytes.
        pending: Calls and claims that go on without their caller.
    """

    dispatcher: Dispatcher
    request_claim: ClaimRequester
    answer_limit: AnswerLimit
    pending: set[asyncio.Task[Any]] = field(default_factory=set)

    async def run(self, call: Call) -> CallResult:
        """Return the result of a keyed call or of the one that ran before.

        The call goes on if its caller leaves, so that a resend finds it.
        """
        task = asyncio.create_task(self._run(call))
        self._keep(task)
        return await asyncio.shield(task)

    async def _run(self, call: Call) -> CallResult:
        self.dispatcher.budget_of(call).earn()
        replaces = ''
        tried: set[str] = set()
        for number in itertools.count(1):
            member = await self.dispatcher.choose(call, tried)
            if member is None:
                return not_run(RefusalCause.no_upstream)
            claim = self._claim_for(call, member)
            outcome = await self._claim(call, claim, replaces)
            if isinstance(outcome, CallResult):
                return outcome
            replaces = outcome
            if outcome != claim.attempt_id:
                continue
            result = await self._attempt(call, member, claim, number)
            if not await self.dispatcher.wait_for_retry(call, result, number):
                await self._finish(call, claim, result)
                return outcome_of([result])
            tried.add(member.daemon_id)
        raise AssertionError('unreachable')

    async def _claim(
        self, call: Call, claim: Claim, replaces: str
    ) -> CallResult | str:
        """Return the attempt that is fenced or claimed, or the result."""
        try:
            held = await self._start(call, claim, replaces)
        except ControlError:
            return not_run(RefusalCause.no_quorum)
        if held.attempt_id == claim.attempt_id:
            return claim.attempt_id
        earlier = await self._follow(call, held)
        return held.attempt_id if earlier is None else earlier

    def _claim_for(self, call: Call, member: Member) -> Claim:
        return Claim(
            fingerprint=fingerprint_of(call),
            attempt_id=self.dispatcher.new_id(),
            daemon_id=member.daemon_id,
            incarnation=member.incarnation,
        )

    async def _start(self, call: Call, claim: Claim, replaces: str) -> Claim:
        key = claim_key(call.match.service_name, call.key)
        remaining = call.deadline - asyncio.get_running_loop().time()
        request = ClaimStart(key, claim, replaces)
        reply = await self.request_claim(request, max(remaining, 0))
        return _claim_of(reply)

    async def _attempt(
        self, call: Call, member: Member, claim: Claim, number: int
    ) -> AttemptResult:
        attempt = self.dispatcher.attempt_of(
            call, member, claim.attempt_id, number
        )
        return await self.dispatcher.runner.run(call, member, attempt)

    async def _finish(
        self, call: Call, claim: Claim, result: AttemptResult
    ) -> None:
        """Record a result; past the deadline that goes on by itself."""
        following = self._claim_after(claim, result)
        if following is None:
            return
        key = claim_key(call.match.service_name, call.key)
        task = asyncio.create_task(self._record(ClaimFinish(key, following)))
        self._keep(task)
        remaining = call.deadline - asyncio.get_running_loop().time()
        await asyncio.wait({task}, timeout=max(remaining, 0))

    async def _record(self, request: ClaimFinish) -> None:
        try:
            await self.request_claim(request, FINISH_TIMEOUT_S)
        except ControlError:
            return

    def _claim_after(self, claim: Claim, result: AttemptResult) -> Claim | None:
        """Return the claim to record, None while the attempt may go on."""
        match result:
            case Answer():
                return msgspec.structs.replace(
                    claim,
                    state=ClaimState.finished,
                    answer=self._stored(result),
                )
            case Refusal():
                return msgspec.structs.replace(claim, state=ClaimState.released)
            case Lost(final=True):
                return msgspec.structs.replace(claim, state=ClaimState.unknown)
        return None

    def _stored(self, answer: Answer) -> StoredAnswer:
        if len(answer.body) > self.answer_limit():
            return StoredAnswer(answer.status, (), b'', kept=False)
        return StoredAnswer(answer.status, answer.headers, answer.body)

    async def _follow(self, call: Call, held: Claim) -> CallResult | None:
        """Return the result of the claim's attempt, None if it never ran."""
        if held.fingerprint != fingerprint_of(call):
            return not_run(RefusalCause.key_reused)
        if held.state is ClaimState.finished and held.answer is not None:
            if held.answer.kept:
                return answered(held.answer)
            return answered_without_body(held.answer)
        if held.state is not ClaimState.running:
            return unknown('an earlier attempt has an unknown outcome')
        result = await self._resolve_held(call, held)
        if isinstance(result, Refusal):
            return None
        await self._finish(call, held, result)
        return outcome_of([result])

    async def _resolve_held(self, call: Call, held: Claim) -> AttemptResult:
        member = self.dispatcher.directory.find_member(held.daemon_id)
        if member is None or member.incarnation < held.incarnation:
            return _lost(held, 'the daemon that ran it is not present')
        if member.incarnation > held.incarnation:
            return _lost(held, 'the daemon that ran it restarted', final=True)
        query = Query(held.attempt_id, held.incarnation)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self.dispatcher.runner.resolve(member, query)
        except TimeoutError:
            return _lost(held, 'deadline passed')

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)


def fingerprint_of(call: Call) -> str:
    """Return a digest of what makes two calls with one key the same."""
    rules = call.match
    head = f'{rules.service_name}\n{call.method}\n{rules.path}\n'
    return hashlib.sha256(head.encode() + call.body).hexdigest()


def _lost(held: Claim, reason: str, *, final: bool = False) -> Lost:
    return Lost(held.attempt_id, reason, False, NO_LOAD, final)


def _claim_of(reply: ControlReply) -> Claim:
    if isinstance(reply, ClaimReply):
        return reply.claim
    raise ControlError('unexpected reply', step='claim')
