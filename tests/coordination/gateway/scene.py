"""A whole deployment in one process: store, targets, a gateway, callers."""

from __future__ import annotations

import contextlib
import itertools
import tempfile
from unittest import mock

import anyio

from hillthread import clock
from hillthread.coordination.gateway import host as host_lib
from hillthread.coordination.gateway import settings as settings_lib
from hillthread.standin import platform_store
from hillthread.standin import platform_target
from hillthread.standin import wire_proxy
from hillthread.state.quotas import retry_share
from hillthread.transport import connection_pool
from hillthread.transport import http1_client
from hillthread.transport import log_writer

KEY = "key-one"
HOST = b"callers.example"
_WAIT_TIMEOUT_S = 5.0
# Hosts of a scene that start together register in the store within this time.
_HOSTS_BATCH_DELAY_S = 0.05


def route(name, prefix, kind, service, **extra):
    """Returns a route in the format of the operator's configuration."""
    return {
        "name": name,
        "host": HOST.decode(),
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **extra,
    }


class Scene:
    """The store, targets and gateway of a test.

    Attributes:
        store: The stand-in for the store.
        store_link: The proxy through which a gateway that is started `linked`
            reaches the store.
        engines: Targets of the service `engines`, with the model `m`.
        plain: Targets of the service `plain`.
        program: The gateway host.
        scopes: Cancel scopes of the running stand-ins, by name.
    """

    def __init__(self, tasks, engines: int, plain: int):
        self.tasks = tasks
        self.store = platform_store.PlatformStoreStandin()
        self.store_link = wire_proxy.WireProxy(self.store.address)
        self.engines = [
            platform_target.PlatformTargetStandin(f"e{n}", "engines", "m")
            for n in range(engines)
        ]
        self.plain = [
            platform_target.PlatformTargetStandin(f"p{n}", "plain")
            for n in range(plain)
        ]
        self.version = 0
        self.configuration = {
            "version": 1,
            "routes": [
                route("stream", "/stream/", "streaming", "engines"),
                route(
                    "resume",
                    "/resume/",
                    "streaming",
                    "engines",
                    resumable=True,
                ),
                route("once", "/once/", "non_idempotent", "plain"),
                route("again", "/again/", "idempotent", "plain"),
                route("open", "/open/", "idempotent", "plain", public=True),
            ],
            "services": [
                {
                    "name": "engines",
                    "engine": {"slots": 8, "models": [{"name": "m"}]},
                },
                {"name": "plain"},
            ],
            "tenants": [
                {"name": "tenant-one", "apiKeys": [KEY], "isolated": True},
                {"name": "tenant-two", "apiKeys": ["key-two"]},
            ],
        }
        self.log = tempfile.TemporaryFile()  # noqa: SIM115 (kept open)
        self.pool = connection_pool.ConnectionPool(1.0)
        self.ids = itertools.count()
        self.program = None
        self.scopes = {}

    @property
    def targets(self):
        """All targets."""
        return [*self.engines, *self.plain]

    @property
    def site(self):
        """The gateway's view of its targets and of the operator's data."""
        return self.program.site

    def configure(self, **changes) -> None:
        """Writes the operator's next version of the configuration."""
        self.configuration |= changes
        self.version += 1
        self.configuration["version"] = self.version
        self.store.put("keyed.op", "config", self.configuration)

    def announce_weights(self, version) -> None:
        """Writes the operator's announcement of new weights of the model."""
        named = {"model": "m", "version": version}
        self.store.put("keyed.op", "version/m", named)

    def list_target(self, target, state="ready") -> None:
        """Writes a target's entry in the list of targets."""
        self.store.put("keyed.servers", target.name, target.entry(state))

    async def start(
        self, ready=True, before=None, linked=False, **settings
    ) -> None:
        """Starts the store, the targets and the gateway.

        Args:
            ready: Whether to wait until the gateway is ready.
            before: Called with the scene when only the store is running.
            linked: Whether the gateway reaches the store through the proxy.
            **settings: Settings of the gateway.
        """
        self.tasks.start_soon(self.store.server.serve)
        self.tasks.start_soon(self.store_link.serve)
        if before is not None:
            await before(self)
        for target in self.targets:
            self.tasks.start_soon(self.listen, target)
            self.list_target(target)
        self.configure()
        values = {
            "host": "h1",
            "data_centre": "here",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "store": (self.store_link if linked else self.store).address,
            **settings,
        }
        self.program = host_lib.GatewayHost(
            settings_lib.GatewaySettings(**values),
            self.tasks,
            log_writer.BufferedLogHandler(self.log.fileno()),
        )
        await self.program.run()
        if not ready:
            return
        await self.until(lambda: not self.not_ready_reason())
        # The gateway counts itself a little later; only after that may tests
        # set the count.
        await self.until(self.program.hosts_settled.is_set)

    async def listen(self, target) -> None:
        """Lets a target accept connections until `stop_listening`."""
        with anyio.CancelScope() as self.scopes[target.name]:
            await target.server.serve(self.tasks)

    def stop_listening(self, target) -> None:
        """Makes a target refuse new connections; open ones stay."""
        self.scopes[target.name].cancel()

    def not_ready_reason(self) -> str:
        """Returns why the gateway is not ready; empty when it is ready."""
        return self.site.not_ready_reason(anyio.current_time())

    async def until(self, holds) -> None:
        """Waits until a condition holds."""
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while not holds():  # noqa: ASYNC110 (no event)
                await anyio.sleep(0.005)

    def request(self, path, body=b"hello", method=b"POST", **headers):
        """Returns a caller's request with a unique id."""
        values = {
            "x-request-id": f"r{next(self.ids)}",
            "authorization": f"Bearer {KEY}",
            "x-deadline-ms": "2000",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        return http1_client.ClientRequest(
            method,
            path.encode(),
            [
                (b"host", HOST),
                *((k.encode(), v.encode()) for k, v in values.items() if v),
            ],
            body,
        )

    def prompt(self, path, **headers):
        """Returns a request with a prompt."""
        values = {
            "x_model": "m",
            "x_token_count": "900,40",
            "x_prompt_prefix": "aa:300,bb:500,cc:100",
            **headers,
        }
        return self.request(path, **values)

    async def call(self, request):
        """Returns the gateway's whole answer to a request."""
        return await connection_pool.call(
            self.pool, self.program.server.address, request, 4.0, 1 << 20
        )

    def runs(self):
        """Returns the ids of all requests that any target ran, in order."""
        return [run.request_id for t in self.targets for run in t.runs]


async def start_cache_stores(scene, count):
    """Starts KV cache stores; returns them when the gateway knows them."""
    stores = [
        platform_target.PlatformTargetStandin(f"k{n}", f"keep{n}")
        for n in range(count)
    ]

    async def listen(store):
        """Serves until `stop_listening`, which also closes open connections."""
        with anyio.CancelScope() as scene.scopes[store.name]:
            await store.server.serve()

    for store in stores:
        scene.tasks.start_soon(listen, store)
    services = [
        *scene.configuration["services"],
        *({"name": s.service, "kvStoreAddr": s.address} for s in stores),
    ]
    scene.configure(services=services)
    caches = scene.program.gateway.dispatcher.chooser.cache_planner.watch
    await scene.until(
        lambda: sum(c.is_known for c in caches.contents.values()) == count
    )
    return stores


@contextlib.asynccontextmanager
async def open_scene(engines=2, plain=2, slow_s=0.0, weights=0, **settings):
    """Yields a running scene; raises the exception of the test's body as it is.

    Args:
        engines: Number of engines.
        plain: Number of targets of the plain service.
        slow_s: Delay of every answer of the store, seconds.
        weights: Version of weights that is announced before the gateway
            starts; 0 for none.
        **settings: Arguments of `Scene.start` and settings of the gateway.
    """
    failure = None
    async with anyio.create_task_group() as tasks:
        scene = Scene(tasks, engines, plain)
        try:
            scene.store.faults.slow_s = slow_s
            if weights:
                scene.announce_weights(weights)
            await scene.start(**settings)
            yield scene
        except Exception as error:
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure


def run_scenario(scenario, initial_retry_share=1.0, **options):
    """Runs a scenario, an async function that takes a scene.

    Args:
        scenario: The function.
        initial_retry_share: Share of its retry budget that a host has when it
            starts; the rest accrues. Hosts of a scene serve at once what real
            ones serve after some time.
        **options: Arguments of `open_scene`.
    """

    async def run():
        with (
            mock.patch.object(
                host_lib, "_HOSTS_BATCH_DELAY_S", _HOSTS_BATCH_DELAY_S
            ),
            mock.patch.object(
                retry_share, "_INITIAL_SHARE", initial_retry_share
            ),
        ):
            await run_in_scene()

    async def run_in_scene():
        async with open_scene(**options) as scene:
            await scenario(scene)

    clock.run(run)
