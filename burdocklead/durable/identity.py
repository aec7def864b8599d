"""The identity of a data folder and its start count."""

from __future__ import annotations

from pathlib import Path

import msgspec

from burdocklead.durable.files import FileLayer, replace_file
from burdocklead.durable.store import REGISTER_FILE_NAME
from burdocklead.exceptions import StorageError

IDENTITY_FILE_NAME = 'identity.json'
STEP = 'identity'


class Identity(msgspec.Struct, frozen=True):
    """Content of the identity file of a data folder.

    Attributes:
        replica_id: Replica that the folder belongs to.
        identity: Random name of the folder, generated when it is created.
        start: Number of starts so far. It is part of each ballot, so that
            no ballot is used twice.
    """

    replica_id: str
    identity: str
    start: int = 0


def stored_replica_id(layer: FileLayer, folder: Path) -> str:
    """Return the replica that a folder belongs to, empty for a new folder.

    Raises:
        StorageError: If the folder is damaged.
    """
    found = _read(layer, folder / IDENTITY_FILE_NAME)
    return found.replica_id if found else ''


def open_identity(
    layer: FileLayer, folder: Path, replica_id: str, new_identity: str
) -> Identity:
    """Increment the start count of a folder and return its identity.

    Args:
        layer: File access.
        folder: The data folder.
        replica_id: Replica that opens the folder.
        new_identity: Identity to use if the folder is new.

    Raises:
        StorageError: If the folder is damaged or belongs to another replica.
    """
    path = folder / IDENTITY_FILE_NAME
    found = _read(layer, path)
    if found is None and layer.read(folder / REGISTER_FILE_NAME):
        reason = 'is missing although there is a register file'
        raise StorageError(reason, step=STEP, peer=str(path))
    current = found or Identity(replica_id, new_identity)
    if current.replica_id != replica_id:
        reason = f'belongs to replica {current.replica_id}, not {replica_id}'
        raise StorageError(reason, step=STEP, peer=str(path))
    updated = msgspec.structs.replace(current, start=current.start + 1)
    try:
        replace_file(layer, path, msgspec.json.encode(updated))
    except OSError as error:
        raise StorageError(str(error), step=STEP, peer=str(path)) from error
    return updated


def _read(layer: FileLayer, path: Path) -> Identity | None:
    content = layer.read(path)
    if content is None:
        return None
    try:
        return msgspec.json.decode(content, type=Identity)
    except msgspec.DecodeError as error:
        raise StorageError(str(error), step=STEP, peer=str(path)) from error
