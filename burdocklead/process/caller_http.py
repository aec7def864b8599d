"""The callers' interface: any daemon takes any service's call."""

from __future__ import annotations

import asyncio

from aiohttp import web

from burdocklead.events import EventKind, EventRing
from burdocklead.metrics import CALL_SECONDS, CALLS, REFUSALS, MetricSet
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.call import Call, CallResult, not_run
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.headers import (
    CALL_HEADER,
    CAUSE_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    forwarded_headers,
)
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.settings import DaemonSettings
from burdocklead.values import Outcome, RefusalCause
from burdocklead.version.route_table import RouteMatch

MS_PER_S = 1000
EVENT_BY_OUTCOME = {
    Outcome.answered: EventKind.call_answered,
    Outcome.not_run: EventKind.call_refused,
    Outcome.unknown: EventKind.call_unknown,
}


class CallerPages:
    """Takes calls of clients and returns their true outcomes.

    Attributes:
        in_progress: Calls without an answer yet.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        directory: DaemonDirectory,
        dispatcher: Dispatcher,
        keyed_calls: KeyedCalls,
        events: EventRing,
        metrics: MetricSet,
    ) -> None:
        """Prepare the interface of one daemon."""
        self.settings = settings
        self.directory = directory
        self.dispatcher = dispatcher
        self.keyed_calls = keyed_calls
        self.events = events
        self.metrics = metrics
        self.in_progress = 0

    def application(self) -> web.Application:
        """Return the application that takes every path."""
        application = web.Application(
            client_max_size=self.settings.max_body_bytes
        )
        application.router.add_route('*', '/{target:.*}', self.take_call)
        return application

    async def take_call(self, request: web.Request) -> web.Response:
        """Return the answer to one call with its outcome."""
        started = asyncio.get_running_loop().time()
        call_id = self.dispatcher.new_id()
        self.in_progress += 1
        service = self._service_of(request)
        self.events.record(
            EventKind.call_received, call_id=call_id, service=service
        )
        try:
            result = await self._result_of(request, call_id)
        finally:
            self.in_progress -= 1
        self._count(service, result, started)
        self.events.record(
            EVENT_BY_OUTCOME[result.outcome],
            call_id=call_id,
            service=service,
            detail=result.cause,
        )
        return _response_of(result, call_id)

    def _count(self, service: str, result: CallResult, started: float) -> None:
        elapsed = asyncio.get_running_loop().time() - started
        outcome = result.outcome.value
        self.metrics.count(CALLS, service, outcome)
        self.metrics.observe(CALL_SECONDS, elapsed, service, outcome)
        if result.outcome is Outcome.not_run:
            self.metrics.count(REFUSALS, result.cause)

    def _service_of(self, request: web.Request) -> str:
        """Return the known service called, empty for any other path."""
        if self.directory.table is None:
            return ''
        found = self.directory.table.find_service(request.raw_path)
        return found[0] if found else ''

    async def _result_of(
        self, request: web.Request, call_id: str
    ) -> CallResult:
        if self.directory.table is None:
            return not_run(RefusalCause.unknown_service)
        match = self.directory.table.find_route(
            request.method, request.raw_path
        )
        if match is None:
            return not_run(RefusalCause.unknown_route)
        try:
            call = await self._read_call(request, call_id, match)
        except web.HTTPRequestEntityTooLarge:
            return not_run(RefusalCause.body_too_large)
        except ValueError:
            return not_run(RefusalCause.bad_request)
        return await self._run_call(call)

    async def _run_call(self, call: Call) -> CallResult:
        route = call.match.route
        if call.key and not route.idempotent:
            return await self.keyed_calls.run(call)
        if route.key_required:
            return not_run(RefusalCause.key_required)
        return await self.dispatcher.run(call)

    async def _read_call(
        self, request: web.Request, call_id: str, match: RouteMatch
    ) -> Call:
        started = asyncio.get_running_loop().time()
        limit_ms = match.route.timeout_ms
        asked_ms = request.headers.get(DEADLINE_HEADER)
        if asked_ms is not None:
            limit_ms = min(limit_ms, _positive(asked_ms))
        body = await request.read()
        return Call(
            call_id=call_id,
            match=match,
            method=request.method,
            headers=forwarded_headers(request.headers.items()),
            body=body,
            key=request.headers.get(KEY_HEADER, ''),
            deadline=started + limit_ms / MS_PER_S,
        )


def _positive(text: str) -> float:
    number = float(text)
    if not 0 < number < float('inf'):
        raise ValueError('must be a positive number')
    return number


def _response_of(result: CallResult, call_id: str) -> web.Response:
    response = web.Response(body=result.body, status=result.status)
    response.headers.popall('Content-Type', None)
    for name, text in result.headers:
        response.headers.add(name, text)
    response.headers[OUTCOME_HEADER] = result.outcome.value
    response.headers[CALL_HEADER] = call_id
    if result.cause:
        response.headers[CAUSE_HEADER] = result.cause
    return response
