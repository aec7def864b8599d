"""Steps for telling lost answers from crashes of the upstream."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from burdocklead.clock import HybridClock
from burdocklead.connection.answer_reader import AnswerLimits
from burdocklead.connection.frames import Attempt, Lost, Refusal
from burdocklead.connection.http_client import ConnectionBroken
from burdocklead.events import EventRing
from burdocklead.metrics import MetricSet
from burdocklead.options import read_settings
from burdocklead.request.attempt_telemetry import AttemptTelemetry
from burdocklead.request.dialect import BurdockleadDialect
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.pooled_upstream import PooledUpstreamClient
from burdocklead.request.upstream_client import Upstream
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, RefusalCause

PAUSE_S = 0.25  # Longer than the window in which losses count as one crash.


class ClosingPool:
    """Pool whose connections close without an answer."""

    async def exchange(self, address, request):
        """Return a closed connection."""
        return ConnectionBroken(
            'closed by the upstream', answered=False, reused=True
        )


@given('a daemon beside an upstream that closes connections and {health}')
def plan_executor(context, health):
    """Create an executor whose client loses every answer."""
    settings = read_settings(
        DaemonSettings,
        {'zone': 'z', 'daemon_id': 'd', 'control': 'c=127.0.0.1:1'},
        {},
    )
    telemetry = AttemptTelemetry(EventRing('d', HybridClock()), MetricSet())
    context.executor = AttemptExecutor(settings, 1, telemetry)
    client = PooledUpstreamClient(BurdockleadDialect(), AnswerLimits())
    client.pool = ClosingPool()
    context.executor.client = client
    context.executor.upstream = Upstream(Address('127.0.0.1', 1))
    context.executor.service = 'sheets'
    context.executor.gate.queue.table.slots = 4
    if health != 'has no health check':

        async def is_alive():
            return health == 'passes its health check'

        client.is_alive = is_alive


def _attempt(number):
    return Attempt(
        attempt_id=f'a{number}',
        call_id=f'c{number}',
        incarnation=1,
        service='sheets',
        route='view',
        method='GET',
        path='/view/1',
        headers=(),
        body=b'',
        remaining_ms=1000,
        idempotent=True,
        rank=1,
        cost_ms=10,
        number=1,
        queue_limit=10,
    )


@when('{count:d} attempts of the same request are run by the daemon')
def run_attempts(context, count):
    """Run the attempts one after the other."""

    async def run():
        results = []
        for number in range(count):
            await asyncio.sleep(PAUSE_S)
            results.append(await context.executor.run(_attempt(number)))
        return results

    context.results = asyncio.run(run())


@then('each attempt is lost and no crash is suspected')
def check_lost(context):
    """Check every result and that no crash was reported."""
    for result in context.results:
        assert isinstance(result, Lost), result
        assert not result.crash_suspected, result
    assert not context.executor.guard.block_list.reports


@then('each attempt is lost and the last one is refused as suspect')
def check_refused(context):
    """Check that the request was blocked after two crashes."""
    *lost, last = context.results
    assert all(isinstance(one, Lost) and one.crash_suspected for one in lost)
    assert isinstance(last, Refusal), last
    assert last.cause is RefusalCause.crash_suspect, last
