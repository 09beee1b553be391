"""Tests that a core's disk survives a power loss before every single change of the disk.

A sequence of operations runs on a simulated disk and is interrupted before each change. Each
unsynced name and each unsynced write is then kept or lost independently. Recovery must find
the state that was reported as synced, or the state that the pending operation would have left.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import DiskError, FormatMismatchError, LogDamagedError
from kelpstage.common.log.checksummed import RECORD_MARKER
from kelpstage.common.ports.live import LiveDisk
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.raft.types import Persist
from kelpstage.core.store.layout import mark_path
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot, DiskStep
from kelpstage.core.store.store import Store
from kelpstage.core.store.task import DiskTask, SnapshotWriteRequest
from kelpstage.testbed.simulation.disk import DiskImage, SimFile
from tests.power_loss import Machine, copy_disk_image, finish, power_loss_outcomes

REPLICA, CLUSTER = "r1", "c1"
EMPTY = DiskIdentity(replica=REPLICA)
MEMBER = DiskIdentity(replica=REPLICA, cluster=CLUSTER)
OTHER = DiskIdentity(replica="other", cluster="c2")
SEGMENT_BYTES = 300
OUTCOMES = 16
FAILURES_UNTIL_SPACE = 3
SECOND_OUTCOMES = 1


@dataclass(frozen=True, kw_only=True)
class DurableState:
    """A replica's state on disk; `terms` holds the terms of the entries after `base`."""

    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    terms: tuple[int, ...] = ()

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.base + len(self.terms)

    def entries(self, *, start: int) -> list[LogEntry]:
        """Returns the entries from index `start` on."""
        return [
            entry(index=self.base + 1 + place, term=term)
            for place, term in enumerate(self.terms)
            if self.base + 1 + place >= start
        ]


def entry(*, index: int, term: int) -> LogEntry:
    """The entry that every test writes at this index."""
    return LogEntry(index=index, term=term, kind=2, data=f"{index}/{term} ".encode() * 8)


def snapshot_of(*, index: int, term: int, cluster: str = CLUSTER) -> DiskSnapshot:
    """The snapshot that every test writes at this index."""
    state = f"state {index}/{term}".encode() * 4
    return DiskSnapshot(index=index, term=term, state=state, cluster=cluster)


@dataclass(frozen=True, kw_only=True)
class Operation:
    """A write operation: the resulting state, and the call that performs it."""

    name: str
    after: Callable[[DurableState], DurableState]
    write: Callable[[Store, DurableState], object]


def put(*, count: int, term: int, cut: int = 0) -> Operation:
    """Append entries in one record, after truncating the last `cut` entries."""

    def after(state: DurableState) -> DurableState:
        kept = state.terms[: len(state.terms) - cut]
        return replace(state, terms=kept + (term,) * count)

    def write(store: Store, state: DurableState) -> object:
        first = state.last - cut + 1
        entries = [entry(index=first + n, term=term) for n in range(count)]
        step = DiskStep(cut_from=first if cut else 0, entries=entries)
        return store.append(steps=[step])

    return Operation(name=f"put {count} in term {term}", after=after, write=write)


def vote(*, term: int, name: str) -> Operation:
    """Enter a term and vote in it."""
    return Operation(
        name=f"vote in {term}",
        after=lambda state: replace(state, term=term, vote=name),
        write=lambda store, state: store.append(
            steps=[DiskStep(has_vote=True, term=term, vote=name)]
        ),
    )


def snapshot_taken(*, behind: int) -> Operation:
    """Save a snapshot of all but the last `behind` entries, which stay in the log."""

    def after(state: DurableState) -> DurableState:
        index = state.last - behind
        place = index - state.base
        return replace(
            state, base=index, base_term=state.terms[place - 1], terms=state.terms[place:]
        )

    def write(store: Store, state: DurableState) -> object:
        ended = after(state)
        return store.save_snapshot(
            snapshot=snapshot_of(index=ended.base, term=ended.base_term),
            tail=ended.entries(start=ended.base + 1),
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"snapshot before the last {behind}", after=after, write=write)


def snapshot_installed(*, beyond: int, term: int) -> Operation:
    """Save a leader's snapshot from `beyond` the end of the log; the log restarts after it."""

    def after(state: DurableState) -> DurableState:
        return replace(state, base=state.last + beyond, base_term=term, terms=())

    def write(store: Store, state: DurableState) -> object:
        return store.save_snapshot(
            snapshot=snapshot_of(index=state.last + beyond, term=term),
            tail=[],
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"installed {beyond} beyond", after=after, write=write)


def snapshot_conflicting(*, behind: int, term: int) -> Operation:
    """Save a leader's snapshot that conflicts with the log's terms; the log is discarded."""

    def after(state: DurableState) -> DurableState:
        return replace(state, base=state.last - behind, base_term=term, terms=())

    def write(store: Store, state: DurableState) -> object:
        return store.save_snapshot(
            snapshot=snapshot_of(index=state.last - behind, term=term),
            tail=[],
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"conflict {behind} before the end", after=after, write=write)


def batch(*, term: int, count: int) -> Operation:
    """Write a term, entries and a vote in one record, as group commit does."""

    def after(state: DurableState) -> DurableState:
        return replace(state, term=term, vote="r3", terms=state.terms + (term,) * count)

    def write(store: Store, state: DurableState) -> object:
        steps = [DiskStep(has_vote=True, term=term)]
        for place in range(count):
            added = entry(index=state.last + 1 + place, term=term)
            steps.append(DiskStep(entries=[added]))
        return store.append(steps=[*steps, DiskStep(has_vote=True, term=term, vote="r3")])

    return Operation(name=f"batch in term {term}", after=after, write=write)


OPERATIONS = (
    vote(term=1, name="r1"),
    put(count=2, term=1),
    put(count=3, term=1),
    vote(term=2, name="r2"),
    put(count=2, term=2, cut=1),
    snapshot_taken(behind=2),
    put(count=1, term=2),
    vote(term=3, name=""),
    snapshot_installed(beyond=5, term=3),
    put(count=3, term=3),
    put(count=3, term=3),
    put(count=3, term=3),
    snapshot_taken(behind=4),
    snapshot_taken(behind=0),
    batch(term=4, count=3),
    snapshot_conflicting(behind=2, term=5),
    put(count=1, term=5),
)


class ReplicaWriter:
    """A process of one replica: writes in order and tracks which state was acknowledged."""

    def __init__(self, *, machine: Machine, state: DurableState | None = None) -> None:
        self.machine = machine
        self.store = Store(ports=machine.ports, segment_bytes=SEGMENT_BYTES)
        self.acknowledged = self.pending = state or DurableState()
        self.failures: list[KelpstageError] = []

    async def open(self, *, identity: DiskIdentity = MEMBER) -> DurableState | KelpstageError:
        """Recover from the disk as a core does at startup."""
        found = await self.store.read_identity()
        if found != identity:
            return found if isinstance(found, KelpstageError) else KelpstageError()
        recovered = await self.store.recover(identity=identity)
        if isinstance(recovered, KelpstageError):
            return recovered
        log = recovered.log
        state = DurableState(
            term=recovered.term,
            vote=recovered.vote,
            base=log.base_index,
            base_term=log.base_term,
            terms=tuple(entry.term for entry in log.entries),
        )
        assert log.entries == state.entries(start=0), (
            "recovered entries differ from the written ones"
        )
        if recovered.snapshot is not None:
            assert recovered.snapshot == snapshot_of(
                index=log.base_index, term=log.base_term, cluster=identity.cluster
            )
        return state

    async def found(self) -> None:
        """Turn an empty folder into a member with an empty log."""
        assert await self.store.read_identity() is None
        assert await self.store.write_identity(identity=EMPTY) is None
        assert await self.store.initialize_member(identity=MEMBER) is None
        assert await self.open() == DurableState()

    async def play(self, *, operations: tuple[Operation, ...] = OPERATIONS) -> None:
        """Run all operations; after a failure the replica recovers and retries."""
        for operation in operations:
            self.pending = operation.after(self.acknowledged)
            while (error := await operation.write(self.store, self.acknowledged)) is not None:
                self._note(failure=error)
                while isinstance(state := await self.open(), DiskError):
                    self._note(failure=state)
                assert state in (self.acknowledged, self.pending), (operation.name, state)
                if state == self.pending:
                    break
            self.acknowledged = self.pending
            await self.store.mark_synced()

    def _note(self, *, failure: KelpstageError) -> None:
        """Count a failure; a sync fails only once, a full disk gets space after some failures."""
        self.failures.append(failure)
        self.machine.disk_image.is_sync_failing = False
        if len(self.failures) % FAILURES_UNTIL_SPACE == 0:
            self.machine.disk_image.is_full = False

    async def become_member(
        self, *, empty: DiskIdentity, member: DiskIdentity, snapshot: DiskSnapshot | None = None
    ) -> DurableState | KelpstageError:
        """Become a member as a core does at startup, also after an interrupted attempt."""
        identity = await self.store.read_identity()
        if identity is None:
            assert await self.store.write_identity(identity=empty) is None
        if identity != member:
            error = await self.store.initialize_member(identity=member, snapshot=snapshot, term=1)
            assert error is None, error
        return await self.open(identity=member)


def new_member() -> ReplicaWriter:
    """Returns a member with an empty log."""
    writer = ReplicaWriter(machine=Machine())
    finish(writer.found())
    return writer


def after_power_loss(
    *, writer: ReplicaWriter, choose: Callable[[int], int], seed: int = 1
) -> ReplicaWriter:
    """Returns a copy of the machine after a power loss."""
    machine = Machine()
    platter = copy_disk_image(disk_image=writer.machine.disk_image, seed=seed)
    platter.lose_power(choose=choose)
    machine.attach(disk_image=platter)
    again = ReplicaWriter(machine=machine)
    again.acknowledged, again.pending = writer.acknowledged, writer.pending
    return again


class PowerLoss(unittest.TestCase):
    def assert_acknowledged_kept(self, writer: ReplicaWriter, *, where: str) -> DurableState:
        """Assert that recovery finds the acknowledged state or that of the pending operation."""
        state = finish(writer.open())
        self.assertIn(state, (writer.acknowledged, writer.pending), where)
        return state

    def assert_survives_power_loss(
        self, writer: ReplicaWriter, *, seed: int, outcomes: int = OUTCOMES
    ) -> int:
        """Lose power with every outcome, again during recovery, then continue to write."""
        count = 0
        for choose in power_loss_outcomes(limit=outcomes, seed=seed):
            count += 1
            first = after_power_loss(writer=writer, choose=choose, seed=seed + count)
            self.lose_power_again(first, seed=seed + count)
            first.acknowledged = first.pending = self.assert_acknowledged_kept(
                first, where=f"outcome {count}"
            )
            finish(first.play(operations=(vote(term=9, name="r3"), put(count=1, term=9))))
            for again in power_loss_outcomes(limit=SECOND_OUTCOMES, seed=seed):
                self.assert_acknowledged_kept(
                    after_power_loss(writer=first, choose=again), where="after further writes"
                )
        return count

    def lose_power_again(self, writer: ReplicaWriter, *, seed: int) -> None:
        """Lose power at one of the disk changes of recovery; the state is still complete."""
        broken = after_power_loss(writer=writer, choose=lambda limit: limit - 1)
        broken.machine.run_until(step=seed % 5, work=broken.open())
        for choose in power_loss_outcomes(limit=SECOND_OUTCOMES, seed=seed):
            self.assert_acknowledged_kept(
                after_power_loss(writer=broken, choose=choose), where="recovery"
            )

    def test_power_loss_before_every_disk_change(self) -> None:
        writer, step, count, is_over = new_member(), 0, 0, False
        while not is_over:
            writer = new_member()
            is_over, _ = writer.machine.run_until(step=step, work=writer.play())
            with self.subTest(step=step, under_way=writer.pending):
                count += self.assert_survives_power_loss(writer, seed=step)
            step += 1
        self.assertEqual(
            OPERATIONS[-1].after(writer.acknowledged).last, writer.acknowledged.last + 1
        )
        self.assertGreater(step, 60)
        self.assertGreater(count, 1000)

    def test_full_disk_and_killed_process(self) -> None:
        refused = 0
        for seed in range(150):
            rand = random.Random(seed)
            writer = new_member()
            platter = writer.machine.disk_image
            full = rand.randrange(90)
            faults = {full: partial(setattr, platter, "is_full", True)}
            step = full + rand.randrange(40)
            writer.machine.run_until(step=step, work=writer.play(), faults=faults)
            platter.is_full = False
            with self.subTest(seed=seed, under_way=writer.pending):
                refused += bool(writer.failures)
                if rand.random() < 0.5:  # only the process ends; another one continues on its disk
                    killed = ReplicaWriter(machine=writer.machine)
                    killed.acknowledged, killed.pending = writer.acknowledged, writer.pending
                    killed.acknowledged = killed.pending = self.assert_acknowledged_kept(
                        killed, where=""
                    )
                    writer = killed
                self.assert_survives_power_loss(writer, seed=seed, outcomes=4)
        self.assertGreater(refused, 75)

    def test_a_sync_that_fails_once(self) -> None:
        """After a failed sync the data is readable, but only another write makes it durable."""
        failed = 0
        for step in range(110):
            writer = new_member()
            fail = partial(setattr, writer.machine.disk_image, "is_sync_failing", True)
            writer.machine.run_until(step=step + 25, work=writer.play(), faults={step: fail})
            failed += bool(writer.failures)
            with self.subTest(step=step, under_way=writer.pending):
                self.assert_survives_power_loss(writer, seed=step, outcomes=4)
        self.assertGreater(failed, 75)

    def test_fully_marked_log_recovers_on_a_full_disk(self) -> None:
        writer = populated_member()
        writer.machine.disk_image.is_full = True
        self.assertEqual(writer.acknowledged, finish(ReplicaWriter(machine=writer.machine).open()))
        refused = finish(writer.store.append(steps=[DiskStep(has_vote=True, term=9)]))
        self.assertIsInstance(refused, DiskError)

    def test_a_disk_stall_only_delays_the_writes(self) -> None:
        for step in range(100):
            writer = new_member()
            platter = writer.machine.disk_image
            waits = []

            def wait(platter: DiskImage = platter, waits: list[int] = waits) -> None:
                if platter.is_stalled:
                    waits.append(1)
                platter.is_stalled = platter.is_stalled and len(waits) < 5

            writer.machine.clock.on_sleep = wait
            faults = {step: partial(setattr, platter, "is_stalled", True)}
            is_over, _ = writer.machine.run_until(step=-1, work=writer.play(), faults=faults)
            self.assertTrue(is_over)
            self.assert_acknowledged_kept(
                after_power_loss(writer=writer, choose=lambda n: 0), where=""
            )

    def test_the_same_operations_in_a_real_folder(self) -> None:
        async def play(folder: str) -> tuple[DurableState, DurableState | KelpstageError]:
            machine = Machine()
            machine.ports.disk = LiveDisk(root=folder)
            writer = ReplicaWriter(machine=machine)
            await writer.found()
            await writer.play()
            again = ReplicaWriter(machine=machine)
            return writer.acknowledged, await again.open()

        with tempfile.TemporaryDirectory() as folder:
            acknowledged, found = asyncio.run(play(folder))
        self.assertEqual(acknowledged, found)

    def test_deleted_segments_that_reappear_are_ignored(self) -> None:
        """Four segments are deleted after a snapshot; a power loss restores any subset of them."""
        operations = (
            vote(term=1, name="r1"),
            put(count=6, term=1),
            put(count=6, term=1),
            put(count=6, term=1),
            put(count=6, term=1),
            snapshot_taken(behind=0),
        )
        survivals: set[tuple[str, ...]] = set()
        step, is_over = 0, False
        while not is_over:
            writer = new_member()
            is_over, _ = writer.machine.run_until(
                step=step, work=writer.play(operations=operations)
            )
            step += 1
            if sum(path.startswith("log/") for path in writer.machine.disk_image.changed) < 4:
                continue
            for choose in power_loss_outcomes(limit=200, seed=step):
                again = after_power_loss(writer=writer, choose=choose)
                survivals.add(
                    tuple(p for p in again.machine.disk_image.files if p.endswith(".seg"))
                )
                self.assert_acknowledged_kept(again, where=f"step {step}")
        self.assertGreaterEqual(len(survivals), 16)


class Reports(unittest.TestCase):
    """Everything that the disk task reported as synced survives a power loss."""

    def test_nothing_is_reported_before_it_is_synced(self) -> None:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        try:
            reported = [self.lose_power_while_writing(seed=seed) for seed in range(400)]
        finally:
            asyncio.set_event_loop(None)
            loop.close()
        self.assertEqual(set(range(13)), set(reported))

    def lose_power_while_writing(self, *, seed: int) -> int:
        """Write twelve entries with votes and a snapshot between them; lose power at a step."""
        rand = random.Random(seed)
        writer, reported = new_member(), [0]
        task = DiskTask(
            store=writer.store,
            now_us=lambda: 0,
            on_synced=reported.append,
            on_snapshot_saved=lambda index: None,
            on_error=self.fail,
        )
        items: list[Persist | SnapshotWriteRequest] = [
            Persist(number=n, entries=[entry(index=n, term=n)], term=n, vote=str(n))
            for n in range(1, 13)
        ]
        place = rand.randrange(2, 12)
        items.insert(
            place,
            SnapshotWriteRequest(
                snapshot=snapshot_of(index=place - 1, term=place - 1),
                tail=[entry(index=place, term=place)],
                term=place,
                vote=str(place),
                number=0,
            ),
        )
        step = rand.randrange(60)
        writer.machine.run_until(step=step, work=self.feed(task=task, items=items, rand=rand))
        left = after_power_loss(writer=writer, choose=rand.randrange, seed=seed)
        state = finish(left.open())
        assert isinstance(state, DurableState), state
        self.assertGreaterEqual(state.term, reported[-1])
        self.assertEqual(state.term, state.last)
        self.assertEqual(str(state.term) if state.term else "", state.vote)
        return reported[-1]

    async def feed(
        self, *, task: DiskTask, items: list[Persist | SnapshotWriteRequest], rand: random.Random
    ) -> None:
        """Feed the task with one to three writes at a time."""
        work = task.run()
        while items:
            for _ in range(rand.randrange(1, 4)):
                if items:
                    task.inbox.put_nowait(items.pop(0))
            work.send(None)
        work.close()


class Membership(unittest.TestCase):
    """Founding, joining, discarding a replica and recovery from a survivor are atomic."""

    def interrupt(
        self,
        *,
        begin: Callable[[], ReplicaWriter],
        work: Callable[[ReplicaWriter], Coroutine[Any, Any, Any]],
    ) -> Iterator[ReplicaWriter]:
        """Yield the state left by a power loss before every disk change of `work`."""
        step, is_over = 0, False
        while not is_over:
            writer = begin()
            is_over, _ = writer.machine.run_until(step=step, work=work(writer))
            for number, choose in enumerate(power_loss_outcomes(limit=60, seed=step)):
                yield after_power_loss(writer=writer, choose=choose, seed=number)
            step += 1
        self.assertGreater(step, 5)

    def test_interrupted_founding_completes_or_restarts(self) -> None:
        snapshot = snapshot_of(index=1, term=1)
        initial = DurableState(term=1, base=1, base_term=1)

        def found(writer: ReplicaWriter) -> Coroutine[Any, Any, Any]:
            return writer.become_member(empty=EMPTY, member=MEMBER, snapshot=snapshot)

        for left in self.interrupt(begin=lambda: ReplicaWriter(machine=Machine()), work=found):
            twice = after_power_loss(writer=left, choose=lambda limit: limit - 1)
            identity = finish(left.store.read_identity())
            if identity == MEMBER:
                self.assertEqual(initial, finish(left.open()))
                continue
            self.assertIn(identity, (None, EMPTY))
            twice.machine.run_until(step=4, work=found(twice))
            twice = after_power_loss(writer=twice, choose=lambda limit: limit - 1)
            self.assertEqual(initial, finish(found(twice)))
            # Another core created the cluster meanwhile: this one joins with an empty log.
            joined = finish(left.become_member(empty=EMPTY, member=MEMBER))
            self.assertEqual(DurableState(), joined)

    def test_interrupted_joining_completes_or_restarts(self) -> None:
        def join(writer: ReplicaWriter) -> Coroutine[Any, Any, Any]:
            return writer.become_member(empty=EMPTY, member=MEMBER)

        for left in self.interrupt(begin=lambda: ReplicaWriter(machine=Machine()), work=join):
            self.assertIn(finish(left.store.read_identity()), (None, EMPTY, MEMBER))
            self.assertEqual(DurableState(), finish(join(left)))

    def test_discarding_a_replica_is_atomic(self) -> None:
        """A replica that keeps its name but loses state could vote twice in a term."""
        whole, _ = populated_member_state()
        seen = set()
        for left in self.interrupt(
            begin=populated_member, work=lambda writer: writer.store.discard_replica()
        ):
            identity = finish(left.store.read_identity())
            seen.add(identity is None)
            if identity is not None:
                self.assertEqual(whole, finish(left.open()))
                continue
            self.assertEqual(DurableState(), finish(self.join_as_other(left)))
            again = after_power_loss(writer=left, choose=lambda limit: limit - 1)
            self.assertEqual(DurableState(), finish(again.open(identity=OTHER)))
            self.assertFalse([p for p in again.machine.disk_image.files if REPLICA in p])
        self.assertEqual({True, False}, seen)

    def test_files_of_other_kinds_stay(self) -> None:
        writer = populated_member()
        for path in ("log/notes", "snapshots/r1-1.other", "other"):
            writer.machine.disk_image.files[path] = SimFile(data=b"x")
        self.assertEqual(writer.acknowledged, finish(writer.open()))
        finish(writer.store.discard_replica())
        left = sorted(writer.machine.disk_image.files)
        self.assertEqual(["log/notes", "other", "snapshots/r1-1.other"], left)

    def join_as_other(self, writer: ReplicaWriter) -> Coroutine[Any, Any, Any]:
        return writer.become_member(empty=DiskIdentity(replica=OTHER.replica), member=OTHER)

    def test_recovery_from_a_survivor_is_atomic(self) -> None:
        whole, _ = populated_member_state()
        snapshot = snapshot_of(index=30, term=9, cluster=OTHER.cluster)
        seen = set()
        for left in self.interrupt(
            begin=populated_member,
            work=lambda writer: writer.store.initialize_member(
                identity=OTHER, snapshot=snapshot, term=9
            ),
        ):
            identity = finish(left.store.read_identity())
            seen.add(identity == MEMBER)
            if identity == MEMBER:
                self.assertEqual(whole, finish(left.open()))
            else:
                initial = DurableState(term=9, base=30, base_term=9)
                self.assertEqual(initial, finish(left.open(identity=OTHER)))
        self.assertEqual({True, False}, seen)


class Damage(unittest.TestCase):
    """Any flipped byte and any truncated file is detected and reported with its path."""

    def recover_damaged(self, *, path: str, data: bytes) -> DurableState | KelpstageError:
        writer = populated_member()
        writer.machine.disk_image.files[path].data = data
        return finish(writer.open())

    def assert_detected(
        self, found: DurableState | KelpstageError, *, path: str, where: str
    ) -> None:
        self.assertIsInstance(found, (LogDamagedError, FormatMismatchError), where)
        assert isinstance(found, LogDamagedError | FormatMismatchError)
        self.assertEqual(path, found.path, where)

    def test_every_byte_flipped(self) -> None:
        whole, files = populated_member_state()
        for path, data in files.items():
            for place in range(len(data)):
                for mask in (0x01, 0x80, 0xFF):
                    flipped = data[:place] + bytes([data[place] ^ mask]) + data[place + 1 :]
                    found = self.recover_damaged(path=path, data=flipped)
                    where = f"{path} at {place} by {mask}"
                    if path.endswith(".synced"):
                        self.assertEqual(whole, found, where)
                    else:
                        self.assert_detected(found, path=path, where=where)

    def test_every_truncation(self) -> None:
        whole, files = populated_member_state()
        for path, data in files.items():
            for size in range(len(data)):
                found = self.recover_damaged(path=path, data=data[:size])
                if path.endswith(".synced"):
                    self.assertEqual(whole, found)
                else:
                    self.assert_detected(found, path=path, where=f"{path} at {size}")

    def test_missing_segment_or_snapshot(self) -> None:
        _, files = populated_member_state()
        for path in files:
            if not path.endswith((".seg", ".snap")):
                continue
            writer = populated_member()
            del writer.machine.disk_image.files[path]
            self.assertIsInstance(finish(writer.open()), LogDamagedError, path)

    def test_without_the_mark_damage_before_the_last_record_is_detected(self) -> None:
        """A power loss may remove the mark; damage before the last record is still detected."""
        _, files = populated_member_state()
        last = max(path for path in files if path.endswith(".seg"))
        start = files[last].rindex(RECORD_MARKER)
        for place in range(start):
            writer = populated_member()
            del writer.machine.disk_image.files[mark_path(replica=REPLICA)]
            data = files[last]
            flipped = data[:place] + bytes([data[place] ^ 0xFF]) + data[place + 1 :]
            writer.machine.disk_image.files[last].data = flipped
            self.assert_detected(finish(writer.open()), path=last, where=str(place))


def populated_member() -> ReplicaWriter:
    """Returns a member after all operations, with more segments after the last snapshot."""
    writer = new_member()
    more = (put(count=6, term=3), put(count=6, term=3), put(count=1, term=3), put(count=1, term=3))
    finish(writer.play(operations=OPERATIONS + more))
    return writer


def populated_member_state() -> tuple[DurableState, dict[str, bytes]]:
    """Returns the acknowledged state of a populated member, and its files."""
    writer = populated_member()
    files = {path: file.data for path, file in writer.machine.disk_image.files.items()}
    assert sum(path.endswith(".seg") for path in files) > 2
    return writer.acknowledged, files


if __name__ == "__main__":
    unittest.main()
