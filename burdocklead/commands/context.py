"""What every subcommand needs: where to ask and how to answer."""

from __future__ import annotations

import asyncio
import ssl
from dataclasses import dataclass
from typing import TextIO

import aiohttp

from burdocklead.exceptions import ControlError
from burdocklead.process.operator_access import load_access
from burdocklead.settings import OperatorSettings

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Settings of a run and its output.

    Attributes:
        settings: Settings of the operator.
        as_json: True for JSON in place of tables.
        output: Where results go.
    """

    settings: OperatorSettings
    as_json: bool
    output: TextIO

    def write(self, text: str) -> None:
        """Write one line of the result."""
        self.output.write(f'{text}\n')


@dataclass(frozen=True, slots=True)
class ControlAnswer:
    """Answer of a control replica.

    Attributes:
        status: HTTP status.
        body: Whole body.
        replica: Replica that answered.
    """

    status: int
    body: bytes
    replica: str


async def ask_control(
    context: CommandContext, method: str, path: str, body: bytes = b''
) -> ControlAnswer:
    """Return the answer of the first replica that can be reached.

    Raises:
        ControlError: If none could be reached.
    """
    reasons = []
    async with open_session(context.settings) as session:
        for name, address in context.settings.control_admin:
            url = f'{scheme_of(context.settings)}://{address}{path}'
            try:
                async with session.request(method, url, data=body) as response:
                    text = await response.read()
                    return ControlAnswer(response.status, text, name)
            except (aiohttp.ClientError, asyncio.TimeoutError) as error:
                reasons.append(f'{name}: {error or "no answer in time"}')
    raise ControlError('; '.join(reasons), step=path, peer='control')


def scheme_of(settings: OperatorSettings) -> str:
    """Return the URL scheme of the control replicas."""
    return 'http' if settings.tls_authority is None else 'https'


def open_session(settings: OperatorSettings) -> aiohttp.ClientSession:
    """Return a session with the time limit, the token and TLS."""
    return aiohttp.ClientSession(
        connector=_connector(settings),
        timeout=aiohttp.ClientTimeout(total=settings.timeout),
        headers=load_access(settings.operator_token_file).header(),
    )


def _connector(settings: OperatorSettings) -> aiohttp.TCPConnector:
    if settings.tls_authority is None:
        return aiohttp.TCPConnector()
    context = ssl.create_default_context(cafile=settings.tls_authority)
    return aiohttp.TCPConnector(ssl=context)
