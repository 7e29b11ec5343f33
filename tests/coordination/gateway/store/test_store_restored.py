"""Tests that hosts follow a store that was restored from a backup."""

import time
import unittest
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.store import host_registry
from hillthread.platform import call_ids
from hillthread.platform import store as store_lib
from hillthread.protocol import feed
from hillthread.state.cluster import position
from hillthread.transport import connection_pool
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

# Longer than a starting host waits for the list of hosts.
_OUTAGE_S = 0.8


async def wait_for_configuration(scene):
    """Waits until the gateway has applied the newest configuration."""
    await scene.until(lambda: scene.site.configuration.version == scene.version)


async def wait_for_topic(scene, topic):
    """Waits until the gateway has read a topic of the restored store."""
    copy = scene.program.followers[topic].copy
    era = scene.store.era
    await scene.until(lambda: copy.position and copy.position.era == era)


async def restore_store(scene, backup, write_again=None):
    """Makes the store fail for a moment and restores it from a backup.

    Args:
        scene: The scene.
        backup: Backup of the store.
        write_again: Called after the restoration, before hosts reach the store.
    """
    scene.store.faults.reset = True
    await scene.until(lambda: scene.site.is_store_lost)
    scene.store.restore(backup)
    if write_again is not None:
        write_again()
    scene.store.faults.reset = False


def play(story, **settings):
    """Plays a story with a store that reports its era."""

    async def start_era(scene):
        scene.store.era = 7

    scene_lib.run_scenario(story, before=start_era, **settings)


class RestoredStoreTest(unittest.TestCase):
    # Guards against hosts that ignore a change as old, since the restored store
    # gave it a lower offset than the records that they had read.
    def test_change_after_a_restoration_is_applied(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            for _ in range(4):
                scene.configure()
            await wait_for_configuration(scene)
            await restore_store(scene, backup)
            scene.configure()  # the operator writes the last one again
            scene.configure()
            await wait_for_configuration(scene)

        play(story)

    def test_withdrawn_key_is_refused_in_time_after_a_restoration(self):
        for config_ms, revoke_ms in ((1000, 2500), (2000, 5000), (4000, 10000)):
            with self.subTest(config_ms=config_ms, revoke_ms=revoke_ms):
                play(
                    lambda scene, c=config_ms: self.withdraw_key(scene, c),
                    config_ms=config_ms,
                    revoke_ms=revoke_ms,
                )

    async def withdraw_key(self, scene, config_ms):
        await wait_for_configuration(scene)
        backup = scene.store.backup()
        for _ in range(4):
            scene.configure()
        await wait_for_configuration(scene)
        scene.store.restore(backup)
        scene.configure(tenants=scene.configuration["tenants"][1:])
        written_at = time.monotonic()
        await wait_for_configuration(scene)
        self.assertLess(time.monotonic() - written_at, config_ms / 1000.0)
        answer = await scene.call(scene.request("/once/x"))
        self.assertEqual(answer.head.status, 401)

    # Guards against hosts that miss changes because the restored topic has
    # grown beyond the offset up to which they had read.
    def test_change_before_the_last_read_offset_is_applied(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            scene.configure()
            await wait_for_configuration(scene)

            def write_more():
                scene.configure()
                for version in range(2, 6):
                    scene.announce_weights(version)

            await restore_store(scene, backup, write_more)
            await wait_for_configuration(scene)

        play(story)

    # Guards against a host that reads from another one and stays in the former
    # era with it.
    def test_host_that_reads_from_another_follows_a_restoration(self):
        async def story(scene):
            await wait_for_configuration(scene)
            reader = await test_feed.second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            test_feed.read_from(reader, "h1")
            backup = scene.store.backup()
            for _ in range(4):
                scene.configure()
            await wait_for_configuration(scene)
            await restore_store(scene, backup)
            scene.configure()
            await wait_for_configuration(scene)
            await scene.until(
                lambda: reader.site.configuration.version == scene.version
            )

        play(story)

    # Guards against all hosts of a data centre reading the store at once.
    def test_host_that_reads_from_another_does_not_call_the_store(self):
        async def story(scene):
            await wait_for_configuration(scene)
            reader = await test_feed.second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            test_feed.read_from(reader, "h1")
            await anyio.sleep(0.5)
            backup = scene.store.backup()
            scene.configure()
            await scene.until(
                lambda: reader.site.configuration.version == scene.version
            )
            calls = reader.store.calls
            scene.store.restore(backup)
            await scene.until(lambda: reader.store.era == 8)
            scene.configure()
            await scene.until(
                lambda: reader.site.configuration.version == scene.version
            )
            for follower in reader.followers.values():
                await scene.until(lambda f=follower: not f.needs_full_read)
            self.assertEqual(reader.store.calls, calls)

        play(story)

    # Guards against a process that returns to an older configuration.
    def test_older_configuration_of_the_backup_is_not_applied(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            scene.configure()
            await wait_for_configuration(scene)
            await restore_store(scene, backup)
            await scene.until(lambda: scene.program.store.era == 8)
            await wait_for_topic(scene, "keyed.op")
            self.assertEqual(scene.site.configuration.version, scene.version)
            # A host that reads from this one gets its newer configuration.
            reader = await test_feed.second_host(scene)
            await scene.until(
                lambda: reader.site.configuration.version == scene.version
            )

        play(story)

    def test_backup_that_lacks_a_topic_is_followed(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            del backup["keyed.servers"], backup["keyed.op"]
            await restore_store(scene, backup)
            await scene.until(lambda: scene.program.store.era == 8)
            for target in scene.targets:
                scene.list_target(target)
            scene.configure()
            await wait_for_configuration(scene)
            entries = scene.site.targets.entries
            self.assertEqual(len(entries), len(scene.targets))
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        play(story)

    def test_target_missing_from_the_backup_is_kept_for_a_while(self):
        async def story(scene):
            await wait_for_configuration(scene)
            running, stopped = scene.plain
            backup = scene.store.backup()
            for target in scene.plain:
                del backup["keyed.servers"].newest[target.name]
            await restore_store(scene, backup)
            entries = scene.site.targets.entries
            await scene.until(
                lambda: scene.site.targets.is_missing(stopped.name)
            )
            self.assertIn(running.name, entries)
            scene.list_target(running)
            await scene.until(lambda: stopped.name not in entries)
            self.assertIn(running.name, entries)

        play(story)

    def test_departure_is_kept_over_a_restoration(self):
        async def story(scene):
            await wait_for_configuration(scene)
            target = scene.plain[0]
            backup = scene.store.backup()
            scene.list_target(target, "draining")
            entries = scene.site.targets.entries
            await scene.until(lambda: entries[target.name].leaving)
            await restore_store(scene, backup)
            await wait_for_topic(scene, "keyed.servers")
            scene.list_target(target)
            await anyio.sleep(0.3)
            self.assertTrue(entries[target.name].leaving)

        play(story)

    # Guards against hosts that are no longer listed: others would use their
    # shares of quotas and budgets as well.
    def test_host_registers_again(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            del backup["keyed.hosts"].newest["h1"]
            await restore_store(scene, backup)
            await scene.until(lambda: "h1" in scene.store.values("keyed.hosts"))
            self.assertIn("h1", scene.program.source.hosts)

        play(story)

    # Guards against a host that keeps the smallest shares of quotas and budgets
    # because the backup has only the entry of its earlier process.
    def test_host_replaces_the_entry_of_its_earlier_process(self):
        async def story(scene):
            await wait_for_configuration(scene)
            program = scene.program
            scene.store.put(
                "keyed.hosts",
                "h1",
                {"data_centre": "here", "feed": "127.0.0.1:1"},
            )
            backup = scene.store.backup()
            # The state of a process that has not written its entry.
            program.hosts.hosts_settled = anyio.Event()
            program.hosts._update_host_count()
            self.assertEqual(
                scene.site.cluster_size, site_lib.DEFAULT_CLUSTER_SIZE
            )
            await restore_store(scene, backup)
            feed = program.feed_server.address
            await scene.until(
                lambda: scene.store.values("keyed.hosts")["h1"]["feed"] == feed
            )
            await scene.until(lambda: scene.site.cluster_size == 1)

        play(story)

    # Guards against hosts that start after the restoration and do not know of
    # requests under which targets crash.
    def test_quarantine_record_is_written_again(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            quarantine = scene.site.quarantine
            now = clock.now()
            for incarnation in range(3):
                quarantine.record_crash("digest", incarnation, now)
            quarantine_status = quarantine.status_of("digest", now)
            scene.program.quarantine._publish_hold("digest", quarantine_status)
            key = host_registry.QUARANTINE_PREFIX + "digest"
            copy = scene.program.followers["keyed.hosts"].copy
            await scene.until(lambda: key in copy.newest)
            await restore_store(scene, backup)
            await scene.until(lambda: key in scene.store.values("keyed.hosts"))
            self.assertEqual(quarantine.status_of("digest", now).ends, 3)

        play(story)

    # Guards against serving a withdrawn key at a host that starts during an
    # outage: it learned of the other hosts only after its first read.
    def test_host_that_starts_in_an_outage_confirms_its_first_read(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            scene.configure()
            await wait_for_configuration(scene)
            scene.store.faults.reset = True
            await scene.until(lambda: scene.site.is_store_lost)
            scene.tasks.start_soon(start_late, scene)
            await anyio.sleep(_OUTAGE_S)
            scene.store.restore(backup)
            scene.store.faults.reset = False
            await scene.until(lambda: applied)
            self.assertEqual(applied[0], scene.version)

        async def start_late(scene):
            with mock.patch.object(
                site_lib.Site, "apply_configuration", apply_and_note
            ):
                await test_feed.second_host(scene)

        def apply_and_note(site, payload):
            apply_configuration(site, payload)
            if site.settings.host == "h2":
                applied.append(site.configuration_version)

        applied = []
        apply_configuration = site_lib.Site.apply_configuration
        play(story)

    # Guards against hosts that keep what they know from a starting host while
    # they cannot read the store themselves.
    def test_host_without_the_store_answers_confirmations(self):
        async def story(scene):
            await wait_for_configuration(scene)
            scene.store.faults.reset = True
            await scene.until(lambda: scene.site.is_store_lost)
            statuses = []
            for is_confirmation in (False, True):
                query = feed.FeedQuery(
                    "keyed.op", position.Position(0, 0), 0.0, is_confirmation
                )
                request = call_ids.make_host_request(
                    scene.program.source.hosts["h1"],
                    b"GET",
                    feed.encode_query(query),
                )
                answer = await connection_pool.call(
                    scene.pool,
                    scene.program.feed_server.address,
                    request,
                    1.0,
                    1 << 20,
                )
                statuses.append(answer.head.status)
            self.assertEqual(statuses, [503, 200])
            page = feed.decode_page(answer.body)
            self.assertIn("config", [each.key for each in page.records])

        play(story)

    # Guards against an answer of the former era that confirms withdrawn keys.
    def test_late_answer_of_the_former_era_is_refused(self):
        async def story(scene):
            await wait_for_configuration(scene)
            scene.program.store.apply_era(9)
            with self.assertRaises(store_lib.StaleAnswerError):
                await scene.program.store.read_newest("keyed.op")

        play(story)

    def test_store_without_an_era_is_followed(self):
        async def story(scene):
            await wait_for_configuration(scene)
            self.assertIsNone(scene.program.store.era)
            scene.configure()
            await wait_for_configuration(scene)

        scene_lib.run_scenario(story)

    def test_restoration_is_logged_and_shown_in_metrics(self):
        async def story(scene):
            await wait_for_configuration(scene)
            backup = scene.store.backup()
            with self.assertLogs("hillthread.program", "WARNING") as logs:
                await restore_store(scene, backup)
                await scene.until(lambda: scene.program.store.era == 8)
            found = [
                (line.before, line.era)
                for line in logs.records
                if getattr(line, "event", "") == "store_restored"
            ]
            self.assertEqual(found, [(7, 8)])
            page = scene.program.metrics.render().decode()
            self.assertIn("hillthread_store_era 8.0", page)

        play(story)


if __name__ == "__main__":
    unittest.main()
