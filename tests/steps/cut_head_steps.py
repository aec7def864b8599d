"""Steps for answers of an upstream whose connection ends too early."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from burdocklead.connection.answer_reader import (
    AnswerLimits,
    AnswerReader,
)
from burdocklead.connection.http_messages import find_header
from burdocklead.connection.upstream_request import UpstreamRequest

HEAD_END = '\r\n\r\n'
BODY = 'the whole answer'
HEAD = 'HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s'
WITH_LENGTH = f'{HEAD}\r\nContent-Length: {len(BODY)}{HEAD_END}{BODY}'
# What comes before each answer, and the answer.
ANSWERS = {
    'with a length': ('', WITH_LENGTH),
    'in chunks': (
        '',
        f'{HEAD}\r\nTransfer-Encoding: chunked{HEAD_END}'
        f'{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n',
    ),
    'without a length': ('', f'{HEAD}{HEAD_END}{BODY}'),
    'behind an interim response': (
        'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
        WITH_LENGTH,
    ),
    'behind a whole answer to another ID': (
        f'HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: {len(BODY)}{HEAD_END}'
        f'{BODY}',
        f'{HEAD}{HEAD_END}{BODY}',
    ),
    'of status 204': ('', f'HTTP/1.1 204 No Content\r\nId: 7{HEAD_END}'),
    'with bare line feeds': (
        '',
        f'{HEAD}{HEAD_END}{BODY}'.replace('\r\n', '\n'),
    ),
}
ENDS = {'a close': None, 'a reset': ConnectionResetError('reset')}


class RecordingSink:
    """Records the answer of an exchange, or why there is none."""

    def __init__(self):
        """Start without a result."""
        self.answer = None
        self.reason = ''

    def finish(self, answer):
        """Record the answer."""
        self.answer = answer

    def reject_body(self, status):
        """Record that the body was too large."""
        self.reason = 'too large'

    def fail(self, reason, *, answered):
        """Record the reason."""
        self.reason = reason


@given('an answer {answer}')
def choose_answer(context, answer):
    """Keep the parts of the answer."""
    before, text = ANSWERS[answer]
    context.before = before
    context.answer = text


@when('its connection ends after each number of bytes of its {part}, by {end}')
def cut_everywhere(context, part, end):
    """Read each beginning of the answer that ends in one of its parts."""
    separator = HEAD_END if HEAD_END in context.answer else '\n\n'
    head_bytes = context.answer.index(separator) + len(separator)
    lengths = range(head_bytes)
    if part == 'body':
        lengths = range(head_bytes, len(context.answer))
    context.sinks = asyncio.run(read_all(context, lengths, ENDS[end]))


@when('its connection ends after its last byte, by a close')
def read_whole(context):
    """Read the whole answer."""
    lengths = [len(context.answer)]
    context.sinks = asyncio.run(read_all(context, lengths, None))


async def read_all(context, lengths, error):
    """Return the results of reading the first bytes, for each length."""
    return [
        read_beginning(context.before + context.answer[:length], error)
        for length in lengths
    ]


def read_beginning(text, error):
    """Return the result of reading a text before the connection ends."""
    sink = RecordingSink()
    reader = AnswerReader(sink, AnswerLimits())
    request = UpstreamRequest(
        'GET', b'', '7', lambda headers: find_header(headers, 'Id')
    )
    reader.start(request, is_first=True)
    if text:
        reader.feed(text.encode())
    reader.end(error)
    return sink


@then('no exchange has an answer')
def check_no_answer(context):
    """Check that each exchange failed."""
    assert context.sinks
    for sink in context.sinks:
        assert sink.answer is None, sink.answer
        assert sink.reason


@then('the exchange has the whole answer')
def check_whole(context):
    """Check the body of the answer."""
    sink = context.sinks[0]
    assert sink.answer is not None, sink.reason
    assert sink.answer.body.decode() == BODY, sink.answer
