"""Steps for keys that are removed while calls wait, without a network."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from burdocklead.connection.frames import Answer, Attempt, Refusal
from burdocklead.durable.claims import ClaimState, claim_key
from burdocklead.request.call import Call
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.request.upstream_client import Upstream, UpstreamAnswer
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.teams.key_index import KeyIndex, digest_of_key
from burdocklead.teams.key_proof import KeyProof
from burdocklead.values import Address, RefusalCause
from burdocklead.version.deployment import Deployment, Service, Team
from tests.steps.crash_suspect_steps import plan_executor
from tests.steps.retry_steps import ScriptedClaim

S_PER_MS = 0.001
LONG_S = 10
VERSIONS = {
    'removed': (('k-2',),),
    'kept': (('k-2', 'k-1'),),
    'needed no more': ((),),
    'removed and restored': (('k-2',), ('k-1',)),
}


def index_of(version, keys):
    """Return the index of a version whose team has keys, if any."""
    teams = {'blue': Team(keys=keys)} if keys else {}
    return KeyIndex(
        Deployment(version=version, services={'s': Service()}, teams=teams)
    )


def _call_with_key(context, idempotency_key=''):
    context.dispatcher.keys.index = index_of(5, ('k-1',))
    return Call(
        'c1',
        context.match,
        'POST',
        (),
        b'',
        idempotency_key,
        asyncio.get_running_loop().time() + LONG_S,
        team='blue',
        key_proof=KeyProof(digest_of_key('k-1'), 5),
    )


@when(
    'a call with a key is dispatched and the key is {change} after {after:d} ms'
)
def change_keys(context, change, after):
    """Put one or two versions in force while the call waits."""

    async def run():
        task = asyncio.create_task(
            context.dispatcher.run(_call_with_key(context))
        )
        await asyncio.sleep(after * S_PER_MS)
        for version, keys in enumerate(VERSIONS[change], start=6):
            context.dispatcher.keys.index = index_of(version, keys)
        return await task

    context.results = [asyncio.run(run())]


@then('the cause of the dispatched call is "{cause}"')
def check_cause(context, cause):
    """Compare the cause, and the status of a refusal."""
    result = context.results[0]
    assert result.cause == cause, result
    if cause == RefusalCause.unknown_api_key.value:
        assert result.status == 401, result


@when(
    'a keyed call is sent whose API key is removed while its claim is decided'
)
def send_keyed(context):
    """Remove the key when the claim is requested."""
    context.claim = ScriptedClaim()

    async def request(message, timeout):
        context.dispatcher.keys.index = index_of(6, ('k-2',))
        return await context.claim.request(message, timeout)

    async def run():
        keyed_calls = KeyedCalls(context.dispatcher, request, lambda: 100)
        return await keyed_calls.run(_call_with_key(context, 'order-7'))

    context.results = [asyncio.run(run())]


@then('the claim of the keyed call is released')
def check_released(context):
    """Check that a resend may run."""
    assert context.claim.current.state is ClaimState.released


@then(
    'the claim keys of one idempotency key differ between the teams "{one}", '
    '"{two}" and none'
)
def check_claim_keys(context, one, two):
    """Compare the claim keys, which stay the same without a team."""
    keys = {claim_key('orders', 'k', team) for team in (one, two, '')}
    assert len(keys) == 3, keys
    assert claim_key('orders', 'k') in keys, keys


class CountingClient:
    """Upstream client that counts the attempts it gets."""

    def __init__(self):
        """Count no attempts yet."""
        self.sent = []
        self.release = asyncio.Event()

    async def exchange(self, upstream, attempt, remaining_ms):
        """Answer; the first attempt waits until it is released."""
        self.sent.append(attempt.attempt_id)
        if attempt.attempt_id == 'busy':
            await self.release.wait()
        return UpstreamAnswer(200, (), b'')


def _attempt(name, proof):
    return Attempt(
        attempt_id=name,
        call_id=name,
        incarnation=1,
        service='sheets',
        route='view',
        method='POST',
        path='/view/1',
        headers=(),
        body=name.encode(),
        remaining_ms=LONG_S / S_PER_MS,
        idempotent=False,
        rank=1,
        cost_ms=10,
        number=1,
        queue_limit=10,
        key_proof=proof,
    )


@given(
    'a daemon with one busy slot and version {version:d} with the key "{key}"'
)
def start_busy_daemon(context, version, key):
    """Create an executor with one slot."""
    plan_executor(context, 'has no health check')
    context.executor.gate.queue.table.slots = 1
    context.executor.access.keys = CurrentKeys(index_of(version, (key,)))


@when('an attempt waits whose key "{key}" was checked by version {version:d}')
def plan_attempt(context, key, version):
    """Store the attempt."""
    proof = KeyProof(digest_of_key(key), version)
    # Attempts carry the proof between daemons.
    context.proof = msgspec.msgpack.decode(
        msgspec.msgpack.encode(proof), type=KeyProof
    )


@when(
    'version {version:d} with the key "{key}" comes into force and the slot '
    'becomes free'
)
def change_version(context, version, key):
    """Run the attempt behind one that holds the slot."""

    async def run():
        executor = context.executor
        client = CountingClient()
        executor.client = client
        executor.upstream = Upstream(Address('127.0.0.1', 1))
        busy = asyncio.create_task(executor.run(_attempt('busy', None)))
        await asyncio.sleep(0.01)
        waiting = asyncio.create_task(
            executor.run(_attempt('waiting', context.proof))
        )
        await asyncio.sleep(0.01)
        assert client.sent == ['busy'], client.sent
        executor.access.keys.index = index_of(version, (key,))
        client.release.set()
        await busy
        context.result = await waiting
        context.sent = client.sent

    asyncio.run(run())


@then('the waiting attempt is {state}')
def check_waiting(context, state):
    """Check the result and whether the upstream got the attempt."""
    is_sent = 'waiting' in context.sent
    assert is_sent == (state == 'sent'), context.sent
    if is_sent:
        assert isinstance(context.result, Answer), context.result
    else:
        assert isinstance(context.result, Refusal), context.result
        assert context.result.cause is RefusalCause.unknown_api_key
