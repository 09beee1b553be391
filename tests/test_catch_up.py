"""Members and edges that come back after hundreds of changes: they reach the newest state
in bounded time, by one snapshot or state, and never lead or answer with an old one."""

from __future__ import annotations

import random
import unittest
import zlib

from kelpstage.base.wire.chunks import (
    CHUNK_BYTES,
    PIN_IDLE_US,
    PIN_LONGEST_US,
    PINNED_BYTES_LIMIT,
    PINS_LIMIT,
    ChunkSource,
)
from kelpstage.base.wire.delta import apply_delta, pack_delta
from kelpstage.base.wire.messages import FetchSnapshot
from kelpstage.core.state.machine import (
    Command,
    CoreState,
    Machine,
    PutBlueprint,
    PutUnreadable,
    put_command,
)
from tests.test_cores import Cores, play

CHANGE_EVERY_US = 100_000
SLOW_DISK = 30
SECOND = 1_000_000


class ServingChunks(unittest.TestCase):
    """What a source of chunks pins, for how long, and how much."""

    def source(self, *, size: int = 3 * CHUNK_BYTES) -> ChunkSource:
        source = ChunkSource()
        source.publish(mark=1, data=bytes(size), now_us=1)
        self.assertTrue(source.chunk(least=1, pinned=0, offset=0, now_us=1).is_found)
        return source

    def test_a_value_under_transfer_outlives_its_successors(self) -> None:
        source = self.source()
        for mark in range(2, 12):
            source.publish(mark=mark, data=b"new", now_us=mark)
        chunk = source.chunk(least=1, pinned=1, offset=CHUNK_BYTES, now_us=20)
        self.assertEqual((True, 1, 3 * CHUNK_BYTES), (chunk.is_found, chunk.mark, chunk.total))
        self.assertEqual(11, source.chunk(least=1, pinned=0, offset=0, now_us=20).mark)

    def test_a_value_that_nobody_fetches_is_not_kept(self) -> None:
        source = ChunkSource()
        source.publish(mark=1, data=b"old", now_us=1)
        source.publish(mark=2, data=b"new", now_us=2)
        self.assertFalse(source.chunk(least=1, pinned=1, offset=0, now_us=3).is_found)

    def test_an_older_value_than_wanted_is_not_given(self) -> None:
        self.assertFalse(self.source().chunk(least=2, pinned=0, offset=0, now_us=2).is_found)

    def test_a_transfer_that_stops_is_let_go(self) -> None:
        source = self.source()
        source.publish(mark=2, data=b"new", now_us=2)
        self.assertTrue(source.is_in_transfer(now_us=PIN_IDLE_US))
        self.assertFalse(source.is_in_transfer(now_us=PIN_IDLE_US + 2))
        late = source.chunk(least=1, pinned=1, offset=CHUNK_BYTES, now_us=PIN_IDLE_US + 2)
        self.assertFalse(late.is_found)

    def test_a_transfer_without_end_is_let_go(self) -> None:
        source = self.source()
        source.publish(mark=2, data=b"new", now_us=2)
        asked = []
        for now_us in range(SECOND, PIN_LONGEST_US + 3 * SECOND, SECOND):
            asked.append(source.chunk(least=1, pinned=1, offset=1, now_us=now_us).is_found)
        self.assertTrue(asked[PIN_LONGEST_US // SECOND - 1])
        self.assertFalse(asked[-1])

    def test_what_is_pinned_is_bounded_and_the_oldest_stays(self) -> None:
        for size in (2 * CHUNK_BYTES, PINNED_BYTES_LIMIT // 2):
            source = ChunkSource()
            for mark in range(1, 20):
                source.publish(mark=mark, data=bytes(size), now_us=mark)
                source.chunk(least=1, pinned=0, offset=0, now_us=mark)
            found = [
                mark
                for mark in range(1, 19)
                if source.chunk(least=1, pinned=mark, offset=1, now_us=30).is_found
            ]
            most = min(PINS_LIMIT, PINNED_BYTES_LIMIT // size)
            self.assertEqual(list(range(1, most + 1)), found)
            self.assertEqual(18 - most, source.counts["pin_refused"])

    def test_offsets_that_lie_find_nothing(self) -> None:
        source = self.source()
        self.assertFalse(source.chunk(least=1, pinned=1, offset=2**60, now_us=2).is_found)


def edited(*, document: bytes, rand: random.Random) -> bytes:
    """The document with some bytes replaced, added and removed."""
    out = bytearray(document)
    for _ in range(rand.randrange(4)):
        start = rand.randrange(len(out) + 1)
        stop = min(len(out), start + rand.choice([0, 1, 7, 90, 700]))
        out[start:stop] = rand.randbytes(rand.choice([0, 1, 7, 90, 700]))
    return bytes(out)


class Differences(unittest.TestCase):
    """Puts in the log as differences come to the same as whole ones, on every replica."""

    def test_any_edit_comes_back_whole(self) -> None:
        rand = random.Random(1)
        for turn in range(400):
            text = bytes(rand.choice(b"abc") for _ in range(rand.choice([0, 5, 40, 3_000])))
            base = text * rand.choice([1, 1, 9])
            whole = edited(document=base, rand=rand)
            delta = pack_delta(base=base, whole=whole)
            self.assertEqual(whole, apply_delta(base=base, delta=delta), turn)

    def test_damage_gives_nothing_or_the_whole(self) -> None:
        rand = random.Random(2)
        base = rand.randbytes(2_000)
        whole = edited(document=base, rand=rand) + b"end"
        delta = pack_delta(base=base, whole=whole)
        for place in range(len(delta)):
            wrong = bytearray(delta)
            wrong[place] ^= 1 << rand.randrange(8)
            self.assertIn(apply_delta(base=base, delta=bytes(wrong)), (None, whole), place)
            self.assertIsNone(apply_delta(base=base, delta=delta[:place]), place)

    def test_a_difference_that_would_be_endless_is_refused(self) -> None:
        packer = zlib.compressobj(wbits=-15)
        step = bytes([0, 0x80, 0x80, 0x40, 0])  # copy 1 MiB from 0, add nothing
        bomb = bytes(8) + packer.compress(step * 70) + packer.flush()
        self.assertIsNone(apply_delta(base=bytes(2**20), delta=bomb))

    def test_state_machines_agree(self) -> None:
        """One replica takes every put whole, one as a difference, one starts again from its
        state at any moment; puts on other versions and repeats come between."""
        for seed in range(12):
            rand = random.Random(seed)
            whole, small = Machine(cluster="c"), Machine(cluster="c")
            puts: list[PutBlueprint] = []
            saved = 0
            for serial in range(60):
                state = small.state
                put = PutBlueprint(
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
                    whole.apply(data=bytes(Command(put=put))), small.apply(data=bytes(command))
                )
                if rand.random() < 0.2:
                    small = Machine(cluster="c", state=CoreState().parse(bytes(small.state)))
                self.assertEqual(bytes(whole.state), bytes(small.state), (seed, serial))
            self.assertGreater(saved, 0)

    def test_a_difference_from_another_document_leaves_no_trace(self) -> None:
        """It cannot be proposed, since a version has one document; planted, it is refused."""
        ours = CoreState(cluster="c", version=4, epoch=4, document=bytes(2_000))
        theirs = CoreState(cluster="c", version=4, epoch=4, document=b"x" * 2_000)
        put = PutBlueprint(put_id="p", expected=4, document=b"x" * 2_000 + b"y")
        machine = Machine(cluster="c", state=ours)
        before = bytes(machine.state)
        outcome = machine.apply(data=bytes(put_command(put=put, state=theirs)))
        self.assertEqual(PutUnreadable(), outcome)
        self.assertEqual(before, bytes(machine.state))
        command = put_command(put=put, state=ours)
        command.put_delta.digest = bytes(32)
        self.assertEqual(PutUnreadable(), machine.apply(data=bytes(command)))
        self.assertEqual(before, bytes(machine.state))


def noise(*, size: int, seed: int) -> str:
    """Text that does not compress to much less than half."""
    return random.Random(seed).randbytes(size // 2).hex()


async def change_steadily(cores: Cores, *, until, size: int = 0, limit: int = 10_000) -> int:
    """A change each 100 ms, or as soon as the one before is acknowledged; how many."""
    count = 0
    while not until() and count < limit:
        due_us = cores.world.now_us() + CHANGE_EVERY_US
        if size:
            cores.document = lambda note, n=count: (
                b'{"forward": {}, "source": "%s %s"}'
                % (note.encode(), noise(size=size, seed=n).encode())
            )
        await cores.put()
        count += 1
        await cores.sleep(max(0, due_us - cores.world.now_us()))
    return count


def is_caught_up(cores: Cores, name: str) -> bool:
    """Has this core applied all that its leader had committed a moment ago?"""
    leader, task = cores.leader(), cores.daemons[name].task
    if leader is None or task is None:
        return False
    return task.applied >= cores.daemons[leader].task.raft.commit_index - 1


class Transfers(unittest.TestCase):
    """A snapshot gets to a member that is behind, whatever else happens."""

    def test_it_ends_while_changes_go_on_and_disks_are_slow(self) -> None:
        """Each change is large and has nothing in common with the one before, so that the
        log is cut short every few changes."""
        spans = []

        async def story(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            away = next(name for name in cores.names if name != cores.leader())
            cores.kill(away)
            await change_steadily(cores, until=lambda: False, size=600_000, limit=40)
            for name in cores.names:
                cores.world.machines[name].platter.slow = SLOW_DISK
            await cores.start(away)
            began_us = cores.world.now_us()
            await change_steadily(
                cores,
                until=lambda: is_caught_up(cores, away),
                size=600_000,
                limit=150,
            )
            self.assertTrue(is_caught_up(cores, away), "never caught up")
            spans.append(cores.world.now_us() - began_us)

        for seed in (1, 2):
            play(story, seed=seed, count=3, tolerance=1)
        self.assertLess(max(spans), 30 * SECOND, spans)

    def test_it_ends_though_snapshots_replace_each_other_during_it(self) -> None:
        """A transfer of several seconds between far regions, a new snapshot more often."""

        async def story(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            away = next(name for name in cores.names if name != cores.leader())
            cores.kill(away)
            size = 2_500_000
            await change_steadily(cores, until=lambda: False, size=size, limit=6)
            cores.world.far_us = (100_000, 110_000)
            await cores.start(away)
            began_us = cores.world.now_us()
            await change_steadily(
                cores,
                until=lambda: (
                    is_caught_up(cores, away) or cores.world.now_us() - began_us > 40 * SECOND
                ),
                size=size,
            )
            self.assertTrue(is_caught_up(cores, away), "never caught up")
            self.assertLess(cores.world.now_us() - began_us, 30 * SECOND)

        play(story, seed=1, count=3, tolerance=1)

    def test_what_is_offered_is_served_while_the_next_is_being_written(self) -> None:
        async def story(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await change_steadily(cores, until=lambda: False, limit=3)
            leader = cores.leader()
            task = cores.daemons[leader].task
            task.snapshot_now()
            await cores.wait_for(lambda: task.raft.log.base_index == task.applied)
            await change_steadily(cores, until=lambda: False, limit=3)
            cores.world.machines[leader].platter.is_stalled = True
            task.snapshot_now()
            await cores.sleep(500_000)
            offered = task.raft.log.base_index
            self.assertLess(offered, task.applied)
            chunk = task.snapshot_chunk(ask=FetchSnapshot(cluster=task.cluster, index=offered))
            self.assertEqual((True, offered), (chunk.is_found, chunk.mark))
            cores.world.machines[leader].platter.is_stalled = False
            await cores.wait_for(lambda: task.raft.log.base_index > offered)
            self.assertEqual(task.raft.log.base_index, task.snapshots.mark)

        play(story, seed=1, count=3, tolerance=1)


if __name__ == "__main__":
    unittest.main()
