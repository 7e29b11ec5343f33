"""Tests of connections that fall silent for good while new ones work."""

import socket
import time
import unittest

import anyio

from tests.coordination.gateway import scene as scene_lib


class StoreConnectionsTest(unittest.TestCase):
    def test_reads_go_on_over_new_connections_and_the_store_is_not_lost(self):
        async def story(scene):
            lost = []
            scene.program.readers.watch.lost = lost.append
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

        scene_lib.play(story, linked=True, revoke_ms=3000)

    def test_store_that_is_silent_over_new_connections_too_is_lost(self):
        async def story(scene):
            lost = []
            scene.program.readers.watch.lost = lost.append
            scene.store.faults.silent = True
            scene.store_link.silence()
            await scene.until(lambda: lost)

        scene_lib.play(story, linked=True, revoke_ms=1800)

    def test_kernel_finds_silent_connections_with_one_probe(self):
        """On a real link nothing acknowledges the probe."""

        async def story(scene):
            pools = (scene.program.store.pool, scene.program.readers.peers)
            for pool in pools:
                connection = await pool.open(scene.store.address, "test")
                raw = connection.stream.extra(
                    anyio.abc.SocketAttribute.raw_socket
                )
                tcp = socket.IPPROTO_TCP
                on = raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                self.assertTrue(on)
                probes = raw.getsockopt(tcp, socket.TCP_KEEPCNT)
                idle_s = raw.getsockopt(tcp, socket.TCP_KEEPIDLE)
                every_s = raw.getsockopt(tcp, socket.TCP_KEEPINTVL)
                self.assertLessEqual(idle_s + probes * every_s, 2)
                await connection.close()

        scene_lib.play(story)
