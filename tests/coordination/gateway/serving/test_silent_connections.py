"""Tests of connections that become silent for good while new ones work."""

import contextlib
import socket
import time
import unittest
from unittest import mock

import anyio

from hillthread.standin import platform_target
from hillthread.standin import wire_proxy
from hillthread.transport import http1
from tests.coordination.gateway import scene as scene_lib


class StoreConnectionsTest(unittest.TestCase):
    def test_reads_continue_over_new_connections_and_the_store_is_not_lost(
        self,
    ):
        async def story(scene):
            lost = []
            scene.program.follower_context.watch.on_lost = lost.append
            scene.store_link.silence()
            silent_at = time.monotonic()
            scene.store.remove("keyed.servers", "p0")
            scene.configure(routes=[])
            trusted = True
            while (
                scene.site.table.position < 2
                or "p0" in scene.site.targets.entries
            ):
                self.assertLess(time.monotonic() - silent_at, 3.0)
                trusted &= scene.site.may_serve_keys(time.monotonic())
                await anyio.sleep(0.01)
            self.assertEqual(lost, [])
            self.assertTrue(trusted)

        scene_lib.run_scenario(story, linked=True, revoke_ms=3000)

    def test_store_that_is_also_silent_over_new_connections_is_lost(self):
        async def story(scene):
            lost = []
            scene.program.follower_context.watch.on_lost = lost.append
            scene.store.faults.silent = True
            scene.store_link.silence()
            await scene.until(lambda: lost)

        scene_lib.run_scenario(story, linked=True, revoke_ms=1800)

    def test_kernel_finds_silent_connections_with_one_probe(self):
        """Checks socket options, because loopback acknowledges every probe."""

        async def story(scene):
            pools = (
                scene.program.store.pool,
                scene.program.follower_context.peer_pool,
            )
            for pool in pools:
                connection = await pool.open(scene.store.address, "test")
                raw = connection.stream.raw
                tcp = socket.IPPROTO_TCP
                on = raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                self.assertTrue(on)
                probes = raw.getsockopt(tcp, socket.TCP_KEEPCNT)
                idle_s = raw.getsockopt(tcp, socket.TCP_KEEPIDLE)
                every_s = raw.getsockopt(tcp, socket.TCP_KEEPINTVL)
                self.assertLessEqual(idle_s + probes * every_s, 2)
                await connection.close()

        scene_lib.run_scenario(story)


class SoundTargetTest(unittest.TestCase):
    # Guards against dropping the connections of a sound target that says
    # nothing for a second, and with them requests that may not be repeated.
    def test_kernel_keeps_connections_to_targets_silent_for_two_seconds(self):
        async def story(scene):
            target = scene.plain[0].address
            connection = await scene.program.pool.open(target, "test")
            raw = connection.stream.raw
            tcp = socket.IPPROTO_TCP
            silence_ms = raw.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
            self.assertGreaterEqual(silence_ms, 2_000)
            self.assertLessEqual(silence_ms, 3_000)
            await connection.close()

        scene_lib.run_scenario(story)


class TargetConnectionsTest(unittest.TestCase):
    """Fakes the kernel's count, because loopback acknowledges all data."""

    def test_request_on_a_silent_connection_is_repeated_over_new_ones(self):
        async def story(scene):
            links = await link_targets(scene)
            await open_idle_connections(scene, links)
            runs = len(scene.runs())
            with silenced(links):
                began_at = time.monotonic()
                answer = await scene.call(scene.request("/again/x"))
                self.assertEqual(answer.head.status, 200)
                self.assertLess(time.monotonic() - began_at, 0.8)
            self.assertEqual(len(scene.runs()), runs + 1)

        scene_lib.run_scenario(story)

    def test_request_that_may_have_run_is_not_repeated(self):
        async def story(scene):
            links = await link_targets(scene)
            await open_idle_connections(scene, links)
            runs = len(scene.runs())
            with silenced(links):
                first = scene.request("/once/x", x_deadline_ms="1200")
                answer = await scene.call(first)
                self.assertIn(answer.head.status, (502, 504))
                self.assertEqual(len(scene.runs()), runs)

        scene_lib.run_scenario(story)

    def test_one_silent_connection_makes_idle_ones_suspect(self):
        async def story(scene):
            links = await link_targets(scene)
            await open_idle_connections(scene, links)
            with silenced(links):
                first = scene.request("/once/x", x_deadline_ms="900")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(scene.call, first)
                    await anyio.sleep(0.6)
                    for _ in range(3):
                        request = scene.request("/once/x")
                        answer = await scene.call(request)
                        self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(story)

    def test_silent_connections_eject_no_target(self):
        async def story(scene):
            links = await link_targets(scene)
            await open_idle_connections(scene, links)
            scene.site.cluster_size = 1
            statuses = []

            async def ask():
                answer = await scene.call(scene.request("/again/x"))
                statuses.append(answer.head.status)

            with silenced(links):
                async with anyio.create_task_group() as tasks:
                    for _ in range(4):
                        tasks.start_soon(ask)
            self.assertEqual(statuses, [200] * 4)

        scene_lib.run_scenario(story)

    def test_slow_target_that_acknowledged_is_not_given_up(self):
        async def story(scene):
            for target in scene.plain:
                target.default_behaviour = platform_target.Serve(0.9)
            links = await link_targets(scene)
            await open_idle_connections(scene, links)
            runs = len(scene.runs())
            opened = scene.program.pool.opened["suspect"]
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 200)
            self.assertEqual(len(scene.runs()), runs + 1)
            self.assertEqual(scene.program.pool.opened["suspect"], opened)

        scene_lib.run_scenario(story)


class CacheConnectionsTest(unittest.TestCase):
    def test_cache_contents_are_kept_while_reconnecting(self):
        async def story(scene):
            cache = platform_target.PlatformTargetStandin("k0", "keep0")
            cache.cache_events = [
                (1, "+", "salt", "aa", 288, "m"),
                (2, "+", "salt", "bb", 496, "m"),
            ]
            link = wire_proxy.WireProxy(cache.address)
            scene.tasks.start_soon(cache.server.serve)
            scene.tasks.start_soon(link.serve)
            keep = {"name": cache.service, "kvStoreAddr": link.address}
            scene.configure(services=[*scene.configuration["services"], keep])
            caches = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            await scene.until(
                lambda: len(caches.contents.get(link.address, ())) == 2
            )
            contents = caches.contents[link.address]
            link.silence()
            cache.cache_events += [(3, "+", "salt", "cc", 96, "m")]
            least = 2
            with anyio.fail_after(4.0):
                while len(contents) < 3:
                    least = min(least, len(contents))
                    await anyio.sleep(0.01)
            self.assertEqual(least, 2)

        scene_lib.run_scenario(story, engines=1)

    def test_cache_contents_are_dropped_when_the_cache_is_gone(self):
        async def story(scene):
            (cache,) = await scene_lib.start_cache_stores(scene, 1)
            caches = (
                scene.program.gateway.dispatcher.chooser.cache_planner.watch
            )
            scene.scopes[cache.name].cancel()
            await scene.until(
                lambda: not caches.contents[cache.address].is_known
            )

        scene_lib.run_scenario(story, engines=1)


async def link_targets(scene):
    """Puts a proxy between the gateway and each plain target; returns them."""
    links = []
    for target in scene.plain:
        link = wire_proxy.WireProxy(target.address)
        scene.tasks.start_soon(link.serve)
        entry = {**target.entry(), "address": link.address}
        scene.store.put("keyed.servers", target.name, entry)
        links.append(link)
    addresses = {link.address for link in links}
    await scene.until(
        lambda: (
            addresses
            <= {e.target.address for e in scene.site.targets.entries.values()}
        )
    )
    return links


async def open_idle_connections(scene, links):
    """Sends requests until each plain target has two idle connections."""
    idle = scene.program.pool.idle
    while any(len(idle.get(link.address, ())) < 2 for link in links):
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(scene.call, scene.request("/again/x"))


@contextlib.contextmanager
def silenced(links):
    """Silences open connections, and fakes what the kernel would then report.

    Connections opened while they are silent work.
    """
    ports = set()
    for link in links:
        for stream in link.connections:
            address = anyio.abc.SocketAttribute.remote_address
            ports.add(stream.extra(address)[1])
        link.silence()

    def unacknowledged(connection):
        """Returns all bytes sent if the connection is silent, otherwise 0."""
        raw = connection.stream.raw
        is_silent = raw.fileno() >= 0 and raw.getsockname()[1] in ports
        return connection.sent_bytes if is_silent else 0

    with mock.patch.object(
        http1.Http1Connection, "unacknowledged_bytes", unacknowledged
    ):
        yield
