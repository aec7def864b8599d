"""Steps for the decisions of the memory budget and for large frames."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from burdocklead.clock import HybridTime
from burdocklead.connection.frames import (
    Answer,
    Attempt,
    FrameBuffer,
    Ping,
    encode_frame,
)
from burdocklead.connection.large_frames import (
    FramePieces,
    LargeFrameIntake,
    encode_for_link,
)
from burdocklead.memory.budget import (
    BudgetLimits,
    MemoryBudget,
    Shed,
    Use,
    Waiter,
)
from burdocklead.memory.held_bytes import HeldBytes
from burdocklead.values import LoadReport, RefusalCause

MEBIBYTE = 1048576
PART_BYTES = 65536
TIME = HybridTime(5, 6)
BODY = bytes(range(256)) * 4096


@given('a memory budget of {size:d} MiB')
def create_budget(context, size):
    """Create the budget."""
    context.budget = MemoryBudget(BudgetLimits(size * MEBIBYTE))
    context.granted = []


@when('requests reserve {size:d} MiB')
def reserve_requests(context, size):
    """Reserve memory for requests."""
    assert context.budget.try_reserve(Use.requests, size * MEBIBYTE)


@when('the budget is full')
def fill_budget(context):
    """Take the rest of the budget."""
    left = context.budget.limits.total_bytes - context.budget.reserved
    context.budget.add_call(left)


@then('a request of {size:d} MiB finds no room')
def check_no_room(context, size):
    """Try to reserve."""
    assert not context.budget.try_reserve(Use.requests, size * MEBIBYTE)


@then(
    'answers of {size:d} MiB find room and further ones of {more:d} MiB do not'
)
def check_answers(context, size, more):
    """Reserve for answers up to their ceiling."""
    assert context.budget.try_reserve(Use.answers, size * MEBIBYTE)
    assert not context.budget.try_reserve(Use.answers, more * MEBIBYTE)


@then('a call of {size:d} MiB finds room')
def check_call(context, size):
    """Reserve for a small call, from the reserve."""
    assert context.budget.try_add_call(size * MEBIBYTE)


def wait_for(context, use, size):
    """Queue a reservation; return whether it may wait."""
    return context.budget.wait(
        Waiter(use, size * MEBIBYTE, lambda: context.granted.append(size))
    )


@when(
    'a request of {first:d} MiB waits, then one of {second:d} MiB, then an '
    'answer of {answer:d} MiB'
)
def queue_bodies(context, first, second, answer):
    """Queue three bodies; a later one may not overtake them."""
    assert wait_for(context, Use.requests, first)
    assert not context.budget.try_reserve(Use.requests, 1)
    assert wait_for(context, Use.requests, second)
    assert wait_for(context, Use.answers, answer)


@when('{size:d} MiB of the {use} are returned')
def return_bytes(context, size, use):
    """Return reserved bytes."""
    context.budget.free(Use(use), size * MEBIBYTE)


@then('the answer of {size:d} MiB is granted alone')
def check_answer_granted(context, size):
    """The request at the head does not fit beside the answer."""
    assert context.granted == [size], context.granted


@then('the requests are granted in order')
def check_requests_granted(context):
    """Check the order in which room was granted."""
    assert context.granted == [40, 50, 1], context.granted


@when('a body of {size:d} MiB is collected and a part of it kept')
def collect_body(context, size):
    """Collect a body and keep a slice of it."""
    held = HeldBytes(context.budget, Use.requests)
    assert held.reservation.try_grow(size * MEBIBYTE)
    held.append(BODY * size)
    context.kept = memoryview(held.finish())[:10]


@then('{size:d} MiB are reserved until the part is dropped')
def check_reserved(context, size):
    """Drop the last reference to the body."""
    assert context.budget.reserved == size * MEBIBYTE
    assert bytes(context.kept) == BODY[:10]
    context.kept = None
    assert not context.budget.reserved, context.budget


@then("a request of {size:d} MiB can't wait and only {count:d} of 1 MiB can")
def check_waiting(context, size, count):
    """Queue too many."""
    assert not wait_for(context, Use.requests, size)
    waiting = [wait_for(context, Use.requests, 1) for _ in range(count + 1)]
    assert sum(waiting) == count and not waiting[-1], waiting


@when('an attempt and an answer of 1 MiB are encoded in pieces')
def encode_large(context):
    """Encode the frames."""
    headers = (('a', 'b'),)
    context.frames = [make_attempt(BODY)]
    context.frames.append(
        Answer('e.1.1', 200, headers, BODY, LoadReport(1, 2, 3))
    )
    context.pieces = [encode_for_link(one, TIME) for one in context.frames]
    assert all(isinstance(one, FramePieces) for one in context.pieces)


def make_attempt(body):
    """Return an attempt with all fields set."""
    head = ('e.1.1', 'call', 1, 'service', 'route', 'POST', '/path', ())
    return Attempt(*head, body, 5, True, 1, 2, 3, 4, 6, False, 'team', True)


@then('the pieces are what the encoder makes of the whole frames')
def check_pieces(context):
    """Join the pieces."""
    context.parts = []
    for frame, pieces in zip(context.frames, context.pieces, strict=True):
        whole = b''
        while pieces.size:
            context.parts.append(bytes(pieces.take(PART_BYTES)))
            whole += context.parts[-1]
        assert whole == encode_frame(frame, TIME)


@then('reading them in parts returns them without a copy of the body')
def check_read_back(context):
    """Feed the parts; the bodies refer to the reserved memory."""
    intake = LargeFrameIntake(context.budget, lambda refusal: None)
    buffer = FrameBuffer(large=intake)
    frames = [one for part in context.parts for one in buffer.feed(part)]
    assert [bytes(one.body) for one in frames] == [BODY, BODY]
    assert frames[0].team == 'team'
    assert frames[1].load == LoadReport(1, 2, 3)
    assert context.budget.by_use[Use.frames] > 2 * len(BODY)
    frames.clear()
    assert not context.budget.by_use[Use.frames], context.budget


@then('reading an attempt of 1 MiB refuses it and reads the frame behind it')
def check_skipped(context):
    """Feed a frame that finds no room and a small one behind it."""

    async def feed():
        refusals = []
        intake = LargeFrameIntake(context.budget, refusals.append)
        buffer = FrameBuffer(large=intake)
        sent = encode_frame(make_attempt(BODY), TIME)
        sent += encode_frame(Ping(7), TIME)
        frames = []
        for start in range(0, len(sent), PART_BYTES):
            frames.extend(buffer.feed(sent[start : start + PART_BYTES]))
        return refusals, frames

    refusals, frames = asyncio.run(feed())
    assert frames == [Ping(7)], frames
    assert [one.attempt_id for one in refusals] == ['e.1.1'], refusals
    assert refusals[0].cause is RefusalCause.memory_budget
    assert context.budget.shed[Shed.frame] == 1
