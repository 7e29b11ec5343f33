"""Tests that a part of prompts which crashes targets is found and held."""

import itertools
import random
import unittest

import anyio

from hillthread import clock
from hillthread.coordination.gateway.store import host_registry
from hillthread.protocol import work_notice
from hillthread.standin import platform_target
from hillthread.state.targets import request_features
from hillthread.transport import connection_pool
from hillthread.transport import http1_client
from tests.coordination.gateway import scene as scene_lib
from tests.coordination.gateway.peers import test_feed
from tests.coordination.gateway.serving import test_deadly_requests

# A part whose prompts crash each engine that begins to answer them.
DEADLY = "dead01"
# Another one, in the runs that have two.
DEADLY_2 = "dead02"
FIRST = "aa01"
MAX_CRASHES = 5
# Prompts with the part that may reach engines long after the fifth crash.
MAX_LATE_ARRIVALS = 3
# Time after a crash within which hosts in contact know of it.
CONTACT_S = 3.0
ENGINES = 8
# An engine computes a prompt for this long before it writes.
PREFILL_S = 0.06
SOUND_SHARE = 0.95
# Two thirds of it are later than the hosts in contact need.
_SECONDS = 9.0


class Load:
    """Sends deadly and sound prompts, and counts their outcomes.

    Attributes:
        scene: The scene.
        hosts: Hosts that get the prompts.
        layouts: Parts of deadly prompts before their own last part.
        tenants: Keys of the callers of deadly prompts.
        sound: Statuses of sound prompts with the time of each, in seconds.
        is_deadly: Whether deadly prompts are sent.
    """

    def __init__(self, scene, hosts, layouts, tenants=(scene_lib.KEY,)):
        self.scene = scene
        self.hosts = hosts
        self.layouts = layouts
        self.tenants = tenants
        self.sound = []
        self.is_deadly = True
        self._numbers = itertools.count()
        self._random = random.Random(1)

    def _prompt(self, parts, key):
        number = next(self._numbers)
        prefix = ",".join(f"{part}:200" for part in (*parts, f"c0de{number}"))
        return self.scene.prompt(
            "/resume/x",
            x_prompt_prefix=prefix,
            body=b"prompt %d" % number,
            authorization=f"Bearer {key}",
        )

    async def _call(self, parts, key):
        host = self._random.choice(self.hosts)
        request = self._prompt(parts, key)
        sent_at = anyio.current_time()
        try:
            answer = await connection_pool.call(
                self.scene.pool, host.server.address, request, 4.0, 1 << 20
            )
            status = answer.head.status
        except http1_client.CallError:
            status = 0
        return sent_at, status

    async def send_deadly(self, pause_s=0.25):
        """Sends deadly prompts, no two alike."""
        for number in itertools.count():
            if self.is_deadly:
                layout = self.layouts[number % len(self.layouts)]
                tenant = self.tenants[number % len(self.tenants)]
                self.scene.tasks.start_soon(self._call, layout, tenant)
            await anyio.sleep(pause_s)

    async def send_sound(self, parts=(FIRST, "bb01"), pause_s=0.05):
        """Sends prompts that share parts with the deadly ones."""

        async def call():
            self.sound.append(await self._call(parts, scene_lib.KEY))

        while True:
            self.scene.tasks.start_soon(call)
            await anyio.sleep(pause_s)

    def served_share(self, since, until):
        """Returns the share of sound prompts served at the first attempt."""
        statuses = [s for at, s in self.sound if since <= at < until]
        return statuses.count(200) / max(1, len(statuses))


def list_crashes(scene, parts):
    """Returns when engines ran deadly prompts, each of which crashed one."""
    return sorted(
        run.at
        for engine in scene.engines
        for run in engine.runs
        if any(
            f"{part}:" in run.request.get(b"x-prompt-prefix").decode()
            for part in parts
        )
    )


def count_late(crashed_at):
    """Returns the deadly arrivals long after the fifth crash."""
    if len(crashed_at) < MAX_CRASHES:
        return 0
    bound = crashed_at[MAX_CRASHES - 1] + CONTACT_S
    return sum(at > bound for at in crashed_at)


async def start(scene, layouts, parts, **options):
    """Starts hosts and load, and engines that crash a second later."""
    hosts = await test_deadly_requests.start_hosts(scene, 3)
    for engine in scene.engines:
        engine.default_behaviour = platform_target.Serve(PREFILL_S)
    load = Load(scene, hosts, layouts, **options)
    scene.tasks.start_soon(load.send_sound)
    await anyio.sleep(1.0)
    for engine in scene.engines:
        engine.crash_parts = set(parts)
    scene.tasks.start_soon(load.send_deadly)
    return load


class DeadlyPartTest(unittest.TestCase):
    def check(self, layouts, parts=(DEADLY,), max_crashes=MAX_CRASHES, **load):
        """Checks that the part is held and that sound prompts are served."""

        async def scenario(scene):
            running = await start(scene, layouts, parts, **load)
            await anyio.sleep(_SECONDS)
            now = anyio.current_time()
            crashed_at = list_crashes(scene, parts)
            served = running.served_share(now - _SECONDS / 2, now - 0.5)
            seen = (len(crashed_at), count_late(crashed_at), served)
            self.assertGreaterEqual(len(crashed_at), 1)
            self.assertLessEqual(len(crashed_at), max_crashes, seen)
            self.assertLessEqual(seen[1], MAX_LATE_ARRIVALS, seen)
            self.assertGreaterEqual(served, SOUND_SHARE, seen)

        scene_lib.run_scenario(
            scenario,
            engines=ENGINES,
            before=test_deadly_requests.make_targets_crash,
        )

    # Guards against prompts that crash one engine after the other because no
    # two of them are the same request.
    def test_part_after_a_shared_one_is_held(self):
        self.check([(FIRST, DEADLY)])

    def test_first_part_is_held(self):
        self.check([(DEADLY, "bb01"), (DEADLY, "bb02")])

    def test_part_at_changing_places_is_held(self):
        self.check(
            [(FIRST, DEADLY), (DEADLY, FIRST, "bb01"), (FIRST, "bb01", DEADLY)],
            tenants=(scene_lib.KEY, "key-two"),
        )

    def test_two_parts_are_held(self):
        self.check(
            [(FIRST, DEADLY), (FIRST, DEADLY_2)],
            parts=(DEADLY, DEADLY_2),
            max_crashes=2 * MAX_CRASHES,
        )

    # Guards against hosts that begin anew with a part that is known.
    def test_hosts_that_start_later_hold_it(self):
        async def scenario(scene):
            load = await start(scene, [(FIRST, DEADLY)], (DEADLY,))
            await anyio.sleep(4.0)
            load.is_deadly = False
            await scene.until(
                lambda: any(
                    f"part:{DEADLY}" in key
                    for key in scene.store.values(host_registry.HOSTS_TOPIC)
                )
            )
            load.hosts = [
                await test_feed.second_host(scene, host=f"new{number}")
                for number in range(2)
            ]
            before = len(list_crashes(scene, (DEADLY,)))
            load.is_deadly = True
            await anyio.sleep(2.0)
            after = len(list_crashes(scene, (DEADLY,)))
            self.assertLessEqual(after - before, 1)

        scene_lib.run_scenario(
            scenario,
            engines=ENGINES,
            before=test_deadly_requests.make_targets_crash,
        )

    def test_refusal_names_the_part_at_once(self):
        async def scenario(scene):
            load = await start(scene, [(FIRST, DEADLY)], (DEADLY,))
            await anyio.sleep(3.0)
            request = scene.prompt(
                "/resume/x", x_prompt_prefix=f"{FIRST}:9,{DEADLY}:9,cc:9"
            )
            sent_at = anyio.current_time()
            answer = await scene.call(request)
            self.assertLess(anyio.current_time() - sent_at, 0.2)
            self.assertEqual(answer.head.status, 503)
            self.assertIn(DEADLY.encode(), answer.body)
            self.assertIn(b'"run":"not_run"', answer.body)
            self.assertTrue(answer.head.get(b"retry-after"))
            del load

        scene_lib.run_scenario(
            scenario,
            engines=ENGINES,
            before=test_deadly_requests.make_targets_crash,
        )

    def test_operator_lists_and_clears_it(self):
        async def scenario(scene):
            load = await start(scene, [(FIRST, DEADLY)], (DEADLY,))
            await anyio.sleep(4.0)
            load.is_deadly = False
            for engine in scene.engines:
                engine.crash_parts = frozenset()
            address = load.hosts[0].feed_server.address
            run_command = test_deadly_requests.run_quarantine_command
            listed = await run_command(address)
            self.assertIn(f"part:{DEADLY}@", listed)
            await run_command(address, clear=f"part:{DEADLY}")
            await scene.until(
                lambda: (
                    not any(
                        host.site.quarantine.list_keys_of_part(DEADLY)
                        for host in load.hosts
                    )
                )
            )
            request = scene.prompt(
                "/resume/x", x_prompt_prefix=f"{FIRST}:9,{DEADLY}:9,cc:9"
            )
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 200)

        scene_lib.run_scenario(
            scenario,
            engines=ENGINES,
            before=test_deadly_requests.make_targets_crash,
        )


async def crash_busy_engines(scene, count, pause_s):
    """Crashes engines that have open requests, one after the other."""
    for _ in range(count):
        await scene.until(lambda: any(e.is_serving for e in scene.engines))
        next(e for e in scene.engines if e.is_serving).crash()
        await anyio.sleep(pause_s)


class HarmlessPartTest(unittest.TestCase):
    """Parts beside which engines crash for other causes."""

    def check(self, prompts_per_s, crash):
        """Checks that prompts are served when the crashes are over."""

        async def scenario(scene):
            hosts = await test_deadly_requests.start_hosts(scene, 3)
            for engine in scene.engines:
                engine.default_behaviour = platform_target.Serve(0.1)
            load = Load(scene, hosts, [])
            scene.tasks.start_soon(
                load.send_sound, (FIRST, "bb01"), 1.0 / prompts_per_s
            )
            await anyio.sleep(0.5)
            await crash(scene)
            await anyio.sleep(1.5)
            since = anyio.current_time()
            await anyio.sleep(20.0 / prompts_per_s + 0.5)
            share = load.served_share(since, anyio.current_time() - 0.4)
            self.assertEqual(share, 1.0)

        scene_lib.run_scenario(
            scenario,
            engines=5,
            before=test_deadly_requests.make_targets_crash,
        )

    # Guards against a hot part that is held because it runs everywhere.
    def test_hot_part_beside_crashes_is_served(self):
        self.check(30.0, lambda scene: crash_busy_engines(scene, 5, 0.4))

    def test_rare_part_beside_crashes_is_served(self):
        self.check(4.0, lambda scene: crash_busy_engines(scene, 5, 0.4))

    # Guards against holding what ran on engines that are lost together.
    def test_part_on_engines_that_crash_together_is_served(self):
        async def crash_all(scene):
            for engine in scene.engines:
                engine.crash()

        self.check(60.0, crash_all)


class NoticeTest(unittest.TestCase):
    # Guards against a success that is announced again and clears a part of a
    # crash that came later.
    def test_repeated_success_does_not_clear_a_later_crash(self):
        async def scenario(scene):
            keeper = scene.program.quarantine
            key = request_features.encode_part_key(FIRST, "one")
            crashed = work_notice.SuspectEvent.TARGET_CRASHED
            succeeded = work_notice.SuspectEvent.SUCCEEDED
            for incarnation, event in (
                (1, crashed),
                (1, succeeded),
                (2, crashed),
                (1, succeeded),
            ):
                notice = work_notice.SuspectNotice(key, incarnation, event)
                keeper.apply_notice(notice)
            records = keeper.site.quarantine
            self.assertEqual(records.crashed_incarnations(key), {2})

        scene_lib.run_scenario(scenario)

    # Guards against hosts that wait for the result of a trial which has ended
    # without one.
    def test_trial_without_a_result_ends_at_other_hosts(self):
        async def scenario(scene):
            hosts = await test_deadly_requests.start_hosts(scene, 2)
            key = request_features.encode_part_key(FIRST, "one")
            event = work_notice.SuspectEvent.TARGET_CRASHED
            for host in hosts:
                host.quarantine.apply_notice(
                    work_notice.SuspectNotice(key, 1, event)
                )
            for engine in scene.engines:
                engine.default_behaviour = platform_target.Refuse()
            prefix = f"{FIRST}:9,cc:9"
            request = scene.prompt("/resume/x", x_prompt_prefix=prefix)
            answer = await scene.call(request)
            self.assertEqual(answer.head.status, 503)
            for engine in scene.engines:
                engine.default_behaviour = platform_target.Serve()
            request = scene.prompt("/resume/x", x_prompt_prefix=prefix)
            answer = await connection_pool.call(
                scene.pool, hosts[1].server.address, request, 4.0, 1 << 20
            )
            self.assertEqual(answer.head.status, 200, answer.body)

        scene_lib.run_scenario(scenario, engines=2)

    # Guards against hosts that wait for the result of a trial which could not
    # be sent.
    def test_trial_that_cannot_be_sent_is_not_announced(self):
        async def scenario(scene):
            hosts = await test_deadly_requests.start_hosts(scene, 2)
            key = request_features.encode_part_key(FIRST, "one")
            event = work_notice.SuspectEvent.TARGET_CRASHED
            for host in hosts:
                host.quarantine.apply_notice(
                    work_notice.SuspectNotice(key, 1, event)
                )
            for engine in scene.engines:
                engine.crash()
            prefix = f"{FIRST}:9,cc:9"
            request = scene.prompt("/resume/x", x_prompt_prefix=prefix)
            answer = await scene.call(request)
            self.assertGreaterEqual(answer.head.status, 500)
            await anyio.sleep(0.1)
            blame = hosts[1].site.part_blame
            now = clock.now()
            self.assertFalse(blame.has_running_trial(FIRST, now))

        scene_lib.run_scenario(
            scenario,
            engines=2,
            before=test_deadly_requests.make_targets_crash,
        )


if __name__ == "__main__":
    unittest.main()
