"""Tests recovery of the data folder after power loss, incomplete writes, damage and disk errors."""

from __future__ import annotations

import asyncio
import random
import unittest

from kelpstage.common.errors.storage import DiskError, LogDamagedError
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot, DiskStep
from kelpstage.core.store.store import Store
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World

IDENTITY = DiskIdentity(replica="r", cluster="c")


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index=index, term=term, kind=2, data=b"x" * 50)


class StoreTest(unittest.TestCase):
    def run_scenario(self, scenario, seed: int = 1) -> None:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self._with_disk(loop, scenario, seed))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def _with_disk(self, loop, scenario, seed: int) -> None:
        world = World(seed=seed, loop=loop)
        machine = world.add_machine(name="m", zone="d")
        self.disk_image = machine.disk_image
        self.process = SimProcess(world=world, name="p", machine=machine, instance=1)
        await scenario()

    async def new_store(self) -> Store:
        store = Store(ports=self.process.ports)
        if await store.read_identity() is None:
            self.assertIsNone(await store.write_identity(identity=IDENTITY))
        await store.recover(identity=IDENTITY)
        return store

    async def recover_again(self):
        store = Store(ports=self.process.ports)
        identity = await store.read_identity()
        return await store.recover(identity=identity)

    def test_synced_entries_survive_every_power_cut(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):

                async def scenario(seed: int = seed) -> None:
                    rand = random.Random(seed)
                    store = await self.new_store()
                    written = 0
                    for _ in range(rand.randrange(1, 12)):
                        count = rand.randrange(1, 4)
                        steps = [DiskStep(entries=[entry(written + 1 + n)]) for n in range(count)]
                        self.assertIsNone(await store.append(steps=steps))
                        written += count
                    unfinished = asyncio.ensure_future(
                        store.append(steps=[DiskStep(entries=[entry(written + 1)])])
                    )
                    await asyncio.sleep(rand.random() * 0.004)
                    unfinished.cancel()
                    await asyncio.sleep(0)
                    self.disk_image.lose_power()
                    found = await self.recover_again()
                    self.assertNotIsInstance(found, LogDamagedError)
                    self.assertIn(found.log.last_index, (written, written + 1))

                self.run_scenario(scenario, seed=seed)

    def test_damage_before_a_valid_record_is_reported(self) -> None:
        async def scenario() -> None:
            store = await self.new_store()
            for index in (1, 2, 3):
                await store.append(steps=[DiskStep(entries=[entry(index)])])
            file = self.disk_image.files["log/r-00000001.seg"]
            middle = len(file.data) // 2
            file.data = file.data[:middle] + b"\x00" + file.data[middle + 1 :]
            found = await self.recover_again()
            self.assertIsInstance(found, LogDamagedError)

        self.run_scenario(scenario)

    def test_damaged_identity_and_snapshot_are_reported(self) -> None:
        async def scenario() -> None:
            store = await self.new_store()
            await store.append(steps=[DiskStep(entries=[entry(1), entry(2)])])
            snapshot = DiskSnapshot(index=2, term=1, state=b"s", cluster="c")
            self.assertIsNone(
                await store.save_snapshot(snapshot=snapshot, tail=[], term=3, vote="v")
            )
            found = await self.recover_again()
            self.assertEqual((2, 3, "v"), (found.log.base_index, found.term, found.vote))
            name = next(p for p in self.disk_image.files if p.endswith(".snap"))
            self.disk_image.files[name].data = self.disk_image.files[name].data[:-1]
            self.assertIsInstance(await self.recover_again(), LogDamagedError)
            self.disk_image.files["identity"].data = b"junk"
            self.assertIsInstance(
                await Store(ports=self.process.ports).read_identity(), LogDamagedError
            )

        self.run_scenario(scenario)

    def test_files_of_another_format_are_not_reported_as_damage(self) -> None:
        async def scenario() -> None:
            store = await self.new_store()
            await store.append(steps=[DiskStep(entries=[entry(1)])])
            file = self.disk_image.files["log/r-00000001.seg"]
            file.data = b"KLOG\x00\x07" + file.data[6:]
            found = await self.recover_again()
            self.assertEqual(("format_mismatch", 7), (found.kind, found.theirs))

        self.run_scenario(scenario)

    def test_full_disk_is_a_typed_error_and_harms_nothing_written(self) -> None:
        async def scenario() -> None:
            store = await self.new_store()
            await store.append(steps=[DiskStep(entries=[entry(1)])])
            self.disk_image.is_full = True
            outcome = await store.append(steps=[DiskStep(entries=[entry(2)])])
            self.assertIsInstance(outcome, DiskError)
            self.assertEqual("ENOSPC", outcome.why)
            self.disk_image.is_full = False
            found = await self.recover_again()
            self.assertEqual(1, found.log.last_index)

        self.run_scenario(scenario)

    def test_interrupted_snapshot_leaves_a_recoverable_folder(self) -> None:
        for delay_ms in range(1, 14):
            with self.subTest(delay_ms=delay_ms):

                async def scenario(delay_ms: int = delay_ms) -> None:
                    store = await self.new_store()
                    await store.append(
                        steps=[
                            DiskStep(
                                entries=[entry(1), entry(2), entry(3)],
                                has_vote=True,
                                term=1,
                                vote="r",
                            )
                        ]
                    )
                    saving = asyncio.ensure_future(
                        store.save_snapshot(
                            snapshot=DiskSnapshot(index=2, term=1, state=b"s", cluster="c"),
                            tail=[entry(3)],
                            term=1,
                            vote="r",
                        )
                    )
                    await asyncio.sleep(delay_ms * 0.001)
                    saving.cancel()
                    await asyncio.sleep(0)
                    self.disk_image.lose_power()
                    found = await self.recover_again()
                    self.assertNotIsInstance(found, LogDamagedError)
                    self.assertEqual((3, 1, "r"), (found.log.last_index, found.term, found.vote))

                self.run_scenario(scenario, seed=delay_ms)
