"""Names of the platform's headers and settings, by their meaning."""

from __future__ import annotations

__all__ = [
    "CACHE_SALT",
    "DEADLINE_MS",
    "EXPECT_INCARNATION",
    "EXPECT_WEIGHTS",
    "FETCH_CACHE_FROM",
    "HOLD",
    "INCARNATION",
    "LAST_EVENT_ID",
    "MODEL",
    "NOT_RUN",
    "PRIORITY",
    "PROMPT_PARTS",
    "RECEIPT",
    "REQUEST_ID",
    "RESUMES",
    "RETRY_AFTER",
    "SAVE_CACHE_TO",
    "SETTINGS_VARIABLE",
    "SET_BY_SYSTEM",
    "SET_BY_SYSTEM_PREFIXES",
    "STORE_ERA",
    "TARGET_BRITTLE",
    "TARGET_LEAVING",
    "TARGET_LIMIT",
    "TENANT",
    "TOKEN_COUNTS",
    "UNCHANGED",
    "WEIGHTS_EVENT_FIELD",
    "WEIGHTS_VERSION",
]

SETTINGS_VARIABLE = "HILLTHREAD_NODE_FILE"

REQUEST_ID = b"x-request-id"
MODEL = b"x-model"
TOKEN_COUNTS = b"x-token-count"
PROMPT_PARTS = b"x-prompt-prefix"
DEADLINE_MS = b"x-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
# Id of the attempt of the caller that received the first event of a stream.
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"

# Increases by one whenever the store is restored from an older copy.
STORE_ERA = b"store-era"
RECEIPT = b"x-response-stamp"
NOT_RUN = b"x-not-run"
INCARNATION = b"x-instance-id"
# Refusals in a second that the target withstands for want of room.
TARGET_BRITTLE = b"server-brittle"
TARGET_LEAVING = b"server-leaving"
TARGET_LIMIT = b"server-limit"
WEIGHTS_VERSION = b"x-weight-versions"
# First field of an event from which on another weights version is used.
WEIGHTS_EVENT_FIELD = b"x-weight-versions:"

EXPECT_INCARNATION = b"x-expect-instance"
EXPECT_WEIGHTS = b"x-expect-version"
TENANT = b"x-tenant"
PRIORITY = b"x-request-priority"
CACHE_SALT = b"x-cache-salt"
HOLD = b"x-hold"
FETCH_CACHE_FROM = b"x-kv-fetch"
SAVE_CACHE_TO = b"x-kv-save"

# Forwarded to targets unchanged, also if the Connection header lists them.
UNCHANGED = frozenset([REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PARTS])

# Set by the system in requests to targets; those of callers are dropped.
SET_BY_SYSTEM = frozenset(
    [
        b"authorization",
        b"kv-from",
        HOLD,
        b"x-pin-ms",
        CACHE_SALT,
        DEADLINE_MS,
        PRIORITY,
        TENANT,
    ]
)
SET_BY_SYSTEM_PREFIXES = (b"x-kv-", b"x-expect-")
