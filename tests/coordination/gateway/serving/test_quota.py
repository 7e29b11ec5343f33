"""Tests that an organisation stays within its quota over all hosts together.

Guards against hosts that ignore quotas, or enforce the whole quota each on its
own, which multiplies it by the number of hosts. On a deployment of 22 hosts an
organisation that sent five times its usual load ran 1,283,873 tokens within
8 s, where its quota and all allowances came to 1,117,899.
"""

import bisect
import time
import unittest

import anyio
import httpx

from hillthread.protocol import feed
from hillthread.standin import platform_target
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed

# Tokens of each request: its prompt and its longest answer.
TOKENS = 940
WINDOW_S = 1.0
RATE_PER_S = 20_000
BURST_TOKENS = 10_000
LIMIT_TOKENS = RATE_PER_S * WINDOW_S + BURST_TOKENS
DURATION_S = 2.5
CALLERS = 6
# Factor that the platform allows for all errors together.
ALLOWANCE_FACTOR = 1.1
# Tokens under way when the limit is reached: one request of each caller.
OVERDRAFT_TOKENS = CALLERS * TOKENS


def tenants(rate=RATE_PER_S, burst=BURST_TOKENS, **changes):
    """Returns two tenants; the first one has a quota."""
    return [
        {
            "name": "tenant-one",
            "apiKeys": [scene_lib.KEY],
            "isolated": True,
            "ratePerS": rate,
            "burst": burst,
            "unit": "token_stream",
            "plainTokens": 200,
            **changes,
        },
        {"name": "tenant-two", "apiKeys": ["key-two"]},
    ]


async def ask(scene, program, request):
    """Returns a host's answer to a request."""
    return await scene_lib.connection_pool.call(
        scene.pool, program.server.address, request, 4.0, 1 << 20
    )


def max_tokens_in_a_window(scene):
    """Returns the most tokens that ran within any window."""
    times = sorted(run.at for t in scene.targets for run in t.runs)
    return TOKENS * max(
        bisect.bisect_right(times, began_at + WINDOW_S) - number
        for number, began_at in enumerate(times)
    )


async def start_hosts(scene, count):
    """Starts hosts; returns all once each has notices of the others."""
    programs = [scene.program]
    for number in range(2, count + 1):
        programs.append(
            await test_feed.second_host(
                scene, host=f"h{number}", quota_window_s=WINDOW_S
            )
        )
    for program in programs:
        await scene.until(lambda p=program: len(p.source.hosts) == count)
        ledger = program.quotas.ledger
        await scene.until(
            lambda each=ledger: (
                each.reachable_share(scene_lib.clock.now()) == 1.0
            )
        )
    return programs


async def send_for(scene, programs, seconds, statuses):
    """Has callers send to the hosts in turn, as fast as they are answered."""

    async def send(number):
        """Sends to one host after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            program = programs[number % len(programs)]
            number += 1
            request = scene.prompt("/stream/x")
            answer = await ask(scene, program, request)
            statuses.append(answer.head.status)

    async with anyio.create_task_group() as callers:
        for number in range(CALLERS):
            callers.start_soon(send, number)


def has_quota_remaining(program):
    """Returns whether the first quota admits another request."""
    statuses = program.quotas.statuses()
    return bool(statuses) and statuses[0].left > TOKENS


def has_quota_started(program):
    """Returns whether the first quota admits a request."""
    statuses = program.quotas.statuses()
    return bool(statuses) and statuses[0].left > 0


class QuotaTest(unittest.TestCase):
    def test_hosts_together_stay_within_quota(self):
        async def scenario(scene):
            scene.configure(tenants=tenants())
            programs = await start_hosts(scene, 3)
            statuses = []
            await send_for(scene, programs, DURATION_S, statuses)
            most = LIMIT_TOKENS * ALLOWANCE_FACTOR + OVERDRAFT_TOKENS
            self.assertLessEqual(max_tokens_in_a_window(scene), most)
            # Requests below the quota are served.
            ran = len(scene.runs()) * TOKENS
            self.assertGreaterEqual(
                ran, LIMIT_TOKENS * DURATION_S / WINDOW_S * 0.8
            )
            self.assertLessEqual(set(statuses), {200, 429})
            self.assertIn(429, statuses)

        scene_lib.run_scenario(scenario, quota_window_s=WINDOW_S)

    def test_refused_request_has_not_run_and_names_retry_time(self):
        async def scenario(scene):
            scene.configure(tenants=tenants(rate=1_000, burst=1_000))
            await scene.until(
                lambda: (
                    scene.program.quotas.statuses()
                    and scene.program.quotas.statuses()[0].left > 0
                )
            )
            answers = [
                await scene.call(scene.prompt("/stream/x")) for _ in range(6)
            ]
            refused = [a for a in answers if a.head.status == 429]
            self.assertTrue(refused)
            self.assertEqual(len(scene.runs()), 6 - len(refused))
            for answer in refused:
                after_s = float(answer.head.get(b"retry-after"))
                self.assertGreater(after_s, 0.0)
                self.assertLess(after_s, WINDOW_S * 1.5)
                self.assertIn(b"quota_exceeded", answer.body)

        scene_lib.run_scenario(scenario, quota_window_s=WINDOW_S)

    def test_requests_at_startup_wait_for_quota(self):
        async def scenario(scene):
            scene.configure(tenants=tenants())
            await scene.until(scene.program.quotas.statuses)
            statuses = [
                (await scene.call(scene.prompt("/stream/x"))).head.status
                for _ in range(6)
            ]
            self.assertEqual(statuses, [200] * 6)
            # After the start no request waits.
            scene.site.started_at -= 10.0
            statuses = [
                (await scene.call(scene.prompt("/stream/x"))).head.status
                for _ in range(30)
            ]
            self.assertIn(429, statuses)

        scene_lib.run_scenario(scenario, quota_window_s=WINDOW_S)

    def test_other_tenants_and_public_routes_are_unlimited(self):
        async def scenario(scene):
            scene.configure(tenants=tenants(rate=1, burst=1))
            other = {"authorization": "Bearer key-two"}
            for _ in range(10):
                prompt = scene.prompt("/stream/x", **other)
                self.assertEqual((await scene.call(prompt)).head.status, 200)
                public = scene.request("/open/x", authorization="")
                self.assertEqual((await scene.call(public)).head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_request_that_has_not_run_is_refunded(self):
        async def scenario(scene):
            scene.configure(tenants=tenants())
            program = scene.program
            await scene.until(lambda: has_quota_remaining(program))
            for engine in scene.engines:
                engine.default_behaviour = platform_target.Refuse()
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 503)
            self.assertEqual(program.quotas.statuses()[0].used, 0)

        scene_lib.run_scenario(scenario, quota_window_s=WINDOW_S)

    def test_changed_quota_takes_effect(self):
        async def scenario(scene):
            scene.configure(tenants=tenants())
            program = scene.program
            await scene.until(program.quotas.statuses)
            scene.configure(tenants=tenants(rate=100.0, burst=0))
            await scene.until(
                lambda: program.quotas.statuses()[0].rate_per_s == 100.0
            )
            self.assertEqual(program.quotas.statuses()[0].limit, 800)
            scene.configure(tenants=tenants(rate=0))
            await scene.until(lambda: not program.quotas.statuses())
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(scenario)

    def test_request_larger_than_the_limit_gets_no_retry_time(self):
        async def scenario(scene):
            scene.configure(tenants=tenants(rate=100, burst=100))
            program = scene.program
            await scene.until(program.quotas.statuses)
            huge = scene.prompt("/stream/x", x_token_count="900000,40")
            answer = await scene.call(huge)
            self.assertEqual(answer.head.status, 429)
            self.assertEqual(answer.head.get(b"retry-after"), b"")
            self.assertEqual(scene.runs(), [])

        scene_lib.run_scenario(scenario)

    def test_retry_that_is_too_late_is_not_offered(self):
        """Guards against a Retry-After that a caller cannot wait for."""

        async def scenario(scene):
            scene.configure(tenants=tenants(rate=100, burst=900))
            await scene.until(scene.program.quotas.statuses)
            # The quota refills 940 tokens in about a second.
            await scene.until(lambda: has_quota_started(scene.program))
            with self.assertLogs("hillthread") as logs:
                answers = [
                    await scene.call(
                        scene.prompt("/stream/x", x_deadline_ms="1000")
                    )
                    for _ in range(3)
                ]
            limits = {
                each.event: each.limited_by
                for each in logs.records
                if hasattr(each, "limited_by")
            }
            self.assertEqual(limits, {"refused": "pace", "quota_spent": "pace"})
            refused = [a for a in answers if a.head.status == 429]
            self.assertTrue(refused)
            self.assertEqual(refused[-1].head.get(b"retry-after"), b"")
            self.assertIn(b"cannot help", refused[-1].body)
            status = scene.program.quotas.statuses()[0]
            self.assertEqual(status.limited_by, "pace")

        scene_lib.run_scenario(scenario, quota_window_s=WINDOW_S)

    def test_operators_list_quotas(self):
        async def scenario(scene):
            scene.configure(tenants=tenants())
            await scene.until(scene.program.quotas.statuses)
            address = scene.program.feed_server.address
            async with httpx.AsyncClient(trust_env=False) as client:
                url = f"http://{address}{feed.QUOTAS_PATH}"
                listed = (await client.get(url)).json()
            self.assertEqual(
                [each["tenant"] for each in listed], ["tenant-one"]
            )
            self.assertEqual(listed[0]["rate_per_s"], RATE_PER_S)

        scene_lib.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
