"""Tests of log lines that never hold up the loop."""

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
        tell = logging.getLogger(log_writer.__name__)
        tell.addHandler(self.handler)
        tell.propagate = False
        self.addCleanup(tell.removeHandler, self.handler)
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

    def test_stuffed_pipe_drops_lines_and_tells_how_many(self):
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
        told = [d for d in decoded if d.get("event") == "log_dropped"]
        self.assertEqual(sum(d["lines"] for d in told), self.handler.dropped)
        numbers = [d["number"] for d in decoded if "number" in d]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(numbers) + self.handler.dropped, 5000)

    def test_line_says_nothing_twice_and_nothing_unknown(self):
        fields = {"event": "chosen", "target": None, "seconds": 0.5}
        self.logger.info("chosen", extra=fields)
        self.logger.info("words", extra={"event": "chosen", "odd": object})
        self.handler.flush()
        first, second = self.read().splitlines()
        told = json.loads(first)
        self.assertAlmostEqual(told.pop("created"), time.time(), delta=60.0)
        self.assertEqual(
            told, {"levelname": "INFO", "event": "chosen", "seconds": 0.5}
        )
        self.assertNotIn(b" ", first)
        self.assertEqual(json.loads(second)["message"], "words")
        self.assertEqual(json.loads(second)["odd"], str(object))

    def test_reader_that_is_gone_stops_nothing(self):
        os.close(self.reader)
        self.reader = os.open(os.devnull, os.O_RDONLY)
        self.logger.info("line")
        self.handler.flush()
        self.assertEqual(self.handler.dropped, 1)
