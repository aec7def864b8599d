"""Steps for attempts whose link failed."""

from __future__ import annotations

import asyncio
import random

from behave import given, then

from burdocklead.connection.frames import (
    Answer,
    Attempt,
    AttemptState,
    Verdict,
)
from burdocklead.exceptions import LinkError
from burdocklead.request.attempt_runner import NO_LOAD, AttemptRunner
from burdocklead.request.call import Call
from burdocklead.request.routing import Router
from burdocklead.version.deployment import Route, Service
from burdocklead.version.route_table import RouteMatch
from tests.steps.routing_simulation import member

MS_PER_S = 1000


class FailingLink:
    """Link that fails each attempt and answers queries after a delay."""

    def __init__(self):
        """Initialize the link without a delay."""
        self.query_delay_ms = 0

    def link_to(self, target):
        """Return this link."""
        return self

    def find_member(self, daemon_id):
        """Return the same member for every ID."""
        return member(0)

    async def open(self, incarnation):
        """Do nothing; the link is open."""

    async def run_attempt(self, attempt):
        """Fail after the attempt was sent."""
        raise LinkError('silent', step='await', peer='daemon')

    async def query(self, query):
        """Return after the delay that the attempt was answered."""
        await asyncio.sleep(self.query_delay_ms / MS_PER_S)
        answer = Answer(query.attempt_id, 200, (), b'', NO_LOAD)
        return Verdict(
            query.attempt_id, query.incarnation, AttemptState.done, answer
        )


@given('a link that fails after an attempt was sent')
def create_failing_link(context):
    """Create the link."""
    context.link = FailingLink()


@given('a query over a new link takes {wait:d} ms')
def set_query_delay(context, wait):
    """Set the delay of queries."""
    context.link.query_delay_ms = wait


async def _run_attempt(context, idempotent):
    route = Route(name='view', method='GET', path='/', idempotent=idempotent)
    match = RouteMatch('sheets', Service(routes=(route,)), route, '/')
    loop = asyncio.get_running_loop()
    call = Call('c', match, 'GET', (), b'', '', loop.time() + 10)
    attempt = Attempt(
        attempt_id='a.1.1',
        call_id='c',
        incarnation=member(0).incarnation,
        service='sheets',
        route='view',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        remaining_ms=10000,
        idempotent=idempotent,
        rank=1,
        cost_ms=5,
        number=1,
        queue_limit=10,
    )
    runner = AttemptRunner(context.link, Router('vancouver', random.Random(1)))
    started = loop.time()
    result = await runner.run(call, member(0), attempt)
    return result, (loop.time() - started) * MS_PER_S


@then('an attempt that {kind} idempotent is "{result}" within {limit:d} ms')
def check_result(context, kind, result, limit):
    """Run an attempt and check its result and the time it takes."""
    found, elapsed_ms = asyncio.run(_run_attempt(context, kind == 'is'))
    assert type(found).__name__.lower() == result, found
    assert elapsed_ms < limit, elapsed_ms
