"""Calls to the platform's store: a log of topics, some of them keyed."""

from __future__ import annotations

import base64
from collections.abc import Callable
from urllib import parse

import msgspec

from hillthread import errors
from hillthread.platform import attempts
from hillthread.platform import log_pages
from hillthread.platform import names
from hillthread.state.cluster import held_read
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy
from hillthread.transport import http1_client

__all__ = [
    "ChangedError",
    "LostReadError",
    "RestoredError",
    "StaleAnswerError",
    "StoreClient",
    "TruncatedError",
]

# A connection that does not come up by then is tried anew.
_CONNECT_TIMEOUT_S = 0.5
# The store answers in 4 ms; slow days are 60 times slower.
_CALL_TIMEOUT_S = 1.0
# A read that is lost by mistake costs one call more; one that is held on a
# silent connection hides changes.
_PROBES = 1
# Far above a page of the store, which is 1 MB.
_MAX_ANSWER_BYTES = 16_777_216
# Keyed topics have this one only, and the others here use no more.
_PARTITION = 0


class TruncatedError(errors.LogError):
    """The wanted records are no longer kept.

    Attributes:
        first: Offset of the oldest record kept.
    """

    code = "log_truncated"

    def __init__(self, first: int):
        super().__init__(
            f"Records before {first} are no longer kept.",
            "Read the newest record of each key, or start there.",
        )
        self.first = first


class ChangedError(errors.ConflictError):
    """The topic does not end where a conditional append expected.

    Attributes:
        end: Where it ends.
    """

    def __init__(self, end: int):
        super().__init__(
            f"The topic ends at {end}.", "Read up to there and decide anew."
        )
        self.end = end


class RestoredError(errors.LogError):
    """The store was restored from an older copy since the last answer.

    Offsets that were read before mean other records now.
    """

    code = "log_restored"

    def __init__(self):
        super().__init__(
            "The store was restored from an older copy.",
            "Read the newest record of each key.",
        )


class StaleAnswerError(errors.LogError):
    """An answer came late, from before a restoration that is known."""

    code = "log_answer_stale"

    def __init__(self):
        super().__init__(
            "The answer is of the store before it was restored.",
            "The call is tried again.",
        )


class LostReadError(errors.LogError):
    """A read was sent and not answered.

    The connection may have died or fallen silent while the store is well.
    """

    code = "log_read_lost"


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = -1


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: int
    truncated: bool = False


class _Gone(msgspec.Struct):
    first: int = 0


class _Appended(msgspec.Struct):
    offset: int = -1
    end: int = -1


class StoreClient:
    """Calls the store; every call either is answered or raises.

    Attributes:
        address: `IP:port`.
        pool: Connections; one whose answer was lost is never used again.
        calls: Calls made so far.
        era: Of the store, from its answers; None before the first one.
        restored: Called with the former and the new era when it has risen.
    """

    def __init__(self, address: str):
        self.address = address
        self.pool = http1_client.ConnectionPool(_CONNECT_TIMEOUT_S, _PROBES)
        self.calls = 0
        self.era: int | None = None
        self.on_restored: Callable[[int, int], None] = _ignore

    async def close(self) -> None:
        """Closes all connections."""
        await self.pool.close()

    async def read_newest(self, topic: str) -> log_pages.KeyedPage:
        """Returns the newest record of every key of a keyed topic.

        Pages are not a snapshot: records from the first page's end on are to
        be read as well.

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
            page = _decode(await self._get("log-newest", query, 0.0), _Newest)
            era = self.current_era if era is None else era
            if era != self.current_era:
                raise RestoredError
            end = page.end if end is None else end
            records += [
                topic_copy.TopicRecord(
                    item.key,
                    _unpack_value(item.value),
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
            topic: Its name.
            start: Of the first wanted record.
            wait_s: How long the store holds the call when there is none.

        Raises:
            RestoredError: The store's era is another one than that of `start`.
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
            RestoredError: The store's era is another one than that of
                `expected_end`; the record may have been appended, and names
                an era that is over.
            ChangedError: The topic ends elsewhere; nothing was appended.
            UnknownOutcomeError: It may have been appended, or may be later.
            LogError: It was not appended.
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
                offset = _decode(answer.body, _Appended).offset
                return expected_end._replace(offset=offset)
            case 412:
                raise ChangedError(_decode(answer.body, _Appended).end)
            case status:
                raise _refused(status)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a value under a key of a keyed topic; idempotent.

        Raises:
            LogError: It was not written.
            UnknownOutcomeError: It may have been written.
        """
        query = {"topic": topic, "part": _PARTITION}
        name = key.encode()
        payload = bytes([len(name)]) + name + value
        body = log_pages.LENGTH_PREFIX.pack(len(payload)) + payload
        answer = await self._call(b"POST", "log-append", query, body, 0.0)
        if answer.head.status != 200:
            raise _refused(answer.head.status)

    async def _get(self, call: str, query: dict, wait_s: float) -> bytes:
        answer = await self._call(b"GET", call, query, b"", wait_s)
        match answer.head.status:
            case 200:
                return answer.body
            case 410:
                raise TruncatedError(_decode(answer.body, _Gone).first)
            case status:
                raise _refused(status)

    async def _call(
        self, method: bytes, call: str, query: dict, body: bytes, wait_s: float
    ) -> http1_client.WholeAnswer:
        self.calls += 1
        target = f"/api/{call}?{parse.urlencode(query)}"
        request = http1_client.ClientRequest(
            method, target.encode(), [(b"host", self.address.encode())], body
        )
        try:
            answer = await http1_client.call(
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
                    "Read the topic to find out whether it was done.",
                ) from error
            kind = LostReadError if error.sent else errors.LogError
            raise kind(
                f"The store cannot be reached: {error.reason}.",
                "Check the platform; what is known stays in force.",
            ) from error
        self._check_era(answer.head)
        return answer

    def _check_position(self, position: position_lib.Position) -> None:
        """Raises a RestoredError for a position of another era."""
        if position.era != self.current_era:
            raise RestoredError

    @property
    def current_era(self) -> int:
        """The store's era; 0 while it is not known."""
        return self.era or 0

    def apply_era(self, era: int) -> None:
        """Applies the era from an answer of the store or a page of a peer."""
        before = self.era
        if before is not None and era <= before:
            return
        self.era = era
        if before is not None:
            self.on_restored(before, era)

    def _check_era(self, head: http1_client.AnswerHead) -> None:
        """Applies the era that an answer names.

        Raises:
            StaleAnswerError: It is older than the one known.
        """
        era = attempts.parse_whole_number(head.get(names.STORE_ERA))
        if era is None:
            return
        if era < self.current_era:
            raise StaleAnswerError
        self.apply_era(era)


def _ignore(before: int, era: int) -> None:
    """Stands for nobody who wants to know that the store was restored."""
    del before, era


def _refused(status: int) -> errors.LogError:
    return errors.LogError(
        f"The store answered with status {status}.",
        "Check the platform; the call is tried again.",
    )


def _decode(raw: bytes, kind: type):
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise errors.LogError(
            f"The store's answer is unreadable: {error}.",
            "Check whether the platform was upgraded.",
        ) from error


def _unpack_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise errors.LogError(
            f"A value of the store is unreadable: {error}.",
            "Check whether the platform was upgraded.",
        ) from error
