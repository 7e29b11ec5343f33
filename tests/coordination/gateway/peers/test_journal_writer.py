"""Tests the writing of the journal of streams."""

import unittest
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway.peers import journal_writer
from hillthread.coordination.gateway.store import stream_journal
from hillthread.protocol import stream_query
from hillthread.state.cluster import stream_records
from tests.coordination.gateway import scene as scene_lib


def make_notice(number, release="v1"):
    return stream_query.StreamNotice(
        1, b"%016d" % number, "engines", release, 60
    )


def key_of(notice):
    return stream_records.StreamKey(notice.tenant, notice.digest)


def get_topic(scene):
    return scene.store.topics.get(stream_journal.JOURNAL_TOPIC)


class JournalWriterTest(unittest.TestCase):
    def test_records_are_read_back_after_a_failed_write(self):
        async def scenario(scene):
            streams = scene.program.streams
            scene.store.faults.busy_topic = stream_journal.JOURNAL_TOPIC
            notices = [make_notice(number) for number in range(3)]
            for notice in notices:
                streams.journal_writer.add(notice)
            await anyio.sleep(0.5)
            self.assertEqual(list(streams.journal_writer.unwritten), notices)
            scene.store.faults.busy_topic = ""
            await scene.until(lambda: get_topic(scene))
            for notice in notices:
                found = await streams.journal.find(key_of(notice))
                self.assertEqual(found.origin.release, "v1")

        scene_lib.run_scenario(scenario)

    # Guards against a record that is appended twice being taken for two claims.
    def test_unanswered_write_is_repeated_without_harm(self):
        async def scenario(scene):
            streams = scene.program.streams
            scene.store.faults.unanswered_appends = 1
            streams.journal_writer.add(make_notice(1))
            await scene.until(lambda: get_topic(scene))
            await scene.until(lambda: get_topic(scene).end == 2)
            found = await streams.journal.find(key_of(make_notice(1)))
            self.assertEqual(found.origin.release, "v1")

        scene_lib.run_scenario(scenario)

    # Guards against joining a stream that two releases claim.
    def test_contradicting_records_leave_the_release_unknown(self):
        async def scenario(scene):
            streams = scene.program.streams
            streams.journal_writer.add(make_notice(1, "v1"))
            streams.journal_writer.add(make_notice(1, "v2"))
            await scene.until(lambda: get_topic(scene))
            found = await streams.journal.find(key_of(make_notice(1)))
            self.assertEqual(found.origin.release, "")

        scene_lib.run_scenario(scenario)

    # Guards against memory without bound while the store is away.
    def test_oldest_records_are_dropped_when_the_store_stays_away(self):
        async def scenario(scene):
            writer = scene.program.streams.journal_writer
            scene.store.faults.busy_topic = stream_journal.JOURNAL_TOPIC
            for number in range(30):
                writer.add(make_notice(number))
            await anyio.sleep(0.5)
            self.assertEqual(
                list(writer.unwritten), [make_notice(n) for n in range(10, 30)]
            )

        with mock.patch.object(journal_writer, "_MAX_PENDING", 20):
            scene_lib.run_scenario(scenario)

    # Guards against a journal that grows where the store keeps its history.
    def test_old_records_are_trimmed(self):
        async def scenario(scene):
            writer = scene.program.streams.journal_writer
            began_at = clock.now()
            while clock.now() < began_at + 2.5:
                writer.add(make_notice(int(clock.now() * 1000)))
                await anyio.sleep(0.05)
            topic = get_topic(scene)
            self.assertGreater(topic.first, 0)
            self.assertGreater(topic.end, topic.first)

        with mock.patch.object(journal_writer, "_TRIM_AGE_S", 0.5):
            scene_lib.run_scenario(scenario)

    # Guards against a reader that stops at records it cannot read, or that are
    # no longer kept.
    def test_reader_goes_on_after_unreadable_and_trimmed_records(self):
        async def scenario(scene):
            streams = scene.program.streams
            streams.journal_writer.add(make_notice(1))
            await scene.until(lambda: get_topic(scene))
            self.assertTrue(await streams.journal.find(key_of(make_notice(1))))
            topic = get_topic(scene)
            topic.add(b"\xff not a batch")
            topic.drop_before(topic.end)
            topic.add(b"\x81\x84 nor this")
            streams.journal_writer.add(make_notice(2))
            end = topic.end
            await scene.until(lambda: topic.end > end)
            await anyio.sleep(0.15)
            self.assertTrue(await streams.journal.find(key_of(make_notice(2))))

        scene_lib.run_scenario(scenario)
