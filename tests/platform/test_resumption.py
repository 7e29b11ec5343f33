"""Tests of the headers with which callers resume streams."""

import unittest

from hillthread.platform import resumption


def decode(*headers):
    return resumption.decode_resumption(
        [(name.encode(), value.encode("latin-1")) for name, value in headers]
    )


class DecodeTest(unittest.TestCase):
    def test_request_without_either_header_is_for_a_new_stream(self):
        self.assertIsNone(decode(("host", "a")))
        self.assertIsNone(decode(("resumes", " "), ("last-event-id", "")))

    def test_both_headers_name_the_stream_and_the_position(self):
        self.assertEqual(
            decode(("resumes", " a1 "), ("last-event-id", "7")),
            resumption.Resumption("a1", "7"),
        )

    def test_either_header_alone_takes_up_a_stream(self):
        self.assertEqual(
            decode(("last-event-id", "7")), resumption.Resumption("", "7")
        )
        self.assertEqual(
            decode(("resumes", "a1")), resumption.Resumption("a1", "")
        )

    def test_position_is_a_number_if_its_spelling_is_kept(self):
        for text, number in (("7", 7), ("0", 0), ("07", None), ("a", None)):
            found = decode(("resumes", "a1"), ("last-event-id", text))
            self.assertEqual(found.last_event_number, number)
        self.assertIsNone(decode(("resumes", "a1")).last_event_number)

    def test_equal_values_count_as_one(self):
        found = decode(("resumes", "a1"), ("resumes", "a1"))
        self.assertEqual(found, resumption.Resumption("a1"))

    def test_ambiguous_or_malformed_values_are_faults(self):
        for headers in (
            [("resumes", "a1"), ("resumes", "a2")],
            [("last-event-id", "1"), ("last-event-id", "2")],
            [("resumes", "a" * 129)],
            [("resumes", "a 1")],
            [("resumes", "a\x00")],
            [("resumes", "\xe9")],
            [("resumes", "a1"), ("last-event-id", "9" * 100_000)],
        ):
            with self.subTest(headers=str(headers)[:60]):
                found = decode(*headers)
                self.assertTrue(found.fault)
                self.assertEqual(found.stream_id, "")
