"""Tests of callers that stop reading beside callers that read.

The gateway and the callers run in processes of their own, so that the memory
measured is the gateway's alone. Answers have 8 MiB because the kernel's buffers
hold those of 1 MiB.
"""

import functools
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import anyio
import anyio.to_thread
import msgspec

from hillthread import clock
from hillthread.standin import platform_target
from hillthread.transport import connection_pool
from hillthread.transport import http1_client
from hillthread.transport import send_buffer
from tests.coordination.gateway import scene as scene_lib

_EVENT_BYTES = 16_384
_EVENTS = 512
_PAYLOAD = b"x" * (_EVENT_BYTES - 32)
_IDLE = int(os.environ.get("SLOW_CALLERS", "40"))
_READING = int(os.environ.get("READING_CALLERS", "40"))
_MAX_GROWTH_BYTES = 64_000_000
_PATIENCE_S = float(os.environ.get("CALLERS_PATIENCE_S", "50"))
# Time in which idle callers fill the buffers, at the latest.
_FILL_S = 8.0
_MEMORY_MB = float(os.environ.get("GATEWAY_MEMORY_MB", "150"))

# Callers that read, beside callers that read nothing. Prints how many of the
# former received their whole answer, and after how many seconds.
_CALLERS = """
import asyncio, json, socket, sys, time

ip, port, idle, reading, size, key = sys.argv[1:]
began = time.monotonic()

async def ask(number, receive_buffer=None):
    raw = socket.socket()
    raw.setblocking(False)
    if receive_buffer:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(raw, (ip, int(port)))
    reader, writer = await asyncio.open_connection(sock=raw, limit=1 << 20)
    writer.write((
        "POST /stream/ HTTP/1.1\\r\\nhost: callers.example\\r\\n"
        f"authorization: Bearer {key}\\r\\nx-request-id: {number}\\r\\n"
        "x-deadline-ms: 60000\\r\\nx-model: m\\r\\ncontent-length: 2\\r\\n"
        "\\r\\nhi"
    ).encode())
    return reader, writer

async def read(number):
    # Targets that get all connections at once time out in connecting.
    await asyncio.sleep(number * 0.02)
    reader, writer = await ask(f"reads-{number}")
    count, tail = 0, b""
    while data := await reader.read(1 << 20):
        count += data.count(b"x")
        tail = (tail + data)[-5:]
        if tail == b"0\\r\\n\\r\\n":
            break
    writer.close()
    return tail == b"0\\r\\n\\r\\n" and count >= int(size)

async def main():
    idles = await asyncio.gather(
        *(ask(f"idle-{n}", 65_536) for n in range(int(idle)))
    )
    for reader, writer in idles:
        writer.transport.pause_reading()
    whole = await asyncio.gather(
        *(read(n) for n in range(int(reading)))
    )
    seconds = time.monotonic() - began
    print(json.dumps({"whole": sum(whole), "seconds": seconds}), flush=True)
    await asyncio.sleep(600)

asyncio.run(main())
"""


class Memory:
    """The resident memory of a process, as growth since the beginning."""

    def __init__(self, pid):
        self.status = pathlib.Path(f"/proc/{pid}/status")
        pathlib.Path(f"/proc/{pid}/clear_refs").write_text("5")
        self.before = self.peak_bytes()

    def peak_bytes(self):
        """Returns the highest value so far."""
        for line in self.status.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError(self.status)

    def growth_bytes(self):
        """Returns the highest growth so far."""
        return self.peak_bytes() - self.before


class SlowCallersTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.settings_path = pathlib.Path(folder) / "gateway.json"
        self.log_path = pathlib.Path(folder) / "gateway.log"

    def start(self, *arguments, **options):
        """Starts Python with arguments; the process ends with the test."""
        process = subprocess.Popen([sys.executable, *arguments], **options)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def start_gateway(self, scene):
        """Starts the gateway and returns its process."""
        settings = {
            "host": "h1",
            "data_centre": "here",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "store": scene.store.address,
            "memory_mb": _MEMORY_MB,
        }
        self.settings_path.write_text(json.dumps(settings))
        return self.start(
            "-m",
            "hillthread.programs.gateway",
            f"--settings={self.settings_path}",
            stdout=self.enterContext(self.log_path.open("wb")),
        )

    def events(self, name):
        """Returns the gateway's log lines of an event."""
        lines = self.log_path.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [event for event in events if event.get("event") == name]

    def is_ready(self):
        """Returns whether the gateway is ready."""
        return [e["reason"] for e in self.events("readiness")][-1:] == [""]

    def run_callers(self, check):
        """Runs callers against a gateway and calls `check` at the end."""

        async def run():
            async with anyio.create_task_group() as tasks:
                scene = self.create_scene(tasks)
                gateway = self.start_gateway(scene)
                with anyio.fail_after(_PATIENCE_S):
                    while not self.is_ready():  # noqa: ASYNC110 (no event)
                        await anyio.sleep(0.1)
                    await self.measure(gateway, check)
                tasks.cancel_scope.cancel()

        clock.run(run)

    def create_scene(self, tasks):
        """Returns a scene without a gateway, whose engines answer at length."""
        scene = scene_lib.Scene(tasks, engines=2, plain=0)
        for route in scene.configuration["routes"]:
            route["timeoutMs"] = 60_000
        scene.configuration["services"][0]["engine"]["slots"] = 1_000
        scene.configure()
        tasks.start_soon(scene.store.server.serve)
        for engine in scene.engines:
            engine.events = _EVENTS
            engine.event = lambda number, mark: (
                b"id: %d\ndata: %b\n\n" % (number, _PAYLOAD)
            )
            tasks.start_soon(scene.listen, engine)
            scene.list_target(engine)
        return scene

    async def measure(self, gateway, check):
        """Runs the callers and calls `check` with what was measured."""
        addresses = self.events("start")[0]
        metrics = functools.partial(
            self.read_metrics, addresses["metrics_listen"]
        )
        memory = Memory(gateway.pid)
        total = send_buffer.compute_bounds(_MEMORY_MB).total_bytes
        # The kernel ends connections whose callers read nothing for 5 s, so
        # the others start as soon as the buffers of these are filled.
        self.start_callers(addresses["listen"], _IDLE, 0)
        buffered = 0
        with anyio.move_on_after(_FILL_S):
            while buffered < total * 0.9:
                await anyio.sleep(0.02)
                page = await metrics()
                buffered = max(buffered, page["hillthread_buffered_bytes"])
        readers = self.start_callers(addresses["listen"], 0, _READING)
        output = await anyio.to_thread.run_sync(
            readers.stdout.readline, abandon_on_cancel=True
        )
        check(
            json.loads(output), memory.growth_bytes(), buffered, await metrics()
        )

    def start_callers(self, address, idle, reading):
        """Starts the process of some callers."""
        ip, port = address.split(":")
        size = _EVENTS * len(_PAYLOAD)
        arguments = [ip, port, idle, reading, size, scene_lib.KEY]
        process = self.start(
            "-c", _CALLERS, *map(str, arguments), stdout=subprocess.PIPE
        )
        self.addCleanup(process.stdout.close)
        return process

    async def read_metrics(self, address):
        """Returns the gateway's metrics without labels."""
        request = http1_client.ClientRequest(
            b"GET", b"/metrics", [(b"host", b"x")]
        )
        pool = connection_pool.ConnectionPool(1.0)
        answer = await connection_pool.call(
            pool, address, request, 5.0, 1 << 20
        )
        await pool.close()
        lines = answer.body.decode().splitlines()
        pairs = [line.split() for line in lines if line[:1] not in "#"]
        return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}

    def test_idle_callers_cost_bounded_memory_and_readers_are_not_cut(self):
        """Guards against unlimited buffers, and against cuts of readers."""

        def check(callers, growth, buffered, page):
            cuts = self.events("slow_caller")
            print(
                f"{_IDLE} idle + {_READING} reading: growth {growth}, "
                f"buffered {buffered}, cut {len(cuts)}, {callers}",
                file=sys.stderr,
            )
            self.assertEqual(callers["whole"], _READING)
            cut = [each["request"] for each in cuts]
            self.assertEqual([x for x in cut if "idle" not in x], [])
            self.assertGreater(len(cut), 0)
            self.assertLess(len(cut), _IDLE)
            self.assertGreater(min(each["bytes"] for each in cuts), 0)
            counted = page["hillthread_slow_callers_cut_total"]
            self.assertGreaterEqual(counted, len(cut))
            self.assertLess(growth, _MAX_GROWTH_BYTES)
            total = send_buffer.compute_bounds(_MEMORY_MB).total_bytes
            self.assertGreater(buffered, total / 2)
            slack = (_IDLE + _READING) * 65_536
            self.assertLess(buffered, total + slack)

        self.run_callers(check)


class HeldBytesTest(unittest.TestCase):
    def test_body_counts_until_its_attempt_ends(self):
        """Guards against request bodies that are not counted, or for ever."""

        async def scenario(scene):
            released = anyio.Event()
            target = scene.plain[0]
            target.queue_behaviours(platform_target.HoldAnswer(released))
            budget = scene.program.buffers
            request = scene.request("/once/x", bytes(100_000))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(scene.call, request)
                await scene.until(scene.runs)
                self.assertEqual(budget.buffered_bytes, 100_000)
                released.set()
            self.assertEqual(budget.buffered_bytes, 0)
            released = anyio.Event()
            target.queue_behaviours(platform_target.HoldAnswer(released))
            with anyio.move_on_after(0.3):  # the caller leaves
                await scene.call(request)
            await scene.until(lambda: not scene.program.gateway.inflight)
            self.assertEqual(budget.buffered_bytes, 0)

        scene_lib.run_scenario(scenario, plain=1, engines=0)

    def test_whole_answers_count_until_they_are_relayed(self):
        """Guards against whole answers that are not counted, or for ever."""

        async def scenario(scene):
            budget = scene.program.buffers
            held = []
            hold = budget.hold

            def record(size):
                hold(size)
                held.append(budget.held_bytes)

            budget.hold = record
            for size in (200_000, 262_144, 262_145, 900_000):
                held.clear()
                body = bytes(range(250)) * (size // 250 + 1)
                scene.plain[0]._answer_body = lambda _, b=body[:size]: b
                answer = await scene.call(scene.request("/once/x", b""))
                self.assertEqual(answer.body, body[:size])
                self.assertGreaterEqual(max(held), min(size, 262_145))
                self.assertLess(max(held), 262_145 + 65_536)
                self.assertEqual(budget.buffered_bytes, 0)

        scene_lib.run_scenario(scenario, plain=1, engines=0)


class SettingsTest(unittest.TestCase):
    def test_bounds_follow_the_settings(self):
        """Guards against memory below 48 MB, and a reload without effect."""

        async def scenario(scene):
            budget = scene.program.buffers
            self.assertEqual(budget.bounds.total_bytes, 4_000_000)
            settings = scene.site.settings
            scene.site.apply_settings(
                msgspec.structs.replace(settings, memory_mb=128)
            )
            await scene.until(lambda: budget.bounds.total_bytes == 20_000_000)

        with self.assertLogs("hillthread.program", "WARNING") as logs:
            scene_lib.run_scenario(scenario, memory_mb=30)
        events = [record.event for record in logs.records]
        self.assertEqual(events.count("buffer_minimum"), 1)


if __name__ == "__main__":
    unittest.main()
