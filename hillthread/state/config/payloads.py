"""Decodes records of the log, including those of other releases."""

from __future__ import annotations

from typing import Any

import msgspec

from hillthread import errors

__all__ = ["decode_payload"]


def decode_payload(
    decoder: msgspec.json.Decoder, payload: bytes, record_kind: str
) -> Any:
    """Returns the decoded content of a record.

    Args:
        decoder: Decoder for the type of the log's records.
        payload: Bytes of the record.
        record_kind: Kind of the record, for the error message.

    Raises:
        ConfigurationError: The bytes are not a record of this release.
    """
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.ConfigurationError(
            f"The {record_kind} record is unreadable: {error}.",
            "Check for a record of a newer release and upgrade this host.",
        ) from error
