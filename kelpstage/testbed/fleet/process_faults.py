"""Faults of processes in a soak: restart, kill, freeze and SIGHUP.

Processes are named `edge-NODE` and `core-NODE`. The functions do not wait until the processes
are ready again; their caller does.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter

from kelpstage.testbed.fleet.fleet import Fleet

TERM_GRACE_S = 8.0  # a process that still runs so long after SIGTERM is a violation
INTERPRETER_START_S = 1.0  # until a program's first import, on a busy machine
FREEZE_WHILE_STOPPING = "freeze while stopping"


class ProcessFaults:
    """Sends signals to the processes of a fleet; `violations` names those that do not stop."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []

    def send(self, processes: list[str], number: int) -> None:
        """Send a signal to those of the processes that run."""
        for name in processes:
            self._fleet.processes.all[name].send(number=number)

    def start(self, processes: list[str]) -> None:
        """Start processes that have ended."""
        for name in processes:
            kind, _, node = name.partition("-")
            if kind == "edge":
                self._fleet.note({"event": "ended", "edge": node})
                self._fleet.start_edge(name=node)
                self._fleet.note({"event": "started", "edge": node})
            else:
                self._fleet.note({"event": "core", "core": node, "is_up": False})
                self._fleet.start_core(name=node)

    async def restart(self, processes: list[str], rand: random.Random) -> None:
        """Stop processes as `stop` does and start them again after up to two seconds."""
        await self.stop(processes, rand)
        await asyncio.sleep(rand.random() * 2)
        self.start(processes)

    async def stop(self, processes: list[str], rand: random.Random) -> None:
        """Send SIGTERM, sometimes followed by other signals, and wait until all have ended.

        Processes that have not ended after `TERM_GRACE_S` are killed.
        """
        self.send(processes, signal.SIGTERM)
        if rand.random() < 0.5:
            await asyncio.sleep(rand.random() * 1.5)
            self.send(processes, rand.choice((signal.SIGTERM, signal.SIGHUP)))
        if rand.random() < 0.2:
            await self._freeze_for(processes, seconds=rand.random() * 2)
        await asyncio.gather(*(self._wait_for_end(name) for name in processes))
        self.kill_now(processes)

    async def _freeze_for(self, processes: list[str], *, seconds: float) -> None:
        """Freeze processes that are stopping; this is a fault in addition to the planned stop."""
        nodes = [name.partition("-")[2] for name in processes]
        number = self._fleet.fault(
            what=FREEZE_WHILE_STOPPING, excuses=["edge", "line"], nodes=nodes, after_us=0
        )
        self.send(processes, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(processes, signal.SIGCONT)
        self._fleet.fault_end(fault=number)
        self.counts[FREEZE_WHILE_STOPPING] += 1

    async def _wait_for_end(self, name: str) -> None:
        process = self._fleet.processes.all[name]
        if not await asyncio.to_thread(process.has_ended_within, seconds=TERM_GRACE_S):
            self.violations.append(f"{name} still runs {TERM_GRACE_S} s after SIGTERM")

    def kill_now(self, processes: list[str]) -> None:
        """Send SIGKILL to those that run and wait until all have ended."""
        self.send(processes, signal.SIGKILL)
        for name in processes:
            self._fleet.processes.all[name].kill()

    async def kill(self, processes: list[str], rand: random.Random) -> None:
        """Send SIGKILL and start the processes again after up to six seconds."""
        self.kill_now(processes)
        await asyncio.sleep(rand.choice((0.1, 1.0, 6.0)) * rand.random())
        self.start(processes)

    async def freeze(self, processes: list[str], rand: random.Random) -> None:
        """Freeze processes for up to seven seconds, sometimes with a pending SIGTERM that stops
        them when they resume."""
        self.send(processes, signal.SIGSTOP)
        await asyncio.sleep(rand.choice((0.5, 3.0, 7.0)) * rand.random())
        is_stopped = rand.random() < 0.2
        if is_stopped:
            self.send(processes, signal.SIGTERM)
        self.send(processes, signal.SIGCONT)
        if is_stopped:
            await self.restart(processes, rand)

    async def hang_up(self, processes: list[str], rand: random.Random) -> None:
        """Send SIGHUP one to three times."""
        for _ in range(rand.randrange(1, 4)):
            ages_s = {name: self._age_s(name) for name in processes}
            self.send(processes, signal.SIGHUP)
            await asyncio.sleep(rand.random() * 0.3)
            self._start_those_that_ended(ages_s)

    def _age_s(self, name: str) -> float:
        return time.monotonic() - self._fleet.processes.all[name].started_s

    def _start_those_that_ended(self, ages_s: dict[str, float]) -> None:
        """Start processes again that SIGHUP ended, as the platform does.

        The interpreter cannot ignore the signal in its first moments; a process that it ends
        later is a violation.
        """
        for name, age_s in ages_s.items():
            if not self._fleet.processes.all[name].has_ended_by_hangup:
                continue
            if age_s > INTERPRETER_START_S:
                self.violations.append(f"SIGHUP ended {name} {age_s:.1f} s after its start")
            self.counts["hang_up before the interpreter started"] += 1
            self.start([name])
