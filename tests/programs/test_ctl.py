"""Tests of the command lines that operators use, with real processes."""

from concurrent import futures
import json
import os
import subprocess
import sys
import unittest

import anyio
import httpx

from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import processes
from hillthread.bench import site as site_lib

CHAT = [{"role": "user", "content": "hello " * 50}]
PROGRAMS = ("router", "control", "ctl", "standin", "bench")


def run(program, *arguments, key=site_lib.OPERATOR_KEY):
    return subprocess.run(
        [sys.executable, "-m", f"hillthread.programs.{program}", *arguments],
        env={**os.environ, "HILLTHREAD_KEY": key, "PAGER": "cat"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


class CtlTest(unittest.IsolatedAsyncioTestCase):
    """Tests share one host and one engine; only one test changes objects."""

    @classmethod
    def setUpClass(cls):
        cls.group = cls.enterClassContext(processes.ProcessGroup())
        cls.site = site_lib.Site(cls.group, 1, 1, 1)
        anyio.run(cls._start)

    @classmethod
    async def _start(cls):
        await cls.site.start()
        await cls.site.close()

    async def asyncSetUp(self):
        self.site.client = httpx.AsyncClient(trust_env=False, timeout=15.0)
        self.addAsyncCleanup(self.site.close)

    def ctl(self, *arguments, **options):
        admin = self.site.hosts[0].admin
        return run("ctl", f"--address={admin}", *arguments, **options)

    async def test_usual_commands_of_an_operator(self):
        values = self.site.objects(["o1"])
        file = self.group.write_json("all.json", values)
        applied = self.ctl("apply", file)
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.assertEqual(applied.stdout.count("accepted"), len(values))
        await self.site.wait_position(len(values) - 1)

        policy = {"kind": "policy", "name": "standard", "recompute_weight": 7}
        changed = self.group.write_json("changed.json", policy)
        diff = self.ctl("diff", changed).stdout
        self.assertIn('+  "recompute_weight": 7', diff)
        dry = self.ctl("apply", changed, "--dry_run").stdout
        self.assertIn("would be", dry)
        self.ctl("apply", changed)
        history = self.ctl("history", "--kind=policy").stdout.splitlines()
        self.assertEqual(len(history), 2)
        offset = history[0].split()[0]
        self.assertIn("accepted", self.ctl("rollback", offset).stdout)
        found = json.loads(self.ctl("get", "policy", "standard").stdout)
        self.assertEqual(found["object"]["recompute_weight"], 1.0)
        status = json.loads(self.ctl("status").stdout)
        self.assertTrue(status["in_force"])

        caller = caller_lib.Caller(
            self.site.hosts[0].callers, deployment.tenant_key("o1")
        )
        answer = await caller.ask(CHAT, 2)
        await caller.close()
        explained = self.ctl("explain", answer.request_id).stdout
        self.assertIn("went to dc1-runner0", explained)
        self.assertIn("Outcome: answered, run: ran", explained)
        listed = self.ctl("records", "--tenant=o1").stdout
        self.assertIn(answer.request_id, listed)
        self.assertEqual(self.ctl("records", "--tenant=o2").stdout, "")

        deleted = self.ctl("delete", "route", "completions")
        self.assertIn("removed", deleted.stdout)
        gone = self.ctl("get", "route", "completions")
        self.assertEqual(gone.returncode, 1)
        self.assertIn("Remedy", gone.stderr)

    async def test_wrong_key(self):
        refused = self.ctl("status", key="wrong")
        self.assertEqual(refused.returncode, 1)
        self.assertIn("invalid_key", refused.stderr)


class CommandLineTest(unittest.TestCase):
    def test_help(self):
        with futures.ThreadPoolExecutor() as pool:
            pages = list(pool.map(lambda name: run(name, "--help"), PROGRAMS))
        for program, shown in zip(PROGRAMS, pages, strict=True):
            with self.subTest(program):
                self.assertEqual(shown.returncode, 0)
                self.assertIn("SYNOPSIS", shown.stdout + shown.stderr)

    def test_invalid_settings_are_reported_with_path_and_remedy(self):
        with processes.ProcessGroup() as group:
            path = group.write_json("bad.json", {"host": 5})
            for program in ("router", "control"):
                finished = run(program, f"--settings={path}")
                self.assertEqual(finished.returncode, 2)
                self.assertIn("$.host", finished.stderr)
                self.assertIn("Remedy", finished.stderr)
