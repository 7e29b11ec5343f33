"""Starts the shipped programs as real processes, for demos and tests."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any

import msgspec

from hillthread import errors

__all__ = ["Process", "ProcessGroup"]

_STOP_S = 10.0


class Process:
    """One running program.

    Attributes:
        addresses: Where it listens, by the name it announced.
        log_path: Its log, JSON lines.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        log_path: pathlib.Path,
        logs_to_output: bool = False,
    ):
        """Starts the program.

        Args:
            name: For messages.
            arguments: Of the command.
            log_path: Where its log is written.
            logs_to_output: Its standard output is its log, and it announces
                its addresses there.
        """
        self.name = name
        self.log_path = log_path
        self.addresses: dict[str, str] = {}
        with log_path.open("wb") as log:
            self.popen = subprocess.Popen(
                arguments,
                stdout=log if logs_to_output else subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def wait_listening(self) -> None:
        """Returns when the program has announced its addresses.

        Raises:
            HillthreadError: It ended instead.
        """
        assert self.popen.stdout is not None
        line = self.popen.stdout.readline().decode()
        if not line.startswith("listening "):
            raise errors.HillthreadError(
                f"{self.name} did not start: "
                f"{self.log_path.read_text()[-2000:]}",
                "Read its log and correct its settings.",
            )
        for pair in line.split()[1:]:
            name, _, address = pair.partition("=")
            self.addresses[name] = address

    def events(self) -> list[dict[str, Any]]:
        """Returns the lines of its log so far; the last may be incomplete."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        events = []
        for line in lines:
            try:
                events.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                continue  # a line that is being written, or no JSON line
        return events

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, as a crash would."""
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Stops the process as planned and returns its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(_STOP_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def resident_bytes(self) -> int:
        """Returns the memory the process holds."""
        statm = pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def processor_s(self) -> float:
        """Returns the processor time the process has used."""
        stat = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


class ProcessGroup:
    """All processes of one run; a context manager that ends them.

    Attributes:
        folder: Holds settings files and logs; removed at the end.
    """

    def __init__(self):
        self._temporary = tempfile.TemporaryDirectory(prefix="hillthread-")
        self.folder = pathlib.Path(self._temporary.name)
        self.processes: list[Process] = []

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            if process.popen.poll() is None:
                process.kill()
            if process.popen.stdout is not None:
                process.popen.stdout.close()
        self._temporary.cleanup()

    def start(
        self,
        program: str,
        settings: dict[str, Any],
        *words: str,
        module: str = "",
    ) -> Process:
        """Starts a program and waits until it listens.

        Args:
            program: The module's name below `hillthread.programs`.
            settings: Written to a file that the program is given.
            *words: The command's words before the settings.
            module: A module to run in the place of the program's.
        """
        process = self.start_later(program, settings, *words, module=module)
        process.wait_listening()
        return process

    def start_later(
        self,
        program: str,
        settings: dict[str, Any],
        *words: str,
        module: str = "",
        logs_to_output: bool = False,
    ) -> Process:
        """Starts a program without waiting for it to listen."""
        name = f"{len(self.processes)}-{'-'.join((program, *words))}"
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        arguments = [
            sys.executable,
            "-m",
            module or f"hillthread.programs.{program}",
            *words,
            f"--settings={path}",
        ]
        log_path = self.folder / f"{name}.log"
        process = Process(name, arguments, log_path, logs_to_output)
        self.processes.append(process)
        return process

    def write_json(self, name: str, value: Any) -> str:
        """Writes a file into the folder and returns its path."""
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(value))
        return str(path)
