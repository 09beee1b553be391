"""A core's disk, cut at every single change of it by a loss of power, in every way.

A row of operations is played on a simulated disk and broken off before each change that
it makes there. Of what was not synced each name and each write is then kept or lost by
itself. Whatever was reported as synced must be found again, and nothing else but what
the operation under way would have left.
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
from kelpstage.common.log.checksummed import MARK
from kelpstage.common.ports.live import LiveDisk
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.raft.types import Persist
from kelpstage.core.store.layout import mark_path
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot, DiskStep
from kelpstage.core.store.store import Store
from kelpstage.core.store.task import DiskTask, PersistRequest
from kelpstage.testbed.simulation.disk import Platter, SimFile
from tests.power_loss import Machine, copy_of, every_way, finish

REPLICA, CLUSTER = "r1", "c1"
EMPTY = DiskIdentity(replica=REPLICA)
MEMBER = DiskIdentity(replica=REPLICA, cluster=CLUSTER)
OTHER = DiskIdentity(replica="other", cluster="c2")
SEGMENT_BYTES = 300
WAYS = 16
PATIENCE = 3
SECOND_WAYS = 1


@dataclass(frozen=True, kw_only=True)
class State:
    """What a replica was promised to have on disk; `terms` of the entries behind `base`."""

    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    terms: tuple[int, ...] = ()

    @property
    def last(self) -> int:
        """The last index."""
        return self.base + len(self.terms)

    def entries(self, *, start: int) -> list[LogEntry]:
        """Entries from `start` on."""
        return [
            entry(index=self.base + 1 + place, term=term)
            for place, term in enumerate(self.terms)
            if self.base + 1 + place >= start
        ]


def entry(*, index: int, term: int) -> LogEntry:
    """The entry that every test writes at this place."""
    return LogEntry(index=index, term=term, kind=2, data=f"{index}/{term} ".encode() * 8)


def snapshot_of(*, index: int, term: int, cluster: str = CLUSTER) -> DiskSnapshot:
    """The snapshot that every test writes at this place."""
    state = f"state {index}/{term}".encode() * 4
    return DiskSnapshot(index=index, term=term, state=state, cluster=cluster)


@dataclass(frozen=True, kw_only=True)
class Operation:
    """A write: the state that it leaves, and how it is asked for."""

    name: str
    after: Callable[[State], State]
    write: Callable[[Store, State], object]


def put(*, count: int, term: int, cut: int = 0) -> Operation:
    """Append entries, perhaps over the last ones; all in one record."""

    def after(state: State) -> State:
        kept = state.terms[: len(state.terms) - cut]
        return replace(state, terms=kept + (term,) * count)

    def write(store: Store, state: State) -> object:
        first = state.last - cut + 1
        entries = [entry(index=first + n, term=term) for n in range(count)]
        step = DiskStep(cut_from=first if cut else 0, entries=entries)
        return store.append(steps=[step])

    return Operation(name=f"put {count} in term {term}", after=after, write=write)


def vote(*, term: int, name: str) -> Operation:
    """Go to a term and vote in it."""
    return Operation(
        name=f"vote in {term}",
        after=lambda state: replace(state, term=term, vote=name),
        write=lambda store, state: store.append(
            steps=[DiskStep(has_vote=True, term=term, vote=name)]
        ),
    )


def snapshot_taken(*, behind: int) -> Operation:
    """Keep a snapshot of all but the last `behind` entries, which the log still holds."""

    def after(state: State) -> State:
        index = state.last - behind
        place = index - state.base
        return replace(
            state, base=index, base_term=state.terms[place - 1], terms=state.terms[place:]
        )

    def write(store: Store, state: State) -> object:
        ended = after(state)
        return store.save_snapshot(
            snapshot=snapshot_of(index=ended.base, term=ended.base_term),
            tail=ended.entries(start=ended.base + 1),
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"snapshot before the last {behind}", after=after, write=write)


def snapshot_installed(*, beyond: int, term: int) -> Operation:
    """Keep a leader's snapshot from beyond the end of the log, which begins anew."""

    def after(state: State) -> State:
        return replace(state, base=state.last + beyond, base_term=term, terms=())

    def write(store: Store, state: State) -> object:
        return store.save_snapshot(
            snapshot=snapshot_of(index=state.last + beyond, term=term),
            tail=[],
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"installed {beyond} beyond", after=after, write=write)


def snapshot_conflicting(*, behind: int, term: int) -> Operation:
    """Keep a leader's snapshot of entries that the log holds in another term: they go."""

    def after(state: State) -> State:
        return replace(state, base=state.last - behind, base_term=term, terms=())

    def write(store: Store, state: State) -> object:
        return store.save_snapshot(
            snapshot=snapshot_of(index=state.last - behind, term=term),
            tail=[],
            term=state.term,
            vote=state.vote,
        )

    return Operation(name=f"conflict {behind} before the end", after=after, write=write)


def batch(*, term: int, count: int) -> Operation:
    """What stands in the queue together: a term, entries, a vote; one record."""

    def after(state: State) -> State:
        return replace(state, term=term, vote="r3", terms=state.terms + (term,) * count)

    def write(store: Store, state: State) -> object:
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


class Writer:
    """One replica's process: writes in order, and knows what it was promised."""

    def __init__(self, *, machine: Machine, state: State | None = None) -> None:
        self.machine = machine
        self.store = Store(ports=machine.ports, segment_bytes=SEGMENT_BYTES)
        self.promised = self.pending = state or State()
        self.failures: list[KelpstageError] = []

    async def open(self, *, identity: DiskIdentity = MEMBER) -> State | KelpstageError:
        """Read the disk as a core does at its start."""
        found = await self.store.read_identity()
        if found != identity:
            return found if isinstance(found, KelpstageError) else KelpstageError()
        recovered = await self.store.recover(identity=identity)
        if isinstance(recovered, KelpstageError):
            return recovered
        log = recovered.log
        state = State(
            term=recovered.term,
            vote=recovered.vote,
            base=log.base_index,
            base_term=log.base_term,
            terms=tuple(entry.term for entry in log.entries),
        )
        assert log.entries == state.entries(start=0), "other entries than were written"
        if recovered.snapshot is not None:
            assert recovered.snapshot == snapshot_of(
                index=log.base_index, term=log.base_term, cluster=identity.cluster
            )
        return state

    async def found(self) -> None:
        """An empty folder becomes a member, in a log that begins with nothing."""
        assert await self.store.read_identity() is None
        assert await self.store.write_identity(identity=EMPTY) is None
        assert await self.store.begin_member(identity=MEMBER) is None
        assert await self.open() == State()

    async def play(self, *, operations: tuple[Operation, ...] = OPERATIONS) -> None:
        """All operations; after a failure the replica starts anew and tries again."""
        for operation in operations:
            self.pending = operation.after(self.promised)
            while (error := await operation.write(self.store, self.promised)) is not None:
                self._note(failure=error)
                while isinstance(state := await self.open(), DiskError):
                    self._note(failure=state)
                assert state in (self.promised, self.pending), (operation.name, state)
                if state == self.pending:
                    break
            self.promised = self.pending
            await self.store.mark_synced()

    def _note(self, *, failure: KelpstageError) -> None:
        """A full disk is emptied after some failures; a sync fails once."""
        self.failures.append(failure)
        self.machine.platter.is_sync_failing = False
        if len(self.failures) % PATIENCE == 0:
            self.machine.platter.is_full = False

    async def become_member(
        self, *, empty: DiskIdentity, member: DiskIdentity, snapshot: DiskSnapshot | None = None
    ) -> State | KelpstageError:
        """What a core does at its start until it is a member, again after any cut."""
        identity = await self.store.read_identity()
        if identity is None:
            assert await self.store.write_identity(identity=empty) is None
        if identity != member:
            error = await self.store.begin_member(identity=member, snapshot=snapshot, term=1)
            assert error is None, error
        return await self.open(identity=member)


def founded() -> Writer:
    """A member with nothing yet."""
    writer = Writer(machine=Machine())
    finish(writer.found())
    return writer


def restarted(*, writer: Writer, choose: Callable[[int], int], seed: int = 1) -> Writer:
    """The same machine after a loss of power, as a copy."""
    machine = Machine()
    platter = copy_of(platter=writer.machine.platter, seed=seed)
    platter.cut_power(choose=choose)
    machine.use(platter=platter)
    again = Writer(machine=machine)
    again.promised, again.pending = writer.promised, writer.pending
    return again


class PowerLoss(unittest.TestCase):
    def assert_promise_kept(self, writer: Writer, *, where: str) -> State:
        """Opened now, the disk has what was promised, or what was under way besides."""
        state = finish(writer.open())
        self.assertIn(state, (writer.promised, writer.pending), where)
        return state

    def survive(self, writer: Writer, *, seed: int, ways: int = WAYS) -> int:
        """Lose power in every way; then again while recovering; then write on."""
        count = 0
        for choose in every_way(limit=ways, seed=seed):
            count += 1
            first = restarted(writer=writer, choose=choose, seed=seed + count)
            self.lose_power_again(first, seed=seed + count)
            first.promised = first.pending = self.assert_promise_kept(first, where=f"way {count}")
            finish(first.play(operations=(vote(term=9, name="r3"), put(count=1, term=9))))
            for again in every_way(limit=SECOND_WAYS, seed=seed):
                self.assert_promise_kept(restarted(writer=first, choose=again), where="at last")
        return count

    def lose_power_again(self, writer: Writer, *, seed: int) -> None:
        """Break recovery off at one of its changes of the disk; what it left is whole."""
        broken = restarted(writer=writer, choose=lambda limit: limit - 1)
        broken.machine.run_until(step=seed % 5, work=broken.open())
        for choose in every_way(limit=SECOND_WAYS, seed=seed):
            self.assert_promise_kept(restarted(writer=broken, choose=choose), where="recovery")

    def test_every_prefix_of_every_operation(self) -> None:
        writer, step, count, is_over = founded(), 0, 0, False
        while not is_over:
            writer = founded()
            is_over, _ = writer.machine.run_until(step=step, work=writer.play())
            with self.subTest(step=step, under_way=writer.pending):
                count += self.survive(writer, seed=step)
            step += 1
        self.assertEqual(OPERATIONS[-1].after(writer.promised).last, writer.promised.last + 1)
        self.assertGreater(step, 60)
        self.assertGreater(count, 1000)

    def test_a_full_disk_and_a_process_killed_in_between(self) -> None:
        refused = 0
        for seed in range(150):
            rand = random.Random(seed)
            writer = founded()
            platter = writer.machine.platter
            full = rand.randrange(90)
            faults = {full: partial(setattr, platter, "is_full", True)}
            step = full + rand.randrange(40)
            writer.machine.run_until(step=step, work=writer.play(), faults=faults)
            platter.is_full = False
            with self.subTest(seed=seed, under_way=writer.pending):
                refused += bool(writer.failures)
                if rand.random() < 0.5:  # the process alone ends; another one goes on from there
                    killed = Writer(machine=writer.machine)
                    killed.promised, killed.pending = writer.promised, writer.pending
                    killed.promised = killed.pending = self.assert_promise_kept(killed, where="")
                    writer = killed
                self.survive(writer, seed=seed, ways=4)
        self.assertGreater(refused, 75)

    def test_a_sync_that_fails_once(self) -> None:
        """What it should have covered is readable, but only another write brings it to
        the disk."""
        failed = 0
        for step in range(110):
            writer = founded()
            fail = partial(setattr, writer.machine.platter, "is_sync_failing", True)
            writer.machine.run_until(step=step + 25, work=writer.play(), faults={step: fail})
            failed += bool(writer.failures)
            with self.subTest(step=step, under_way=writer.pending):
                self.survive(writer, seed=step, ways=4)
        self.assertGreater(failed, 75)

    def test_a_core_comes_up_on_a_full_disk_if_its_log_is_marked_to_the_end(self) -> None:
        writer = grown()
        writer.machine.platter.is_full = True
        self.assertEqual(writer.promised, finish(Writer(machine=writer.machine).open()))
        refused = finish(writer.store.append(steps=[DiskStep(has_vote=True, term=9)]))
        self.assertIsInstance(refused, DiskError)

    def test_a_stall_before_each_change_only_takes_time(self) -> None:
        for step in range(100):
            writer = founded()
            platter = writer.machine.platter
            waits = []

            def wait(platter: Platter = platter, waits: list[int] = waits) -> None:
                if platter.is_stalled:
                    waits.append(1)
                platter.is_stalled = platter.is_stalled and len(waits) < 5

            writer.machine.clock.on_sleep = wait
            faults = {step: partial(setattr, platter, "is_stalled", True)}
            is_over, _ = writer.machine.run_until(step=-1, work=writer.play(), faults=faults)
            self.assertTrue(is_over)
            self.assert_promise_kept(restarted(writer=writer, choose=lambda n: 0), where="")

    def test_the_same_operations_in_a_real_folder(self) -> None:
        async def play(folder: str) -> tuple[State, State | KelpstageError]:
            machine = Machine()
            machine.ports.disk = LiveDisk(root=folder)
            writer = Writer(machine=machine)
            await writer.found()
            await writer.play()
            again = Writer(machine=machine)
            return writer.promised, await again.open()

        with tempfile.TemporaryDirectory() as folder:
            promised, found = asyncio.run(play(folder))
        self.assertEqual(promised, found)

    def test_removed_segments_that_stay_one_by_one_harm_nothing(self) -> None:
        """Four segments dropped after a snapshot, each kept or lost by itself."""
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
            writer = founded()
            is_over, _ = writer.machine.run_until(
                step=step, work=writer.play(operations=operations)
            )
            step += 1
            if sum(path.startswith("log/") for path in writer.machine.platter.changed) < 4:
                continue
            for choose in every_way(limit=200, seed=step):
                again = restarted(writer=writer, choose=choose)
                survivals.add(tuple(p for p in again.machine.platter.files if p.endswith(".seg")))
                self.assert_promise_kept(again, where=f"step {step}")
        self.assertGreaterEqual(len(survivals), 16)


class Reports(unittest.TestCase):
    """What the disk task has reported as synced is there."""

    def test_nothing_is_reported_before_it_is_synced(self) -> None:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        try:
            reported = [self.cut_while_writing(seed=seed) for seed in range(400)]
        finally:
            asyncio.set_event_loop(None)
            loop.close()
        self.assertEqual(set(range(13)), set(reported))

    def cut_while_writing(self, *, seed: int) -> int:
        """Write twelve entries, a vote with each, with a snapshot among them."""
        rand = random.Random(seed)
        writer, reported = founded(), [0]
        task = DiskTask(
            store=writer.store,
            now_us=lambda: 0,
            on_synced=reported.append,
            on_kept=lambda index: None,
            on_error=self.fail,
        )
        items: list[Persist | PersistRequest] = [
            Persist(number=n, entries=[entry(index=n, term=n)], term=n, vote=str(n))
            for n in range(1, 13)
        ]
        place = rand.randrange(2, 12)
        items.insert(
            place,
            PersistRequest(
                snapshot=snapshot_of(index=place - 1, term=place - 1),
                tail=[entry(index=place, term=place)],
                term=place,
                vote=str(place),
                number=0,
            ),
        )
        step = rand.randrange(60)
        writer.machine.run_until(step=step, work=self.feed(task=task, items=items, rand=rand))
        left = restarted(writer=writer, choose=rand.randrange, seed=seed)
        state = finish(left.open())
        assert isinstance(state, State), state
        self.assertGreaterEqual(state.term, reported[-1])
        self.assertEqual(state.term, state.last)
        self.assertEqual(str(state.term) if state.term else "", state.vote)
        return reported[-1]

    async def feed(
        self, *, task: DiskTask, items: list[Persist | PersistRequest], rand: random.Random
    ) -> None:
        """Let the task find its writes one or some at a time."""
        work = task.run()
        while items:
            for _ in range(rand.randrange(1, 4)):
                if items:
                    task.inbox.put_nowait(items.pop(0))
            work.send(None)
        work.close()


class Membership(unittest.TestCase):
    """Founding, joining, setting aside and recovery from a survivor."""

    def cut(
        self, *, begin: Callable[[], Writer], work: Callable[[Writer], Coroutine[Any, Any, Any]]
    ) -> Iterator[Writer]:
        """What every loss of power during some work leaves."""
        step, is_over = 0, False
        while not is_over:
            writer = begin()
            is_over, _ = writer.machine.run_until(step=step, work=work(writer))
            for number, choose in enumerate(every_way(limit=60, seed=step)):
                yield restarted(writer=writer, choose=choose, seed=number)
            step += 1
        self.assertGreater(step, 5)

    def test_founding_is_whole_or_begins_again(self) -> None:
        snapshot = snapshot_of(index=1, term=1)
        born = State(term=1, base=1, base_term=1)

        def found(writer: Writer) -> Coroutine[Any, Any, Any]:
            return writer.become_member(empty=EMPTY, member=MEMBER, snapshot=snapshot)

        for left in self.cut(begin=lambda: Writer(machine=Machine()), work=found):
            twice = restarted(writer=left, choose=lambda limit: limit - 1)
            identity = finish(left.store.read_identity())
            if identity == MEMBER:
                self.assertEqual(born, finish(left.open()))
                continue
            self.assertIn(identity, (None, EMPTY))
            twice.machine.run_until(step=4, work=found(twice))
            twice = restarted(writer=twice, choose=lambda limit: limit - 1)
            self.assertEqual(born, finish(found(twice)))
            # Another core has founded meanwhile: this one joins with nothing.
            joined = finish(left.become_member(empty=EMPTY, member=MEMBER))
            self.assertEqual(State(), joined)

    def test_joining_is_whole_or_begins_again(self) -> None:
        def join(writer: Writer) -> Coroutine[Any, Any, Any]:
            return writer.become_member(empty=EMPTY, member=MEMBER)

        for left in self.cut(begin=lambda: Writer(machine=Machine()), work=join):
            self.assertIn(finish(left.store.read_identity()), (None, EMPTY, MEMBER))
            self.assertEqual(State(), finish(join(left)))

    def test_setting_aside_leaves_the_whole_replica_or_none(self) -> None:
        """Never the old name with less than it had: it could vote twice in a term."""
        whole, _ = grown_state()
        seen = set()
        for left in self.cut(begin=grown, work=lambda writer: writer.store.set_aside()):
            identity = finish(left.store.read_identity())
            seen.add(identity is None)
            if identity is not None:
                self.assertEqual(whole, finish(left.open()))
                continue
            self.assertEqual(State(), finish(self.join_anew(left)))
            again = restarted(writer=left, choose=lambda limit: limit - 1)
            self.assertEqual(State(), finish(again.open(identity=OTHER)))
            self.assertFalse([p for p in again.machine.platter.files if REPLICA in p])
        self.assertEqual({True, False}, seen)

    def test_files_of_other_kinds_stay(self) -> None:
        writer = grown()
        for path in ("log/notes", "snapshots/r1-1.other", "other"):
            writer.machine.platter.files[path] = SimFile(data=b"x")
        self.assertEqual(writer.promised, finish(writer.open()))
        finish(writer.store.set_aside())
        left = sorted(writer.machine.platter.files)
        self.assertEqual(["log/notes", "other", "snapshots/r1-1.other"], left)

    def join_anew(self, writer: Writer) -> Coroutine[Any, Any, Any]:
        return writer.become_member(empty=DiskIdentity(replica=OTHER.replica), member=OTHER)

    def test_recovery_from_a_survivor_leaves_the_old_replica_or_the_new(self) -> None:
        whole, _ = grown_state()
        snapshot = snapshot_of(index=30, term=9, cluster=OTHER.cluster)
        seen = set()
        for left in self.cut(
            begin=grown,
            work=lambda writer: writer.store.begin_member(
                identity=OTHER, snapshot=snapshot, term=9
            ),
        ):
            identity = finish(left.store.read_identity())
            seen.add(identity == MEMBER)
            if identity == MEMBER:
                self.assertEqual(whole, finish(left.open()))
            else:
                born = State(term=9, base=30, base_term=9)
                self.assertEqual(born, finish(left.open(identity=OTHER)))
        self.assertEqual({True, False}, seen)


class Damage(unittest.TestCase):
    """Any byte flipped, any file cut short: noticed, named, never served."""

    def damaged(self, *, path: str, data: bytes) -> State | KelpstageError:
        writer = grown()
        writer.machine.platter.files[path].data = data
        return finish(writer.open())

    def assert_noticed(self, found: State | KelpstageError, *, path: str, where: str) -> None:
        self.assertIsInstance(found, (LogDamagedError, FormatMismatchError), where)
        assert isinstance(found, LogDamagedError | FormatMismatchError)
        self.assertEqual(path, found.path, where)

    def test_every_byte_flipped(self) -> None:
        whole, files = grown_state()
        for path, data in files.items():
            for place in range(len(data)):
                for mask in (0x01, 0x80, 0xFF):
                    flipped = data[:place] + bytes([data[place] ^ mask]) + data[place + 1 :]
                    found = self.damaged(path=path, data=flipped)
                    where = f"{path} at {place} by {mask}"
                    if path.endswith(".synced"):
                        self.assertEqual(whole, found, where)
                    else:
                        self.assert_noticed(found, path=path, where=where)

    def test_every_length_cut_off(self) -> None:
        whole, files = grown_state()
        for path, data in files.items():
            for size in range(len(data)):
                found = self.damaged(path=path, data=data[:size])
                if path.endswith(".synced"):
                    self.assertEqual(whole, found)
                else:
                    self.assert_noticed(found, path=path, where=f"{path} at {size}")

    def test_a_segment_or_snapshot_that_is_gone(self) -> None:
        _, files = grown_state()
        for path in files:
            if not path.endswith((".seg", ".snap")):
                continue
            writer = grown()
            del writer.machine.platter.files[path]
            self.assertIsInstance(finish(writer.open()), LogDamagedError, path)

    def test_without_the_mark_only_the_last_record_passes_for_a_torn_write(self) -> None:
        """A loss of power may take the mark; then all before the last record is judged."""
        _, files = grown_state()
        last = max(path for path in files if path.endswith(".seg"))
        start = files[last].rindex(MARK)
        for place in range(start):
            writer = grown()
            del writer.machine.platter.files[mark_path(replica=REPLICA)]
            data = files[last]
            flipped = data[:place] + bytes([data[place] ^ 0xFF]) + data[place + 1 :]
            writer.machine.platter.files[last].data = flipped
            self.assert_noticed(finish(writer.open()), path=last, where=str(place))


def grown() -> Writer:
    """A member after all operations, some more segments behind the last snapshot."""
    writer = founded()
    more = (put(count=6, term=3), put(count=6, term=3), put(count=1, term=3), put(count=1, term=3))
    finish(writer.play(operations=OPERATIONS + more))
    return writer


def grown_state() -> tuple[State, dict[str, bytes]]:
    """What that member was promised, and its files."""
    writer = grown()
    files = {path: file.data for path, file in writer.machine.platter.files.items()}
    assert sum(path.endswith(".seg") for path in files) > 2
    return writer.promised, files


if __name__ == "__main__":
    unittest.main()
