"""The configuration that operators change, as a control replica knows it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from burdocklead.durable.configuration import (
    CONFIGURATION_KEY,
    NO_FILE,
    AcceptedFile,
    ApplyResult,
    Proposal,
    decide_change,
    decode_accepted_file,
    without_history,
)
from burdocklead.durable.decided_register import (
    DecidedRegister,
    QuorumRegisters,
)
from burdocklead.durable.register import Register
from burdocklead.events import EventKind, EventRing
from burdocklead.log_events import VERSION_ACCEPTED
from burdocklead.version.configuration_file import digest_of


class OperatorConfiguration:
    """Keeps the newest configuration file and changes it by its register.

    Attributes:
        decided: Newest decided file that this replica knows.
        text_digest: SHA-256 digest of its text, empty before the first.
    """

    def __init__(
        self,
        registers: QuorumRegisters,
        read_local: Callable[[str], Register],
        events: EventRing,
        request_exchange: Callable[[], None],
    ) -> None:
        """Start without a file.

        Args:
            registers: Reads and changes registers through a quorum.
            read_local: Returns the state of a register at this replica.
            events: Ring for newer versions.
            request_exchange: Requests an exchange with the other replicas.
        """
        self.registers = registers
        self.read_local = read_local
        self.events = events
        self.request_exchange = request_exchange
        self.decided = DecidedRegister(
            CONFIGURATION_KEY, _decode_file, _version_of, self._note, NO_FILE
        )
        self.text_digest = ''

    @property
    def current(self) -> AcceptedFile:
        """Return the newest decided file, without its history."""
        return self.decided.current or NO_FILE

    async def propose(self, proposal: Proposal) -> ApplyResult:
        """Propose a change and return the decision.

        Raises:
            ConfigurationError: If a patch yields an invalid configuration.
            QuorumError: If no quorum answered; the change may still be
                accepted later.
        """
        results: list[ApplyResult] = []

        def update(value: bytes) -> bytes:
            updated, result = decide_change(
                decode_accepted_file(value), proposal
            )
            results.append(result)
            return msgspec.msgpack.encode(updated)

        value = await self.registers.change(CONFIGURATION_KEY, update)
        self.decided.learn(_decode_file(value))
        if results[-1].accepted:
            self.request_exchange()
        return results[-1]

    async def read(self) -> AcceptedFile:
        """Return the newest decided file, read from a quorum.

        Raises:
            QuorumError: If no quorum answered.
        """
        file = _decode_file(await self.registers.read(CONFIGURATION_KEY))
        self.decided.learn(file)
        return file

    def learn_announced(self, version: int, text_digest: str) -> None:
        """Adopt a newer file that another replica knows to be decided.

        The register of this replica usually holds the content already,
        because the round that accepted it brought it here. The digest in the
        file doesn't tell: it is that of the request, which may have patched
        another version here.
        """
        if version <= self.current.version:
            return
        held = _decode_file(self.read_local(CONFIGURATION_KEY).value)
        if held.version == version and digest_of(held.text) == text_digest:
            self.decided.learn(held)
        else:
            self.request_exchange()

    def _note(self, file: AcceptedFile) -> None:
        self.text_digest = digest_of(file.text)
        self.events.record(
            EventKind.version_accepted, detail=f'version {file.version}'
        )
        VERSION_ACCEPTED.write(version=file.version)


def _decode_file(value: bytes) -> AcceptedFile:
    return without_history(decode_accepted_file(value))


def _version_of(file: AcceptedFile) -> int:
    return file.version
