"""Simulated cores without edges, with fixed seeds: founding, joining, voters, and the survival
of acknowledged writes when disks or power are lost right after the acknowledgement."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import unittest
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.core.app import Core
from kelpstage.core.web.operators import serve_operators
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World

CATCH_UP_US = 4_000_000


class SimulatedCores:
    """Simulated machines with disks, a core on each, and an operator outside the cluster."""

    serve = staticmethod(serve_operators)

    def __init__(self, *, world: World, count: int, tolerance: int, regions: int = 3) -> None:
        self.world = world
        self.tolerance = tolerance
        self.names: list[str] = []
        self.processes: dict[str, SimProcess] = {}
        self.daemons: dict[str, Core] = {}
        self.instances: dict[str, int] = {}
        self.serial = 0
        self.version = 0
        for place in range(count):
            self.add(name=f"c{place}", zone=f"d{place % regions}")
        machine = world.add_machine(name="outside", zone="outside")
        self.outside = SimProcess(world=world, name="outside", machine=machine, instance=1)

    def add(self, *, name: str, zone: str) -> None:
        machine = self.world.add_machine(name=name, zone=zone)
        self.names.append(name)
        for port in (7100, 8100):
            self.world.machine_by_address[self.address(name, port)] = machine

    def address(self, name: str, port: int = 7100) -> str:
        return f"10.0.0.{int(name[1:]) + 1}:{port}"

    async def start(
        self, *names: str, seeds: list[str] | None = None, is_first: bool = False
    ) -> None:
        for name in names or self.names:
            self.world.machines[name].is_on = True
            self.instances[name] = self.instances.get(name, 0) + 1
            process = SimProcess(
                world=self.world,
                name=f"core/{name}",
                machine=self.world.machines[name],
                instance=self.instances[name],
            )
            settings = {
                "domain": process.machine.zone,
                "own": self.address(name),
                "http": self.address(name, 8100),
                "seeds": [self.address(seed) for seed in seeds or self.names[:3]],
                "data": "data",
                "bounds": {"tolerance": self.tolerance, "is_first_start": is_first},
            }
            core = Core(ports=process.ports, settings=settings, serve=self.serve)
            assert not isinstance(await core.open(), KelpstageError)
            self.processes[name], self.daemons[name] = process, core

    def kill(self, *names: str, is_power: bool = False, is_disk: bool = False) -> None:
        for name in names:
            is_dark = is_power or is_disk
            self.processes[name].kill(is_power=is_dark)
            self.world.machines[name].is_on = not is_dark
            platter = self.world.machines[name].disk_image
            if is_disk:
                platter.replace_with_empty()
            elif is_power:
                platter.lose_power()

    def up(self) -> list[str]:
        return [n for n in self.names if n in self.processes and self.processes[n].is_alive]

    def leader(self) -> str | None:
        for name in self.up():
            task = self.daemons[name].task
            if task and task.is_leader:
                return name
        return None

    def voters(self) -> list[str]:
        """Addresses of the voters that the leader had contact with in the last 800 ms."""
        name = self.leader()
        rows = self.daemons[name].task.raft.replication_progress() if name else []
        # The current identity of each core.
        here = {d.identity.replica for d in self.daemons.values() if d.identity}
        return [
            row["address"]
            for row in rows
            if row["is_voter"] and row["replica"] in here and row["heard_us_ago"] < 800_000
        ]

    async def sleep(self, us: int) -> None:
        await asyncio.sleep(us / 1_000_000)

    async def wait_for(self, condition: Callable[[], bool], *, us: int = 20_000_000) -> int:
        began_us = self.world.now_us()
        while not condition():
            if self.world.now_us() - began_us > us:
                raise AssertionError(f"not within {us} us; leader {self.leader()}")
            await self.sleep(10_000)
        return self.world.now_us() - began_us

    async def call(self, name: str, method: str, **more: Any):
        return await self.outside.ports.net.fetch(
            call=HttpCall(
                method=method,
                url=f"http://{self.address(name, 8100)}/v1/configuration",
                wait_us=2_000_000,
                **more,
            )
        )

    def document(self, note: str) -> bytes:
        return json.dumps({"forward": {}, "source": note}).encode()

    async def put(self, *, tries: int = 30, pad: int = 0, is_retry: bool = False) -> str:
        """Write the next version, or retry the last one, at each core in turn as an operator
        would; return the core that acknowledged it."""
        self.serial += not is_retry
        body = self.document(f"put {self.serial} {'x' * pad}")
        version = self.version + 1 + self.serial % 3
        for turn in range(tries):
            target = self.up()[turn % len(self.up())]
            reply = await self.call(
                target,
                "PUT",
                body=body,
                headers={
                    "If-Match": str(self.version),
                    "Kelp-Version": str(version),
                    "Kelp-Put-Id": f"{self.serial}-{turn}",
                    "Kelp-Time-Left-Us": "900000",
                },
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                self.version = version
                return target
            assert isinstance(reply, KelpstageError) or reply.status == 503, reply
            await self.sleep(100_000)
        raise AssertionError(f"never acknowledged: {reply}")

    async def read(self, *, tries: int = 40) -> tuple[int, bytes]:
        for turn in range(tries):
            reply = await self.call(
                self.up()[turn % len(self.up())], "GET", headers={"Kelp-Time-Left-Us": "900000"}
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                return int(reply.headers["etag"].strip('"')), reply.body
            await self.sleep(200_000)
        raise AssertionError(f"not read back: {reply}")


def run_scenario(
    scenario: Callable[[Any], Awaitable[None]],
    *,
    seed: int,
    count: int,
    tolerance: int,
    make: type[SimulatedCores] = SimulatedCores,
    far_bytes_per_us: float = 0.0,
) -> None:
    """Run a scenario in a simulated world of its own, on cores that `make` builds.

    `far_bytes_per_us` limits the throughput of a connection between zones; 0 is unlimited.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(seed=seed, loop=loop)
    world.far_us = (8_000, 9_000)
    world.far_bytes_per_us = far_bytes_per_us

    async def run() -> None:
        cores = make(world=world, count=count, tolerance=tolerance)
        try:
            await scenario(cores)
        finally:
            for process in [*cores.processes.values(), cores.outside]:
                process.kill()
            await asyncio.sleep(0)

    try:
        loop.run_until_complete(run())
        assert not world.failed_tasks, world.failed_tasks
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


class ClusterFounding(unittest.TestCase):
    def test_first_leader_is_elected_in_bounded_time(self) -> None:
        spans = []

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            spans.append(await cores.wait_for(lambda: cores.leader() is not None))

        for seed in range(10):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)
        self.assertLess(max(spans), 1_500_000, spans)

    def test_six_cores_with_three_seeds_reach_five_voters_in_bounded_time(self) -> None:
        spans = []

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            spans.append(await cores.wait_for(lambda: len(cores.voters()) == 5))
            rows = cores.daemons[cores.leader()].task.raft.replication_progress()
            await cores.wait_for(
                lambda: len(cores.daemons[cores.leader()].task.raft.members.current) == 6
            )
            self.assertLessEqual(len(rows), 6)
            await cores.put()

        for seed in range(5):
            run_scenario(scenario, seed=seed, count=6, tolerance=2)
        self.assertLess(max(spans), 4_000_000, spans)

    def test_founding_with_one_seed_and_with_nine_seeds(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True, seeds=cores.names[:9])
            await cores.wait_for(lambda: len(cores.voters()) == len(cores.names))
            await cores.put()

        run_scenario(scenario, seed=1, count=1, tolerance=0)
        run_scenario(scenario, seed=1, count=9, tolerance=4)

    def test_empty_cores_only_join_at_a_later_start(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=False)
            await cores.sleep(20_000_000)
            for core in cores.daemons.values():
                self.assertIsNone(core.task)
                self.assertIn("0 of 3 seeds may found", core.waits_for)

        run_scenario(scenario, seed=1, count=3, tolerance=1)

    def test_seed_restarted_before_the_founding_does_not_block_it(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start("c0", "c1", is_first=True)
            await cores.sleep(500_000)
            for name in ("c0", "c1"):
                self.assertIsNone(cores.daemons[name].task)
            cores.kill("c0")
            await cores.start("c0", is_first=False)
            await cores.start("c2", is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)

        for seed in range(6):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)

    def test_seeds_that_lost_their_disks_found_no_new_cluster(self) -> None:
        """Empty seeds must join the existing cluster, which runs on the other machines."""

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 5)
            await cores.put()
            cluster = cores.daemons["c0"].identity.cluster
            cores.kill("c0", "c1", is_disk=True)
            cores.kill("c2", "c3", "c4", "c5")
            await cores.start("c0", "c1", seeds=["c0", "c1"])
            await cores.sleep(5_000_000)
            for name in ("c0", "c1"):
                self.assertIsNone(cores.daemons[name].task)
            await cores.start("c2", "c3", "c4", "c5", seeds=["c0", "c1", "c2"])
            cores.daemons["c0"].reload_settings(
                settings={"seeds": [cores.address(n) for n in ("c3", "c4", "c5")]}
            )
            cores.daemons["c1"].reload_settings(settings={"seeds": [cores.address("c5")]})
            await cores.wait_for(lambda: len(cores.voters()) == 5)
            await cores.wait_for(
                lambda: all(d.identity.cluster == cluster for d in cores.daemons.values())
            )
            self.assertEqual(cores.version, (await cores.read())[0])

        run_scenario(scenario, seed=1, count=6, tolerance=2)


class DiskAndPowerLosses(unittest.TestCase):
    """Acknowledged writes survive as many losses as the settings say the cluster tolerates."""

    def lose_disks_after_write(
        self, *, lost: tuple[str, ...], seed: int, count: int, is_power: bool, pad: int = 0
    ) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            tolerance = cores.tolerance
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 2 * tolerance + 1)
            await cores.put()
            await cores.put(pad=pad)
            others = [name for name in cores.names if name not in lost]
            cores.kill(*lost, is_disk=True)
            if is_power:
                cores.kill(*others, is_power=True)
                await cores.sleep(300_000)
            seeds = [*lost, *reversed(others)][:3]  # not the seeds of the first start
            await cores.start(*lost, *(others if is_power else ()), seeds=seeds)
            self.assertEqual(cores.version, (await cores.read())[0], (lost, seed))
            await cores.wait_for(
                lambda: len(cores.voters()) == 2 * tolerance + 1, us=CATCH_UP_US * 2
            )
            await cores.put()
            self.assertEqual(cores.version, (await cores.read())[0], (lost, seed))

        run_scenario(scenario, seed=seed, count=count, tolerance=(count - 1) // 2)

    def test_loss_of_each_disk_of_three_cores(self) -> None:
        for seed, name in enumerate(("c0", "c1", "c2")):
            for is_power in (False, True):
                with self.subTest(lost=name, is_power=is_power):
                    self.lose_disks_after_write(lost=(name,), seed=seed, count=3, is_power=is_power)

    def test_loss_of_each_pair_of_disks_of_six_cores(self) -> None:
        names = [f"c{place}" for place in range(6)]
        for seed, pair in enumerate(itertools.combinations(names, 2)):
            for is_power in (False, True):
                with self.subTest(lost=pair, is_power=is_power):
                    self.lose_disks_after_write(lost=pair, seed=seed, count=6, is_power=is_power)

    def test_large_write_survives_the_loss_of_two_disks(self) -> None:
        for seed in range(3):
            self.lose_disks_after_write(
                lost=("c0", "c3"), seed=seed, count=6, is_power=True, pad=400_000
            )

    def test_disk_losses_one_after_the_other(self) -> None:
        """Each disk is lost as soon as the previous loss counts as recovered."""

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            for turn in range(7):
                holder = await cores.put()
                lost = holder if turn % 2 else cores.names[turn % 3]
                cores.kill(lost, is_disk=True)
                await cores.sleep(400_000)
                await cores.start(lost)
                self.assertEqual(cores.version, (await cores.read())[0])
                await cores.sleep(CATCH_UP_US)
                self.assertEqual(3, len(cores.voters()), f"turn {turn}")

        for seed in range(4):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)

    def test_every_core_is_replaced_in_turn_at_another_address(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            for turn in range(4):
                await cores.put()
                gone = cores.names.pop(0)
                cores.kill(gone, is_disk=True)
                cores.world.machines[gone].is_on = False
                fresh = f"c{turn + 3}"
                cores.add(name=fresh, zone=f"d{turn % 3}")
                await cores.sleep(800_000)
                # The seed list is outdated: it still holds the removed machine.
                await cores.start(fresh, seeds=[gone, *cores.names[:2]])
                self.assertEqual(cores.version, (await cores.read())[0])
                await cores.sleep(CATCH_UP_US)
                self.assertEqual({cores.address(name) for name in cores.names}, set(cores.voters()))

        for seed in range(4):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)

    def test_core_moves_to_another_address_with_its_disk(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            for turn in range(3):
                await cores.put()
                moved, fresh = cores.names.pop(0), f"c{turn + 3}"
                replica = cores.daemons[moved].identity.replica
                cores.kill(moved)
                cores.world.machines[moved].is_on = False
                cores.add(name=fresh, zone=f"d{turn}")
                cores.world.machines[fresh].disk_image = cores.world.machines[moved].disk_image
                await cores.start(fresh, seeds=cores.names[:2])
                await cores.wait_for(lambda fresh=fresh: cores.address(fresh) in cores.voters())
                self.assertEqual(replica, cores.daemons[fresh].identity.replica)
                self.assertEqual(cores.version, (await cores.read())[0])
                await cores.wait_for(lambda: len(cores.voters()) == 3)

        for seed in range(3):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)

    def test_all_cores_killed_or_powered_off_at_once(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 2 * cores.tolerance + 1)
            for turn in range(6):
                await cores.put()
                cores.kill(*cores.names, is_power=bool(turn % 2))
                await cores.sleep(500_000)
                swapped = cores.names[turn % len(cores.names) :] + cores.names
                await cores.start(seeds=swapped[:3])
                self.assertEqual(cores.version, (await cores.read())[0])

        for seed in range(3):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)
            run_scenario(scenario, seed=seed, count=6, tolerance=2)

    def test_fewer_cores_than_the_tolerance_needs(self) -> None:
        """Two cores store a write on both disks; three are too few to tolerate two losses."""

        async def two(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.put(tries=60)
            self.assertGreater(cores.world.now_us(), 5_000_000, "it waits for a third core first")
            cores.kill("c0", is_disk=True)
            cores.kill("c1")
            held = cores.world.machines["c1"].disk_image.files
            self.assertTrue(any(b"put 1" in file.data for file in held.values()))

        async def three(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            with self.assertRaises(AssertionError):
                await cores.put(tries=40)

        run_scenario(two, seed=1, count=2, tolerance=1)
        run_scenario(three, seed=1, count=3, tolerance=2)

    def test_no_write_is_acknowledged_with_too_few_voters(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start("c0", "c1", "c2", is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            with self.assertRaises(AssertionError):
                await cores.put(tries=15)
            reply = await cores.call("c0", "GET")
            self.assertEqual(404, reply.status, "no configuration is in force")
            await cores.start("c3", "c4", "c5", is_first=True)
            await cores.put(is_retry=True)
            self.assertEqual(5, len(cores.voters()))

        run_scenario(scenario, seed=1, count=6, tolerance=2)


class RandomFaults(unittest.TestCase):
    """Random faults by seed while two operators write: no acknowledged write is lost, at most
    one of two writes on the same base version succeeds, a rejected write never takes effect,
    and reads never go back to an older version."""

    SEEDS = {3: range(100, 108), 5: range(200, 203), 6: range(300, 308)}

    def test_acknowledged_writes_survive_random_faults(self) -> None:
        for count, seeds in self.SEEDS.items():
            for seed in seeds:
                with self.subTest(count=count, seed=seed):
                    play_random_faults(seed=seed, count=count)


class Register:
    """The operators' view of the configuration; asserts that each reply is consistent with it."""

    def __init__(self, cores: SimulatedCores) -> None:
        self.cores = cores
        self.acknowledged: dict[int, tuple[int, bytes]] = {}  # version: base version, document
        self.sent: dict[int, list[bytes]] = {}
        self.refused: set[bytes] = set()
        self.is_open = True

    async def operate(self, rand: random.Random, who: str) -> None:
        cores, serial = self.cores, 0
        while self.is_open:
            serial += 1
            base, _ = await self.read(rand)
            version = base + rand.randrange(1, 4)
            body = cores.document(f"{who} {serial} on {base} {'x' * rand.choice((0, 0, 90_000))}")
            self.sent.setdefault(version, []).append(body)
            await self.put(rand, base=base, version=version, body=body, put_id=f"{who}-{serial}")
            await cores.sleep(rand.randrange(50_000, 900_000))

    async def put(
        self, rand: random.Random, *, base: int, version: int, body: bytes, put_id: str
    ) -> None:
        cores, turn = self.cores, 0
        while self.is_open:
            turn += 1
            reply = await cores.call(
                rand.choice(cores.names),
                "PUT",
                body=body,
                headers={
                    "If-Match": str(base),
                    "Kelp-Version": str(version),
                    "Kelp-Put-Id": f"{put_id}-{turn}",
                    "Kelp-Time-Left-Us": "900000",
                },
            )
            if isinstance(reply, KelpstageError) or reply.status == 503:
                await cores.sleep(rand.randrange(20_000, 400_000))
                continue
            if reply.status == 200:
                assert json.loads(reply.body)["version"] == version, reply
                known = self.acknowledged.setdefault(version, (base, body))
                assert known == (base, body), f"{version} acknowledged twice"
                bases = [b for b, _ in self.acknowledged.values()]
                assert len(set(bases)) == len(bases), f"two writes on base {base} succeeded"
                return
            assert reply.status in (409, 412), reply
            self.refused.add(body)  # a rejected write must never take effect later
            return

    async def read(self, rand: random.Random) -> tuple[int, bytes]:
        cores = self.cores
        for _ in range(300):
            newest = max(self.acknowledged, default=0)
            reply = await cores.call(
                rand.choice(cores.names), "GET", headers={"Kelp-Time-Left-Us": "900000"}
            )
            if isinstance(reply, KelpstageError) or reply.status == 503:
                await cores.sleep(100_000)
                continue
            version = 0 if reply.status == 404 else int(reply.headers["etag"].strip('"'))
            assert version >= newest, f"{newest} was acknowledged, but {version} was read"
            assert version == 0 or reply.body in self.sent[version], (
                f"{version}: body was never sent"
            )
            assert reply.body not in self.refused, f"{version} was rejected"
            if version in self.acknowledged:
                assert self.acknowledged[version][1] == reply.body, (
                    f"{version}: body was not acknowledged"
                )
            return version, reply.body
        raise AssertionError("no core answered a read")


async def inject_fault(cores: SimulatedCores, rand: random.Random) -> None:
    """Inject one fault within the tolerance, then end it."""
    lost = rand.sample(cores.up(), rand.randrange(1, cores.tolerance + 1))
    kind = rand.choice(("kill", "power", "disk", "freeze", "cut", "all", "all power", "stall"))
    span_us = rand.randrange(200_000, 4_000_000)
    seeds = rand.sample(cores.names, 3) if len(cores.names) >= 3 else cores.names
    if kind in ("kill", "power", "disk"):
        cores.kill(*lost, is_power=kind == "power", is_disk=kind == "disk")
        await cores.sleep(span_us)
        await cores.start(*lost, seeds=seeds)
    elif kind == "freeze":
        for name in lost:
            cores.processes[name].freeze()
        await cores.sleep(span_us)
        for name in lost:
            cores.processes[name].thaw()
    elif kind == "cut":
        side = rand.sample(cores.names, rand.randrange(1, len(cores.names)))
        for a, b in itertools.product(side, set(cores.names) - set(side)):
            cores.world.block_path(a=a, b=b, is_one_way=rand.random() < 0.2)
        await cores.sleep(span_us)
        cores.world.heal()
    elif kind == "stall":
        for name in lost:
            cores.world.machines[name].disk_image.is_stalled = True
        await cores.sleep(span_us)
        for name in lost:
            cores.world.machines[name].disk_image.is_stalled = False
    else:
        cores.kill(*cores.names, is_power=kind == "all power")
        await cores.sleep(300_000)
        await cores.start(seeds=seeds)


def play_random_faults(*, seed: int, count: int) -> None:
    """Eight faults, each after an acknowledgement; then lost disks and power, a read, a write."""

    async def scenario(cores: SimulatedCores) -> None:
        rand = random.Random(f"{seed}/day")
        for name in cores.names:
            cores.world.machines[name].disk_image.slow = rand.choice((1, 1, 10, 30))
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 2 * cores.tolerance + 1)
        register = Register(cores)
        work = [
            cores.outside.spawn(register.operate(random.Random(f"{seed}/{who}"), who))
            for who in ("a", "b")
        ]
        for _ in range(8):
            before = len(register.acknowledged)
            await cores.wait_for(
                lambda before=before: (
                    len(register.acknowledged) > before or any(w.done() for w in work)
                ),
                us=30_000_000,
            )
            await inject_fault(cores, rand)
            await cores.wait_for(  # the fault counts as recovered
                lambda: len(cores.voters()) >= 2 * cores.tolerance + 1, us=10_000_000
            )
        register.is_open = False
        for one in work:
            await one
        lost = rand.sample(cores.names, cores.tolerance)
        cores.kill(*lost, is_disk=True)
        cores.kill(*cores.up(), is_power=True)
        await cores.start()
        cores.version, _ = await register.read(rand)
        await cores.put()
        assert len(register.acknowledged) >= 8, "fewer than 8 writes were acknowledged"

    run_scenario(scenario, seed=seed, count=count, tolerance=(count - 1) // 2)


if __name__ == "__main__":
    unittest.main()
