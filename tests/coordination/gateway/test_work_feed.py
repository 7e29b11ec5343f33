"""Tests that hosts tell each other of work sent to engines."""

import socket
import unittest

import anyio

from hillthread import settings as settings_lib
from hillthread.coordination.gateway import work_feed
from hillthread.protocol import work_notice
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway import test_feed

# Two hosts tell each other of 30 prompts a second each at most.
MAY_TELL_S = 0.1


def long_prompt(scene):
    """Returns a request with 800 shared tokens and 1,100 of its own."""
    return scene.prompt("/stream/x", x_prompt_prefix="aa:300,bb:500,cc:1100")


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
            await scene.until(lambda: other.work.heard == 1)
            engine = next(e for e in scene.engines if e.runs)
            state = other.site.state(engine.name)
            scope = f"tenant-one/m/{engine.weights}"
            shared = [("aa", 300), ("bb", 500)]
            self.assertEqual(state.warm.kept_tokens(scope, shared), 800)
            # Plain requests are no engine's work, and short prompts little.
            await scene.call(scene.request("/again/x"))
            await scene.call(scene.prompt("/stream/x"))
            await anyio.sleep(MAY_TELL_S)
            await scene.call(long_prompt(scene))
            await scene.until(lambda: other.work.heard == 2)
            self.assertEqual(scene.program.work.told, 2)

        scene_lib.play(story)

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
            await scene.until(lambda: program.work.told == 3)

        scene_lib.play(story)

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
            notice = work_notice.WorkNotice("e0", 2_000, "s", [], 2_000, True)
            raw = work_notice.encode_notice(notice)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                for _ in range(10):
                    for _ in range(5):
                        other.sendto(raw, address)
                        program.work.tell(notice)
                    await anyio.sleep(0.01)
            await scene.until(lambda: program.work.heard >= 50)
            # Each is passed on to the others of the data centre.
            await scene.until(lambda: program.work.told >= 50 * 20)
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.play(story)

    def test_what_a_host_hears_is_bounded(self):
        async def story(scene):
            program = scene.program
            scene.site.hosts = 1_000
            other = program.source.hosts["h1"]._replace(
                name="h2", feed="127.0.0.1:9"
            )
            program.source.put(other)
            scene.site.hosts = 1_000
            for _ in range(10):
                await scene.call(long_prompt(scene))
            await anyio.sleep(0.05)
            self.assertLessEqual(program.work.told, 2)
            self.assertGreaterEqual(program.work.told, 1)

        scene_lib.play(story)

    def test_budget_is_what_all_hosts_tell_together(self):
        self.assertLessEqual(work_feed._HEARD_PER_S * 100, 15_000)
