"""Members and edges that return after hundreds of changes: they reach the newest state in
bounded time, through one snapshot or state, and never lead or answer with an old one."""

from __future__ import annotations

import random
import unittest
import zlib
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.transport.chunks import (
    CHUNK_BYTES,
    MAX_PINNED_BYTES,
    MAX_PINS,
    MAX_TRANSFER_US,
    PIN_IDLE_US,
    ChunkSource,
)
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import Chunk, FetchSnapshot
from kelpstage.core import snapshots
from kelpstage.core.raft import elections
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import Command, PutConfiguration, put_command
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import PutDeltaMismatch
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.edge.events import Installed
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.simulation.world import SimStream
from tests.test_cores import SimulatedCores, run_scenario

WRITE_INTERVAL_US = 100_000
SLOW_DISK = 30
SECOND = 1_000_000


class ServingChunks(unittest.TestCase):
    """Which values a chunk source pins for transfers, for how long, and up to which size."""

    def source(self, *, size: int = 3 * CHUNK_BYTES) -> ChunkSource:
        source = ChunkSource()
        source.publish(mark=1, data=bytes(size), now_us=1)
        self.assertTrue(source.chunk(min_mark=1, pinned=0, offset=0, now_us=1).is_found)
        return source

    def test_value_in_transfer_stays_available_after_newer_ones(self) -> None:
        source = self.source()
        for mark in range(2, 12):
            source.publish(mark=mark, data=b"new", now_us=mark)
        chunk = source.chunk(min_mark=1, pinned=1, offset=CHUNK_BYTES, now_us=20)
        self.assertEqual((True, 1, 3 * CHUNK_BYTES), (chunk.is_found, chunk.mark, chunk.total))
        self.assertEqual(11, source.chunk(min_mark=1, pinned=0, offset=0, now_us=20).mark)

    def test_value_not_in_transfer_is_dropped(self) -> None:
        source = ChunkSource()
        source.publish(mark=1, data=b"old", now_us=1)
        source.publish(mark=2, data=b"new", now_us=2)
        self.assertFalse(source.chunk(min_mark=1, pinned=1, offset=0, now_us=3).is_found)

    def test_value_older_than_requested_is_not_served(self) -> None:
        self.assertFalse(self.source().chunk(min_mark=2, pinned=0, offset=0, now_us=2).is_found)

    def test_idle_transfer_expires(self) -> None:
        source = self.source()
        source.publish(mark=2, data=b"new", now_us=2)
        self.assertTrue(source.is_in_transfer(now_us=PIN_IDLE_US))
        self.assertFalse(source.is_in_transfer(now_us=PIN_IDLE_US + 2))
        late = source.chunk(min_mark=1, pinned=1, offset=CHUNK_BYTES, now_us=PIN_IDLE_US + 2)
        self.assertFalse(late.is_found)

    def test_endless_transfer_expires(self) -> None:
        source = self.source()
        source.publish(mark=2, data=b"new", now_us=2)
        asked = []
        for now_us in range(SECOND, MAX_TRANSFER_US + 3 * SECOND, SECOND):
            asked.append(source.chunk(min_mark=1, pinned=1, offset=1, now_us=now_us).is_found)
        self.assertTrue(asked[MAX_TRANSFER_US // SECOND - 1])
        self.assertFalse(asked[-1])

    def test_pins_are_bounded_and_the_oldest_stay(self) -> None:
        for size in (2 * CHUNK_BYTES, MAX_PINNED_BYTES // 2):
            source = ChunkSource()
            for mark in range(1, 20):
                source.publish(mark=mark, data=bytes(size), now_us=mark)
                source.chunk(min_mark=1, pinned=0, offset=0, now_us=mark)
            found = [
                mark
                for mark in range(1, 19)
                if source.chunk(min_mark=1, pinned=mark, offset=1, now_us=30).is_found
            ]
            most = min(MAX_PINS, MAX_PINNED_BYTES // size)
            self.assertEqual(list(range(1, most + 1)), found)
            self.assertEqual(18 - most, source.counts["pin_refused"])

    def test_offset_beyond_the_end_finds_nothing(self) -> None:
        source = self.source()
        self.assertFalse(source.chunk(min_mark=1, pinned=1, offset=2**60, now_us=2).is_found)


def edited(*, document: bytes, rand: random.Random) -> bytes:
    """The document with some bytes replaced, added and removed."""
    out = bytearray(document)
    for _ in range(rand.randrange(4)):
        start = rand.randrange(len(out) + 1)
        stop = min(len(out), start + rand.choice([0, 1, 7, 90, 700]))
        out[start:stop] = rand.randbytes(rand.choice([0, 1, 7, 90, 700]))
    return bytes(out)


class Deltas(unittest.TestCase):
    """Writes that are logged as deltas have the same result as full writes, on every replica."""

    def test_delta_of_any_edit_restores_the_target(self) -> None:
        rand = random.Random(1)
        for turn in range(400):
            text = bytes(rand.choice(b"abc") for _ in range(rand.choice([0, 5, 40, 3_000])))
            base = text * rand.choice([1, 1, 9])
            target = edited(document=base, rand=rand)
            delta = pack_delta(base=base, target=target)
            self.assertEqual(target, apply_delta(base=base, delta=delta), turn)

    def test_damaged_delta_gives_nothing_or_the_target(self) -> None:
        rand = random.Random(2)
        base = rand.randbytes(2_000)
        target = edited(document=base, rand=rand) + b"end"
        delta = pack_delta(base=base, target=target)
        for place in range(len(delta)):
            wrong = bytearray(delta)
            wrong[place] ^= 1 << rand.randrange(8)
            self.assertIn(apply_delta(base=base, delta=bytes(wrong)), (None, target), place)
            self.assertIsNone(apply_delta(base=base, delta=delta[:place]), place)

    def test_delta_that_expands_without_bound_is_rejected(self) -> None:
        packer = zlib.compressobj(wbits=-15)
        step = bytes([0, 0x80, 0x80, 0x40, 0])  # copy 1 MiB from 0, add nothing
        bomb = bytes(8) + packer.compress(step * 70) + packer.flush()
        self.assertIsNone(apply_delta(base=bytes(2**20), delta=bomb))

    def test_state_machines_agree_on_full_and_delta_writes(self) -> None:
        """One replica applies full writes and one applies deltas, with restarts from its state at
        random times; the writes include repeated ones and ones on other versions."""
        for seed in range(12):
            rand = random.Random(seed)
            target, small = Machine(cluster="c"), Machine(cluster="c")
            puts: list[PutConfiguration] = []
            saved = 0
            for serial in range(60):
                state = small.state
                put = PutConfiguration(
                    put_id=f"p{serial}",
                    expected=max(0, state.version - rand.choice([0, 0, 0, 1])),
                    document=edited(document=state.document or bytes(2_000), rand=rand),
                    version=rand.choice([0, state.version + 3, 1]),
                )
                if puts and rand.random() < 0.2:
                    put = rand.choice(puts)
                puts.append(put)
                command = put_command(put=put, state=state)
                saved += len(put.document) - len(bytes(command))
                self.assertEqual(
                    target.apply(data=bytes(Command(put=put))), small.apply(data=bytes(command))
                )
                if rand.random() < 0.2:
                    small = Machine(cluster="c", state=CoreState().parse(bytes(small.state)))
                self.assertEqual(bytes(target.state), bytes(small.state), (seed, serial))
            self.assertGreater(saved, 0)

    def test_delta_from_another_document_is_rejected_without_effect(self) -> None:
        """No leader proposes one, since a version has one document; a planted one is rejected."""
        ours = CoreState(cluster="c", version=4, epoch=4, document=bytes(2_000))
        theirs = CoreState(cluster="c", version=4, epoch=4, document=b"x" * 2_000)
        put = PutConfiguration(put_id="p", expected=4, document=b"x" * 2_000 + b"y")
        machine = Machine(cluster="c", state=ours)
        before = bytes(machine.state)
        outcome = machine.apply(data=bytes(put_command(put=put, state=theirs)))
        self.assertEqual(PutDeltaMismatch(), outcome)
        self.assertEqual(before, bytes(machine.state))
        command = put_command(put=put, state=ours)
        command.put_delta.digest = bytes(32)
        self.assertEqual(PutDeltaMismatch(), machine.apply(data=bytes(command)))
        self.assertEqual(before, bytes(machine.state))


def noise(*, size: int, seed: int) -> str:
    """Text that does not compress to much less than half."""
    return random.Random(seed).randbytes(size // 2).hex()


async def write_steadily(
    cores: SimulatedCores, *, until, size: int = 0, limit: int = 10_000
) -> int:
    """Write every 100 ms, or once the previous write is acknowledged; return the count."""
    count = 0
    while not until() and count < limit:
        due_us = cores.world.now_us() + WRITE_INTERVAL_US
        if size:
            cores.document = lambda note, n=count: (
                b'{"forward": {}, "source": "%s %s"}'
                % (note.encode(), noise(size=size, seed=n).encode())
            )
        await cores.put()
        count += 1
        await cores.sleep(max(0, due_us - cores.world.now_us()))
    return count


def is_caught_up(cores: SimulatedCores, name: str) -> bool:
    """True if this core has applied all entries that its leader has committed; one may lag."""
    leader, task = cores.leader(), cores.daemons[name].task
    if leader is None or task is None:
        return False
    return task.applied >= cores.daemons[leader].task.raft.commit_index - 1


class SnapshotTransfers(unittest.TestCase):
    """A snapshot reaches a member that is behind, whatever else happens."""

    def test_transfer_ends_during_writes_on_slow_disks(self) -> None:
        """Each write is large and shares nothing with the previous one, so that the log is
        truncated after every few writes."""
        spans = []

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            away = next(name for name in cores.names if name != cores.leader())
            cores.kill(away)
            await write_steadily(cores, until=lambda: False, size=600_000, limit=40)
            for name in cores.names:
                cores.world.machines[name].disk_image.slow = SLOW_DISK
            await cores.start(away)
            began_us = cores.world.now_us()
            await write_steadily(
                cores,
                until=lambda: is_caught_up(cores, away),
                size=600_000,
                limit=150,
            )
            self.assertTrue(is_caught_up(cores, away), "never caught up")
            spans.append(cores.world.now_us() - began_us)

        for seed in (1, 2):
            run_scenario(scenario, seed=seed, count=3, tolerance=1)
        self.assertLess(max(spans), 30 * SECOND, spans)

    def test_transfer_ends_although_newer_snapshots_follow(self) -> None:
        """A transfer between distant regions takes seconds; new snapshots are more frequent."""

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            away = next(name for name in cores.names if name != cores.leader())
            cores.kill(away)
            size = 2_500_000
            await write_steadily(cores, until=lambda: False, size=size, limit=6)
            cores.world.far_us = (100_000, 110_000)
            await cores.start(away)
            began_us = cores.world.now_us()
            await write_steadily(
                cores,
                until=lambda: (
                    is_caught_up(cores, away) or cores.world.now_us() - began_us > 40 * SECOND
                ),
                size=size,
            )
            self.assertTrue(is_caught_up(cores, away), "never caught up")
            self.assertLess(cores.world.now_us() - began_us, 30 * SECOND)

        run_scenario(scenario, seed=1, count=3, tolerance=1)

    def test_offered_snapshot_is_served_while_the_next_is_written(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await write_steadily(cores, until=lambda: False, limit=3)
            leader = cores.leader()
            task = cores.daemons[leader].task
            task.snapshot_now()
            await cores.wait_for(lambda: task.raft.log.base_index == task.applied)
            await write_steadily(cores, until=lambda: False, limit=3)
            cores.world.machines[leader].disk_image.is_stalled = True
            task.snapshot_now()
            await cores.sleep(500_000)
            offered = task.raft.log.base_index
            self.assertLess(offered, task.applied)
            chunk = task.snapshot_chunk(request=FetchSnapshot(cluster=task.cluster, index=offered))
            self.assertEqual((True, offered), (chunk.is_found, chunk.mark))
            cores.world.machines[leader].disk_image.is_stalled = False
            await cores.wait_for(lambda: task.raft.log.base_index > offered)
            self.assertEqual(task.raft.log.base_index, task.snapshots.mark)

        run_scenario(scenario, seed=1, count=3, tolerance=1)

    def test_interrupted_transfer_resumes_at_its_offset(self) -> None:
        """The two members are partitioned for a while during the transfer."""
        asked: list[tuple[int, int]] = []
        serve = ReplicaTask.snapshot_chunk

        def note(task: ReplicaTask, *, request: FetchSnapshot) -> Chunk:
            asked.append((request.pinned, request.offset))
            return serve(task, request=request)

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            leader = cores.leader()
            away = next(name for name in cores.names if name != leader)
            cores.kill(away)
            await write_steadily(cores, until=lambda: False, size=2_500_000, limit=4)
            cores.daemons[leader].task.snapshot_now()
            await cores.sleep(SECOND)
            cores.world.far_us = (50_000, 60_000)
            await cores.start(away)
            await cores.wait_for(lambda: len(asked) >= 4)
            cores.world.block_path(a=leader, b=away)
            await cores.sleep(3 * SECOND)
            cores.world.heal()
            await cores.wait_for(lambda: is_caught_up(cores, away))

        with mock.patch.object(ReplicaTask, "snapshot_chunk", note):
            run_scenario(scenario, seed=1, count=3, tolerance=1)
        self.assertEqual(1, sum(offset == 0 for _, offset in asked), asked)
        self.assertEqual(1, len({pinned for pinned, offset in asked if offset}), asked)


class UnresponsiveMember(unittest.TestCase):
    def test_bytes_sent_to_a_frozen_member_are_bounded(self) -> None:
        """A member is frozen for 20 s. A new leader that does not know the member's last index
        yet confirms its leadership every 20 ms and accepts writes of 20 KB meanwhile."""
        sent: list[int] = []
        write = SimStream.write

        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            leader = cores.leader()
            frozen = next(name for name in cores.names if name != leader)
            process = cores.processes[frozen]
            process.freeze()

            def note(stream: SimStream, *, data: bytes) -> None:
                if stream.peer.process is process:
                    sent.append(len(data))
                write(stream, data=data)

            noted = mock.patch.object(SimStream, "write", note)
            cores.kill(leader)
            await cores.start(leader)
            await cores.wait_for(lambda: cores.leader() is not None)

            async def confirm_often() -> None:
                while True:
                    await cores.sleep(20_000)
                    task = cores.daemons[cores.leader() or leader].task
                    if task is not None:
                        await task.confirm(wait_us=500_000)

            cores.outside.spawn(confirm_often())
            noted.start()
            began_us = cores.world.now_us()
            await write_steadily(
                cores, until=lambda: cores.world.now_us() - began_us > 20 * SECOND, size=20_000
            )
            noted.stop()
            process.thaw()
            await cores.wait_for(lambda: is_caught_up(cores, frozen), us=3 * SECOND)

        run_scenario(scenario, seed=1, count=3, tolerance=1)
        self.assertLess(sum(sent), 2_500_000, "bytes queued in connections to the frozen member")


class EdgeCatchUp(unittest.TestCase):
    def test_edge_that_missed_hundreds_of_changes_installs_one_state(self) -> None:
        """The edge is partitioned, not restarted, and so starts from an old state. One more state
        may already be in flight when the leader does not yet know that it is unreachable."""
        installed: list[int] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            away = next(name for name in fleet.edge_own if name not in fleet.core_address)
            edge = fleet.daemons[f"edge/{away}"]
            for other in fleet.world.machines:
                if other != away:
                    fleet.world.block_path(a=away, b=other)
            for _ in range(200):
                self.assertEqual(200, (await fleet.put_next())["status"])
            self.assertTrue(edge.not_ready_reason())  # it knows that it must not serve
            edge.journal.add_view(
                fold=lambda at_us, event: (
                    installed.append(event.version) if isinstance(event, Installed) else None
                )
            )
            fleet.world.heal()
            took_us = await fleet.wait_for(
                what="the edge to serve the newest",
                condition=lambda: (
                    edge.lease_holder.configuration.version == fleet.version
                    and not edge.not_ready_reason()
                ),
            )
            self.assertLess(took_us, 5 * SECOND)

        run_sim(seed=1, deployment=load(name="tiny"), scenario=scenario)
        self.assertEqual(201, installed[-1])
        self.assertLessEqual(len(installed), 2, installed)


MISSED_WRITES = (10, 100, 400)  # writes that a member misses, in successive absences
CATCH_UP_LIMIT_US = 8 * SECOND
LEADER_CHECK_INTERVAL_US = 20_000
READ_INTERVAL_US = 150_000


class ConsistencyMonitor:
    """Checks leaders and reads in the background; `check` raises what it has found."""

    def __init__(self, *, cores: SimulatedCores) -> None:
        self.cores = cores
        self.acknowledged_index = 0
        self.acknowledged_term = 0
        self.reads = 0
        self.violations: list[str] = []
        self._tasks = [
            cores.outside.spawn(self._check_leaders()),
            cores.outside.spawn(self._check_reads()),
        ]

    def record_acknowledged(self, *, by: str) -> None:
        """Record an acknowledged write and the leader's index and term at that time."""
        name = self.cores.leader()
        task = self.cores.daemons[name or by].task
        if task is not None and task.is_leader:
            self.acknowledged_index = max(self.acknowledged_index, task.applied)
            self.acknowledged_term = max(self.acknowledged_term, task.raft.term)

    def check(self) -> None:
        assert not self.violations, self.violations[:3]

    async def _check_leaders(self) -> None:
        """A leader of the newest term has every acknowledged entry in its log."""
        while True:
            await self.cores.sleep(LEADER_CHECK_INTERVAL_US)
            for name in self.cores.up():
                task = self.cores.daemons[name].task
                if task is None or not task.is_leader or task.raft.term < self.acknowledged_term:
                    continue
                if task.raft.log.last_index < self.acknowledged_index:
                    self.violations.append(
                        f"{name} leads term {task.raft.term} with a log to "
                        f"{task.raft.log.last_index}, acknowledged is {self.acknowledged_index}"
                    )

    async def _check_reads(self) -> None:
        """A read at any core returns at least the version acknowledged before it began."""
        while True:
            await self.cores.sleep(READ_INTERVAL_US)
            if not self.cores.up():
                continue
            name = self.cores.world.rand.choice(self.cores.up())
            least = self.cores.version
            reply = await self.cores.call(name, "GET", headers={"Kelp-Time-Left-Us": "500000"})
            if isinstance(reply, KelpstageError) or reply.status != 200:
                continue
            self.reads += 1
            version = int(reply.headers["etag"].strip('"'))
            if version < least:
                self.violations.append(f"{name} answered {version}, acknowledged was {least}")


async def write(cores: SimulatedCores, monitor: ConsistencyMonitor) -> None:
    """Write once until it is acknowledged; takes at least 100 ms."""
    due_us = cores.world.now_us() + WRITE_INTERVAL_US
    monitor.record_acknowledged(by=await cores.put())
    monitor.check()
    await cores.sleep(max(0, due_us - cores.world.now_us()))


async def rejoin(
    cores: SimulatedCores, monitor: ConsistencyMonitor, *, name: str, kills_leader: bool
) -> int:
    """Start a member that was stopped, during writes; return the virtual time to its catch-up.

    With `kills_leader` the leader is killed at the same time. The member is then needed for a
    majority, and must not win the election.
    """
    began_us = cores.world.now_us()
    lost = cores.leader() if kills_leader else None
    if lost is not None:
        cores.kill(lost, is_power=True)
    await cores.start(name)
    while not is_caught_up(cores, name):
        await write(cores, monitor)
        if cores.world.now_us() - began_us > CATCH_UP_LIMIT_US + 4 * SECOND:
            raise AssertionError(f"{name} is not caught up after {CATCH_UP_LIMIT_US} us")
    took_us = cores.world.now_us() - began_us
    if lost is not None:
        await cores.start(lost)
        await cores.wait_for(lambda: is_caught_up(cores, lost))
    return took_us


async def absences(cores: SimulatedCores, spans: list[int]) -> None:
    """510 writes on slow disks, with a member stopped for 10, 100 and 400 of them.

    Each tenth write restarts the member that returned last, at times by a power loss. At the
    end `2 * tolerance` disks are lost in turn, each once the previous loss is recovered.
    """
    voters = 2 * cores.tolerance + 1
    await cores.start(is_first=True)
    await cores.wait_for(lambda: len(cores.voters()) == voters)
    for name in cores.names:
        cores.world.machines[name].disk_image.slow = SLOW_DISK
    monitor = ConsistencyMonitor(cores=cores)
    returned = cores.names[0]
    for place, missed in enumerate(MISSED_WRITES):
        followers = [name for name in cores.names if name != cores.leader()]
        away = followers[place % len(followers)]
        cores.kill(away, is_power=place % 2 == 1)
        if returned == away:
            returned = next(name for name in followers if name != away)
        for count in range(1, missed + 1):
            await write(cores, monitor)
            if count % 10 == 0 and cores.tolerance > 1:
                cores.kill(returned, is_power=count % 20 == 0)
                await cores.start(returned)
        spans.append(await rejoin(cores, monitor, name=away, kills_leader=place > 0))
        returned = away
        for count in range(1, 31):
            await write(cores, monitor)
            if count % 10 == 0:
                cores.kill(returned, is_power=count % 20 == 0)
                spans.append(await rejoin(cores, monitor, name=returned, kills_leader=False))
        await cores.wait_for(lambda: len(cores.voters()) == voters)
    for lost in [cores.leader(), *cores.names][: 2 * cores.tolerance]:
        cores.kill(lost, is_disk=True)
        least = cores.version
        version, _ = await cores.read()
        assert version >= least, (version, least)
        cores.world.machines[lost].disk_image.slow = SLOW_DISK
        await cores.start(lost)
        await cores.wait_for(lambda: len(cores.voters()) == voters)
        await write(cores, monitor)
    monitor.check()
    assert monitor.reads > 100, monitor.reads


class LongAbsences(unittest.TestCase):
    """Hundreds of writes while a member is stopped; snapshots are frequent enough to be needed."""

    def run_absences(self, *, seed: int, count: int, tolerance: int) -> list[int]:
        spans: list[int] = []
        with mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 60):
            run_scenario(
                lambda cores: absences(cores, spans), seed=seed, count=count, tolerance=tolerance
            )
        return spans

    def test_three_cores_catch_up_in_bounded_time(self) -> None:
        spans = self.run_absences(seed=1, count=3, tolerance=1)
        self.assertLess(max(spans), CATCH_UP_LIMIT_US, spans)

    def test_five_cores_catch_up_despite_restarts(self) -> None:
        spans = self.run_absences(seed=2, count=5, tolerance=2)
        self.assertLess(max(spans), CATCH_UP_LIMIT_US, spans)

    def test_elected_member_with_an_old_log_is_detected(self) -> None:
        """Planted fault: votes are granted whatever the candidate's log holds."""
        with (
            mock.patch.object(elections, "_is_up_to_date", lambda state, request: True),
            self.assertRaisesRegex(AssertionError, "leads term|answered|version_mismatch"),
        ):
            for seed in range(6):
                self.run_absences(seed=seed, count=3, tolerance=1)

    def test_unavailable_snapshots_are_detected(self) -> None:
        """Planted fault: every request for a snapshot is answered that there is none."""
        nothing = Chunk(is_found=False)
        with (
            mock.patch.object(ReplicaTask, "snapshot_chunk", lambda self, request: nothing),
            self.assertRaisesRegex(AssertionError, "not caught up|never acknowledged"),
        ):
            self.run_absences(seed=1, count=3, tolerance=1)


if __name__ == "__main__":
    unittest.main()
