"""Tests of orders to engines, with real processes and a paused lease holder."""

import signal
import unittest

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes
from hillthread.bench import site as site_lib

CHAT = [{"role": "user", "content": "hello " * 50}]


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        group = self.enterContext(processes.ProcessGroup())
        self.site = site_lib.Site(group, 1, 2, 4, lease_ttl_s=2.0)
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        self.values = self.site.objects(["o1"])
        answers = await self.site.publish(self.values)
        await self.site.wait_position(answers[-1]["offset"])

    async def publish_weights(self, version, host=0):
        targets = [v for v in self.values if v["kind"] == "target"]
        changed = [{**v, "weights_version": version} for v in targets]
        await self.site.publish(changed, self.site.hosts[host])

    async def orders(self):
        found = []
        for process in self.site.engines.values():
            address = process.addresses["standin"]
            page = await self.site.client.get(f"http://{address}/orders")
            found += page.json()
        return sorted(found, key=lambda order: order["began_at"])

    async def test_rollout_keeps_serving_and_loads_at_most_two_at_once(self):
        engine = self.site.engines["dc1-runner0"]
        await self.site.control_standin(engine, {"lose_orders": 1})
        await self.publish_weights("w2")
        caller = caller_lib.Caller(
            self.site.hosts[0].callers, deployment.tenant_key("o1")
        )
        self.addAsyncCleanup(caller.close)
        answered = 0

        async def is_rolled_out():
            nonlocal answered
            answer = await caller.ask(CHAT, 3)
            texts = [
                caller_lib.expected_text(CHAT, 3, version)
                for version in ("w1", "w2")
            ]
            self.assertIn(answer.text, texts, answer)
            answered += 1
            return await self.site.runs_weights("w2")

        await site_lib.wait_until(is_rolled_out, 40.0)
        self.assertGreater(answered, 5)
        orders = await self.orders()
        for order in orders:
            began_at = order["began_at"]
            loading = [
                each
                for each in orders
                if each["began_at"] <= began_at < each["ended_at"]
            ]
            self.assertLessEqual(len(loading), 2)

    async def test_paused_lease_holder_is_replaced_and_fenced(self):
        await self.publish_weights("w2")
        await site_lib.wait_until(lambda: self.site.runs_weights("w2"), 40.0)
        first_fencing = (await self.orders())[-1]["fencing"]
        lease_holder = await self.lease_holder()
        lease_holder.control.send_signal(signal.SIGSTOP)
        other = next(h for h in self.site.hosts if h is not lease_holder)
        await self.publish_weights("w3", self.site.hosts.index(other))
        await site_lib.wait_until(lambda: self.site.runs_weights("w3"), 40.0)
        lease_holder.control.send_signal(signal.SIGCONT)
        await self.publish_weights("w4", self.site.hosts.index(other))
        await site_lib.wait_until(lambda: self.site.runs_weights("w4"), 40.0)
        orders = await self.orders()
        fencings = [order["fencing"] for order in orders]
        self.assertEqual(fencings, sorted(fencings))
        self.assertGreater(fencings[-1], first_fencing)

    async def lease_holder(self):
        for host in self.site.hosts:
            page = await self.site.client.get(f"http://{host.admin}/metrics")
            if 'hillthread_orders_total{outcome="done"}' in page.text:
                return host
        raise AssertionError("no host gave an order")
