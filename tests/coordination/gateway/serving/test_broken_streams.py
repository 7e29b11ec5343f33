"""Tests of streams that targets break off, in all framings."""

import itertools
import unittest

import anyio

from hillthread.protocol import body_framing
from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib

_FRAMINGS = (
    body_framing.BodyFraming.LENGTH,
    body_framing.BodyFraming.CHUNKED,
    body_framing.BodyFraming.CLOSE,
)
_LINE_ENDS = (b"\n", b"\r\n")
_ENDS = [
    standin.TruncateStream(events, framing, orderly)
    for events, framing, orderly in itertools.product(
        (0, 2), _FRAMINGS, (True, False)
    )
]


class BrokenStreamTest(unittest.TestCase):
    # Guards against relaying a stream that ends inside an event as complete.
    def test_stream_that_ends_inside_an_event_never_reaches_callers_as_whole(
        self,
    ):
        async def scenario(scene):
            for end, line_end in itertools.product(_ENDS, _LINE_ENDS):
                for engine in scene.engines:
                    engine.default_behaviour = end
                    engine.line_end = line_end
                with self.subTest(end=end, line_end=line_end):
                    await self.expect_no_complete_answer(scene, b"HTTP/1.1")
                    await self.expect_no_complete_answer(scene, b"HTTP/1.0")
                for engine in scene.engines:
                    scene.site.state(engine.name).record_success()

        scene_lib.run_scenario(scenario)

    async def expect_no_complete_answer(self, scene, http_version):
        """Expects a broken answer, without bytes of the unfinished event."""
        received, reset = await _exchange(scene, "/stream/x", http_version)
        if b" 200 " in received.partition(b"\r\n")[0]:
            self.assertTrue(reset)
            self.assertNotIn(b"\r\n0\r\n\r\n", received)
        else:
            self.assertIn(b" 502 ", received.partition(b"\r\n")[0])
        self.assertNotIn(b"id: 99", received)

    # Guards against ending a resumable stream where its target stopped.
    def test_stream_that_ends_inside_an_event_is_resumed(self):
        async def scenario(scene):
            for end, line_end in itertools.product(_ENDS, _LINE_ENDS):
                for engine in scene.engines:
                    engine.behaviours.clear()
                    engine.line_end = line_end
                    engine.events = 6
                await scene.call(scene.prompt("/resume/x"))
                warm = max(
                    scene.engines,
                    key=lambda e: (e.runs[-1:] and e.runs[-1].at) or 0.0,
                )
                warm.queue_behaviours(end)
                with self.subTest(end=end, line_end=line_end):
                    answer = await scene.call(scene.prompt("/resume/x"))
                    self.assertEqual(answer.head.status, 200)
                    whole = b"".join(warm.event(n) for n in range(6))
                    self.assertEqual(answer.body, whole)
                for engine in scene.engines:
                    scene.site.state(engine.name).record_success()

        scene_lib.run_scenario(scenario)

    # Guards against taking a plain answer on a streaming route for a stream
    # that ends inside an event.
    def test_plain_answer_to_a_request_for_a_stream_is_relayed(self):
        async def scenario(scene):
            for engine in scene.engines:
                engine.default_behaviour = standin.PlainAnswer()
            for path in ("/stream/x", "/resume/x"):
                answer = await scene.call(scene.prompt(path))
                self.assertEqual(answer.head.status, 200)
                self.assertIn(b"answer of e", answer.body)

        scene_lib.run_scenario(scenario)

    def test_whole_stream_without_framing_is_complete(self):
        async def scenario(scene):
            for line_end in _LINE_ENDS:
                for engine in scene.engines:
                    engine.default_behaviour = standin.UnframedAnswer()
                    engine.line_end = line_end
                with self.subTest(line_end=line_end):
                    answer = await scene.call(scene.prompt("/stream/x"))
                    engine = scene.engines[0]
                    whole = b"".join(engine.event(n) for n in range(4))
                    self.assertEqual(answer.body, whole)

        scene_lib.run_scenario(scenario)


async def _exchange(scene, path, http_version):
    """Returns all bytes of an answer, and whether the connection was reset."""
    request = scene.prompt(path)
    head = b"POST %b %b\r\n" % (request.target, http_version)
    headers = [*request.headers, (b"content-length", b"0")]
    lines = b"".join(b"%b: %b\r\n" % pair for pair in headers)
    ip, port = scene.program.server.address.split(":")
    received = b""
    async with await anyio.connect_tcp(ip, int(port)) as stream:
        await stream.send(head + lines + b"\r\n")
        with anyio.fail_after(3.0):
            try:
                while not received.endswith(b"0\r\n\r\n"):
                    received += await stream.receive()
                    if b" 502 " in received:
                        break
            except anyio.EndOfStream:
                return received, False
            except anyio.BrokenResourceError:
                return received, True
    return received, False
