"""HTTP client of the platform's log: appends and reads records."""

from __future__ import annotations

from typing import NamedTuple

import httpx
import msgspec

from hillthread import errors

__all__ = ["LogClient", "LogPage", "LogRecord", "TruncatedError"]

_TIMEOUT_S = 3.0


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    payload: bytes


class LogPage(NamedTuple):
    """Consecutive records of a stream.

    Attributes:
        first_offset: Offset of the oldest retained record.
        next_offset: One past the offset of the newest record.
        records: In ascending order of offset, without gaps.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]


class TruncatedError(errors.LogError):
    """The requested records are no longer retained.

    Attributes:
        first_offset: Offset of the oldest retained record.
    """

    code = "log_truncated"

    def __init__(self, first_offset: int):
        super().__init__(
            f"Records before {first_offset} are no longer retained.",
            "Start from a snapshot.",
        )
        self.first_offset = first_offset


class _Record(msgspec.Struct):
    offset: int
    payload: str


class _Page(msgspec.Struct):
    first_offset: int
    next_offset: int
    records: list[_Record]


class _Truncated(msgspec.Struct):
    first_offset: int


class _Appended(msgspec.Struct):
    first_offset: int


class LogClient:
    """Appends to and reads from the streams of the log.

    Attributes:
        address: `IP:port` of the log service.
    """

    def __init__(self, address: str):
        self.address = address
        self.client = httpx.AsyncClient(
            base_url=f"http://{address}", trust_env=False, timeout=_TIMEOUT_S
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    async def append(self, stream: str, payloads: list[bytes]) -> int:
        """Appends records and returns the offset of the first.

        Raises:
            UnknownOutcomeError: They may or may not have been appended.
            LogError: They were not appended.
        """
        body = {"records": [payload.decode("latin-1") for payload in payloads]}
        try:
            response = await self.client.post(
                f"/streams/{stream}/records", json=body
            )
        except httpx.ConnectError as error:
            raise _unreachable_error(error) from error
        except httpx.HTTPError as error:
            raise errors.UnknownOutcomeError(
                "The log's answer to an append was lost.",
                "Look for the record by its id; do not append it again.",
            ) from error
        if response.status_code == 200:
            return msgspec.json.decode(
                response.content, type=_Appended
            ).first_offset
        if response.status_code >= 500:
            raise errors.UnknownOutcomeError(
                f"The log answered an append with {response.status_code}.",
                "Look for the record by its id; do not append it again.",
            )
        raise errors.LogError(
            f"The log refused an append with status {response.status_code}.",
            "Try again when the platform is up.",
        )

    async def read(
        self, stream: str, start: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Returns records from offset `start` on.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to return.
            limit: Maximum number of records.
            wait_s: How long the log may wait for a new record.

        Raises:
            TruncatedError: The record at `start` is no longer retained.
            LogError: The log cannot be read.
        """
        try:
            response = await self.client.get(
                f"/streams/{stream}/records",
                params={"from": start, "max": limit, "wait_s": wait_s},
                timeout=_TIMEOUT_S + wait_s,
            )
        except httpx.HTTPError as error:
            raise _unreachable_error(error) from error
        try:
            return self._decode_page(response)
        except msgspec.DecodeError as error:
            raise _unreachable_error(error) from error

    def _decode_page(self, response: httpx.Response) -> LogPage:
        if response.status_code == 410:
            truncated = msgspec.json.decode(response.content, type=_Truncated)
            raise TruncatedError(truncated.first_offset)
        if response.status_code != 200:
            raise errors.LogError(
                f"The log answered with status {response.status_code}.",
                "Try again when the platform is up.",
            )
        page = msgspec.json.decode(response.content, type=_Page)
        return LogPage(
            page.first_offset,
            page.next_offset,
            [
                LogRecord(each.offset, each.payload.encode("latin-1"))
                for each in page.records
            ],
        )


def _unreachable_error(error: Exception) -> errors.LogError:
    return errors.LogError(
        f"The log cannot be reached: {type(error).__name__}.",
        "Check the platform; the current configuration stays in effect.",
    )
