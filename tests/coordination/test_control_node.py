"""Tests of messages that arrive after one that is slow to handle."""

import logging
import types
import unittest

import anyio
import prometheus_client

from hillthread import settings as settings_lib
from hillthread.coordination import control_node
from hillthread.coordination import hub as hub_lib
from hillthread.protocol import messages
from hillthread.transport import link as link_lib

SETTINGS = settings_lib.ControlSettings(
    host="a",
    data_centre="dc1",
    listen="127.0.0.1:0",
    admin_listen="127.0.0.1:0",
    secret="s" * 16,
)


class FakeLink:
    """Fake link that delivers some messages and then stays open."""

    def __init__(self, role, host, incoming=()):
        self.peer = link_lib.Identity(role, host, "dc1", "i1")
        self.incoming = incoming
        self.sent = []
        self.count_bytes = None
        self.connection = types.SimpleNamespace(
            transport=types.SimpleNamespace(abort=lambda: None)
        )

    async def receive(self):
        for message in self.incoming:
            yield message
        await anyio.sleep_forever()

    async def send_encoded(self, data):
        self.sent.append(data)

    async def close(self):
        pass


class ControlNodeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def test_slow_query_does_not_delay_later_messages(self):
        """The host's router is paused and answers none of the queries."""
        registry = prometheus_client.CollectorRegistry()
        node = control_node.ControlNode(SETTINGS, "i1", registry)
        leaving = messages.TargetState("t", "i1", leaving=True)
        queries = [messages.RecordQuery(number) for number in range(4)]
        peer = FakeLink("control", "b", [*queries, leaving])
        async with anyio.create_task_group() as group:
            group.start_soon(node.hub.run_link, FakeLink("router", "a"))
            group.start_soon(node.hub.run_link, peer)
            await anyio.sleep(0.2)
            self.assertIn("t", node.departures.leaving)
            await anyio.sleep(0.6)
            group.cancel_scope.cancel()
        sent = [messages.decode_message(data) for data in peer.sent]
        replies = [
            each for each in sent if isinstance(each, messages.RecordReply)
        ]
        self.assertEqual(sorted(r.query_id for r in replies), [0, 1, 2, 3])

    async def test_queries_beyond_the_limit_are_ignored(self):
        registry = prometheus_client.CollectorRegistry()
        node = control_node.ControlNode(SETTINGS, "i1", registry)
        queries = [messages.RecordQuery(number) for number in range(500)]
        peer = FakeLink("control", "b", queries)
        async with anyio.create_task_group() as group:
            group.start_soon(node.hub.run_link, FakeLink("router", "a"))
            group.start_soon(node.hub.run_link, peer)
            await anyio.sleep(0.2)
            (link,) = node.hub.peers()
            self.assertEqual(link.running_tasks, hub_lib.MAX_TASKS)
            group.cancel_scope.cancel()
