"""The configuration register: decides which file is accepted."""

from __future__ import annotations

import enum
from typing import assert_never

import msgspec

from burdocklead.durable.register_values import decode_value
from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import (
    check_size,
    decode_change,
    decode_deployment,
    digest_of,
    encode_checked,
)
from burdocklead.version.deployment import Deployment
from burdocklead.version.patch import DeploymentPatch, PatchFile, apply_patch

STEP = 'apply'
CONFIGURATION_KEY = 'configuration'
MAX_EARLIER_FILES = 64


class AcceptedVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of a file that was accepted."""

    version: int
    digest: str


class AcceptedFile(msgspec.Struct, frozen=True):
    """The value of the configuration register.

    Attributes:
        version: Version number in the file, 0 before the first file.
        digest: SHA-256 digest of the text in hexadecimal digits.
        text: Content of the file, as sent or after a patch.
        earlier: The last files accepted before it, oldest first.
    """

    version: int = 0
    digest: str = ''
    text: bytes = b''
    earlier: tuple[AcceptedVersion, ...] = ()


NO_FILE = AcceptedFile()


class Proposal(msgspec.Struct, frozen=True):
    """A change of the configuration that an operator requests.

    Attributes:
        version: Version after the change.
        digest: Digest of the request, to recognize a repeated one.
        content: A complete file, or a patch of the one in force.
        base: Version that the change builds on, None for any lower one.
    """

    version: int
    digest: str
    content: bytes | DeploymentPatch
    base: int | None = None


class Refusal(enum.StrEnum):
    """Why a change of the configuration was refused."""

    none = ''
    old_version = 'old-version'
    other_base = 'other-base'


class ApplyResult(msgspec.Struct, frozen=True):
    """The decision on one file.

    Attributes:
        accepted: True if the file is the accepted one, or was accepted
            earlier and is sent again.
        version: Version of the file if accepted, else the one in force.
        digest: Digest of that version.
        reason: Why the file was refused, or which version replaced it.
        refusal: The reason for a refusal as an enum member.
    """

    accepted: bool
    version: int
    digest: str
    reason: str = ''
    refusal: Refusal = Refusal.none


def decode_accepted_file(value: bytes) -> AcceptedFile:
    """Return the accepted file encoded in a register value."""
    if not value:
        return NO_FILE
    return decode_value(value, AcceptedFile, CONFIGURATION_KEY)


def parse_proposal(
    text: bytes, base: int | None = None, peer: str = ''
) -> Proposal:
    """Return the change that a file requests.

    Args:
        text: A complete configuration or a patch.
        base: Version that a complete configuration replaces, None for any.
        peer: Name of the file in errors.

    Raises:
        ConfigurationError: If the file is not valid, or is a patch whose
            base differs from the one given.
    """
    change = decode_change(text, peer)
    match change:
        case PatchFile():
            if base not in {None, change.base}:
                problem = f'base: the patch names version {change.base}'
                raise ConfigurationError((problem,), step=STEP, peer=peer)
            return Proposal(
                change.version, digest_of(text), change, change.base
            )
        case Deployment():
            return Proposal(change.version, digest_of(text), text, base)
    assert_never(change)


def decide_apply(
    current: AcceptedFile, version: int, text: bytes
) -> tuple[AcceptedFile, ApplyResult]:
    """Return the accepted file after a complete file was sent."""
    return decide_change(current, Proposal(version, digest_of(text), text))


def decide_change(
    current: AcceptedFile, proposal: Proposal
) -> tuple[AcceptedFile, ApplyResult]:
    """Return the accepted file after a proposal, and the result.

    A change that was accepted before is reported as accepted again, also if
    later versions have replaced it.

    Raises:
        ConfigurationError: If there is nothing to patch, a patch gives a
            configuration that is not valid, or the text is too large.
    """
    version, digest = proposal.version, proposal.digest
    if version == current.version and digest == current.digest:
        return current, ApplyResult(True, version, digest)
    if AcceptedVersion(version, digest) in current.earlier:
        reason = f'accepted earlier; version {current.version} is in force'
        return current, ApplyResult(True, version, digest, reason)
    if proposal.base not in {None, current.version}:
        reason = f'version {current.version} is in force'
        return current, _refused(current, reason, Refusal.other_base)
    if version <= current.version:
        reason = f'version {current.version} is in force'
        if version == current.version:
            reason = f'version {version} is in force with another content'
        return current, _refused(current, reason, Refusal.old_version)
    text = text_after_change(current, proposal.content)
    check_size(text)
    accepted = AcceptedFile(version, digest, text, _history_after(current))
    return accepted, ApplyResult(True, version, digest)


def _refused(
    current: AcceptedFile, reason: str, refusal: Refusal
) -> ApplyResult:
    return ApplyResult(False, current.version, current.digest, reason, refusal)


def text_after_change(
    current: AcceptedFile, content: bytes | DeploymentPatch
) -> bytes:
    """Return the text of the configuration after a change.

    Raises:
        ConfigurationError: If there is nothing to patch, or a patch gives
            a configuration that is not valid.
    """
    match content:
        case bytes():
            return content
        case DeploymentPatch():
            if not current.text:
                problem = 'there is no configuration to patch'
                raise ConfigurationError((problem,), step=STEP)
            base = decode_deployment(current.text, f'version {current.version}')
            return encode_checked(apply_patch(base, content))
    assert_never(content)


def without_history(file: AcceptedFile) -> AcceptedFile:
    """Return the file without earlier versions, which daemons don't need."""
    return msgspec.structs.replace(file, earlier=())


def _history_after(current: AcceptedFile) -> tuple[AcceptedVersion, ...]:
    if not current.version:
        return ()
    last = AcceptedVersion(current.version, current.digest)
    return (*current.earlier, last)[-MAX_EARLIER_FILES:]
