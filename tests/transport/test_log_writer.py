"""Tests of the log handler that never blocks the event loop."""

import json
import logging
import os
import time
import unittest

from hillthread.transport import log_writer


class BufferedLogHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.handler = log_writer.BufferedLogHandler(self.writer, 200_000)
        self.logger = logging.getLogger("test.log_writer")
        self.logger.addHandler(self.handler)
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)
        writer_logger = logging.getLogger(log_writer.__name__)
        writer_logger.addHandler(self.handler)
        writer_logger.propagate = False
        self.addCleanup(writer_logger.removeHandler, self.handler)
        self.addCleanup(self.logger.removeHandler, self.handler)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65_536))
            except BlockingIOError:
                return b"".join(parts)

    def test_lines_dropped_at_a_full_pipe_are_counted_and_reported(self):
        for number in range(5000):
            self.logger.info("line", extra={"number": number, "pad": "x" * 90})
            if number % 100 == 0:
                self.handler.flush()
        self.assertGreater(self.handler.dropped, 0)
        lines = b""
        for _ in range(20):
            self.handler.flush()
            lines += self.read()
        decoded = [json.loads(line) for line in lines.splitlines()]
        reported = [d for d in decoded if d.get("event") == "log_dropped"]
        self.assertEqual(
            sum(d["lines"] for d in reported), self.handler.dropped
        )
        numbers = [d["number"] for d in decoded if "number" in d]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(numbers) + self.handler.dropped, 5000)

    def test_lines_omit_repeated_messages_and_none_values(self):
        fields = {"event": "chosen", "target": None, "seconds": 0.5}
        self.logger.info("chosen", extra=fields)
        self.logger.info("words", extra={"event": "chosen", "odd": object})
        self.handler.flush()
        first, second = self.read().splitlines()
        reported = json.loads(first)
        self.assertAlmostEqual(reported.pop("created"), time.time(), delta=60.0)
        self.assertEqual(
            reported, {"levelname": "INFO", "event": "chosen", "seconds": 0.5}
        )
        self.assertNotIn(b" ", first)
        self.assertEqual(json.loads(second)["message"], "words")
        self.assertEqual(json.loads(second)["odd"], str(object))

    def test_closed_reader_does_not_block_or_raise(self):
        os.close(self.reader)
        self.reader = os.open(os.devnull, os.O_RDONLY)
        self.logger.info("line")
        self.handler.flush()
        self.assertEqual(self.handler.dropped, 1)
