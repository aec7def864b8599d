"""Requests to an upstream, encoded for its connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from burdocklead.connection.frames import Headers
from burdocklead.values import Body

AnswerIdReader = Callable[[Headers], str | None]


def read_no_id(headers: Headers) -> str | None:
    """Return None: the answers of an exchange without an ID have none."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream.

    Attributes:
        method: HTTP method.
        content: The encoded request, without a large body.
        body: A large body, empty if it is part of the content.
        answer_id: ID that the upstream echoes in its answer, empty if none.
        read_answer_id: Returns the ID in the headers of an answer.
    """

    method: str
    content: bytes
    answer_id: str = ''
    read_answer_id: AnswerIdReader = read_no_id
    body: Body = b''
