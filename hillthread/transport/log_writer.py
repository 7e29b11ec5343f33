"""Writes log lines without ever holding up the loop.

Lines wait in a bounded buffer. When whoever reads the pipe is slow, lines are
dropped and counted, and one line says how many once there is room again.
"""

from __future__ import annotations

import collections
import logging
import os

import anyio
import msgspec
from pythonjsonlogger import json as jsonlogger

__all__ = ["BufferedLogHandler"]

_FLUSH_EVERY_S = 0.2
_WRITE_BYTES = 65_536
# Times in lines are told to a tenth of a millisecond.
_TIME_DIGITS = 4

_encoder = msgspec.json.Encoder(enc_hook=str)


class _BriefFormatter(jsonlogger.JsonFormatter):
    """Leaves out what a line need not say.

    Whoever keeps logs keeps a bounded number of bytes: each one spared makes
    room for an older line.
    """

    def __init__(self):
        super().__init__("%(created)f %(levelname)s %(message)s")

    def process_log_record(self, log_data: dict) -> dict:
        """Returns a line's fields without repetitions and unknown values."""
        fields = {k: v for k, v in log_data.items() if v is not None}
        fields["created"] = round(fields["created"], _TIME_DIGITS)
        if fields.get("message") == fields.get("event"):
            del fields["message"]
        return fields

    def jsonify_log_record(self, log_data: dict) -> str:
        """Returns a line as JSON without spaces."""
        return _encoder.encode(log_data).decode()


class BufferedLogHandler(logging.Handler):
    """Formats records as JSON lines and writes them when it can.

    Attributes:
        descriptor: Of the file or pipe; it is made non-blocking.
        max_bytes: Bytes that wait at most.
        dropped: Lines dropped so far.
        written_lines: Lines handed over so far.
        written_bytes: Bytes handed over so far.
    """

    def __init__(self, descriptor: int, max_bytes: int = 1_048_576):
        super().__init__()
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.dropped = 0
        self.written_lines = 0
        self.written_bytes = 0
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._dropped_untold = 0
        self.setFormatter(_BriefFormatter())
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Takes in a record; drops it when the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting_bytes + len(line) > self.max_bytes:
            self.dropped += 1
            self._dropped_untold += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self._waiting:
            chunk = self._take_chunk()
            try:
                done = os.write(self.descriptor, chunk)
            except BlockingIOError:
                done = 0
            except OSError:
                return self._discard(chunk)
            self.written_bytes += done
            if done < len(chunk):
                return self._put_back(chunk[done:])
        return self._tell_dropped()

    async def run(self) -> None:
        """Writes until cancelled, then what is left."""
        try:
            while True:
                await anyio.sleep(_FLUSH_EVERY_S)
                self.flush()
        finally:
            self.flush()

    def _take_chunk(self) -> bytes:
        parts = []
        size = 0
        while self._waiting and size < _WRITE_BYTES:
            parts.append(self._waiting.popleft())
            size += len(parts[-1])
        self.written_lines += len(parts)
        self._waiting_bytes -= size
        return b"".join(parts)

    def _put_back(self, rest: bytes) -> None:
        self._waiting.appendleft(rest)
        self._waiting_bytes += len(rest)

    def _discard(self, chunk: bytes) -> None:
        """Counts lines whose reader is gone."""
        self.dropped += chunk.count(b"\n")

    def _tell_dropped(self) -> None:
        if not self._dropped_untold:
            return
        count, self._dropped_untold = self._dropped_untold, 0
        logging.getLogger(__name__).warning(
            "log lines dropped", extra={"event": "log_dropped", "lines": count}
        )
