"""Tests for the digest that all tries of a request share."""

import unittest

from hillthread.state.targets import request_digest

REQUEST = ("org", b"POST", b"host", b"/a/b", b"body")


class RequestDigestTest(unittest.TestCase):
    def test_same_request_has_the_same_digest(self):
        first = request_digest.request_digest(*REQUEST)
        self.assertEqual(request_digest.request_digest(*REQUEST), first)
        self.assertEqual(len(first), 16)

    def test_digest_depends_on_each_part_and_on_part_boundaries(self):
        others = [
            ("other", *REQUEST[1:]),
            ("org", b"PUT", *REQUEST[2:]),
            ("org", b"POST", b"host2", b"/a/b", b"body"),
            ("org", b"POST", b"host/a", b"/b", b"body"),
            ("org", b"POST", b"host", b"/a/", b"bbody"),
            ("org", b"POST", b"host", b"/a/b", b"bodY"),
        ]
        digests = {request_digest.request_digest(*each) for each in others}
        self.assertEqual(len(digests), len(others))
        self.assertNotIn(request_digest.request_digest(*REQUEST), digests)

    def test_organisation_name_may_have_any_length(self):
        long = request_digest.request_digest("x" * 65, *REQUEST[1:])
        longer = request_digest.request_digest("x" * 66, *REQUEST[1:])
        self.assertNotEqual(long, longer)
