"""HTTP handler for callers; any daemon accepts calls to any service."""

from __future__ import annotations

import asyncio

from aiohttp import web

from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import CALL_FAILED
from burdocklead.metrics import (
    CALL_SECONDS,
    CALLS,
    INTERNAL_ERRORS,
    REFUSALS,
    MetricSet,
)
from burdocklead.process.directory import DaemonDirectory
from burdocklead.request.call import Call, CallResult, not_run, unknown
from burdocklead.request.call_response import response_of
from burdocklead.request.caller_input import (
    CallerInputError,
    check_headers,
    check_target,
    read_deadline,
    read_key,
)
from burdocklead.request.dialect import BurdockleadDialect
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.headers import forwarded_headers
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.teams.authentication import (
    IdentifiedCall,
    identify_call,
    sure_refusal,
)
from burdocklead.teams.team_metrics import TeamMetrics
from burdocklead.values import Outcome, RefusalCause
from burdocklead.version.route_table import RouteMatch

MS_PER_S = 1000
DIALECT = BurdockleadDialect()
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
EVENT_BY_OUTCOME = {
    Outcome.answered: EventKind.call_answered,
    Outcome.not_run: EventKind.call_refused,
    Outcome.unknown: EventKind.call_unknown,
}


class CallerHandler:
    """Handles the calls of clients and responds with their outcomes.

    Attributes:
        in_progress: Number of calls without a response yet.
        draining: True if each response closes its connection.
    """

    def __init__(
        self,
        directory: DaemonDirectory,
        dispatcher: Dispatcher,
        keyed_calls: KeyedCalls,
        events: EventRing,
        metrics: MetricSet,
    ) -> None:
        self.directory = directory
        self.dispatcher = dispatcher
        self.keyed_calls = keyed_calls
        self.events = events
        self.metrics = metrics
        self.team_metrics = TeamMetrics(metrics)
        self.in_progress = 0
        self.draining = False

    def is_working(self) -> bool:
        """Return True while a call runs, even if its caller disconnected."""
        return bool(self.in_progress or self.keyed_calls.pending)

    async def handle_call(self, request: web.BaseRequest) -> web.Response:
        """Run one call and return a response with its outcome."""
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
        self._record_metrics(service, result, started)
        self.events.record(
            EVENT_BY_OUTCOME[result.outcome],
            call_id=call_id,
            service=service,
            detail=result.cause,
        )
        response = response_of(result, call_id)
        if self.draining or not request.content.is_eof():
            response.force_close()
        return response

    def _record_metrics(
        self, service: str, result: CallResult, started: float
    ) -> None:
        elapsed = asyncio.get_running_loop().time() - started
        outcome = result.outcome.value
        self.metrics.count(CALLS, service, outcome)
        self.metrics.observe(CALL_SECONDS, elapsed, service, outcome)
        if result.outcome is Outcome.not_run:
            self.metrics.count(REFUSALS, result.cause)

    def _service_of(self, request: web.BaseRequest) -> str:
        """Return the called service, or an empty string if it is unknown."""
        if self.directory.table is None:
            return ''
        found = self.directory.table.find_service(request.raw_path)
        return found[0] if found else ''

    async def _result_of(
        self, request: web.BaseRequest, call_id: str
    ) -> CallResult:
        """Return the result of a call.

        The outcome of an error before the dispatch is not-run.
        """
        call: Call | None = None
        try:
            call = await self._read_call(request, call_id)
            result = await self._run_call(call)
            self.team_metrics.count(call.team, result.outcome)
            return result
        except CallerInputError as error:
            now = asyncio.get_running_loop().time()
            refusal = sure_refusal(error, self.directory.keys, now)
            return not_run(refusal.cause, refusal.reason)
        except Exception:
            self.metrics.count(INTERNAL_ERRORS)
            CALL_FAILED.write(call=call_id, exc_info=True)
        if call is None:
            return not_run(RefusalCause.internal_error)
        return unknown(RefusalCause.internal_error.value)

    async def _run_call(self, call: Call) -> CallResult:
        route = call.match.route
        if call.key and not route.idempotent:
            return await self.keyed_calls.run(call)
        if route.key_required:
            return not_run(RefusalCause.key_required)
        return await self.dispatcher.run(call)

    async def _read_call(self, request: web.BaseRequest, call_id: str) -> Call:
        started = asyncio.get_running_loop().time()
        headers = [(name, text) for name, text in request.headers.items()]
        check_target(request.raw_path)
        check_headers(headers)
        identified = identify_call(
            self.directory.keys.index,
            DIALECT,
            tuple(headers),
            IdentifiedCall(
                self._find_route(request), forwarded_headers(headers)
            ),
        )
        match = identified.match
        limit_ms = min(match.route.timeout_ms, read_deadline(headers))
        deadline = started + limit_ms / MS_PER_S
        self.dispatcher.work_limit.check_deadline(deadline)
        return Call(
            call_id=call_id,
            match=match,
            method=request.method,
            headers=identified.headers,
            key=read_key(headers),
            deadline=deadline,
            body=await _read_body(request, limit_ms / MS_PER_S),
            team=identified.team,
            key_proof=identified.key_proof,
        )

    def _find_route(self, request: web.BaseRequest) -> RouteMatch:
        table = self.directory.table
        if table is None:
            reason = 'this daemon has no configuration yet'
            raise CallerInputError(RefusalCause.no_configuration, reason)
        if table.find_service(request.raw_path) is None:
            reason = 'no service has this name'
            raise CallerInputError(RefusalCause.unknown_service, reason)
        match = table.find_route(request.method, request.raw_path)
        if match is None:
            reason = 'no route of the service covers the method and the path'
            raise CallerInputError(RefusalCause.unknown_route, reason)
        return match


async def _read_body(request: web.BaseRequest, limit_s: float) -> bytes:
    if request.headers.get('Expect', '').lower() == '100-continue':
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0
    try:
        async with asyncio.timeout(limit_s):
            return await request.read()
    except TimeoutError:
        reason = 'the body did not come before the deadline'
        raise CallerInputError(RefusalCause.deadline, reason) from None
    except web.HTTPRequestEntityTooLarge as error:
        reason = str(error.text)
        raise CallerInputError(RefusalCause.body_too_large, reason) from None
    except (web.RequestPayloadError, ConnectionError, ValueError) as error:
        raise CallerInputError(RefusalCause.bad_body, str(error)) from None
