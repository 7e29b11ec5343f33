"""Tests of hosts that read the store's topics from another host."""

import unittest
from unittest import mock

import anyio

from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.coordination.gateway.store import host_registry
from hillthread.coordination.gateway.store import store_follower
from hillthread.protocol import feed
from hillthread.standin import wire_proxy
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import position as position_lib
from hillthread.transport import connection_pool
from hillthread.transport import http1_client
from hillthread.transport import log_writer
from tests.coordination.gateway import scene as scene_lib


async def second_host(scene, **settings):
    """Starts another gateway host of the same site and waits until ready."""
    values = {
        "host": "h2",
        "data_centre": "here",
        "listen": "127.0.0.1:0",
        "ready_listen": "127.0.0.1:0",
        "store": scene.store.address,
        **settings,
    }
    program = host_lib.GatewayHost(
        settings_lib.GatewaySettings(**values),
        scene.tasks,
        log_writer.BufferedLogHandler(scene.log.fileno()),
    )
    await program.run()
    await scene.until(
        lambda: not program.site.not_ready_reason(anyio.current_time())
    )
    return program


def read_from(program, other):
    """Makes a host read from another one regardless of their ranks."""
    entry = program.source.hosts[other]
    program.source.pick = lambda now: (
        None if now < program.source._avoided_until.get(other, 0.0) else entry
    )
    for follower in program.followers.values():
        follower.interrupt()


def pick_first_host(source, now):
    """Replaces `FeedSource.pick`: every other host reads from `h1`."""
    other = source.hosts.get("h1")
    if source.name == "h1" or other is None:
        return None
    return other if now >= source._avoided_until.get("h1", 0.0) else None


class FeedTest(unittest.TestCase):
    def test_page_is_packed_once_for_simultaneous_readers(self):
        async def story(scene):
            follower = scene.program.followers["keyed.servers"]
            with mock.patch.object(
                feed, "pack_records", side_effect=feed.pack_records
            ) as pack:
                first_keys = {
                    feed.decode_page(
                        follower.build_page(position_lib.Position(0, 0))
                    )
                    .records[0]
                    .key
                    for _ in range(75)
                }
                self.assertEqual(pack.call_count, 1)
                scene.list_target(scene.engines[0], "draining")
                position = follower.copy.position
                await scene.until(lambda: follower.copy.position > position)
                page = feed.decode_page(
                    follower.build_page(position_lib.Position(0, 0))
                )
            self.assertEqual(pack.call_count, 2)
            self.assertEqual(len(first_keys), 1)
            self.assertIn(b"draining", b"".join(r.value for r in page.records))

        scene_lib.run_scenario(story)

    def test_partial_read_does_not_refresh_the_age(self):
        async def story(scene):
            scene.store.faults.status = 503
            await scene.until(
                lambda: scene.program.follower_context.watch.lost_at
            )
            proven_at = scene.site.freshness.known_until
            scene.store.faults.max_page_records = 1
            scene.store.put("keyed.op", "other", {})
            scene.configure(routes=[])
            scene.store.faults.status = 0
            follower = scene.program.followers["keyed.op"]
            start_position = follower.copy.position
            end_position = start_position._replace(
                offset=start_position.offset + 2
            )
            known_times = []

            def is_read():
                """Records the proven freshness until the copy is complete."""
                if follower.copy.position < end_position:
                    known_times.append(scene.site.freshness.known_until)
                return follower.copy.position == end_position

            await scene.until(is_read)
            self.assertEqual(set(known_times), {proven_at})
            await scene.until(
                lambda: scene.site.freshness.known_until > proven_at
            )

        scene_lib.run_scenario(story)

    def test_changes_are_read_through_another_host(self):
        async def story(scene):
            reader = await second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            read_from(reader, "h1")
            await anyio.sleep(0.3)
            calls = scene.store.calls["log-read"]
            scene.configure(routes=[])
            await scene.until(lambda: reader.site.table.position == 2)
            scene.store.remove("keyed.servers", "p0")
            await scene.until(lambda: "p0" not in reader.site.targets.entries)
            age = reader.site.freshness.age(anyio.current_time())
            self.assertLess(age, reader.site.greatest_age_s)
            # Only the first host still reads the store, in a few held calls.
            self.assertLess(scene.store.calls["log-read"] - calls, 12)

        scene_lib.run_scenario(story)

    def test_change_applies_in_time_when_the_source_is_cut_off(self):
        """A host that loses the store must release held reads early enough.

        On a site of 8 hosts with a bound of 2 s on configurations, a host lost
        the store 0.1 s before a key was withdrawn. It held the reads of two
        other hosts until its second read in a row was lost, and these hosts
        applied the change only 2.2 s after it was written.
        """

        async def story(scene):
            reader = await second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            read_from(reader, "h1")
            calls = scene.store.topic_calls
            await anyio.sleep(0.5)
            before = calls["keyed.op"]
            await scene.until(lambda: calls["keyed.op"] > before)
            scene.store_link.cut()
            cut_at = anyio.current_time()
            scene.configure(routes=[])
            await scene.until(lambda: reader.site.table.position == 2)
            bound_s = reader.site.settings.config_ms / 1000.0
            self.assertLess(anyio.current_time() - cut_at, bound_s)

        scene_lib.run_scenario(story, linked=True)

    def test_refused_read_does_not_delay_other_topics(self):
        async def story(scene):
            faults = scene.store.faults
            site = scene.site
            faults.busy_topic = "keyed.servers"
            follower = scene.program.followers["keyed.servers"]
            watch = scene.program.follower_context.watch

            # An answer to another topic soon clears `lost_at`.
            with mock.patch.object(
                watch, "record_failure", wraps=watch.record_failure
            ) as record_failure:
                while not record_failure.called:
                    # Between two reads there is none to interrupt.
                    follower.interrupt()
                    with anyio.move_on_after(1.0):
                        await scene.until(lambda: record_failure.called)
            faults.busy_topic = ""
            scene.store.remove("keyed.servers", "p0")
            await scene.until(lambda: "p0" not in site.targets.entries)

        with (
            mock.patch.object(host_lib, "_OPERATOR_WAIT_S", 60.0),
            mock.patch.object(store_follower, "_MAX_PROBE_WAIT_S", 60.0),
        ):
            scene_lib.run_scenario(story, revoke_ms=200_000)

    def test_host_that_lost_the_store_releases_held_reads(self):
        for event in ("lost", "one read lost", "stops"):
            with self.subTest(event=event):

                async def story(scene, event=event):
                    program = scene.program
                    beyond_end = position_lib.Position(0, 1 << 20)
                    query = feed.FeedQuery("keyed.servers", beyond_end, 4.0)
                    request = http1_client.ClientRequest(
                        b"GET", feed.encode_query(query), [(b"host", b"h1")]
                    )
                    statuses = []

                    async def read_topic():
                        answer = await connection_pool.call(
                            scene.pool,
                            program.feed_server.address,
                            request,
                            6.0,
                            1 << 20,
                        )
                        statuses.append(answer.head.status)

                    scene.tasks.start_soon(read_topic)
                    await anyio.sleep(0.2)
                    self.assertEqual(statuses, [])
                    if event == "lost":
                        scene.store.faults.status = 503
                        program.follower_context.watch.record_failure("a test")
                    elif event == "one read lost":
                        scene.store.faults.silent = True
                        follower = program.followers["keyed.servers"]
                        follower._record_lost_read("a test")
                    else:
                        scene.tasks.start_soon(
                            program.drain, anyio.current_time()
                        )
                    await scene.until(lambda: statuses)
                    self.assertEqual(statuses, [503])
                    if event == "one read lost":
                        # The read was released before the store counts as lost.
                        self.assertFalse(scene.site.is_store_lost)

                scene_lib.run_scenario(story)

    def test_keys_expire_when_the_source_lost_the_store(self):
        async def story(scene):
            reader = await second_host(scene, revoke_ms=1800)
            await scene.until(lambda: "h1" in reader.source.hosts)
            read_from(reader, "h1")
            await anyio.sleep(0.2)
            scene.store.faults.silent = True
            scene.configure(tenants=[])
            lost_at = anyio.current_time()
            await scene.until(
                lambda: not reader.site.may_serve_keys(anyio.current_time())
            )
            self.assertLess(anyio.current_time() - lost_at, 1.8)

        scene_lib.run_scenario(story, revoke_ms=1800)

    def test_one_silent_connection_exposes_the_others(self):
        """A lost read of one topic makes the reads of the others be resent."""

        async def story(scene):
            reader = await second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            source = reader.source.hosts["h1"]
            link = wire_proxy.WireProxy(source.feed)
            scene.tasks.start_soon(link.serve)
            reader.source.put(source._replace(feed=link.address))
            read_from(reader, "h1")
            await scene.until(lambda: len(link.connections) >= 6)
            await anyio.sleep(0.5)
            link.silence()
            silent_at = anyio.current_time()
            scene.store.remove("keyed.servers", "p0")
            await scene.until(lambda: "p0" not in reader.site.targets.entries)
            self.assertLess(anyio.current_time() - silent_at, 2.0)

        scene_lib.run_scenario(story)

    def test_host_reads_the_store_when_its_source_is_stopping(self):
        async def story(scene):
            reader = await second_host(scene)
            await scene.until(lambda: "h1" in reader.source.hosts)
            scene.site.is_draining = True
            read_from(reader, "h1")
            scene.configure(routes=[])
            await scene.until(lambda: reader.site.table.position == 2)

        scene_lib.run_scenario(story)

    def test_joining_host_reads_topics_from_another_host(self):
        """A joining host reads only the list of hosts from the store."""

        async def story(scene):
            before = dict(scene.store.calls)
            joined = await second_host(scene)
            await scene.until(lambda: "h2" in scene.program.source.hosts)
            self.assertEqual(joined.site.table.position, 1)
            self.assertEqual(len(joined.site.targets.entries), 4)
            calls = scene.store.calls
            newest = calls["log-newest"] - before["log-newest"]
            self.assertEqual(newest, 1)

        with mock.patch.object(feed_source.FeedSource, "pick", pick_first_host):
            scene_lib.run_scenario(story)

    def test_listed_host_does_not_write_its_entry_again(self):
        async def story(scene):
            joined = await second_host(scene)
            await scene.until(lambda: "h2" in joined.source.hosts)
            _, port = joined.feed_server.address.split(":")
            writes = scene.store.calls["log-append"]
            second_registry = host_registry.HostRegistry(
                joined.store,
                joined.site,
                joined.source,
                f"127.0.0.1:{port}",
                joined.hosts_read,
                anyio.Event(),
                scene.tasks,
            )
            await second_registry.register()
            self.assertTrue(second_registry.hosts_settled.is_set())
            self.assertEqual(scene.store.calls["log-append"], writes)

        scene_lib.run_scenario(story)

    def test_joining_host_reads_the_store_when_its_source_is_gone(self):
        async def story(scene):
            entry = scene.program.source.hosts["h1"]
            # The listed address has no listener.
            scene.store.put(
                host_registry.HOSTS_TOPIC,
                "h1",
                {"data_centre": entry.data_centre, "feed": "127.0.0.1:9"},
            )
            joined = await second_host(scene)
            self.assertEqual(joined.site.table.position, 1)

        with mock.patch.object(feed_source.FeedSource, "pick", pick_first_host):
            scene_lib.run_scenario(story)
