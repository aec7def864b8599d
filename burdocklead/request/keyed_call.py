"""Keyed non-idempotent calls: claimed before they are dispatched."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from burdocklead.connection.control_client import ControlGroup
from burdocklead.connection.control_messages import ControlReply
from burdocklead.connection.frames import Answer, AttemptResult, Lost, Refusal
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
    not_run,
    unknown,
)
from burdocklead.request.dispatch import Dispatcher, result_of
from burdocklead.values import Member, RefusalCause

FINISH_TIMEOUT_S = 2.0

MemberFinder = Callable[[str], Member | None]


@dataclass(frozen=True, slots=True)
class KeyedCalls:
    """Runs keyed calls at most once.

    Attributes:
        dispatcher: Runs the attempts.
        control: Control replicas that hold the claims.
        find_member: Returns a daemon by name, None if it is not present.
    """

    dispatcher: Dispatcher
    control: ControlGroup
    find_member: MemberFinder

    async def run(self, call: Call) -> CallResult:
        """Return the result of a keyed call or of the one that ran before."""
        self.dispatcher.budget_of(call).earn()
        replaces = ''
        tried: set[str] = set()
        for number in itertools.count(1):
            member = self.dispatcher.choose(call, tried)
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
            if not await self.dispatcher.repeat_allowed(call, result, number):
                return result_of(result)
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
        reply = await self.control.request(request, max(remaining, 0))
        return _claim_of(reply)

    async def _attempt(
        self, call: Call, member: Member, claim: Claim, number: int
    ) -> AttemptResult:
        attempt = self.dispatcher.attempt_of(
            call, member, claim.attempt_id, number
        )
        result = await self.dispatcher.runner.run(call, member, attempt)
        await self._finish(call, claim, result)
        return result

    async def _finish(
        self, call: Call, claim: Claim, result: AttemptResult
    ) -> None:
        match result:
            case Answer():
                stored = StoredAnswer(
                    result.status, result.headers, result.body
                )
                following = msgspec.structs.replace(
                    claim, state=ClaimState.finished, answer=stored
                )
            case Lost():
                following = msgspec.structs.replace(
                    claim, state=ClaimState.unknown
                )
            case Refusal():
                return
        key = claim_key(call.match.service_name, call.key)
        try:
            await self.control.request(
                ClaimFinish(key, following), FINISH_TIMEOUT_S
            )
        except ControlError:
            return

    async def _follow(self, call: Call, held: Claim) -> CallResult | None:
        if held.fingerprint != fingerprint_of(call):
            return not_run(RefusalCause.key_reused)
        if held.state is ClaimState.finished and held.answer is not None:
            return answered(held.answer)
        if held.state is not ClaimState.running:
            return unknown('an earlier attempt has an unknown outcome')
        result = await self._resolve_held(call, held)
        if isinstance(result, Refusal):
            return None
        await self._finish(call, held, result)
        return result_of(result)

    async def _resolve_held(self, call: Call, held: Claim) -> AttemptResult:
        lost = Lost(
            held.attempt_id,
            'the daemon that ran it is gone',
            crash_suspected=False,
            load=NO_LOAD,
        )
        member = self.find_member(held.daemon_id)
        if member is None or member.incarnation != held.incarnation:
            return lost
        link = self.dispatcher.directory.link_to(member)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self.dispatcher.runner.resolve(
                    link, held.attempt_id, held.incarnation
                )
        except TimeoutError:
            return lost


def fingerprint_of(call: Call) -> str:
    """Return a digest of what makes two calls with one key the same."""
    rules = call.match
    head = f'{rules.service_name}\n{call.method}\n{rules.path}\n'
    return hashlib.sha256(head.encode() + call.body).hexdigest()


def _claim_of(reply: ControlReply) -> Claim:
    if isinstance(reply, ClaimReply):
        return reply.claim
    raise ControlError('unexpected reply', step='claim')
