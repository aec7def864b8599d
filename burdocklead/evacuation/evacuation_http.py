"""HTTP endpoints of a control replica for evacuated zones."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import web

from burdocklead.evacuation.operator_evacuations import OperatorEvacuations
from burdocklead.evacuation.zone_list import EvacuatedZones
from burdocklead.exceptions import (
    BurdockleadError,
    ConfigurationError,
    ControlError,
)
from burdocklead.process.json_responses import error_response, json_response

PATH = '/v1/evacuations'
BAD_REQUEST = 400
UNAVAILABLE = 503
STEP = 'zone'


@dataclass(frozen=True, slots=True)
class EvacuationHandlers:
    """Handlers of the endpoints for evacuated zones.

    Attributes:
        evacuations: The list and its changes.
    """

    evacuations: OperatorEvacuations

    def routes(self) -> Sequence[web.RouteDef]:
        """Return the routes of the endpoints."""
        return (
            web.get(PATH, self.show),
            web.put(f'{PATH}/{{zone}}', self.change),
            web.delete(f'{PATH}/{{zone}}', self.change),
        )

    def zones(self) -> tuple[str, ...]:
        """Return the evacuated zones that this replica knows."""
        current = self.evacuations.current
        return current.zones if current else ()

    async def show(self, request: web.Request) -> web.Response:
        """Return the list of evacuated zones."""
        return json_response(self.evacuations.current or EvacuatedZones())

    async def change(self, request: web.Request) -> web.Response:
        """Start or end the evacuation of a zone."""
        zone = request.match_info['zone']
        try:
            accepted = await self.evacuations.change(
                zone, evacuate=request.method == 'PUT'
            )
        except ConfigurationError as error:
            refusal = BurdockleadError(error.reason, step=STEP)
            return error_response(refusal, BAD_REQUEST)
        except ControlError as error:
            return error_response(error, UNAVAILABLE)
        return json_response(accepted)
