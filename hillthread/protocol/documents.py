"""Converts values to JSON documents; named tuples become objects."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgspec

__all__ = ["as_document", "encode_document"]


def as_document(value: Any) -> Any:
    """Returns `value` converted to types that JSON supports.

    Named tuples, structs and dataclasses become objects with their field
    names.
    """
    match value:
        case enum.Enum():
            return value.value
        case tuple() if hasattr(value, "_fields"):
            pairs = zip(value._fields, value, strict=True)
            return {name: as_document(each) for name, each in pairs}
        case tuple() | list() | set() | frozenset():
            return [as_document(each) for each in value]
        case dict():
            return {str(key): as_document(each) for key, each in value.items()}
        case bytes():
            return value.hex()
        case float():
            return round(value, 6)
        case msgspec.Struct():
            return as_document(msgspec.to_builtins(value))
        case _ if dataclasses.is_dataclass(value):
            fields = dataclasses.fields(value)
            return {
                field.name: as_document(getattr(value, field.name))
                for field in fields
            }
        case _:
            return value


def encode_document(value: Any) -> bytes:
    """Returns the JSON bytes of `value`."""
    return msgspec.json.encode(as_document(value))
