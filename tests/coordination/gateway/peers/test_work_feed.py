"""Tests that hosts tell each other of work sent to engines."""

import socket
import unittest

import anyio

from hillthread import settings as settings_lib
from hillthread.coordination.gateway.peers import work_feed
from hillthread.protocol import work_notice
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import gatherer
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

# Two hosts tell each other of 30 prompts a second each at most.
MAY_TELL_S = 0.1


def long_prompt(scene):
    """Returns a request with 800 shared tokens and 1,100 of its own."""
    return scene.prompt("/stream/x", x_prompt_prefix="aa:300,bb:500,cc:1100")


def gatherer_of(entry, other):
    """Returns the name of the host that gathers, of two."""
    source = feed_source.FeedSource(entry.name, entry.data_centre)
    source.put(entry)
    source.put(entry._replace(name=other))
    return gatherer.GathererSelector(source).pick(0.0).name


class WorkFeedTest(unittest.TestCase):
    def test_another_host_knows_what_an_engine_has_to_read(self):
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
            scope = work_notice.checksum(f"tenant-one/m/{engine.weights}")
            shared = [("aa", 300), ("bb", 500)]
            self.assertEqual(state.warm.count_cached_tokens(scope, shared), 800)
            # Plain requests are no engine's work, and short prompts little.
            await scene.call(scene.request("/again/x"))
            await scene.call(scene.prompt("/stream/x"))
            await anyio.sleep(MAY_TELL_S)
            await scene.call(long_prompt(scene))
            await scene.until(lambda: other.work.received_packets == 2)
            self.assertEqual(scene.program.work.sent_packets, 2)

        scene_lib.run_scenario(story)

    def test_notice_in_vain_stops_nothing(self):
        async def story(scene):
            program = scene.program
            address = settings_lib.split_address(program.feed_server.address)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw:
                raw.sendto(b"\xff", address)
            lost = program.source.hosts["h1"]._replace(
                name="gone", feed="127.0.0.1:9"
            )
            program.source.put(lost)
            for _ in range(3):
                await anyio.sleep(MAY_TELL_S)
                answer = await scene.call(long_prompt(scene))
                self.assertEqual(answer.head.status, 200)
            await scene.until(lambda: program.work.sent_packets == 3)

        scene_lib.run_scenario(story)

    def test_notices_are_passed_on_while_others_are_told(self):
        """Hosts ended by themselves when both were sent at the same moment."""

        async def story(scene):
            program = scene.program
            entry = program.source.hosts["h1"]
            for number in range(20):
                name = f"near{number}"
                near = entry._replace(name=name, feed="127.0.0.1:9")
                program.source.put(near)
            address = settings_lib.split_address(program.feed_server.address)
            notice = work_notice.WorkNotice(0, 2_000, 0, [], 2_000, 0)
            actions = work_notice.PacketAction
            packet = work_notice.Packet(actions.FORWARD, [notice], [])
            raw = work_notice.encode_packet(packet)
            gather = packet._replace(action=actions.GATHER)
            raw_to_gather = work_notice.encode_packet(gather)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                for _ in range(10):
                    for _ in range(5):
                        other.sendto(raw, address)
                        other.sendto(raw_to_gather, address)
                        program.work.notify_work(notice)
                    await anyio.sleep(0.01)
            await scene.until(lambda: program.work.received_packets >= 50)
            # Each is passed on to the others of the data centre.
            await scene.until(lambda: program.work.sent_packets >= 50 * 20)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(story)

    def test_with_many_hosts_all_is_gathered_and_nothing_lost(self):
        async def story(scene):
            program = scene.program
            other = await test_feed.second_host(scene)
            await scene.until(
                lambda: (
                    "h2" in program.source.hosts and "h1" in other.source.hosts
                )
            )
            for host in (program, other):
                host.site.cluster_size = 1_000  # each may tell little directly
            prompts = 10
            for _ in range(prompts):
                await scene.call(long_prompt(scene))
            heard = []
            await scene.until(lambda: not program.work._own_part)
            for engine in scene.engines:
                state = other.site.state(engine.name)
                scope = work_notice.checksum(f"tenant-one/m/{engine.weights}")
                heard.append(
                    state.warm.count_cached_tokens(scope, [("aa", 300)])
                )
            self.assertIn(300, heard)
            # Of ten prompts at once most come in one packet.
            self.assertLess(other.work.received_packets, prompts)

        scene_lib.run_scenario(story)

    def test_hosts_go_on_without_their_gatherer(self):
        """The next rank gathers when the first one is silent."""

        async def story(scene):
            program = scene.program
            entry = program.source.hosts["h1"]
            ranked_before = next(
                name
                for name in (f"gone{number}" for number in range(100))
                if gatherer_of(entry, name) == name
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

    def test_what_is_gathered_is_bounded(self):
        async def story(scene):
            program = scene.program
            notice = work_notice.WorkNotice(0, 2_000, 0, [], 2_000, 0)
            packet = work_notice.Packet(
                work_notice.PacketAction.GATHER, [notice] * 18, []
            )
            for _ in range(100):
                program.work._take(work_notice.encode_packet(packet))
            # What half a second has room for, at once.
            kept = len(program.work._own_part)
            self.assertGreater(kept, 0)
            most = 0.5 * work_feed._GATHERED_PER_S
            self.assertLessEqual(kept, most + work_notice.MAX_WORK_NOTICES)

        scene_lib.run_scenario(story)

    def test_what_a_host_hears_fits_its_share_for_control(self):
        notice = work_notice.WorkNotice(
            2**32 - 1,
            2_890,
            2**32 - 1,
            [("5c1e07a2", 2_520), ("91bd3f06", 3_780)],
            2_890,
            2**32 - 1,
        )
        actions = work_notice.PacketAction
        two = work_notice.encode_packet(
            work_notice.Packet(actions.APPLY, [notice] * 2, [])
        )
        one = work_notice.encode_packet(
            work_notice.Packet(actions.APPLY, [notice], [])
        )
        each = len(two) - len(one)
        self.assertLessEqual(work_feed._GATHERED_PER_S * each, 15_000)
