"""What every subcommand needs: where to ask and how to answer."""

from __future__ import annotations

import asyncio
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
    timeout = aiohttp.ClientTimeout(total=context.settings.timeout)
    headers = load_access(context.settings.operator_token_file).header()
    async with aiohttp.ClientSession(
        timeout=timeout, headers=headers
    ) as session:
        for name, address in context.settings.control_admin:
            url = f'http://{address}{path}'
            try:
                async with session.request(method, url, data=body) as response:
                    text = await response.read()
                    return ControlAnswer(response.status, text, name)
            except (aiohttp.ClientError, asyncio.TimeoutError) as error:
                reasons.append(f'{name}: {error or "no answer in time"}')
    raise ControlError('; '.join(reasons), step=path, peer='control')
