"""Client of the platform's store, a log of topics; some topics are keyed."""

from __future__ import annotations

import base64
from collections.abc import Callable
from collections.abc import Sequence
from urllib import parse

import msgspec

from hillthread import errors
from hillthread.platform import attempts
from hillthread.platform import log_pages
from hillthread.platform import names
from hillthread.state.cluster import held_read
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

__all__ = [
    "ChangedError",
    "LostReadError",
    "RestoredError",
    "StaleAnswerError",
    "StoreClient",
    "TruncatedError",
]

# Connecting is retried after this time.
_CONNECT_TIMEOUT_S = 0.5
# The store answers in 4 ms, at times up to 60 times slower.
_CALL_TIMEOUT_S = 1.0
# Well above a page of the store, which is 1 MB and longer in base64.
_MAX_ANSWER_BYTES = 4_194_304
# The only partition of keyed topics, and the only one that the other topics
# use here.
_PARTITION = 0


class TruncatedError(errors.LogError):
    """The requested records are no longer kept.

    Attributes:
        first: Offset of the oldest kept record.
    """

    code = "log_truncated"

    def __init__(self, first: int):
        super().__init__(
            f"Records before {first} are no longer kept.",
            "Read the newest record of each key, or start there.",
        )
        self.first = first


class ChangedError(errors.ConflictError):
    """The topic does not end where a conditional append expects it to.

    Attributes:
        end: Offset at which it ends.
    """

    def __init__(self, end: int):
        super().__init__(
            f"The topic ends at {end}.", "Read up to there, then decide again."
        )
        self.end = end


class RestoredError(errors.LogError):
    """The store was restored from an older copy since the last answer.

    Offsets from before the restoration now refer to other records.
    """

    code = "log_restored"

    def __init__(self):
        super().__init__(
            "The store was restored from an older copy.",
            "Read the newest record of each key.",
        )


class StaleAnswerError(errors.LogError):
    """A late answer is from before a restoration that is already known."""

    code = "log_answer_stale"

    def __init__(self):
        super().__init__(
            "The answer is from before the store was restored.",
            "The call is retried.",
        )


class LostReadError(errors.LogError):
    """A read was sent and not answered.

    The connection may be broken or silent although the store is available.
    """

    code = "log_read_lost"


class _NewestItem(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = -1


class _NewestPage(msgspec.Struct):
    items: list[_NewestItem]
    end: int
    truncated: bool = False


class _TruncatedAnswer(msgspec.Struct):
    first: int = 0


class _AppendAnswer(msgspec.Struct):
    offset: int = -1
    end: int = -1


class StoreClient:
    """A client of the store; every call either returns an answer or raises.

    Attributes:
        address: Address of the store, as `IP:port`.
        pool: The connections; one whose answer was lost is never used again.
        calls: Number of calls made so far.
        era: Number of the store's latest known restoration; None before the
            first answer.
        on_restored: Called with the former and the new era when it increases.
    """

    def __init__(self, address: str):
        self.address = address
        # Silent connections are dropped soon: a wrong guess costs one more
        # call, but a read held on a dead connection hides changes.
        self.pool = connection_pool.ConnectionPool(_CONNECT_TIMEOUT_S)
        self.calls = 0
        self.era: int | None = None
        self.on_restored: Callable[[int, int], None] = _ignore_restoration

    async def close(self) -> None:
        """Closes all connections."""
        await self.pool.close()

    async def read_newest(self, topic: str) -> log_pages.KeyedPage:
        """Returns the newest record of every key of a keyed topic.

        The pages are not a snapshot: the records from the end of the first page
        on have to be read as well.

        Raises:
            RestoredError: The store was restored while pages were read.
            LogError: The store cannot be read.
        """
        records: list[topic_copy.TopicRecord] = []
        end = None
        era = None
        after = None
        while True:
            query = {"topic": topic, "part": _PARTITION}
            if after is not None:
                query["after"] = after
            page = _decode_answer(
                await self._get("log-newest", query, 0.0), _NewestPage
            )
            era = self.current_era if era is None else era
            if era != self.current_era:
                raise RestoredError
            end = page.end if end is None else end
            records += [
                topic_copy.TopicRecord(
                    item.key,
                    _decode_value(item.value),
                    position_lib.Position(era, item.offset),
                )
                for item in page.items
            ]
            if not page.truncated or not page.items:
                return log_pages.KeyedPage(
                    records, position_lib.Position(era, end)
                )
            after = page.items[-1].key

    async def read(
        self, topic: str, start: position_lib.Position, wait_s: float
    ) -> log_pages.LogPage:
        """Returns the records of a topic from `start` on.

        Args:
            topic: Name of the topic.
            start: Position of the first record to read.
            wait_s: Time for which the store holds the call while there is no
                such record.

        Raises:
            RestoredError: The store's era differs from that of `start`.
            TruncatedError: Records from `start` on are no longer kept.
            LostReadError: The read was sent and not answered.
            LogError: The store cannot be read.
        """
        self._check_position(start)
        query = {
            "topic": topic,
            "part": _PARTITION,
            "from": start.offset,
            "waitMs": int(wait_s * 1000),
        }
        raw = await self._get("log-read", query, wait_s)
        self._check_position(start)
        return log_pages.parse_page(raw, start)

    async def append(
        self, topic: str, payload: bytes, expected_end: position_lib.Position
    ) -> position_lib.Position:
        """Appends a record if the topic ends at `expected_end`.

        Returns:
            The record's position.

        Raises:
            RestoredError: The store's era differs from that of `expected_end`;
                the record may have been appended, and names a past era.
            ChangedError: The topic ends elsewhere; nothing was appended.
            UnknownOutcomeError: The record may have been appended, or may
                still be.
            LogError: The record was not appended.
        """
        self._check_position(expected_end)
        query = {
            "topic": topic,
            "part": _PARTITION,
            "storeRevision": expected_end.offset,
        }
        body = log_pages.LENGTH_PREFIX.pack(len(payload)) + payload
        answer = await self._call(b"POST", "log-append", query, body, 0.0)
        self._check_position(expected_end)
        match answer.head.status:
            case 200:
                offset = _decode_answer(answer.body, _AppendAnswer).offset
                return expected_end._replace(offset=offset)
            case 412:
                raise ChangedError(
                    _decode_answer(answer.body, _AppendAnswer).end
                )
            case status:
                raise _make_status_error(status)

    async def append_all(
        self, topic: str, payloads: Sequence[bytes]
    ) -> position_lib.Position:
        """Appends records wherever the topic ends: all of them or none.

        Returns:
            The position of the first record.

        Raises:
            LogError: The records were not appended.
            UnknownOutcomeError: The records may have been appended, or may
                still be.
        """
        query = {"topic": topic, "part": _PARTITION}
        body = b"".join(
            log_pages.LENGTH_PREFIX.pack(len(payload)) + payload
            for payload in payloads
        )
        answer = await self._call(b"POST", "log-append", query, body, 0.0)
        if answer.head.status != 200:
            raise _make_status_error(answer.head.status)
        offset = _decode_answer(answer.body, _AppendAnswer).offset
        return position_lib.Position(self.current_era, offset)

    async def trim(self, topic: str, before: position_lib.Position) -> None:
        """Removes the records of a topic before a position.

        Raises:
            RestoredError: The store's era differs from that of `before`;
                nothing was removed.
            LogError: The records may still be there.
        """
        self._check_position(before)
        query = {"topic": topic, "part": _PARTITION, "before": before.offset}
        answer = await self._call(b"POST", "log-trim", query, b"", 0.0)
        if answer.head.status != 200:
            raise _make_status_error(answer.head.status)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a value under a key of a keyed topic; idempotent.

        Raises:
            LogError: The value was not written.
            UnknownOutcomeError: The value may have been written.
        """
        query = {"topic": topic, "part": _PARTITION}
        name = key.encode()
        payload = bytes([len(name)]) + name + value
        body = log_pages.LENGTH_PREFIX.pack(len(payload)) + payload
        answer = await self._call(b"POST", "log-append", query, body, 0.0)
        if answer.head.status != 200:
            raise _make_status_error(answer.head.status)

    async def _get(self, call: str, query: dict, wait_s: float) -> bytes:
        answer = await self._call(b"GET", call, query, b"", wait_s)
        match answer.head.status:
            case 200:
                return answer.body
            case 410:
                raise TruncatedError(
                    _decode_answer(answer.body, _TruncatedAnswer).first
                )
            case status:
                raise _make_status_error(status)

    async def _call(
        self, method: bytes, call: str, query: dict, body: bytes, wait_s: float
    ) -> http1_client.WholeAnswer:
        self.calls += 1
        target = f"/api/{call}?{parse.urlencode(query)}"
        request = http1_client.ClientRequest(
            method, target.encode(), [(b"host", self.address.encode())], body
        )
        try:
            answer = await connection_pool.call(
                self.pool,
                self.address,
                request,
                wait_s + held_read.READ_LOST_AFTER_S
                if wait_s
                else _CALL_TIMEOUT_S,
                _MAX_ANSWER_BYTES,
            )
        except http1_client.CallError as error:
            if error.sent and method == b"POST":
                raise errors.UnknownOutcomeError(
                    f"The store's answer was lost: {error.reason}.",
                    "Read the topic to find out whether it was written.",
                ) from error
            kind = LostReadError if error.sent else errors.LogError
            raise kind(
                f"The store cannot be reached: {error.reason}.",
                "Check the platform; the last known state stays in use.",
            ) from error
        self._check_era(answer.head)
        return answer

    def _check_position(self, position: position_lib.Position) -> None:
        """Raises a RestoredError if a position is of another era."""
        if position.era != self.current_era:
            raise RestoredError

    @property
    def current_era(self) -> int:
        """The store's era; 0 while it is unknown."""
        return self.era or 0

    def apply_era(self, era: int) -> None:
        """Applies the era in an answer of the store or a page of a peer."""
        former = self.era
        if former is not None and era <= former:
            return
        self.era = era
        if former is not None:
            self.on_restored(former, era)

    def _check_era(self, head: http1_client.AnswerHead) -> None:
        """Applies the era in an answer.

        Raises:
            StaleAnswerError: It is older than the known era.
        """
        era = attempts.parse_whole_number(head.get(names.STORE_ERA))
        if era is None:
            return
        if era < self.current_era:
            raise StaleAnswerError
        self.apply_era(era)


def _ignore_restoration(former: int, era: int) -> None:
    """Does nothing; the default of `StoreClient.on_restored`."""
    del former, era


def _make_status_error(status: int) -> errors.LogError:
    return errors.LogError(
        f"The store answered with status {status}.",
        "Check the platform; the call is retried.",
    )


def _decode_answer(raw: bytes, kind: type):
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise errors.LogError(
            f"The store's answer is unreadable: {error}.",
            "Check whether the platform was upgraded.",
        ) from error


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise errors.LogError(
            f"A value of the store is unreadable: {error}.",
            "Check whether the platform was upgraded.",
        ) from error
