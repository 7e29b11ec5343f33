"""Tests of orders and truncated streams of the target stand-in."""

import contextlib
import unittest

import anyio
import msgspec

from hillthread.standin import platform_target
from hillthread.transport import connection_pool
from hillthread.transport import http1_client

_ORDER_DELAY_S = 0.3
_SHORT_WAIT_S = 0.1


class _Engine:
    """An engine with weights version 1 and a client that sends it orders."""

    def __init__(self):
        self.target = platform_target.PlatformTargetStandin("i-0", "e", "m")
        self.target.load_s = 0.01
        self.pool = connection_pool.ConnectionPool(1.0)

    async def order(self, version, expected):
        """Sends an order; returns its status, or None if the call fails."""
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
            answer = await connection_pool.call(
                self.pool, self.target.address, request, _SHORT_WAIT_S, 1000
            )
        except http1_client.CallError:
            return None
        return answer.head.status


def _run_scenario(scenario):
    async def run():
        engine = _Engine()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.target.server.serve)
            await scenario(engine)
            await engine.pool.drop(engine.target.address)
            tasks.cancel_scope.cancel()

    anyio.run(run)


class OrderTest(unittest.TestCase):
    def test_delayed_order_is_executed_without_an_answer(self):
        async def scenario(engine):
            engine.target.order_delay_s = _ORDER_DELAY_S
            self.assertIsNone(await engine.order(2, 0))
            self.assertEqual(engine.target.weights, 1)
            await anyio.sleep(_ORDER_DELAY_S + _SHORT_WAIT_S)
            self.assertEqual(engine.target.weights, 2)

        _run_scenario(scenario)

    def test_delayed_order_that_became_invalid_is_dropped(self):
        async def scenario(engine):
            engine.target.order_delay_s = _ORDER_DELAY_S
            self.assertIsNone(await engine.order(2, 0))
            engine.target.order_delay_s = 0.0
            self.assertEqual(await engine.order(3, 0), 202)
            await anyio.sleep(_ORDER_DELAY_S + _SHORT_WAIT_S)
            self.assertEqual(engine.target.weights, 3)
            versions = [order["version"] for order in engine.target.orders]
            self.assertEqual(versions, [3])

        _run_scenario(scenario)

    def test_order_is_executed_after_its_caller_disconnects(self):
        async def scenario(engine):
            engine.target.load_s = _SHORT_WAIT_S
            await engine.order(2, 0)
            await engine.pool.drop(engine.target.address)
            await anyio.sleep(2 * _SHORT_WAIT_S)
            self.assertEqual(engine.target.weights, 2)
            self.assertFalse(engine.target.busy)

        _run_scenario(scenario)


class TruncatedStreamTest(unittest.TestCase):
    def test_truncated_stream_stops_at_its_last_event(self):
        async def scenario(engine):
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

        _run_scenario(scenario)
