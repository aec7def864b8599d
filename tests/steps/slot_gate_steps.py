"""Steps for waiting for a slot."""

import asyncio

from behave import given, then, when

from burdocklead.fairness.tickets import Admitted, Ticket
from burdocklead.request.admission import AdmissionQueue
from burdocklead.request.slot_gate import SlotGate
from burdocklead.request.slot_table import SlotTable
from burdocklead.version.deployment import RANKS, Priority

DEADLINE_S = 60
SERVICE_MS = 5
LOOP_ITERATIONS = 5


def ticket(name, now):
    return Ticket(
        attempt_id=name,
        route='service/route',
        rank=RANKS[Priority.normal],
        cost_ms=SERVICE_MS,
        deadline=now + DEADLINE_S,
        queue_limit=10,
    )


async def cancel_and_release(context):
    now = asyncio.get_running_loop().time()
    gate = SlotGate(AdmissionQueue(SlotTable(1)))
    context.gate = gate
    assert await gate.admit(ticket('running', now)) == Admitted()
    first, second = (
        asyncio.create_task(gate.admit(ticket(name, now)))
        for name in ('first', 'second')
    )
    await asyncio.sleep(0)
    assert set(gate.waiters) == {'first', 'second'}
    # Cancels the awaited future, as a timeout does.
    first.cancel()
    gate.release('running', SERVICE_MS, finished=True)
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    context.second = second.result() if second.done() else None
    second.cancel()


@given('a slot gate whose only slot is taken and two waiting calls')
def prepare_gate(context):
    context.gate = None


@when(
    'the wait of the first one is cancelled and the slot is released in the '
    'same event loop iteration'
)
def run_cancellation(context):
    asyncio.run(cancel_and_release(context))


@then('the second waiting call has the slot of the gate')
def check_second_admitted(context):
    assert context.second == Admitted(), context.second


@then('no other call holds a slot of the gate')
def check_no_leak(context):
    held = set(context.gate.queue.table.running)
    assert held == {'second'}, held
