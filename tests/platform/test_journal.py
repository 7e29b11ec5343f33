"""Tests of the decoder of the benchmark's journal."""

import contextlib
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from hillthread import errors
from hillthread.platform import journal


def entry(number=1, command="score", days=None, **fields):
    """Returns an entry as the benchmark writes it."""
    return {
        "id": f"e{number}",
        "at": [f"2026-01-01T00:0{number}:00Z", "later"],
        "cmd": command,
        "site": "site-one",
        "why": "because",
        "lines": 10,
        "newField": {"x": 1},
        "days": days if days is not None else [day()],
        **fields,
    }


def day(name="quiet-1", worth=0.5, rules=None):
    return {
        "G": worth,
        "name": name,
        "served": 0.9,
        "refused": 0.01,
        "failed": None,
        "used": 8,
        "rules": rules or {},
        "prices": [["loads", 20.0, 0.016], ["duties", 1.0, None]],
    }


class JournalTest(unittest.TestCase):
    def test_entry_is_decoded_into_named_fields(self):
        raw = entry(days=[day(rules={"LOST": 2, "note": "x"}), day("b", None)])
        found = journal.decode_entry(msgspec.json.encode(raw))
        self.assertEqual((found.entry_id, found.site), ("e1", "site-one"))
        (only,) = found.days  # the other one was aborted
        self.assertEqual((only.worth, only.hosts), (0.5, 8))
        self.assertEqual(only.broken, {"LOST": 2})
        self.assertEqual(only.prices[0], journal.Price("loads", 20.0, 0.016))

    def test_entries_are_sorted_by_time_and_errors_name_the_file(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            for number in (2, 1):
                payload = msgspec.json.encode(entry(number))
                (folder / f"{number}.json").write_bytes(payload)
            found = journal.read_entries(folder)
            self.assertEqual([e.entry_id for e in found], ["e1", "e2"])
            (folder / "bad.json").write_text("{")
            with self.assertRaisesRegex(errors.ConfigurationError, "bad.json"):
                journal.read_entries(folder)

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes_are_decoded_or_rejected(self, payload):
        with contextlib.suppress(errors.ConfigurationError):
            journal.decode_entry(payload)
