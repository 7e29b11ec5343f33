"""Tests that hosts notify each other of work sent to engines."""

import random
import socket
import unittest
from unittest import mock

import anyio

from hillthread import settings as settings_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.protocol import work_notice
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer
from hillthread.state.routing import engine_speed
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

# Interval that keeps a host on direct notices: each of two hosts may send 30 a
# second.
DIRECT_INTERVAL_S = 0.1


def long_prompt(scene):
    """Returns a request with 800 shared tokens and 1,100 unshared ones."""
    return scene.prompt("/stream/x", x_prompt_prefix="aa:300,bb:500,cc:1100")


def pick_gatherer(entry, other):
    """Returns the name of the one of two hosts that gathers."""
    source = feed_source.FeedSource(entry.name, entry.data_centre)
    source.put(entry)
    source.put(entry._replace(name=other))
    return gatherer.GathererSelector(source).pick(0.0).name


def make_scope(engine):
    """Returns the checksum of the cache scope of `tenant-one` at an engine."""
    return work_notice.checksum(f"tenant:tenant-one/m/{engine.weights}")


class WorkFeedTest(unittest.TestCase):
    def test_other_host_learns_of_prompts_sent_to_an_engine(self):
        async def story(scene):
            other = await test_feed.second_host(scene)
            await scene.until(
                lambda: (
                    "h2" in scene.program.source.hosts
                    and "h1" in other.source.hosts
                )
            )
            await scene.call(long_prompt(scene))
            await scene.until(lambda: other.work.received_packets == 1)
            engine = next(e for e in scene.engines if e.runs)
            state = other.site.state(engine.name)
            scope = work_notice.checksum(
                f"tenant:tenant-one/m/{engine.weights}"
            )
            shared = [("aa", 300), ("bb", 500)]
            self.assertEqual(state.warm.count_cached_tokens(scope, shared), 800)
            # Plain requests and short prompts are not reported.
            await scene.call(scene.request("/again/x"))
            await scene.call(scene.prompt("/stream/x"))
            await anyio.sleep(DIRECT_INTERVAL_S)
            await scene.call(long_prompt(scene))
            await scene.until(lambda: other.work.received_packets == 2)
            self.assertEqual(scene.program.work.sent_packets, 2)

        scene_lib.run_scenario(story)

    def test_unreadable_or_undelivered_notice_is_tolerated(self):
        async def story(scene):
            program = scene.program
            address = settings_lib.split_address(program.feed_server.address)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw:
                raw.sendto(b"\xff", address)
            unreachable = program.source.hosts["h1"]._replace(
                name="gone", feed="127.0.0.1:9"
            )
            program.source.put(unreachable)
            for _ in range(3):
                await anyio.sleep(DIRECT_INTERVAL_S)
                answer = await scene.call(long_prompt(scene))
                self.assertEqual(answer.head.status, 200)
            await scene.until(lambda: program.work.sent_packets == 3)

        scene_lib.run_scenario(story)

    def test_notices_are_relayed_while_own_notices_are_sent(self):
        """Hosts crashed when both kinds were sent at the same moment."""

        async def story(scene):
            program = scene.program
            entry = program.source.hosts["h1"]
            for number in range(20):
                name = f"near{number}"
                neighbour = entry._replace(name=name, feed="127.0.0.1:9")
                program.source.put(neighbour)
            address = settings_lib.split_address(program.feed_server.address)
            notice = work_notice.WorkNotice(0, 2_000, 0, [], 2_000, 0)
            actions = work_notice.PacketAction
            packet = work_notice.Packet(actions.FORWARD, [notice], [])
            raw = work_notice.encode_packet(packet)
            gather_packet = packet._replace(action=actions.GATHER)
            raw_gather_packet = work_notice.encode_packet(gather_packet)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                for _ in range(10):
                    for _ in range(5):
                        other.sendto(raw, address)
                        other.sendto(raw_gather_packet, address)
                        program.work.notify_work(notice)
                    await anyio.sleep(0.01)
            await scene.until(lambda: program.work.received_packets >= 50)
            # Each notice is relayed to the other hosts of the data centre.
            await scene.until(lambda: program.work.sent_packets >= 50 * 20)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(story)

    def test_notices_of_many_hosts_are_gathered_without_loss(self):
        async def story(scene):
            program = scene.program
            other = await test_feed.second_host(scene)
            await scene.until(
                lambda: (
                    "h2" in program.source.hosts and "h1" in other.source.hosts
                )
            )
            for host in (program, other):
                host.site.cluster_size = 1_000  # leaves each a low direct rate
            prompts = 10
            for _ in range(prompts):
                await scene.call(long_prompt(scene))
            cached_tokens = []
            await scene.until(lambda: not program.work._local_work)
            for engine in scene.engines:
                state = other.site.state(engine.name)
                scope = work_notice.checksum(
                    f"tenant:tenant-one/m/{engine.weights}"
                )
                cached_tokens.append(
                    state.warm.count_cached_tokens(scope, [("aa", 300)])
                )
            self.assertIn(300, cached_tokens)
            # Most of ten simultaneous prompts arrive in one packet.
            self.assertLess(other.work.received_packets, prompts)

        scene_lib.run_scenario(story)

    def test_next_host_gathers_when_the_gatherer_is_silent(self):
        """A host whose gatherer is silent turns to the host ranked next."""

        async def story(scene):
            program = scene.program
            entry = program.source.hosts["h1"]
            ranked_before = next(
                name
                for name in (f"gone{number}" for number in range(100))
                if pick_gatherer(entry, name) == name
            )
            gone = entry._replace(name=ranked_before, feed="127.0.0.1:9")
            program.source.put(gone)
            scene.site.cluster_size = 1_000
            now = anyio.current_time()
            self.assertFalse(program.work.gatherer.is_gatherer(now))
            await scene.call(long_prompt(scene))
            await scene.call(long_prompt(scene))
            await scene.until(
                lambda: program.work.gatherer.is_gatherer(anyio.current_time())
            )

        scene_lib.run_scenario(story)

    def test_gathered_notices_are_bounded(self):
        """Guards against control traffic that grows with the notices sent."""

        async def story(scene):
            program = scene.program
            full = work_notice.WorkNotice(0, 2_000, 0, [("aa", 9)], 2_000, 0)
            short = work_notice.WorkNotice(0, 500, 0, [], 0, 0, 1)
            for notice, size in (
                (full, work_feed._FULL_NOTICE_BYTES),
                (short, work_feed._SHORT_NOTICE_BYTES),
            ):
                program.work._local_work.clear()
                packet = work_notice.Packet(
                    work_notice.PacketAction.GATHER, [notice] * 18, []
                )
                raw = work_notice.encode_packet(packet)
                for _ in range(100):
                    program.work._handle_packet(raw)
                # A burst may hold as many notices as half a second allows.
                kept_bytes = len(program.work._local_work) * size
                self.assertGreater(kept_bytes, 0)
                self.assertLessEqual(
                    kept_bytes,
                    0.5 * work_feed._MAX_GATHERED_BYTES_PER_S
                    + work_notice.MAX_WORK_NOTICES * size,
                )
                await anyio.sleep(0.5)

        scene_lib.run_scenario(story)

    def test_hosts_share_speeds_and_count_own_ones_once(self):
        """Guards against samples that the gatherer returns to their sender."""

        async def story(scene):
            other = await test_feed.second_host(scene)
            await scene.until(
                lambda: (
                    "h2" in scene.program.source.hosts
                    and "h1" in other.source.hosts
                )
            )
            name = scene.engines[0].name
            for host, seconds in ((scene.program, 0.1), (other, 0.08)):
                sample = engine_speed.SpeedSample(2_000, seconds)
                host.site.table.has_urgency_classes = True
                notice = host.site.add_speed_sample(
                    name, sample, anyio.current_time()
                )
                host.work.notify_speed(notice)
            for host in (scene.program, other):
                pool = host.site.pool_speed(name)
                await scene.until(lambda pool=pool: pool.sample_count == 2)
            await anyio.sleep(0.1)
            for host in (scene.program, other):
                self.assertEqual(host.site.pool_speed(name).sample_count, 2)

        scene_lib.run_scenario(story)

    def test_gathered_speeds_are_bounded(self):
        """Guards against speeds that displace notices of work."""

        async def story(scene):
            work = scene.program.work
            notice = work_notice.SpeedNotice(1, 2_000, 100, 90)
            actions = work_notice.PacketAction
            for action in (actions.GATHER, actions.DISTRIBUTE):
                raw = work_notice.encode_packet(
                    work_notice.Packet(action, [], [], speeds=[notice] * 40)
                )
                for _ in range(20):
                    work._handle_packet(raw)
            kept = len(work._local_speeds) + len(work._remote_speeds)
            self.assertGreater(kept, 0)
            self.assertLessEqual(kept, 0.5 * engine_speed.MAX_SHARED_PER_S + 1)

        scene_lib.run_scenario(story)

    def test_gathered_notices_fit_the_control_bandwidth(self):
        """Guards against notices larger than the gatherer counts for them."""
        full = work_notice.WorkNotice(
            2**32 - 1,
            2_890,
            2**32 - 1,
            [("5c1e07a2", 2_520), ("91bd3f06", 3_780)],
            2_890,
            2**32 - 1,
            1,
        )
        short = work_notice.WorkNotice(2**32 - 1, 826, 0, [], 0, 2**32 - 1, 1)
        per_s = work_feed._MAX_GATHERED_BYTES_PER_S
        full_per_s = per_s / work_feed._FULL_NOTICE_BYTES
        self.assertLessEqual(full_per_s * measure_bytes(full), 15_000)
        self.assertLessEqual(
            measure_bytes(short), work_feed._SHORT_NOTICE_BYTES
        )


class ShortPromptTest(unittest.TestCase):
    """Tests the notices of 8 hosts on 12 long and 18 short prompts a second."""

    def run_host(self, has_classes):
        """Returns the notices sent directly and gathered during 120 s."""
        site = mock.Mock(cluster_size=8, has_urgency_classes=has_classes)
        source = feed_source.FeedSource("h1", "east")
        for name in ("h1", "h2"):
            source.put(feed_source.HostEntry(name, "east", "127.0.0.1:9"))
        rng = random.Random(5)
        direct, gathered = [], []
        with mock.patch.object(work_feed.clock, "now", return_value=0.0) as now:
            feed = work_feed.WorkFeed(site, source)
            feed._notify_directly = direct.extend
            feed._submit_work = lambda notice, _: gathered.append(notice)
            while now.return_value < 120.0:
                now.return_value += rng.expovariate(30 / 8)
                tokens = 2_890 if rng.random() < 0.4 else 826
                feed.notify_work(
                    work_notice.WorkNotice(1, tokens, 7, [("aa", 9)], 9, 0, 1)
                )
        return direct, gathered

    def test_short_prompts_do_not_delay_notices_of_long_ones(self):
        """Guards against gathering for 5 s because of short prompts."""
        direct, gathered = self.run_host(has_classes=True)
        long_direct = sum(notice.tokens > 1_000 for notice in direct)
        long_gathered = sum(notice.tokens > 1_000 for notice in gathered)
        self.assertGreater(long_direct, 150)
        self.assertLess(long_gathered, 0.05 * long_direct)
        short_count = len(direct) + len(gathered) - long_direct - long_gathered
        self.assertGreater(short_count, 200)

    def test_short_prompts_are_announced_without_shared_parts(self):
        """Guards against cached parts that receivers cannot know exactly."""
        direct, gathered = self.run_host(has_classes=True)
        for notice in direct + gathered:
            is_short = notice.tokens < 1_000
            self.assertEqual(notice.shared, [] if is_short else [("aa", 9)])
            self.assertEqual(notice.own_tokens, 0 if is_short else 9)

    def test_short_prompts_are_not_announced_without_urgency_classes(self):
        """Guards against traffic where prompts do not differ in urgency."""
        direct, gathered = self.run_host(has_classes=False)
        self.assertTrue(all(n.tokens > 1_000 for n in direct + gathered))


def measure_bytes(notice):
    """Returns the bytes by which a notice lengthens a packet."""
    action = work_notice.PacketAction.APPLY
    one, two = (
        work_notice.encode_packet(
            work_notice.Packet(action, [notice] * count, [])
        )
        for count in (1, 2)
    )
    return len(two) - len(one)
