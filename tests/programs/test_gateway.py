"""Tests of the gateway as a process: signals, settings and exit codes."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

_WAIT_S = 20.0


class GatewayProcessTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "gateway.json"
        self.log = pathlib.Path(folder) / "gateway.log"
        self.settings = {
            "host": "h1",
            "data_centre": "here",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "store": "127.0.0.1:1",
            "grace_s": 1.0,
        }
        self.write(self.settings)

    def write(self, settings):
        text = settings if isinstance(settings, str) else json.dumps(settings)
        self.path.write_text(text)

    def start(self, *arguments):
        """Starts the gateway, or Python with `arguments`."""
        program = [
            "-m",
            "hillthread.programs.gateway",
            f"--settings={self.path}",
        ]
        output = self.enterContext(self.log.open("wb"))
        process = subprocess.Popen(
            [sys.executable, *(arguments or program)],
            stdout=output,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def run_to_the_end(self):
        """Runs the gateway until it ends by itself."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "hillthread.programs.gateway",
                f"--settings={self.path}",
            ],
            capture_output=True,
            text=True,
            timeout=_WAIT_S,
            check=False,
        )

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def wait_event(self, name, count=1):
        deadline = time.monotonic() + _WAIT_S
        while time.monotonic() < deadline:
            found = [e for e in self.events() if e.get("event") == name]
            if len(found) >= count:
                return found[-1]
            time.sleep(0.02)
        raise AssertionError(f"no event {name} in {self.log.read_text()}")

    def test_sighup_reloads_settings_without_stopping(self):
        process = self.start()
        self.wait_event("readiness")
        self.write({**self.settings, "retry_extra": 7, "host": "h2"})
        process.send_signal(signal.SIGHUP)
        reload = self.wait_event("reload")
        self.assertEqual(reload["need_a_restart"], ["host"])
        self.write("{")
        process.send_signal(signal.SIGHUP)
        self.wait_event("reload_failed")
        self.assertIsNone(process.poll())

    def test_changed_settings_file_is_reloaded_without_a_signal(self):
        self.start()
        self.wait_event("readiness")
        self.write({**self.settings, "retry_extra": 7})
        self.wait_event("reload")

    def test_sigterm_starts_a_planned_stop(self):
        process = self.start()
        self.wait_event("readiness")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(_WAIT_S), 0)
        names = [event["event"] for event in self.events() if "event" in event]
        self.assertIn("stop_notice", names)
        self.assertEqual(names[-1], "stop_drained")

    def test_signals_during_a_stop_do_not_interrupt_it(self):
        self.write({**self.settings, "grace_s": 2.0})
        process = self.start()
        self.wait_event("readiness")
        process.send_signal(signal.SIGTERM)
        self.wait_event("stop_notice")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            process.send_signal(number)
            time.sleep(0.05)
        self.assertEqual(process.wait(_WAIT_S), 0)
        self.wait_event("stop_drained")

    def test_sighup_before_the_settings_are_read_is_ignored(self):
        """Guards against a SIGHUP that terminates a starting process.

        Settings may change, and SIGHUP be sent, before the handler of the
        signal is installed.
        """
        program = (
            "import os, signal\n"
            "from hillthread import settings\n"
            "from hillthread.programs import gateway\n"
            "load = settings.load_settings\n"
            "def load_and_hang_up(*arguments):\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return load(*arguments)\n"
            "settings.load_settings = load_and_hang_up\n"
            f"gateway.run({str(self.path)!r})\n"
        )
        process = self.start("-c", program)
        self.wait_event("readiness")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(_WAIT_S), 0)

    # Guards against a process that ends because another one still exits.
    def test_start_waits_for_a_taken_address(self):
        with socket.create_server(("127.0.0.1", 0)) as holder:
            address = f"127.0.0.1:{holder.getsockname()[1]}"
            self.write({**self.settings, "listen": address})
            process = self.start()
            line = self.wait_event("address_taken")
            self.assertEqual(list(line["addresses"]), [address])
        self.assertEqual(self.wait_event("start")["listen"], address)
        self.assertIsNone(process.poll())

    def test_address_that_never_works_ends_the_start(self):
        self.write({**self.settings, "listen": "999.0.0.1:80"})
        result = self.run_to_the_end()
        self.assertEqual(result.returncode, 2)
        self.assertIn("999.0.0.1:80", result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_invalid_settings_exit_with_the_name_of_the_field(self):
        self.write({**self.settings, "listen": 7})
        result = self.run_to_the_end()
        self.assertEqual(result.returncode, 2)
        self.assertIn("$.listen", result.stderr)
