"""Simulated cores that all lose power at any change of any of their disks, twice."""

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
from tests.test_cores import Cores, play

SECOND_MOST = 60
SEGMENT_BYTES = 400  # so that each core has several
DARK_US = 300_000
READS_MOST = 100


class Outage:
    """Takes the power from all cores at a change of one of their disks."""

    def __init__(self, *, cores: Cores) -> None:
        self.cores = cores
        self.fell = asyncio.Event()
        self.made = 0
        self._left = -1
        for name in cores.names:
            cores.world.machines[name].platter.on_step = self._step

    def arm(self, *, after: int) -> None:
        """Let it come after so many changes from now on."""
        self.fell.clear()
        self._left = after

    def _step(self, change: str) -> None:
        self.made += 1
        self._left -= 1
        if self._left != -1:
            return
        self.cores.kill(*self.cores.up(), is_power=True)
        self.fell.set()
        raise asyncio.CancelledError()


def is_founded(*, cores: Cores) -> bool:
    """Has any core been in a cluster?"""
    return any(core.identity and core.identity.cluster for core in cores.daemons.values())


async def work_through(*, cores: Cores) -> None:
    """Founding, some puts, a snapshot on every core, another put, and again."""
    await cores.wait_for(lambda: len(cores.voters()) == 3)
    for _ in range(2):
        await put_and_keep(cores=cores)


async def put_and_keep(*, cores: Cores) -> None:
    """Some puts, a snapshot on every core, another put."""
    for _ in range(3):
        await cores.put()
    for name in cores.up():
        task = cores.daemons[name].task
        if task is not None:
            task.snapshot_now()
    await cores.put()


async def until_dark(*, work: Any, outage: Outage) -> bool:
    """Run until the work is over or the power is gone; is it gone?"""
    working = asyncio.ensure_future(work)
    falling = asyncio.ensure_future(outage.fell.wait())
    await asyncio.wait({working, falling}, return_when=asyncio.FIRST_COMPLETED)
    is_dark = outage.fell.is_set()
    falling.cancel()
    if is_dark:
        working.cancel()
        await asyncio.wait({working})
        return True
    working.result()
    return False


async def set_aside(self: Core, *, damage: Any) -> None:
    """No loss of power makes a replica damaged."""
    raise AssertionError(f"set aside: {damage}")


class AllLosePower(unittest.TestCase):
    def fall(self, *, seed: int, first: int, second: int) -> int:
        """Lose power after `first` changes, and after `second` of the next start; how many
        changes there were in all."""
        made = []

        async def scenario(cores: Cores) -> None:
            outage = Outage(cores=cores)
            outage.arm(after=first)
            await cores.start(is_first=True)
            await until_dark(work=work_through(cores=cores), outage=outage)
            await self.come_back(cores=cores, outage=outage, second=second)
            made.append(outage.made)

        self.run_story(scenario, seed=seed)
        return made[0]

    def fall_while_installing(self, *, seed: int, first: int, second: int) -> int:
        """The same from the moment on when a core comes back that is to install a snapshot."""
        made = []

        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await work_through(cores=cores)
            late = next(name for name in cores.names if name != cores.leader())
            cores.kill(late)
            await put_and_keep(cores=cores)
            outage = Outage(cores=cores)
            outage.arm(after=first)
            await cores.start(late)
            await until_dark(work=self.catch_up(cores=cores, late=late), outage=outage)
            await self.come_back(cores=cores, outage=outage, second=second)
            made.append(outage.made)

        self.run_story(scenario, seed=seed)
        return made[0]

    async def catch_up(self, *, cores: Cores, late: str) -> None:
        """Wait until this core has installed a snapshot and has all that was put."""

        def is_there() -> bool:
            task = cores.daemons[late].task
            return task is not None and task.machine.state.version == cores.version

        await cores.wait_for(is_there)
        self.assertEqual(1, cores.daemons[late].journal.counts["SnapshotInstalled"])
        await cores.put()

    async def come_back(self, *, cores: Cores, outage: Outage, second: int) -> None:
        """Start all again, as often as the power was lost, and see that nothing is gone."""
        for after in (second, -1):
            if outage.fell.is_set():
                await cores.sleep(DARK_US)
                is_first = not is_founded(cores=cores)
                outage.arm(after=after)
                await cores.start(is_first=is_first)
                await until_dark(work=self.read_and_put(cores=cores), outage=outage)

    def run_story(self, scenario: Callable[[Cores], Awaitable[None]], *, seed: int) -> None:
        """Play it with small segments; setting a replica aside is a failure."""
        sizes = {"segment_bytes": SEGMENT_BYTES}
        with (
            mock.patch.object(Core, "_set_aside", set_aside),
            mock.patch.dict(Store.__init__.__kwdefaults__ or {}, sizes),
        ):
            play(scenario, seed=seed, count=3, tolerance=1)

    async def read_and_put(self, *, cores: Cores) -> None:
        """What was acknowledged is there, or one that was on its way; a new one is taken."""
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        version = await self.read_version(cores=cores)
        self.assertGreaterEqual(version, cores.version)
        cores.version = version
        await cores.put()
        self.assertEqual(cores.version, (await cores.read())[0])

    async def read_version(self, *, cores: Cores) -> int:
        """The version in force, 0 if there is none yet."""
        for turn in range(READS_MOST):
            name = cores.up()[turn % len(cores.up())]
            reply = await cores.call(name, "GET", headers={"Kelp-Time-Left-Us": "900000"})
            if not isinstance(reply, KelpstageError) and reply.status == 404:
                return 0
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                return int(reply.headers["etag"].strip('"'))
            await cores.sleep(200_000)
        raise AssertionError(f"not read back: {reply}")

    def test_after_any_change(self) -> None:
        made = self.fall(seed=1, first=-1, second=-1)
        self.assertGreater(made, 100)
        for first in range(0, made, 4):
            rand = random.Random(first)
            with self.subTest(first=first):
                self.fall(seed=1, first=first, second=rand.randrange(SECOND_MOST))

    def test_while_a_snapshot_is_installed(self) -> None:
        made = self.fall_while_installing(seed=1, first=-1, second=-1)
        self.assertGreater(made, 20)
        for first in range(0, made, 2):
            rand = random.Random(first)
            with self.subTest(first=first):
                self.fall_while_installing(seed=1, first=first, second=rand.randrange(SECOND_MOST))


if __name__ == "__main__":
    unittest.main()
