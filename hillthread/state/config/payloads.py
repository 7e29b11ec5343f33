"""Decodes records of the log, of this release or not."""

from __future__ import annotations

from typing import Any

import msgspec

from hillthread import errors

__all__ = ["decode_payload"]


def decode_payload(
    decoder: msgspec.json.Decoder, payload: bytes, what: str
) -> Any:
    """Returns what a record holds.

    Args:
        decoder: For the type of the stream's records.
        payload: The record's bytes.
        what: What the record is, for the error.

    Raises:
        ConfigurationError: The bytes are no record this release knows.
    """
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.ConfigurationError(
            f"The {what} record is unreadable: {error}.",
            "Check for a record of a newer release and upgrade this host.",
        ) from error
