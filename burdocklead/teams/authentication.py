"""Decides from its API key whether a call is accepted, and for which team."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from burdocklead.connection.frames import Headers
from burdocklead.request.caller_input import CallerInputError
from burdocklead.request.dialect import CallerDialect
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.teams.key_index import KeyIndex, KeyOwner
from burdocklead.teams.key_proof import KeyProof
from burdocklead.values import RefusalCause
from burdocklead.version.route_table import RouteMatch

UNSURE_CAUSES = frozenset(
    (
        RefusalCause.unknown_api_key,
        RefusalCause.unknown_route,
        RefusalCause.unknown_service,
    )
)


@dataclass(frozen=True, slots=True)
class IdentifiedCall:
    """What the team of a call determines.

    Attributes:
        match: Route of the call, with the rank of the team if that has one.
        headers: Headers to forward.
        team: Name of the team, empty if none.
        key_proof: Proof of the API key, None without one.
    """

    match: RouteMatch
    headers: Headers
    team: str = ''
    key_proof: KeyProof | None = None


def identify_call(
    index: KeyIndex | None,
    dialect: CallerDialect,
    received: Headers,
    unidentified: IdentifiedCall,
) -> IdentifiedCall:
    """Return a call with its team; unchanged if no team is configured.

    Args:
        index: Keys of the configuration in force.
        dialect: Reads and drops the headers for keys and teams.
        received: Headers as received.
        unidentified: The call without a team.

    Raises:
        CallerInputError: If the configuration doesn't allow the call.
    """
    if index is None or not index.is_enforced:
        return unidentified
    match = unidentified.match
    owner = find_key_owner(index, dialect.read_api_keys(received), match)
    headers = dialect.without_team_headers(unidentified.headers)
    if owner is None:
        return IdentifiedCall(match, headers)
    if owner.rank is not None:
        match = replace(match, rank=owner.rank)
    return IdentifiedCall(match, headers, owner.team, owner.proof)


def find_key_owner(
    index: KeyIndex, keys: Sequence[str], match: RouteMatch
) -> KeyOwner | None:
    """Return the owner of the key of a call, None if it needs no key.

    Args:
        index: Keys of the configuration in force.
        keys: Values of the header for keys; an empty one is no key.
        match: Route of the call.

    Raises:
        CallerInputError: If the call has a key that no team has, more than one
            key, or none on a route that requires one. The reason doesn't
            contain the key.
    """
    sent = [key for key in keys if key]
    if not sent:
        if match.route.anonymous is True:
            return None
        raise _refusal('the route requires an API key')
    owner = index.find_owner(sent[0]) if len(sent) == 1 else None
    if owner is None:
        raise _refusal('no team has this API key')
    return owner


def sure_refusal(
    error: CallerInputError, keys: CurrentKeys, now: float
) -> CallerInputError:
    """Return why a call is refused, as far as this daemon can be sure of it.

    The newest version may allow a call that a daemon cut off from control
    refuses for its key or its route.

    Args:
        error: Why the version in force refuses the call.
        keys: Keys of that version.
        now: Loop time in s.
    """
    if error.cause in UNSURE_CAUSES and keys.is_unsure(now):
        reason = 'this daemon may not have the newest configuration'
        return CallerInputError(RefusalCause.unsure_configuration, reason)
    return error


def _refusal(reason: str) -> CallerInputError:
    return CallerInputError(RefusalCause.unknown_api_key, reason)
