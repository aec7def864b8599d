"""The configuration register: which file is accepted."""

from __future__ import annotations

import msgspec

from burdocklead.version.configuration_file import digest_of

CONFIGURATION_KEY = 'configuration'
MAX_EARLIER_FILES = 64


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of a file accepted earlier."""

    version: int
    digest: str


class AcceptedFile(msgspec.Struct, frozen=True):
    """The value of the configuration register.

    Attributes:
        version: Version number in the file, 0 before the first file.
        digest: SHA-256 digest of the text in hexadecimal digits.
        text: The file as it was sent.
        earlier: The last files accepted before it, oldest first.
    """

    version: int = 0
    digest: str = ''
    text: bytes = b''
    earlier: tuple[Decision, ...] = ()


NO_FILE = AcceptedFile()


class ApplyResult(msgspec.Struct, frozen=True):
    """The decision on one file.

    Attributes:
        accepted: True if the file sent is the accepted one, or was accepted
            earlier and its sender asks again.
        version: Version of the file sent if accepted, else the one in force.
        digest: Digest that belongs to the version.
        reason: Why the file was refused or which version replaced it.
    """

    accepted: bool
    version: int
    digest: str
    reason: str = ''


def decode_file(value: bytes) -> AcceptedFile:
    """Return the accepted file held in a register value."""
    if not value:
        return NO_FILE
    return msgspec.msgpack.decode(value, type=AcceptedFile)


def decide_apply(
    current: AcceptedFile, version: int, text: bytes
) -> tuple[AcceptedFile, ApplyResult]:
    """Return the file accepted from now on and the answer to the sender."""
    digest = digest_of(text)
    if version == current.version and digest == current.digest:
        return current, ApplyResult(True, version, digest)
    if version > current.version:
        earlier = _history_after(current)
        accepted = AcceptedFile(version, digest, text, earlier)
        return accepted, ApplyResult(True, version, digest)
    if Decision(version, digest) in current.earlier:
        reason = f'accepted earlier; version {current.version} is in force'
        return current, ApplyResult(True, version, digest, reason)
    reason = f'version {current.version} is in force'
    if version == current.version:
        reason = f'version {version} is in force with another content'
    return current, ApplyResult(False, current.version, current.digest, reason)


def without_history(file: AcceptedFile) -> AcceptedFile:
    """Return the file as daemons need it."""
    return msgspec.structs.replace(file, earlier=())


def _history_after(current: AcceptedFile) -> tuple[Decision, ...]:
    if not current.version:
        return ()
    last = Decision(current.version, current.digest)
    return (*current.earlier, last)[-MAX_EARLIER_FILES:]
