"""A logging handler that never blocks the event loop.

Lines are kept in a bounded buffer. When the reader of the pipe is too slow,
lines are dropped and counted. Once the buffer has been written, a log line
reports how many were dropped.
"""

from __future__ import annotations

import collections
import logging
import os

import anyio
import msgspec
from pythonjsonlogger import json as jsonlogger

__all__ = ["BufferedLogHandler"]

_FLUSH_INTERVAL_S = 0.2
_CHUNK_BYTES = 65_536
# Digits after the decimal point of a time in seconds: a tenth of a millisecond.
_TIME_DIGITS = 4

_encoder = msgspec.json.Encoder(enc_hook=str)


class _CompactFormatter(jsonlogger.JsonFormatter):
    """Formats records as JSON without redundant or empty fields.

    Log storage is bounded in bytes, so shorter lines allow older lines to be
    retained.
    """

    def __init__(self):
        super().__init__("%(created)f %(levelname)s %(message)s")

    def process_log_record(self, log_data: dict) -> dict:
        """Returns the fields without None and without a repeated message."""
        fields = {k: v for k, v in log_data.items() if v is not None}
        fields["created"] = round(fields["created"], _TIME_DIGITS)
        if fields.get("message") == fields.get("event"):
            del fields["message"]
        return fields

    def jsonify_log_record(self, log_data: dict) -> str:
        """Returns the fields as JSON without spaces."""
        return _encoder.encode(log_data).decode()


class BufferedLogHandler(logging.Handler):
    """Buffers records as JSON lines and writes them without blocking.

    Attributes:
        descriptor: Of the file or pipe to write to; it is made non-blocking.
        max_bytes: Maximum size of the buffer.
        dropped: Lines dropped so far.
        written_lines: Lines written so far.
        written_bytes: Bytes written so far.
    """

    def __init__(self, descriptor: int, max_bytes: int = 1_048_576):
        super().__init__()
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.dropped = 0
        self.written_lines = 0
        self.written_bytes = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self.setFormatter(_CompactFormatter())
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a record, or drops it when the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._buffered_bytes + len(line) > self.max_bytes:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Writes buffered lines until the buffer is empty or a write blocks."""
        while self._lines:
            chunk = self._take_chunk()
            try:
                done = os.write(self.descriptor, chunk)
            except BlockingIOError:
                done = 0
            except OSError:
                return self._discard(chunk)
            self.written_bytes += done
            if done < len(chunk):
                return self._requeue(chunk[done:])
        return self._report_drops()

    async def run(self) -> None:
        """Flushes periodically until cancelled, then once more."""
        try:
            while True:
                await anyio.sleep(_FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def _take_chunk(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        self.written_lines += len(parts)
        self._buffered_bytes -= size
        return b"".join(parts)

    def _requeue(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._buffered_bytes += len(rest)

    def _discard(self, chunk: bytes) -> None:
        """Counts lines as dropped because the pipe's reader has closed."""
        self.dropped += chunk.count(b"\n")

    def _report_drops(self) -> None:
        if not self._unreported_drops:
            return
        count, self._unreported_drops = self._unreported_drops, 0
        logging.getLogger(__name__).warning(
            "log lines dropped", extra={"event": "log_dropped", "lines": count}
        )
