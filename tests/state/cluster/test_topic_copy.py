"""Tests of topic copies and of the selection of their source."""

import unittest
import zlib

import hypothesis
from hypothesis import strategies

from hillthread import errors
from hillthread.protocol import feed
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import position as position_lib
from hillthread.state.cluster import topic_copy


def at(offset, era=0):
    """Returns a position."""
    return position_lib.Position(era, offset)


def record(offset, key, value, era=0):
    """Returns a record."""
    return topic_copy.TopicRecord(key, value, at(offset, era))


_changes = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"), strategies.sampled_from([b"", b"1"])
    ),
    max_size=30,
)


class TopicCopyTest(unittest.TestCase):
    @hypothesis.given(_changes, strategies.integers(0, 30))
    def test_reader_of_a_copy_has_the_same_records(self, changes, first_read):
        copy = topic_copy.TopicCopy()
        copy.replace([], at(0))
        reader = topic_copy.TopicCopy()
        reader.replace([], at(0))
        for offset, (key, value) in enumerate(changes):
            copy.add(record(offset, key, value))
            if offset >= first_read:
                for each in copy.list_since(reader.position):
                    reader.add(each)
                self.assertEqual(reader.newest, copy.newest)

    def test_known_record_is_kept_for_readers_of_the_copy(self):
        copy = topic_copy.TopicCopy()
        copy.replace([record(1, "a", b"2")], at(1))
        self.assertFalse(copy.add(record(1, "a", b"2")))
        self.assertEqual([r.position for r in copy.list_since(at(1))], [at(1)])

    def test_unreadable_records_are_skipped(self):
        copy = topic_copy.TopicCopy()
        copy.replace([], at(3))
        copy.advance(at(5))
        self.assertEqual(copy.position, at(5))
        copy.advance(at(4))
        self.assertEqual(copy.position, at(5))

    def test_reader_behind_the_history_gets_the_whole_copy(self):
        copy = topic_copy.TopicCopy()
        copy.replace([record(4, "a", b"1")], at(9))
        self.assertIsNone(copy.list_since(at(3)))
        self.assertEqual(copy.list_since(at(9)), [])

    def test_replacement_reports_removed_keys(self):
        copy = topic_copy.TopicCopy()
        copy.replace([record(1, "a", b"1"), record(2, "b", b"1")], at(3))
        changes = copy.replace(
            [record(2, "b", b"1"), record(5, "c", b"1")], at(6)
        )
        self.assertEqual(
            [(each.key, each.value) for each in changes],
            [("a", b""), ("c", b"1")],
        )

    def test_whole_topic_of_a_large_site_is_compressed(self):
        """75 hosts that start together read it from one of them at once."""
        records = [
            record(
                n,
                f"i-{n * 2654435761 % 2**40:010x}",
                b'{"service":"engines","address":"10.%d.%d.%d:8529",'
                b'"zone":"z","slots":32,"state":"ready","models":[{"name":'
                b'"m","version":3}],"sequence":%d,"born":%d}'
                % (n % 4, n // 250, n % 250, n, 1_770_751_483_838 + 37 * n),
            )
            for n in range(3_000)
        ]
        whole = sum(len(each.value) for each in records)
        self.assertLess(len(feed.pack_records(records)), whole / 5)

    def test_page_round_trips_and_malformed_ones_are_refused(self):
        page = feed.FeedPage(at(9, 2), True, 0.5, [record(4, "a", b"\x00")])
        packed = feed.pack_records(page.records)
        raw = feed.encode_page(
            page.position, page.is_snapshot, page.age_s, packed
        )
        self.assertEqual(feed.decode_page(raw), page)
        for query in (
            feed.FeedQuery("t", at(3, 2), 0.25),
            feed.FeedQuery("t", at(3, 2), 0.0, is_confirmation=True),
        ):
            self.assertEqual(feed.parse_query(feed.encode_query(query)), query)
        far_too_long = zlib.compress(bytes(64 << 20), 1)
        for bad in (
            b"",
            b"\x01",
            b"\xff",
            b"\x84\x01\x02\x03\x04",
            raw[:-1],
            feed.encode_page(at(9), True, 0.5, packed[:-1]),
            feed.encode_page(at(9), True, 0.5, b"not packed"),
            feed.encode_page(at(9), True, 0.5, zlib.compress(b"\xff")),
            feed.encode_page(at(9), True, 0.5, far_too_long),
        ):
            with self.assertRaises(errors.PeerError):
                feed.decode_page(bad)
        with self.assertRaises(errors.PeerError):
            feed.parse_query(b"/feed?topic=t")


def is_shorter(one, other):
    """Treats the record with the shorter value as the older one."""
    return len(one.value) < len(other.value)


class RestoredTopicTest(unittest.TestCase):
    def copy(self, *records):
        copy = topic_copy.TopicCopy()
        copy.replace(list(records), at(9, 1))
        return copy

    def restore(self, copy, *records, keeps_missing=False):
        """Restores a copy in the next era and returns the result."""
        return copy.restore(list(records), at(3, 2), is_shorter, keeps_missing)

    # Guards against treating a record as old because of its lower offset.
    def test_change_of_the_new_era_counts_at_any_offset(self):
        copy = self.copy(record(8, "a", b"1", 1))
        found = self.restore(copy, record(2, "a", b"22", 2))
        self.assertEqual(found.changes, [record(2, "a", b"22", 2)])
        self.assertTrue(copy.add(record(3, "a", b"333", 2)))
        self.assertEqual(copy.newest["a"].value, b"333")

    def test_older_value_is_ignored_until_written_again(self):
        copy = self.copy(record(8, "a", b"22", 1))
        found = self.restore(copy, record(2, "a", b"1", 2))
        self.assertEqual(found, topic_copy.Replacement([], ["a"]))
        self.assertEqual(copy.newest["a"], record(-1, "a", b"22", 2))
        self.assertTrue(copy.add(record(3, "a", b"22", 2)))

    def test_equal_value_is_no_change(self):
        copy = self.copy(record(8, "a", b"1", 1))
        found = self.restore(copy, record(2, "a", b"1", 2))
        self.assertEqual(found, topic_copy.Replacement([], []))
        self.assertEqual(copy.newest["a"].position, at(2, 2))

    def test_missing_key_is_removed_or_kept(self):
        copy = self.copy(record(8, "a", b"1", 1))
        found = self.restore(copy)
        self.assertEqual(found.changes, [record(-1, "a", b"", 2)])
        self.assertNotIn("a", copy.newest)
        copy = self.copy(record(8, "a", b"1", 1))
        found = self.restore(copy, keeps_missing=True)
        self.assertEqual(found, topic_copy.Replacement([], ["a"]))
        self.assertIn("a", copy.newest)

    def test_reader_of_a_former_era_gets_the_whole_copy(self):
        copy = self.copy()
        self.restore(copy)
        self.assertIsNone(copy.list_since(at(3, 1)))
        self.assertIsNone(copy.list_since(at(99, 1)))
        self.assertEqual(copy.list_since(at(3, 2)), [])

    def test_copy_detects_a_newer_era(self):
        copy = self.copy(record(8, "a", b"1", 1))
        self.assertFalse(copy.is_restored_by(1))
        self.assertTrue(copy.is_restored_by(2))


class FeedSourceTest(unittest.TestCase):
    def sources(self, count):
        names = [f"h{number}" for number in range(count)]
        sources = [feed_source.FeedSource(name, "z") for name in names]
        for source in sources:
            for name in names:
                source.put(feed_source.HostEntry(name, "z", f"{name}:1"))
            source.put(feed_source.HostEntry("far", "y", "far:1"))
        return sources

    def test_only_host_of_a_data_centre_reads_the_store(self):
        (source,) = self.sources(1)
        self.assertIsNone(source.pick(0.0))
        self.assertFalse(source.is_shared_reader())
        self.assertFalse(source.has_shared_reader())

    def test_hosts_select_the_same_reader_of_the_store(self):
        for count in (2, 3, 9, 33):
            with self.subTest(count=count):
                picked = [source.pick(0.0) for source in self.sources(count)]
                self.assertEqual(picked.count(None), 1)
                names = {entry.name for entry in picked if entry is not None}
                self.assertEqual(len(names), 1)
                self.assertNotIn("far", names)

    def test_host_is_avoided_for_a_while_after_a_failed_read(self):
        source = next(s for s in self.sources(9) if s.pick(0.0))
        first = source.pick(0.0)
        source.avoid(first.name, 0.0)
        second = source.pick(0.1)
        if second is not None:
            self.assertNotEqual(second.name, first.name)
            source.avoid(second.name, 0.1)
        self.assertIsNone(source.pick(0.2))
        self.assertEqual(source.pick(9.0), first)

    def test_duty_ranks_of_hosts_differ(self):
        ranks = [s.get_duty_rank("orders") for s in self.sources(5)]
        self.assertEqual(len(set(ranks)), 5)
