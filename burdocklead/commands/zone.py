"""Evacuate an availability zone, end its evacuation, list evacuated zones."""

from __future__ import annotations

from urllib.parse import quote

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.http_client import OK, HttpResponse, Request
from burdocklead.commands.replica_client import (
    send_to_best_replica,
    send_with_failover,
)
from burdocklead.evacuation.zone_list import EvacuatedZones
from burdocklead.exceptions import LostAnswerError, SettingsError

STEP = 'zone'
EVACUATIONS_PATH = '/v1/evacuations'
ZONE_ACTIONS = ('list', 'evacuate', 'restore')
METHODS = {'evacuate': 'PUT', 'restore': 'DELETE'}


async def run_zone(context: CommandContext, action: str, zone: str) -> ExitCode:
    """Run one action on the evacuated zones and return the exit code.

    Raises:
        LostAnswerError: If the change may or may not have been accepted.
        RefusedError: If control refuses the change.
        SettingsError: If the zone does not fit the action.
    """
    method = METHODS.get(action)
    if (method is None) == bool(zone):
        reason = f'{action} needs {"no" if zone else "a"} zone; see --help'
        raise SettingsError(reason, step=STEP)
    if method is None:
        request = Request(STEP, 'GET', EVACUATIONS_PATH)
        response = await send_to_best_replica(context, request)
    else:
        path = f'{EVACUATIONS_PATH}/{quote(zone, safe="")}'
        response = await _change(context, Request(STEP, method, path))
    zones = response.decode(EvacuatedZones).zones
    if context.as_json:
        context.write_json({'evacuated': zones})
    else:
        names = ', '.join(zones) or 'none'
        context.write(f'evacuated zones: {names}')
    return ExitCode.done


async def _change(context: CommandContext, request: Request) -> HttpResponse:
    try:
        response = await send_with_failover(context, request)
    except LostAnswerError as error:
        reason = f'not known; give the same command again ({error.reason})'
        raise LostAnswerError(reason, step=STEP, peer=error.peer) from None
    if response.status != OK:
        raise response.failure()
    return response
