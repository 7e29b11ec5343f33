"""Reads the configuration of a router without a control process."""

from __future__ import annotations

import pathlib

import msgspec

from hillthread import errors
from hillthread.state.config import objects
from hillthread.state.config import routing_table

__all__ = ["load_objects", "load_table"]


def load_objects(path: str) -> list[objects.ConfigurationObject]:
    """Returns the objects in a JSON file that holds a list of them.

    Raises:
        ConfigurationError: The file or an object in it is invalid.
    """
    try:
        values = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise errors.ConfigurationError(
            f"The objects in {path} cannot be read: {error}.",
            "Give a readable JSON file with a list of objects.",
        ) from error
    if not isinstance(values, list):
        raise errors.ConfigurationError(
            f"{path} does not contain a JSON list.",
            "Write the objects as a JSON list.",
        )
    return [objects.decode_object(value) for value in values]


def load_table(path: str) -> routing_table.RoutingTable:
    """Returns a routing table of the objects in a file, at position 0."""
    decoded = {objects.object_key(value): value for value in load_objects(path)}
    return routing_table.RoutingTable(0, decoded)
