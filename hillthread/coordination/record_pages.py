"""Selects decision records by a filter, which can limit them to a tenant."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from hillthread.state.routing import records

__all__ = ["RecordFilter", "select_records"]

# Bound on the records in one answer.
_MAX_RECORDS = 200


class RecordFilter(NamedTuple):
    """A filter of decision records; empty fields match all.

    Attributes:
        request_id: The id of one request.
        tenant: The tenant of the request.
        target: A target of one of the attempts.
        reason: The reason of an attempt's decision, or a refusal's code.
        limit: Bound on the records returned.
    """

    request_id: str = ""
    tenant: str = ""
    target: str = ""
    reason: str = ""
    limit: int = 20


def select_records(
    store: records.RecordStore, wanted: RecordFilter
) -> list[records.RequestRecord]:
    """Returns the matching records, the newest first."""
    if wanted.request_id:
        found = store.get(wanted.request_id)
        if found is None or not _matches(found, wanted):
            return []
        return [found]
    limit = min(max(1, wanted.limit), _MAX_RECORDS)
    return list(itertools.islice(_iter_matching(store, wanted), limit))


def _iter_matching(
    store: records.RecordStore, wanted: RecordFilter
) -> Iterator[records.RequestRecord]:
    return (each for each in store.newest() if _matches(each, wanted))


def _matches(record: records.RequestRecord, wanted: RecordFilter) -> bool:
    if wanted.tenant and record.tenant != wanted.tenant:
        return False
    attempts = record.attempts
    if wanted.target and not any(
        attempt.decision.target == wanted.target for attempt in attempts
    ):
        return False
    if not wanted.reason or record.code == wanted.reason:
        return True
    return any(attempt.decision.reason == wanted.reason for attempt in attempts)
