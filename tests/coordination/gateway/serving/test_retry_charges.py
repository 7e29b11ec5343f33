"""Tests that each attempt beyond the first at a target is charged, once."""

import unittest

from hillthread import clock
from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.serving import test_peer_forwarder

_BALANCE = 5.0
# Settings with which almost nothing accrues, so that only charges and refunds
# change a balance.
SETTINGS = {"retry_ratio": 0.0, "retry_window_s": 1_000.0}


def freeze_share(host):
    """Gives a host a known balance and returns its share."""
    share = host.site.retry_share("plain", clock.now())
    share.balance = _BALANCE
    return share


def count_charges(share):
    """Returns the retries charged since `freeze_share`."""
    return round(_BALANCE - share.balance)


def count_arrivals(scene):
    """Returns how many requests plain targets received, also refused ones."""
    return sum(len(target.arrivals) for target in scene.plain)


class RetryChargesTest(unittest.TestCase):
    def test_attempts_after_an_arrival_are_charged(self):
        async def scenario(scene):
            for target in scene.plain:
                target.queue_behaviours(standin.Fail(500))
            share = freeze_share(scene.program)
            answer = await scene.call(scene.request("/again/x"))
            self.assertEqual(answer.head.status, 500)
            self.assertEqual(count_charges(share), 1)

        scene_lib.run_scenario(scenario, **SETTINGS)

    # Guards against a budget spent on targets that never got the request.
    def test_attempts_that_reach_no_target_are_not_charged(self):
        async def scenario(scene):
            for target in scene.plain[:2]:
                scene.stop_listening(target)
            share = freeze_share(scene.program)
            for _ in range(6):
                answer = await scene.call(scene.request("/again/x"))
                self.assertEqual(answer.head.status, 200)
            self.assertEqual(count_charges(share), 0)

        scene_lib.run_scenario(scenario, plain=3, **SETTINGS)

    def test_request_without_any_target_accrues_retries(self):
        async def scenario(scene):
            for target in scene.plain:
                scene.store.remove("keyed.servers", target.name)
            await scene.until(lambda: not scene.site.targets.entries)
            share = freeze_share(scene.program)
            share.balance = 0.0
            for _ in range(50):
                answer = await scene.call(scene.request("/again/x"))
                self.assertEqual(answer.head.status, 503)
            self.assertGreater(share.balance, 5.0)

        scene_lib.run_scenario(scenario, engines=0)


class ForwardedChargesTest(unittest.TestCase):
    # Guards against arrivals that nobody charges: targets refuse the request
    # at one host, which declines it, and the next host sends it again.
    def test_attempts_of_a_host_that_declines_are_charged(self):
        async def scenario(scene):
            programs, _ = await test_peer_forwarder.start_cut_host(
                scene, 3, **SETTINGS
            )
            for target in scene.plain:
                target.default_behaviour = standin.Refuse()
            before = count_arrivals(scene)
            shares = [freeze_share(program) for program in programs]
            answer = await test_peer_forwarder.ask(
                scene, programs[0], "/again/x"
            )
            self.assertEqual(answer.head.status, 503)
            arrivals = count_arrivals(scene) - before
            self.assertGreater(arrivals, 2)
            charges = sum(count_charges(share) for share in shares)
            self.assertEqual(charges, arrivals - 1)

        scene_lib.run_scenario(scenario, **SETTINGS)
