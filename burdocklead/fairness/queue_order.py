"""Order of the calls that wait for a slot, without I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from burdocklead.fairness.tickets import Ticket
from burdocklead.request.route_costs import RouteCost
from burdocklead.request.upstream_load import PaceView
from burdocklead.request.waiting_calls import (
    SortKey,
    WaitingCall,
    WaitingCalls,
)

MS_PER_S = 1000


def sort_key_of(
    ticket: Ticket,
    cost: RouteCost,
    team_round: int,
    latest_start: float,
    now: float,
) -> SortKey:
    """Return the sort key of a waiting call.

    Calls that can still meet their objective go first: a late answer is
    worth little, and the slot that it uses delays other calls. For a nested
    call only the deadline counts, since its parent is lost without it.

    Args:
        ticket: The call.
        cost: Learned cost of its route.
        team_round: Round of its team.
        latest_start: Latest start in s that meets its deadline.
        now: Monotonic time in s.
    """
    is_new = not ticket.nested
    if not ticket.objective:
        return False, ticket.rank, is_new, team_round, latest_start
    wanted_start = ticket.objective - cost.median.estimate / MS_PER_S
    if is_new and wanted_start < now:
        return True, ticket.rank, is_new, team_round, latest_start
    start = min(wanted_start, latest_start)
    return False, ticket.rank, is_new, team_round, start


def call_to_shed(
    queues: Sequence[WaitingCalls[Ticket]], new_call: WaitingCall[Ticket]
) -> WaitingCall[Ticket] | None:
    """Return the waiting call to shed for a new call, if any."""
    lasts = [queue.last() for queue in queues if queue]
    lower = [
        call for call in lasts if call.sort_key[:4] > new_call.sort_key[:4]
    ]
    return max(lower, key=lambda call: call.sort_key, default=None)


def demote_late(queue: WaitingCalls[Ticket], now: float) -> None:
    """Move late calls behind those that can still meet their objective."""
    while not queue.first().sort_key[0] and queue.first().payload.objective:
        first = queue.first()
        if first.sort_key[-1] >= now or first.payload.nested:
            return
        queue.pop_first()
        sort_key = (True, *first.sort_key[1:4], first.latest_start)
        queue.add(replace(first, sort_key=sort_key))


def waits_behind(queue: WaitingCalls[Ticket], ticket: Ticket) -> bool:
    """Return True if a waiting call goes before a new arrival."""
    if not queue:
        return False
    return not ticket.nested or queue.first().payload.nested


def should_hold(
    waiting: WaitingCall[Ticket], pace: PaceView, now: float
) -> bool:
    """Return True if a call should wait for a better pace.

    A call is held no longer than its latest start, from which it can still
    meet its deadline at the usual pace.
    """
    if waiting.latest_start <= now:
        return False
    return pace.is_worth_waiting(waiting.cost_ms, now)
