"""Names the features of requests that may be the cause of a crash.

A feature is the request as a whole, over all its tries, or one part of its
prompt that other prompts may share. The key of a part consists of its name and
of its owner, the tenant that sent it: tenants see different evidence of the
same part.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

__all__ = [
    "RequestFeatures",
    "encode_part_key",
    "has_owner",
    "is_part_key",
    "part_name",
]

_PART_PREFIX = "part:"
_OWNER_SEPARATOR = "@"
_OWNER_BYTES = 4
# Digests of parts are used as names up to this length, so that callers and
# operators recognize them; longer ones are hashed.
_MAX_NAME_LENGTH = 16


class RequestFeatures(NamedTuple):
    """The features of a request.

    Attributes:
        digest: Digest of the request, equal for all its tries.
        part_keys: Keys of the parts that other prompts may share, in order.
    """

    digest: str
    part_keys: tuple[str, ...] = ()


def encode_part_key(part_digest: str, tenant: str) -> str:
    """Returns the key of a part of a tenant's prompt."""
    name = part_digest
    if len(name) > _MAX_NAME_LENGTH or not (name.isascii() and name.isalnum()):
        name = _hash(part_digest, _MAX_NAME_LENGTH // 2)
    owner = _hash(tenant, _OWNER_BYTES)
    return f"{_PART_PREFIX}{name}{_OWNER_SEPARATOR}{owner}"


def is_part_key(key: str) -> bool:
    """Returns whether a feature is a part, not a whole request."""
    return key.startswith(_PART_PREFIX)


def has_owner(key: str) -> bool:
    """Returns whether the key of a part names its owner."""
    return _OWNER_SEPARATOR in key


def part_name(key: str) -> str:
    """Returns the name of a part, which is the same for all its owners."""
    return key.removeprefix(_PART_PREFIX).partition(_OWNER_SEPARATOR)[0]


def _hash(text: str, size: int) -> str:
    return hashlib.blake2b(text.encode(), digest_size=size).hexdigest()
