"""Tests that hosts follow a store that was restored from an older copy."""

import time
import unittest

import anyio

from hillthread import clock
from hillthread.coordination.gateway import site as site_lib
from hillthread.coordination.gateway.store import host_registry
from hillthread.platform import store as store_lib
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed


async def known(scene):
    """Waits until the gateway applies the newest configuration."""
    await scene.until(lambda: scene.site.configuration.version == scene.version)


async def followed(scene, topic):
    """Waits until the gateway has read a topic of the restored store."""
    copy = scene.program.followers[topic].copy
    era = scene.store.era
    await scene.until(lambda: copy.position and copy.position.era == era)


async def restore(scene, backup, written_again=None):
    """Has the store fail for a moment and come back from a backup.

    Args:
        scene: The scene.
        backup: Of the store.
        written_again: Called when it is restored, before hosts reach it.
    """
    scene.store.faults.reset = True
    await scene.until(lambda: scene.site.is_store_lost)
    scene.store.restore(backup)
    if written_again is not None:
        written_again()
    scene.store.faults.reset = False


def play(story, **settings):
    """Runs a story before a store that tells its era."""

    async def start_era(scene):
        scene.store.era = 7

    scene_lib.run_scenario(story, before=start_era, **settings)


class RestoredStoreTest(unittest.TestCase):
    # Guards against a change that hosts take for old because the restored
    # store gave it a lower offset than what they had read.
    def test_change_after_a_restoration_is_applied(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            for _ in range(4):
                scene.configure()
            await known(scene)
            await restore(scene, backup)
            scene.configure()  # the operator writes the newest one again
            scene.configure()
            await known(scene)

        play(story)

    def test_bounds_on_changes_and_keys_hold_over_a_restoration(self):
        for config_ms, revoke_ms in ((1000, 2500), (2000, 5000), (4000, 10000)):
            with self.subTest(config_ms=config_ms, revoke_ms=revoke_ms):
                play(
                    lambda scene, c=config_ms: self.withdraw_key(scene, c),
                    config_ms=config_ms,
                    revoke_ms=revoke_ms,
                )

    async def withdraw_key(self, scene, config_ms):
        await known(scene)
        backup = scene.store.backup()
        for _ in range(4):
            scene.configure()
        await known(scene)
        scene.store.restore(backup)
        scene.configure(tenants=scene.configuration["tenants"][1:])
        written_at = time.monotonic()
        await known(scene)
        self.assertLess(time.monotonic() - written_at, config_ms / 1000.0)
        answer = await scene.call(scene.request("/once/x"))
        self.assertEqual(answer.head.status, 401)

    # Guards against changes that hosts miss because the restored topic has
    # grown past the place to which they had read.
    def test_change_behind_the_former_end_is_applied(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            scene.configure()
            await known(scene)

            def write_more():
                scene.configure()
                for version in range(2, 6):
                    scene.announce_weights(version)

            await restore(scene, backup, write_more)
            await known(scene)

        play(story)

    # Guards against a host that reads from another one which goes on in the
    # former era.
    def test_hosts_that_read_from_others_follow(self):
        async def story(scene):
            await known(scene)
            second = await test_feed.second_host(scene)
            await scene.until(lambda: "h1" in second.source.hosts)
            test_feed.read_from(second, "h1")
            backup = scene.store.backup()
            for _ in range(4):
                scene.configure()
            await known(scene)
            await restore(scene, backup)
            scene.configure()
            await known(scene)
            await scene.until(
                lambda: second.site.configuration.version == scene.version
            )

        play(story)

    # Guards against all hosts of a data centre turning to the store at once.
    def test_hosts_that_read_from_others_spare_the_store(self):
        async def story(scene):
            await known(scene)
            second = await test_feed.second_host(scene)
            await scene.until(lambda: "h1" in second.source.hosts)
            test_feed.read_from(second, "h1")
            await anyio.sleep(0.5)
            backup = scene.store.backup()
            scene.configure()
            await scene.until(
                lambda: second.site.configuration.version == scene.version
            )
            calls = second.store.calls
            scene.store.restore(backup)
            await scene.until(lambda: second.store.era == 8)
            scene.configure()
            await scene.until(
                lambda: second.site.configuration.version == scene.version
            )
            for follower in second.followers.values():
                await scene.until(lambda f=follower: not f.needs_full_read)
            self.assertEqual(second.store.calls, calls)

        play(story)

    # Guards against a configuration that goes back within one process.
    def test_older_configuration_of_the_copy_is_not_applied(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            scene.configure()
            await known(scene)
            await restore(scene, backup)
            await scene.until(lambda: scene.program.store.era == 8)
            await followed(scene, "keyed.op")
            self.assertEqual(scene.site.configuration.version, scene.version)
            # A host that reads from this one is given what it knows.
            second = await test_feed.second_host(scene)
            await scene.until(
                lambda: second.site.configuration.version == scene.version
            )

        play(story)

    def test_copy_that_lacks_a_topic_is_followed(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            del backup["keyed.servers"], backup["keyed.op"]
            await restore(scene, backup)
            await scene.until(lambda: scene.program.store.era == 8)
            for target in scene.targets:
                scene.list_target(target)
            scene.configure()
            await known(scene)
            entries = scene.site.targets.entries
            self.assertEqual(len(entries), len(scene.targets))
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 200)

        play(story)

    def test_target_that_the_copy_lacks_is_trusted_for_a_while(self):
        async def story(scene):
            await known(scene)
            lives, ended = scene.plain
            backup = scene.store.backup()
            for target in scene.plain:
                del backup["keyed.servers"].newest[target.name]
            await restore(scene, backup)
            entries = scene.site.targets.entries
            await scene.until(lambda: scene.site.targets.is_missing(ended.name))
            self.assertIn(lives.name, entries)
            scene.list_target(lives)
            await scene.until(lambda: ended.name not in entries)
            self.assertIn(lives.name, entries)

        play(story)

    def test_departure_outlasts_the_restoration(self):
        async def story(scene):
            await known(scene)
            target = scene.plain[0]
            backup = scene.store.backup()
            scene.list_target(target, "draining")
            entries = scene.site.targets.entries
            await scene.until(lambda: entries[target.name].leaving)
            await restore(scene, backup)
            await followed(scene, "keyed.servers")
            scene.list_target(target)
            await anyio.sleep(0.3)
            self.assertTrue(entries[target.name].leaving)

        play(story)

    # Guards against hosts that are not listed any more, whose parts of quotas
    # and budgets others would use.
    def test_host_lists_itself_again(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            del backup["keyed.hosts"].newest["h1"]
            await restore(scene, backup)
            await scene.until(lambda: "h1" in scene.store.values("keyed.hosts"))
            self.assertIn("h1", scene.program.source.hosts)

        play(story)

    # Guards against a host that goes on with the smallest parts of quotas and
    # budgets, since the copy has only the entry of its process before.
    def test_host_replaces_the_entry_of_its_earlier_process(self):
        async def story(scene):
            await known(scene)
            program = scene.program
            scene.store.put(
                "keyed.hosts",
                "h1",
                {"data_centre": "here", "feed": "127.0.0.1:1"},
            )
            backup = scene.store.backup()
            program.hosts.hosts_settled = (
                anyio.Event()
            )  # as before its first entry
            program.hosts._count()
            self.assertEqual(
                scene.site.cluster_size, site_lib.DEFAULT_CLUSTER_SIZE
            )
            await restore(scene, backup)
            feed = program.feed_server.address
            await scene.until(
                lambda: scene.store.values("keyed.hosts")["h1"]["feed"] == feed
            )
            await scene.until(lambda: scene.site.cluster_size == 1)

        play(story)

    # Guards against requests that end targets and are forgotten by hosts that
    # start after the restoration.
    def test_quarantine_is_kept_again(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            quarantine = scene.site.quarantine
            now = clock.now()
            for incarnation in range(3):
                quarantine.record_end("digest", incarnation, now)
            standing = quarantine.status_of("digest", now)
            scene.program.quarantine._convicted("digest", standing)
            key = host_registry.QUARANTINE_PREFIX + "digest"
            copy = scene.program.followers["keyed.hosts"].copy
            await scene.until(lambda: key in copy.newest)
            await restore(scene, backup)
            await scene.until(lambda: key in scene.store.values("keyed.hosts"))
            self.assertEqual(quarantine.status_of("digest", now).ends, 3)

        play(story)

    # Guards against an answer of the former era that proves keys anew.
    def test_late_answer_of_the_former_era_is_refused(self):
        async def story(scene):
            await known(scene)
            scene.program.store.apply_era(9)
            with self.assertRaises(store_lib.StaleAnswerError):
                await scene.program.store.read_newest("keyed.op")

        play(story)

    def test_store_that_tells_no_era_is_followed_as_before(self):
        async def story(scene):
            await known(scene)
            self.assertIsNone(scene.program.store.era)
            scene.configure()
            await known(scene)

        scene_lib.run_scenario(story)

    def test_operators_see_that_the_store_was_restored(self):
        async def story(scene):
            await known(scene)
            backup = scene.store.backup()
            with self.assertLogs("hillthread.program", "WARNING") as logs:
                await restore(scene, backup)
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
