"""Tests calls to a host whose address a target has taken over."""

import contextlib
import unittest

from hillthread import clock
from hillthread.coordination.gateway.store import store_follower
from hillthread.platform import call_ids
from hillthread.protocol import stream_query
from hillthread.state.cluster import feed_source
from hillthread.state.cluster import stream_records
from hillthread.transport import connection_pool
from tests.coordination.gateway import link_cut
from tests.coordination.gateway import scene as scene_lib

GONE = "gone"
KEY = stream_records.StreamKey(1, b"d" * 16)


def list_gone_host(scene):
    """Lists a host at the address of a plain target; returns its entry."""
    (target,) = scene.plain
    entry = feed_source.HostEntry(GONE, "here", target.address)
    scene.program.source.put(entry)
    return entry


class ReusedAddressTest(unittest.TestCase):
    # Guards against requests that no caller has sent, run by a target at the
    # former address of a host.
    def test_target_runs_no_call_between_hosts(self):
        async def scenario(scene):
            gone = list_gone_host(scene)
            program = scene.program
            streams = program.streams
            streams.records.put(KEY, *make_record())
            await streams.lookup.find(KEY._replace(tenant=2))
            await streams.hand_off()
            notice = stream_query.StreamNotice(*KEY, "engines", "v1", 60)
            await streams.journal_writer._call_writer(gone, b"\x80")
            program.work.notify_stream(notice, [gone])
            for follower in program.followers.values():
                with contextlib.suppress(
                    store_follower.errors.PeerError,
                    store_follower.http1_client.CallError,
                ):
                    await follower._call_peer(gone, 0.0)
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario, plain=1)

    # Guards against a forwarded request that a target at the former address of
    # a host runs, after which it runs once more elsewhere.
    def test_target_runs_no_forwarded_request(self):
        async def scenario(scene):
            (target,) = scene.plain
            gone = list_gone_host(scene)
            forwarder = scene.program.gateway.dispatcher.context.forwarder
            links = link_cut.HostLinks(scene.tasks, scene.program)
            await links.cut(link_cut.CutShape.RESET)
            scene.site.are_links_lost = True
            # The link to the other host is not cut.
            forwarder.source.put(gone._replace(feed=target.server.address))
            answer = await scene.call(scene.request("/once/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(target.runs, [])

        scene_lib.run_scenario(scenario, plain=1)

    # Guards against calls that are meant for the former host at an address.
    def test_host_refuses_calls_for_another_host(self):
        async def scenario(scene):
            address = scene.program.feed_server.address
            for name, status in (("h1", 200), (GONE, 421)):
                request = call_ids.make_host_request(
                    feed_source.HostEntry(name, "here", address),
                    b"POST",
                    stream_query.STREAMS_PATH.encode(),
                    stream_query.encode_query(stream_query.StreamQuery(*KEY)),
                )
                answer = await connection_pool.call(
                    scene.pool, address, request, 1.0, 9_999
                )
                self.assertEqual(answer.head.status, status)

        scene_lib.run_scenario(scenario)


def make_record():
    origin = stream_records.stream_origin.StreamOrigin("engines", "v1")
    return origin, clock.now() + 60.0


if __name__ == "__main__":
    unittest.main()
