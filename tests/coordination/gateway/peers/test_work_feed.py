"""Tests that hosts notify each other of work sent to engines."""

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
            scope = work_notice.checksum(f"tenant-one/m/{engine.weights}")
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
                scope = work_notice.checksum(f"tenant-one/m/{engine.weights}")
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
        async def story(scene):
            program = scene.program
            notice = work_notice.WorkNotice(0, 2_000, 0, [], 2_000, 0)
            packet = work_notice.Packet(
                work_notice.PacketAction.GATHER, [notice] * 18, []
            )
            for _ in range(100):
                program.work._handle_packet(work_notice.encode_packet(packet))
            # A burst may hold as many notices as half a second allows.
            kept = len(program.work._local_work)
            self.assertGreater(kept, 0)
            max_kept = 0.5 * work_feed._MAX_GATHERED_PER_S
            self.assertLessEqual(kept, max_kept + work_notice.MAX_WORK_NOTICES)

        scene_lib.run_scenario(story)

    def test_gathered_notices_fit_the_control_bandwidth(self):
        notice = work_notice.WorkNotice(
            2**32 - 1,
            2_890,
            2**32 - 1,
            [("5c1e07a2", 2_520), ("91bd3f06", 3_780)],
            2_890,
            2**32 - 1,
        )
        actions = work_notice.PacketAction
        packet_of_two = work_notice.encode_packet(
            work_notice.Packet(actions.APPLY, [notice] * 2, [])
        )
        packet_of_one = work_notice.encode_packet(
            work_notice.Packet(actions.APPLY, [notice], [])
        )
        notice_bytes = len(packet_of_two) - len(packet_of_one)
        self.assertLessEqual(
            work_feed._MAX_GATHERED_PER_S * notice_bytes, 15_000
        )
