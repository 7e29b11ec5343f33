"""Tests of the page on the journal."""

import pathlib
import re
import tempfile
import unittest

import msgspec

from hillthread import errors
from hillthread.bench import report
from hillthread.platform import journal
from tests.platform import test_journal


def decoded(*entries):
    return [journal.decode_entry(msgspec.json.encode(e)) for e in entries]


class ReportTest(unittest.TestCase):
    def test_only_whole_runs_make_the_history_and_all_runs_the_faults(self):
        broken = test_journal.day(rules={"LOST": 1})
        (site,) = report.histories(
            decoded(
                test_journal.entry(1),
                test_journal.entry(2, "run", [broken]),
                test_journal.entry(3),
            )
        )
        self.assertEqual([e.entry_id for e in site.rounds], ["e1", "e3"])
        self.assertEqual([e.entry_id for e, _ in site.broken], ["e2"])

    def test_page_holds_all_it_shows_and_escapes_words(self):
        days = [
            test_journal.day("quiet-1", 0.61),
            test_journal.day("fresh-1", 0.11, {"MIXED": 3}),
        ]
        entry = test_journal.entry(1, days=days, why="<b>why</b>")
        page = report.render_page(report.histories(decoded(entry)))
        self.assertIn("0.610", page)
        self.assertIn("MIXED 3", page)
        self.assertIn("&lt;b&gt;why", page)
        self.assertEqual(page.count("<svg"), 2)
        loads = re.findall(r"(?:src|href)=.(?!#)[^>]*", page)
        self.assertEqual(loads, [])
        self.assertNotIn("<script src", page)

    def test_page_and_pictures_are_written(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            entry = msgspec.json.encode(test_journal.entry(1))
            (folder / "1.json").write_bytes(entry)
            page = folder / "page.html"
            self.assertEqual(report.write_report(folder, page), 1)
            picture = (folder / "worth-site-one.svg").read_text()
            self.assertTrue(picture.startswith("<svg"))
            self.assertIn("quiet-1", picture)

    def test_empty_folder_is_refused(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            with self.assertRaises(errors.HillthreadError):
                report.write_report(folder, folder / "page.html")
