"""Tests of label selectors."""

import unittest

from hillthread import errors
from hillthread.state.config import labels

LABELS = {"zone": "a", "role": "engine"}


class SelectorTest(unittest.TestCase):
    def test_matches(self):
        cases = {
            "": True,
            "zone=a": True,
            "zone==a,role=engine": True,
            "zone=b": False,
            "zone!=b": True,
            "zone in (a, b)": True,
            "zone notin (a,b)": False,
            "tier notin (x)": True,
            "zone": True,
            "!zone": False,
            "!tier,zone in (a,c),role!=plain": True,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                selector = labels.parse_selector(text)
                self.assertEqual(selector.matches(LABELS), expected)

    def test_refuses_invalid_selectors(self):
        for text in ("a=b,", "a in b", "=a", "a in (b", "a b"):
            with (
                self.subTest(text),
                self.assertRaisesRegex(errors.SelectorError, "Remedy"),
            ):
                labels.parse_selector(text)
