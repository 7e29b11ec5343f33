"""Tests of notices of work as CBOR."""

import unittest

from hillthread import errors
from hillthread.protocol import work_notice

NOTICE = work_notice.WorkNotice(
    "i-7e6d2975f6", 2_890, "shared/m/7", [("aa", 300), ("bb", 500)], 90, True
)


class WorkNoticeTest(unittest.TestCase):
    def test_notice_is_read_as_it_was_written(self):
        raw = work_notice.encode_notice(NOTICE)
        self.assertEqual(work_notice.decode_notice(raw), NOTICE)

    def test_anything_else_is_refused(self):
        for raw in (b"", b"\xff", b"\x80", b"\x86" + b"\x01" * 6):
            with self.subTest(raw=raw), self.assertRaises(errors.PeerError):
                work_notice.decode_notice(raw)
