"""An in-memory stand-in of the platform's store: a log with topics."""

from __future__ import annotations

import base64
import bisect
import collections
import dataclasses
import struct
import time
from typing import Any
from typing import TypeAlias
from urllib import parse

import anyio
import msgspec

from hillthread.state.config import caller_bounds
from hillthread.transport import http1
from hillthread.transport import http1_server

__all__ = ["Backup", "PlatformStoreStandin", "StoreFaults"]

_MAX_PAGE_ITEMS = 500
_KEYED_PREFIX = "keyed."
_JSON = [(b"content-type", b"application/json")]


@dataclasses.dataclass
class StoreFaults:
    """Faults that the store injects.

    Attributes:
        status: Status with which every call is answered; 0 for none.
        silent: Accepts calls and never answers.
        reset: Resets the connection of every call.
        slow_s: Delay before every answer.
        unanswered_appends: Number of next appends that are applied but not
            answered.
        append_delay_s: Delay before unanswered appends are applied.
        busy_topic: Topic whose calls are refused with status 429.
        ignores_new_records: Long-polling reads return only after their
            timeout, even if records have arrived.
        max_page_records: Maximum number of records in a page; 0 for all.
    """

    status: int = 0
    silent: bool = False
    reset: bool = False
    slow_s: float = 0.0
    unanswered_appends: int = 0
    append_delay_s: float = 0.0
    max_page_records: int = 0
    busy_topic: str = ""
    ignores_new_records: bool = False

    @property
    def is_answering(self) -> bool:
        """Whether calls are answered correctly, possibly with a delay."""
        return not (self.status or self.silent or self.reset)


class _Topic:
    """The records of one topic.

    Attributes:
        first: Offset of the oldest retained record.
        records: Retained records, oldest first.
        written_at: Monotonic time of each retained record, seconds.
        newest: Newest offset and value of each key, for keyed topics.
    """

    def __init__(self):
        self.first = 0
        self.records: list[bytes] = []
        self.written_at: list[float] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    def snapshot(self) -> _Topic:
        """Returns a copy that later changes do not affect."""
        copy = _Topic()
        copy.first = self.first
        copy.records = list(self.records)
        copy.written_at = list(self.written_at)
        copy.newest = dict(self.newest)
        return copy

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def add(self, record: bytes) -> None:
        """Appends a record."""
        self.records.append(record)
        self.written_at.append(time.monotonic())

    def drop(self, before: float) -> None:
        """Drops the records written before a time."""
        self._drop_first(bisect.bisect_left(self.written_at, before))

    def drop_before(self, offset: int) -> None:
        """Drops the records before an offset."""
        self._drop_first(max(0, min(offset, self.end) - self.first))

    def _drop_first(self, count: int) -> None:
        self.first += count
        del self.records[:count]
        del self.written_at[:count]


# Copies of all topics, by name.
Backup: TypeAlias = dict[str, _Topic]


class PlatformStoreStandin:
    """A store for tests and demonstrations.

    Attributes:
        faults: Faults that it injects now.
        era: Number of restorations, sent with all answers; None sends none.
        calls: Number of calls by name.
        topic_calls: Number of calls by topic.
        topics: Topics by name.
        changed: Set and replaced when a record is written.
        server: HTTP server of the store.
    """

    def __init__(self, listen: tuple[str, int] = ("127.0.0.1", 0)):
        self.faults = StoreFaults()
        self.era: int | None = None
        self.calls: dict[str, int] = {}
        self.topic_calls: collections.Counter[str] = collections.Counter()
        self.topics: dict[str, _Topic] = {}
        self.changed = anyio.Event()
        self.server = http1_server.Server(
            listen,
            self._handle,
            caller_bounds.CallerBounds,
            _ignore_unreadable_request,
        )

    @property
    def address(self) -> str:
        """`IP:port` of the store."""
        return self.server.address

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key, undecoded."""
        return {
            key: value for key, (_, value) in self._topic(topic).newest.items()
        }

    def put(self, topic: str, key: str, value: Any) -> int:
        """Writes a value as JSON under a key and returns its offset."""
        return self._append_keyed(topic, key, msgspec.json.encode(value))

    def put_raw(self, topic: str, key: str, value: bytes) -> int:
        """Writes bytes under a key and returns their offset."""
        return self._append_keyed(topic, key, value)

    def remove(self, topic: str, key: str) -> int:
        """Removes a key and returns the offset of the removal."""
        return self._append_keyed(topic, key, b"")

    def values(self, topic: str) -> dict[str, Any]:
        """Returns the newest value of each key, decoded."""
        return {
            key: msgspec.json.decode(value)
            for key, (_, value) in self._topic(topic).newest.items()
        }

    def backup(self) -> Backup:
        """Returns a copy of all topics, to be restored later."""
        return {name: topic.snapshot() for name, topic in self.topics.items()}

    def restore(self, backup: Backup) -> None:
        """Restores a backup and loses all later records."""
        self.topics = {name: topic.snapshot() for name, topic in backup.items()}
        if self.era is not None:
            self.era += 1
        self._wake_readers()

    def drop_history(self, kept_s: float = 0.0) -> None:
        """Drops old records, but keeps the newest value of each key.

        Args:
            kept_s: Age up to which records of topics without keys are kept.
        """
        now = time.monotonic()
        for name, topic in self.topics.items():
            is_keyed = name.startswith(_KEYED_PREFIX)
            topic.drop(now if is_keyed else now - kept_s)

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _append_keyed(self, topic: str, key: str, value: bytes) -> int:
        found = self._topic(topic)
        offset = found.end
        found.add(bytes([len(key)]) + key.encode() + value)
        if value:
            found.newest[key] = (offset, value)
        else:
            found.newest.pop(key, None)
        self._wake_readers()
        return offset

    def _wake_readers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _handle(
        self,
        request: http1_server.CallerRequest,
        answer: http1_server.CallerAnswer,
    ) -> None:
        name = request.path.removeprefix("/api/")
        self.calls[name] = self.calls.get(name, 0) + 1
        raw_query = request.target.partition(b"?")[2].decode()
        query = dict(parse.parse_qsl(raw_query))
        self.topic_calls[query.get("topic", "")] += 1
        if self.faults.reset:
            raise http1_server.BrokenAnswerError
        if self.faults.silent:
            await anyio.sleep_forever()
        await anyio.sleep(self.faults.slow_s)
        status = self.faults.status
        if query.get("topic") == self.faults.busy_topic:
            status = 429
        if status:
            await answer.send_whole(status, self._era_header(), b"")
            return
        match name:
            case "log-newest":
                await self._handle_newest(query, answer)
            case "log-read":
                await self._handle_read(query, answer)
            case "log-append":
                await self._handle_append(query, request.body, answer)
            case "log-trim":
                await self._handle_trim(query, answer)
            case _:
                await answer.send_whole(404, self._era_header(), b"")

    def _era_header(self) -> http1.Headers:
        if self.era is None:
            return []
        return [(b"store-era", b"%d" % self.era)]

    def _json_headers(self) -> http1.Headers:
        return [*_JSON, *self._era_header()]

    async def _handle_newest(
        self, query: dict[str, str], answer: http1_server.CallerAnswer
    ) -> None:
        topic = self._topic(query["topic"])
        keys = sorted(k for k in topic.newest if k > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:_MAX_PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "truncated": len(keys) > _MAX_PAGE_ITEMS,
            "end": topic.end,
        }
        body = msgspec.json.encode(page)
        await answer.send_whole(200, self._json_headers(), body)

    async def _handle_read(
        self, query: dict[str, str], answer: http1_server.CallerAnswer
    ) -> None:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        if not topic.first <= start <= topic.end:
            truncated = msgspec.json.encode({"first": topic.first})
            await answer.send_whole(410, self._json_headers(), truncated)
            return
        with anyio.move_on_after(int(query.get("waitMs", "0")) / 1000.0):
            while topic.end <= start or self.faults.ignores_new_records:
                await self.changed.wait()
                topic = self._topic(query["topic"])  # restore() replaces it
        if self.faults.silent:
            await anyio.sleep_forever()
        parts = [struct.pack(">QQ", topic.end, topic.first)]
        records = topic.records[max(0, start - topic.first) :]
        for payload in records[: self.faults.max_page_records or None]:
            parts.append(struct.pack(">I", len(payload)) + payload)
        await answer.send_whole(200, self._era_header(), b"".join(parts))

    async def _handle_append(
        self,
        query: dict[str, str],
        body: bytes,
        answer: http1_server.CallerAnswer,
    ) -> None:
        is_unanswered = self.faults.unanswered_appends > 0
        if is_unanswered:
            self.faults.unanswered_appends -= 1
            await anyio.sleep(self.faults.append_delay_s)
        topic = self._topic(query["topic"])
        expected = query.get("storeRevision")
        if expected is not None and int(expected) != topic.end:
            conflict = msgspec.json.encode({"end": topic.end})
            if not is_unanswered:
                await answer.send_whole(412, self._json_headers(), conflict)
            return
        offset = topic.end
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4
            payload = body[position : position + length]
            position += length
            if query["topic"].startswith(_KEYED_PREFIX):
                key_end = 1 + payload[0]
                key = payload[1:key_end].decode()
                self._append_keyed(query["topic"], key, payload[key_end:])
            else:
                topic.add(payload)
        self._wake_readers()
        if is_unanswered:
            await anyio.sleep_forever()
        done = msgspec.json.encode({"offset": offset, "end": topic.end})
        await answer.send_whole(200, self._json_headers(), done)

    async def _handle_trim(
        self, query: dict[str, str], answer: http1_server.CallerAnswer
    ) -> None:
        topic = self._topic(query["topic"])
        topic.drop_before(int(query["before"]))
        await answer.send_whole(200, self._json_headers(), b"{}")


def _ignore_unreadable_request(status: int, reason: str) -> None:
    """Ignores requests that cannot be parsed."""
    del status, reason
