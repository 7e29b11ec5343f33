"""Tests that a host without links to targets leaves orders to another one."""

import time
import unittest

from tests.coordination.gateway import link_cut
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_lost_links
from tests.coordination.gateway.serving import test_peer_forwarder

LEASE_MS = 1_000
# Of the time in which starts on older weights are allowed, 10 s.
ROLLOUT_S = 5.0


class OrdersTest(unittest.TestCase):
    # Guards against a holder that can reach no engine and keeps the lease.
    def test_another_host_loads_new_weights_while_the_holder_is_cut_off(self):
        async def scenario(scene):
            programs, links = await test_lost_links.start_hosts(
                scene, 2, lease_ms=LEASE_MS
            )
            scene.announce_weights(2)
            await scene.until(
                lambda: all(e.weights == 2 for e in scene.engines)
            )
            holder = next(
                n
                for n, each in enumerate(programs)
                if each.rollout.lease.is_holder
            )
            await links[holder].cut(link_cut.CutShape.RESET)
            await test_peer_forwarder.lose_links(scene, programs[holder])
            scene.announce_weights(3)
            began_at = time.monotonic()
            await scene.until(
                lambda: all(e.weights == 3 for e in scene.engines)
            )
            self.assertLess(time.monotonic() - began_at, ROLLOUT_S)

        scene_lib.run_scenario(scenario, lease_ms=LEASE_MS)
