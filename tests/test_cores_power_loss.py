"""Tests simulated cores that all lose power at any change of any of their disks, twice."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.core.app import Core
from kelpstage.core.store.store import Store
from tests.test_cores import SimulatedCores, run_scenario

SECOND_OUTAGE_MAX_CHANGES = 60
SEGMENT_BYTES = 400  # small, so that each core has several segments
POWER_OFF_US = 300_000
MAX_READ_ATTEMPTS = 100


class Outage:
    """Cuts the power of all cores at a change of one of their disks."""

    def __init__(self, *, cores: SimulatedCores) -> None:
        self.cores = cores
        self.power_lost = asyncio.Event()
        self.changes = 0
        self._left = -1
        for name in cores.names:
            cores.world.machines[name].disk_image.before_change = self._step

    def arm(self, *, after: int) -> None:
        """Cut the power after this many further disk changes."""
        self.power_lost.clear()
        self._left = after

    def _step(self, change: str) -> None:
        self.changes += 1
        self._left -= 1
        if self._left != -1:
            return
        self.cores.kill(*self.cores.up(), is_power=True)
        self.power_lost.set()
        raise asyncio.CancelledError()


def is_founded(*, cores: SimulatedCores) -> bool:
    """True when any core is a member of a cluster."""
    return any(core.identity and core.identity.cluster for core in cores.daemons.values())


async def run_workload(*, cores: SimulatedCores) -> None:
    """Found the cluster, then put and take snapshots on every core, twice."""
    await cores.wait_for(lambda: len(cores.voters()) == 3)
    for _ in range(2):
        await put_and_snapshot(cores=cores)


async def put_and_snapshot(*, cores: SimulatedCores) -> None:
    """Put three times, take a snapshot on every core, put again."""
    for _ in range(3):
        await cores.put()
    for name in cores.up():
        task = cores.daemons[name].task
        if task is not None:
            task.snapshot_now()
    await cores.put()


async def run_until_outage(*, work: Any, outage: Outage) -> bool:
    """Run until the work completes or power is lost; true if power was lost."""
    working = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(outage.power_lost.wait())
    await asyncio.wait({working, waiting}, return_when=asyncio.FIRST_COMPLETED)
    is_power_lost = outage.power_lost.is_set()
    waiting.cancel()
    if is_power_lost:
        working.cancel()
        await asyncio.wait({working})
        return True
    working.result()
    return False


async def set_aside(self: Core, *, damage: Any) -> None:
    """Fail the test: a power loss must not leave a damaged replica."""
    raise AssertionError(f"replica discarded as damaged: {damage}")


class AllCoresLosePower(unittest.TestCase):
    def lose_power(self, *, seed: int, first: int, second: int) -> int:
        """Lose power after `first` changes, and again `second` changes after the restart.

        Returns the total number of changes.
        """
        changes = []

        async def scenario(cores: SimulatedCores) -> None:
            outage = Outage(cores=cores)
            outage.arm(after=first)
            await cores.start(is_first=True)
            await run_until_outage(work=run_workload(cores=cores), outage=outage)
            await self.restart_and_verify(cores=cores, outage=outage, second=second)
            changes.append(outage.changes)

        self.run_scenario(scenario, seed=seed)
        return changes[0]

    def lose_power_while_installing(self, *, seed: int, first: int, second: int) -> int:
        """Like `lose_power`, from the restart of a core that must install a snapshot."""
        changes = []

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await run_workload(cores=cores)
            lagging = next(name for name in cores.names if name != cores.leader())
            cores.kill(lagging)
            await put_and_snapshot(cores=cores)
            outage = Outage(cores=cores)
            outage.arm(after=first)
            await cores.start(lagging)
            await run_until_outage(work=self.catch_up(cores=cores, lagging=lagging), outage=outage)
            await self.restart_and_verify(cores=cores, outage=outage, second=second)
            changes.append(outage.changes)

        self.run_scenario(scenario, seed=seed)
        return changes[0]

    async def catch_up(self, *, cores: SimulatedCores, lagging: str) -> None:
        """Wait until this core has installed a snapshot and the newest version."""

        def is_there() -> bool:
            task = cores.daemons[lagging].task
            return task is not None and task.machine.state.version == cores.version

        await cores.wait_for(is_there)
        self.assertEqual(1, cores.daemons[lagging].journal.counts["SnapshotInstalled"])
        await cores.put()

    async def restart_and_verify(
        self, *, cores: SimulatedCores, outage: Outage, second: int
    ) -> None:
        """Restart all cores after each power loss and check that no acknowledged put is lost."""
        for after in (second, -1):
            if outage.power_lost.is_set():
                await cores.sleep(POWER_OFF_US)
                is_first = not is_founded(cores=cores)
                outage.arm(after=after)
                await cores.start(is_first=is_first)
                await run_until_outage(work=self.read_and_put(cores=cores), outage=outage)

    def run_scenario(
        self, scenario: Callable[[SimulatedCores], Awaitable[None]], *, seed: int
    ) -> None:
        """Run a scenario with small segments; discarding a replica is a failure."""
        sizes = {"segment_bytes": SEGMENT_BYTES}
        with (
            mock.patch.object(Core, "_discard_replica", set_aside),
            mock.patch.dict(Store.__init__.__kwdefaults__ or {}, sizes),
        ):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)

    async def read_and_put(self, *, cores: SimulatedCores) -> None:
        """The acknowledged put or one in flight is readable; a new one is accepted."""
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        version = await self.read_version(cores=cores)
        self.assertGreaterEqual(version, cores.version)
        cores.version = version
        await cores.put()
        self.assertEqual(cores.version, (await cores.read())[0])

    async def read_version(self, *, cores: SimulatedCores) -> int:
        """Returns the current version, 0 if there is none yet."""
        for turn in range(MAX_READ_ATTEMPTS):
            name = cores.up()[turn % len(cores.up())]
            reply = await cores.call(name, "GET", headers={"Kelp-Time-Left-Us": "900000"})
            if not isinstance(reply, KelpstageError) and reply.status == 404:
                return 0
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                return int(reply.headers["etag"].strip('"'))
            await cores.sleep(200_000)
        raise AssertionError(f"no read of the configuration succeeded: {reply}")

    def test_power_loss_after_any_disk_change(self) -> None:
        changes = self.lose_power(seed=1, first=-1, second=-1)
        self.assertGreater(changes, 100)
        for first in range(0, changes, 4):
            rand = random.Random(first)
            with self.subTest(first=first):
                self.lose_power(
                    seed=1, first=first, second=rand.randrange(SECOND_OUTAGE_MAX_CHANGES)
                )

    def test_power_loss_while_a_snapshot_is_installed(self) -> None:
        changes = self.lose_power_while_installing(seed=1, first=-1, second=-1)
        self.assertGreater(changes, 20)
        for first in range(0, changes, 2):
            rand = random.Random(first)
            with self.subTest(first=first):
                self.lose_power_while_installing(
                    seed=1, first=first, second=rand.randrange(SECOND_OUTAGE_MAX_CHANGES)
                )


if __name__ == "__main__":
    unittest.main()
