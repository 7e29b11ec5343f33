"""Tests of how the stand-in of a target takes orders, and cuts streams."""

import contextlib
import unittest

import anyio
import msgspec

from hillthread.standin import platform_target
from hillthread.transport import http1_client

_LATE_S = 0.3
_SOON_S = 0.1


class _Engine:
    """An engine with weights 1, and orders to it."""

    def __init__(self):
        self.target = platform_target.PlatformTargetStandin("i-0", "e", "m")
        self.target.load_s = 0.01
        self.pool = http1_client.ConnectionPool(1.0)

    async def order(self, version, expected):
        """Returns the status; None when there was no answer soon."""
        body = msgspec.json.encode(
            {
                "op": "version",
                "version": version,
                "holder": "h0",
                "fence": 1,
                "expectedRevision": expected,
            }
        )
        request = http1_client.ClientRequest(
            b"POST", b"/api/order", [(b"host", b"i-0")], body
        )
        try:
            answer = await http1_client.call(
                self.pool, self.target.address, request, _SOON_S, 1000
            )
        except http1_client.CallError:
            return None
        return answer.head.status


def _play(story):
    async def run():
        engine = _Engine()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.target.server.serve)
            await story(engine)
            await engine.pool.drop(engine.target.address)
            tasks.cancel_scope.cancel()

    anyio.run(run)


class OrderTest(unittest.TestCase):
    def test_late_order_is_unanswered_and_carried_out_later(self):
        async def story(engine):
            engine.target.order_delay_s = _LATE_S
            self.assertIsNone(await engine.order(2, 0))
            self.assertEqual(engine.target.weights, 1)
            await anyio.sleep(_LATE_S + _SOON_S)
            self.assertEqual(engine.target.weights, 2)

        _play(story)

    def test_late_order_that_does_not_fit_any_more_is_dropped(self):
        async def story(engine):
            engine.target.order_delay_s = _LATE_S
            self.assertIsNone(await engine.order(2, 0))
            engine.target.order_delay_s = 0.0
            self.assertEqual(await engine.order(3, 0), 202)
            await anyio.sleep(_LATE_S + _SOON_S)
            self.assertEqual(engine.target.weights, 3)
            versions = [order["version"] for order in engine.target.orders]
            self.assertEqual(versions, [3])

        _play(story)

    def test_order_whose_caller_left_is_carried_out(self):
        async def story(engine):
            engine.target.load_s = _SOON_S
            await engine.order(2, 0)
            await engine.pool.drop(engine.target.address)
            await anyio.sleep(2 * _SOON_S)
            self.assertEqual(engine.target.weights, 2)
            self.assertFalse(engine.target.busy)

        _play(story)


class CutTest(unittest.TestCase):
    def test_cut_stream_has_no_events_beyond_its_last(self):
        async def story(engine):
            engine.target.queue_behaviours(
                platform_target.TruncateStream(events=3)
            )
            host, port = engine.target.address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /stream/x HTTP/1.1\r\nhost: i-0\r\n"
                    b"last-event-id: 2\r\ncontent-length: 0\r\n\r\n"
                )
                answer = b""
                with contextlib.suppress(anyio.BrokenResourceError):
                    while True:
                        answer += await stream.receive()
            self.assertIn(b"id: 3\n", answer)
            self.assertNotIn(b"id: 4\n", answer)

        _play(story)
