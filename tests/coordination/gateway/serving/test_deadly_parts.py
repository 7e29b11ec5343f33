"""Tests that a part of prompts which crashes targets is found and held."""

import itertools
import random
import unittest

import anyio

from hillthread.standin import platform_target
from hillthread.transport import http1_client
from tests.coordination.gateway import scene as scene_lib
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
            answer = await http1_client.call(
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


if __name__ == "__main__":
    unittest.main()
