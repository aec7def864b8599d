"""The configuration register: which file is accepted."""

from __future__ import annotations

import msgspec

from burdocklead.version.configuration_file import digest_of

CONFIGURATION_KEY = 'configuration'


class AcceptedFile(msgspec.Struct, frozen=True):
    """The value of the configuration register.

    Attributes:
        version: Version number in the file, 0 before the first file.
        digest: SHA-256 digest of the text in hexadecimal digits.
        text: The file as it was sent.
    """

    version: int = 0
    digest: str = ''
    text: bytes = b''


NO_FILE = AcceptedFile()


class ApplyResult(msgspec.Struct, frozen=True):
    """The decision on one file.

    Attributes:
        accepted: True if the file sent is the accepted one.
        version: Version accepted now.
        digest: Digest accepted now.
        reason: Why the file was refused, empty if accepted.
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
        accepted = AcceptedFile(version, digest, text)
        return accepted, ApplyResult(True, version, digest)
    reason = f'version {current.version} is in force'
    if version == current.version:
        reason = f'version {version} is in force with another content'
    return current, ApplyResult(False, current.version, current.digest, reason)
