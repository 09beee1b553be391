"""Child processes on loopback: port allocation, settings files, start, signals and wait.

Signals are sent only to processes that were started here, by their ids.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field

PORTS = range(20_000, 32_000)


class PortPool:
    """Allocates loopback ports that are free for TCP and UDP at the time of allocation.

    Runs in parallel need different ranges, because a port is free while the process that it is
    allocated to restarts.

    >>> pool = PortPool(); pool.allocate() != pool.allocate()
    True
    """

    def __init__(self, *, ports: range = PORTS) -> None:
        self._ports = ports
        self._rand = random.Random(os.getpid())
        self._allocated: set[int] = set()

    def allocate(self) -> str:
        """Returns a loopback address, `host:port`, that this pool has not returned before."""
        while True:
            port = self._rand.choice(self._ports)
            if port in self._allocated or not self._is_free(port=port):
                continue
            self._allocated.add(port)
            return f"127.0.0.1:{port}"

    @staticmethod
    def _is_free(*, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    return False
        return True


@dataclass(kw_only=True)
class Process:
    """A child process of the test, with its command and log file."""

    name: str
    command: list[str]
    log: pathlib.Path
    child: subprocess.Popen | None = None
    started_s: float = 0.0  # monotonic time

    def start(self) -> None:
        """Start the command; its output is appended to the log file."""
        self.started_s = time.monotonic()
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def is_running(self) -> bool:
        """True if the process has been started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def send(self, *, number: int) -> None:
        """Send a signal by its number; no effect on a process that has ended."""
        if self.is_running:
            self.child.send_signal(number)

    @property
    def has_ended_by_hangup(self) -> bool:
        """True if SIGHUP ended the process."""
        return self.child is not None and self.child.poll() == -signal.SIGHUP

    def kill(self) -> None:
        """End the process by SIGKILL and reap it."""
        self.send(number=signal.SIGKILL)
        self.reap()

    def reap(self) -> None:
        """Wait up to 30 s for the process to end; raises `TimeoutExpired` after that."""
        if self.child is not None:
            self.child.wait(timeout=30)

    def has_ended_within(self, *, seconds: float) -> bool:
        """Wait up to `seconds` for the process to end; true if it has ended."""
        if self.child is None:
            return True
        try:
            self.child.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def cpu_us(self) -> int:
        """Returns the processor time that the process has used; 0 if it does not run."""
        if not self.is_running:
            return 0
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) * 1_000_000 // os.sysconf("SC_CLK_TCK")


@dataclass(kw_only=True)
class Processes:
    """All child processes of a run; their files are in one folder."""

    folder: pathlib.Path
    ports: PortPool
    all: dict[str, Process] = field(default_factory=dict)

    def add(
        self, *, name: str, module: str, settings: dict | None, arguments: list[str]
    ) -> Process:
        """Register a Python module as a process under a unique name, without starting it.

        `settings` are written to a file in the folder, which is passed to the command as `--env`.
        """
        command = [sys.executable, "-m", module, *arguments]
        if settings is not None:
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
            command += ["--env", str(path)]
        process = Process(name=name, command=command, log=self.folder / f"{name}.log")
        self.all[name] = process
        return process

    def stop_all(self) -> None:
        """End every process that still runs: by SIGTERM, and by SIGKILL after 10 s."""
        for process in self.all.values():
            process.send(number=signal.SIGCONT)
            process.send(number=signal.SIGTERM)
        for process in self.all.values():
            if process.child is None:
                continue
            try:
                process.child.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
