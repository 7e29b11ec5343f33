"""Tests of archiving decision records when the log refuses some."""

import unittest

import prometheus_client

from hillthread import errors
from hillthread.coordination import record_archive

REFUSED = b'{"request_id":"poison"}'


def make_document(number):
    return b'{"request_id":"%d"}' % number


class FakeLog:
    """Fake log that refuses each batch with one certain record."""

    def __init__(self):
        self.kept = b""
        self.down = False
        self.appends = 0

    async def append(self, stream, payloads):
        del stream
        self.appends += 1
        if self.down or REFUSED in payloads[0]:
            raise errors.LogError("refused", "wait")
        self.kept += payloads[0]


class RecordArchiveTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = FakeLog()
        self.archive = record_archive.RecordArchive(
            self.log, "dc1", ["dc1"], prometheus_client.CollectorRegistry()
        )

    async def flush_repeatedly(self, count):
        for _ in range(count):
            await self.archive.flush()

    def are_all_kept(self, numbers):
        return all(make_document(number) in self.log.kept for number in numbers)

    async def test_refused_record_does_not_delay_others(self):
        self.archive.add(REFUSED)
        for number in range(250):
            self.archive.add(make_document(number))
        await self.flush_repeatedly(20)
        self.assertTrue(self.are_all_kept(range(250)))
        self.assertEqual(list(self.archive.waiting), [REFUSED])

    async def test_all_records_are_kept_after_an_outage(self):
        self.log.down = True
        for number in range(250):
            self.archive.add(make_document(number))
        await self.flush_repeatedly(20)
        self.assertEqual(self.log.appends, 20)
        self.log.down = False
        self.log.appends = 0
        await self.flush_repeatedly(1)
        self.assertTrue(self.are_all_kept(range(250)))
        self.assertLess(self.log.appends, 15)
