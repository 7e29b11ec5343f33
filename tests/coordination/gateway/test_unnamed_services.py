"""Tests of listed entries whose service the configuration does not name."""

import unittest

from hillthread.standin import platform_target as standin
from tests.coordination.gateway import scene as scene_lib


def _list_agents(scene, **changes):
    """Lists entries of another program with the addresses of all engines."""
    for number, engine in enumerate(scene.engines):
        entry = {**engine.entry(), "service": "telemetry", **changes}
        scene.store.put("keyed.servers", f"agent-{number}", entry)


class UnnamedServiceTest(unittest.TestCase):
    # Guards against taking such an entry for the target that has replaced the
    # one at its address: all requests were refused.
    def test_entries_with_the_addresses_of_engines_replace_none(self):
        async def scenario(scene):
            for changes in ({"models": []}, {}, {"born": 2_000_000_000_000}):
                _list_agents(scene, **changes)
                names = scene.site.unnamed.keys
                await scene.until(lambda names=names: len(names()) == 3)
                with self.subTest(changes=changes):
                    await self.expect_all_served(scene)
                for number in range(3):
                    scene.store.remove("keyed.servers", f"agent-{number}")
                await scene.until(lambda names=names: not names())

        scene_lib.run_scenario(scenario, engines=3, plain=0)

    # Guards against the same when the entries are read before the first
    # configuration.
    def test_entries_listed_before_the_first_configuration_replace_none(self):
        async def before(scene):
            _list_agents(scene, born=2_000_000_000_000)

        async def scenario(scene):
            self.assertEqual(len(scene.site.unnamed), 3)
            self.assertEqual(scene.site.targets.replaced, {})
            await self.expect_all_served(scene)

        scene_lib.run_scenario(scenario, engines=3, plain=0, before=before)

    # Guards against losing a target that was listed before its service.
    def test_target_is_used_once_a_configuration_names_its_service(self):
        async def scenario(scene):
            target = standin.PlatformTargetStandin("n0", "new")
            scene.tasks.start_soon(scene.listen, target)
            scene.list_target(target)
            await scene.until(lambda: "n0" in scene.site.unnamed)
            routes = scene.configuration["routes"]
            services = scene.configuration["services"]
            scene.configure(
                services=[*services, {"name": "new"}],
                routes=[
                    *routes,
                    scene_lib.route("new", "/new/", "idempotent", "new"),
                ],
            )
            await scene.until(lambda: "n0" in scene.site.targets.entries)
            answer = await scene.call(scene.request("/new/x"))
            self.assertEqual(answer.head.status, 200)
            # Its entry stays when a later configuration drops the service.
            scene.configure(services=services, routes=routes)
            version = scene.version
            await scene.until(
                lambda: scene.site.configuration.version == version
            )
            scene.list_target(target, "draining")
            entries = scene.site.targets.entries
            await scene.until(lambda: entries["n0"].leaving)

        scene_lib.run_scenario(scenario, engines=1, plain=1)

    async def expect_all_served(self, scene):
        """Expects that requests are served and new weights are loaded."""
        for number in range(6):
            answer = await scene.call(scene.prompt("/stream/x"))
            self.assertEqual(answer.head.status, 200, number)
        version = max(engine.weights for engine in scene.engines) + 1
        scene.announce_weights(version)
        await scene.until(
            lambda: all(e.weights == version for e in scene.engines)
        )


if __name__ == "__main__":
    unittest.main()
