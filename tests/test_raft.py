"""Tests of Raft replicas without network or disk.

Random runs lose, delay and duplicate messages, and crash replicas so that unsynced writes are
lost. Committed entries must never change, and each term has at most one leader.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from kelpstage.common.event_journal import Journal
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.core.raft import types as t
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import write_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.state import InvariantViolated
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot
from kelpstage.core.store.recovery import Recovered
from kelpstage.core.store.store import Store
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World

NAMES = ("a", "b", "c")
MEMBERS = [CoreMember(replica=n, address=n, is_voter=True) for n in NAMES]


class Disk:
    def __init__(self) -> None:
        self.term, self.vote, self.entries = 0, "", []
        self.queue: list[t.Persist] = []

    def sync_one(self) -> int:
        write = self.queue.pop(0)
        if write.cut_from is not None:
            self.entries = [e for e in self.entries if e.index < write.cut_from]
        self.entries += write.entries
        if write.term is not None:
            self.term, self.vote = write.term, write.vote
        return write.number


class RandomCluster:
    """Three replicas with one clock, whose messages are delivered in random order."""

    def __init__(self, seed: int) -> None:
        self.rand = random.Random(seed)
        self.now = 0
        self.disks = {n: Disk() for n in NAMES}
        self.in_flight: list[tuple[str, object]] = []
        self.waiting_sends: dict[str, list[t.Send]] = {n: [] for n in NAMES}
        self.synced = {n: 0 for n in NAMES}
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.reads: list[tuple[int, int]] = []
        self.committed_at_read: dict[int, int] = {}
        self.replicas = {n: self.start_replica(n) for n in NAMES}
        self.proposals = 0
        self.problems: list[str] = []

    def start_replica(self, name: str) -> Replica:
        disk = self.disks[name]
        disk.queue = []
        self.waiting_sends[name], self.synced[name] = [], 0
        log = MemoryLog(base_index=0, base_term=0, entries=list(disk.entries))
        return Replica(
            me=name,
            cluster="k",
            members=MEMBERS,
            rand=self.rand,
            now_us=self.now,
            term=disk.term,
            vote=disk.vote,
            log=log,
        )

    def step(self, name: str, event: object) -> None:
        for effect in self.replicas[name].step(now_us=self.now, event=event):
            if isinstance(effect, t.Persist):
                self.disks[name].queue.append(effect)
            elif isinstance(effect, t.Send):
                if effect.after > self.synced[name]:
                    self.waiting_sends[name].append(effect)
                else:
                    self.in_flight.append((effect.to.replica, effect.message))
            elif isinstance(effect, t.Commit):
                self.check_commit(name, effect.entries)
            elif isinstance(effect, t.RoleChanged) and effect.role == t.LEADER:
                if self.leaders.setdefault(effect.term, name) != name:
                    self.problems.append(f"two leaders in term {effect.term}")
            elif (
                isinstance(effect, t.ReadReady)
                and effect.index < self.committed_at_read[effect.token]
            ):
                self.problems.append("a read index is below the commit index at the request")

    def check_commit(self, name: str, entries: list[LogEntry]) -> None:
        for entry in entries:
            data = bytes(entry)
            if self.committed.setdefault(entry.index, data) != data:
                self.problems.append(f"entry {entry.index} differs at {name}")

    def run_random_step(self) -> None:
        self.now += self.rand.randrange(1_000, 30_000)
        name = self.rand.choice(NAMES)
        draw = self.rand.random()
        if draw < 0.45 and self.in_flight:
            to, message = self.in_flight.pop(self.rand.randrange(len(self.in_flight)))
            if self.rand.random() < 0.05:
                self.in_flight.append((to, message))
            if self.rand.random() > 0.06:
                self.step(to, t.Received(message=message))
        elif draw < 0.70 and self.disks[name].queue:
            number = self.disks[name].sync_one()
            self.synced[name] = number
            ready = [s for s in self.waiting_sends[name] if s.after <= number]
            self.waiting_sends[name] = [s for s in self.waiting_sends[name] if s.after > number]
            self.in_flight += [(s.to.replica, s.message) for s in ready]
            self.step(name, t.Synced(number=number))
        elif draw < 0.95:
            self.step(name, t.Tick())
        elif draw < 0.985:
            self.proposals += 1
            self.step(
                name,
                t.Propose(kind=t.COMMAND, data=str(self.proposals).encode(), token=self.proposals),
            )
        elif draw < 0.995:
            self.proposals += 1
            self.committed_at_read[self.proposals] = max(self.committed, default=0)
            self.step(name, t.ReadIndex(token=self.proposals))
        elif draw < 0.998:
            self.replicas[name] = self.start_replica(name)
        else:
            self.step(name, t.TransferLeadership())


class RaftTest(unittest.TestCase):
    def test_safety_on_many_seeds(self) -> None:
        total = 0
        for seed in range(40):
            with self.subTest(seed=seed):
                cluster = RandomCluster(seed)
                for _ in range(4_000):
                    cluster.run_random_step()
                self.assertEqual([], cluster.problems)
                total += len(cluster.committed)
        self.assertGreater(
            total, 400, "too few entries were committed for the run to test anything"
        )

    def test_partitioned_replica_does_not_raise_its_term(self) -> None:
        cluster = RandomCluster(3)
        while not any(r.role == t.LEADER for r in cluster.replicas.values()):
            cluster.run_random_step()
        leader = next(n for n, r in cluster.replicas.items() if r.role == t.LEADER)
        partitioned = next(n for n in NAMES if n != leader)
        before = cluster.replicas[partitioned].term
        for _ in range(100):
            cluster.now += 100_000
            cluster.replicas[partitioned].step(now_us=cluster.now, event=t.Tick())
        self.assertEqual(before, cluster.replicas[partitioned].term)

    def test_leader_without_a_majority_steps_down(self) -> None:
        cluster = RandomCluster(3)
        while not any(r.role == t.LEADER for r in cluster.replicas.values()):
            cluster.run_random_step()
        leader = next(r for r in cluster.replicas.values() if r.role == t.LEADER)
        for _ in range(60):
            cluster.now += 100_000
            leader.step(now_us=cluster.now, event=t.Tick())
        self.assertNotEqual(t.LEADER, leader.role)

    def test_learner_clears_a_leader_without_contact(self) -> None:
        members = [*MEMBERS, CoreMember(replica="d", address="d")]
        learner = Replica(me="d", cluster="k", members=members, rand=random.Random(1), now_us=0)
        heartbeat = AppendEntries(cluster="k", sender="a", to="d", term=1, leader_address="a")
        learner.step(now_us=1_000, event=t.Received(message=heartbeat))
        learner.step(now_us=1_000, event=t.Synced(number=1))
        self.assertEqual("a", learner.leader)
        learner.step(now_us=2_000_000, event=t.Tick())
        self.assertEqual(("", ""), (learner.leader, learner.leader_address))


class ReplicaHarness:
    """One replica of three that the test drives; it syncs only on a `Synced` event."""

    def __init__(self, *, base: int = 50, last: int = 80, term: int = 2) -> None:
        entries = [LogEntry(index=i, term=term, kind=t.COMMAND) for i in range(base + 1, last + 1)]
        self.now = 0
        self.replica = Replica(
            me="a",
            cluster="k",
            members=MEMBERS,
            rand=random.Random(1),
            now_us=0,
            term=term,
            log=MemoryLog(base_index=base, base_term=term, entries=entries),
        )

    def step(self, event: object) -> list[object]:
        self.now += 1_000
        return self.replica.step(now_us=self.now, event=event)

    def receive(self, message: object) -> list[object]:
        return self.step(t.Received(message=message))

    def append(self, *, term: int, sender: str, index: int, commit_index: int = 0) -> list[object]:
        """Receive an AppendEntries without entries, with `index` as the previous index."""
        return self.receive(
            AppendEntries(
                cluster="k",
                sender=sender,
                to="a",
                term=term,
                prev_log_index=index,
                prev_log_term=self.replica.log.term_at(index=index) or 0,
                commit_index=commit_index,
                leader_address=sender,
            )
        )

    def offer(self, *, term: int, sender: str, index: int, index_term: int, heartbeat: int = 0):
        return self.receive(
            InstallSnapshot(
                cluster="k",
                sender=sender,
                to="a",
                term=term,
                last_included_index=index,
                last_included_term=index_term,
                leader_address=sender,
                heartbeat=heartbeat,
            )
        )

    def fetched(self, offer: t.FetchOffered) -> list[object]:
        return self.step(
            t.SnapshotFetched(
                index=offer.index,
                term=offer.term,
                members=MEMBERS,
                leader=offer.leader,
                leader_term=offer.leader_term,
                heartbeat=offer.heartbeat,
            )
        )


def effects_of(effects: list[object], kind: type) -> list:
    return [effect for effect in effects if isinstance(effect, kind)]


class InstalledSnapshotTest(unittest.TestCase):
    """The Raft paper, figure 13: which part of the log an installed snapshot keeps."""

    def late_fetch(self) -> tuple[ReplicaHarness, list[object]]:
        """A snapshot up to 60, offered in term 2, arrives after newer entries.

        Meanwhile entries up to 80 are appended, synced and acknowledged to the leader of term 3.
        """
        harness = ReplicaHarness(base=50, last=50)
        offers = effects_of(
            harness.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered
        )
        self.assertEqual(60, offers[0].index)
        entries = [LogEntry(index=i, term=2, kind=t.COMMAND) for i in range(51, 81)]
        harness.receive(
            AppendEntries(
                cluster="k",
                sender="c",
                to="a",
                term=3,
                prev_log_index=50,
                prev_log_term=2,
                entries=entries,
                commit_index=55,
            )
        )
        harness.step(t.Synced(number=harness.replica.state.writes.last_number))
        self.assertEqual((80, 80, 55), self.ends(harness))
        return harness, harness.fetched(offers[0])

    def ends(self, harness: ReplicaHarness) -> tuple[int, int, int]:
        replica = harness.replica
        return replica.log.last_index, replica.durable, replica.commit_index

    def test_an_acknowledged_suffix_stays_in_the_log_and_on_disk(self) -> None:
        harness, effects = self.late_fetch()
        self.assertEqual((80, 80, 60), self.ends(harness))
        kept = effects_of(effects, t.SaveSnapshot)
        self.assertEqual(list(range(61, 81)), [entry.index for entry in kept[0].tail])

    def test_a_membership_change_in_the_suffix_stays_in_force(self) -> None:
        harness = ReplicaHarness(base=50, last=50, term=2)
        offers = effects_of(
            harness.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered
        )
        more = [*MEMBERS, CoreMember(replica="d", address="d")]
        entries = [LogEntry(index=i, term=2, kind=t.COMMAND) for i in range(51, 71)]
        entries[-1] = LogEntry(
            index=70, term=2, kind=t.MEMBERSHIP, data=write_members(members=more)
        )
        harness.receive(
            AppendEntries(
                cluster="k",
                sender="b",
                to="a",
                term=2,
                prev_log_index=50,
                prev_log_term=2,
                entries=entries,
            )
        )
        harness.fetched(offers[0])
        self.assertTrue(harness.replica.members.has(replica="d"))
        self.assertEqual(70, harness.replica.members.index)

    def test_a_log_that_differs_at_the_last_included_index_is_discarded(self) -> None:
        harness = ReplicaHarness(base=50, last=80, term=2)
        offers = effects_of(
            harness.offer(term=4, sender="b", index=60, index_term=3), t.FetchOffered
        )
        effects = harness.fetched(offers[0])
        self.assertEqual((60, 50, 60), self.ends(harness))
        self.assertEqual([], effects_of(effects, t.SaveSnapshot)[0].tail)
        harness.step(t.Synced(number=harness.replica.state.writes.last_number))
        self.assertEqual((60, 60, 60), self.ends(harness))

    def test_a_log_with_the_last_included_entry_fetches_no_snapshot(self) -> None:
        harness = ReplicaHarness(base=50, last=80, term=2)
        effects = harness.offer(term=3, sender="b", index=60, index_term=2)
        self.assertEqual([], effects_of(effects, t.FetchOffered))
        self.assertEqual((80, 80, 60), self.ends(harness))
        replies = [effect.message for effect in effects_of(effects, t.Send)]
        self.assertEqual([(True, 60)], [(r.is_ok, r.match_index) for r in replies])

    def test_a_leader_ignores_a_fetched_snapshot(self) -> None:
        harness = ReplicaHarness(base=50, last=50, term=2)
        offers = effects_of(
            harness.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered
        )
        harness.append(term=2, sender="b", index=50)
        harness.replica.state.role = t.LEADER
        harness.fetched(offers[0])
        self.assertEqual(50, harness.replica.log.base_index)

    def test_a_fetch_offered_in_an_older_term_sends_no_reply(self) -> None:
        """A reply would carry the heartbeat number of the older term in the new term.

        A leader that restarted in between would count it as contact after a read request.
        """
        harness = ReplicaHarness(base=50, last=50)
        offers = effects_of(
            harness.offer(term=2, sender="b", index=60, index_term=2, heartbeat=900), t.FetchOffered
        )
        harness.append(term=3, sender="b", index=50)
        effects = harness.fetched(offers[0])
        self.assertEqual(60, harness.replica.log.base_index)
        self.assertEqual([], effects_of(effects, t.Send))

    def test_a_fetch_offered_in_the_current_term_sends_a_reply(self) -> None:
        harness = ReplicaHarness(base=50, last=50)
        offers = effects_of(
            harness.offer(term=2, sender="b", index=60, index_term=2, heartbeat=9), t.FetchOffered
        )
        replies = [send.message for send in effects_of(harness.fetched(offers[0]), t.Send)]
        self.assertEqual([(60, 9, 2)], [(r.match_index, r.heartbeat, r.term) for r in replies])


class InstalledSnapshotOnDiskTest(unittest.TestCase):
    def test_an_acknowledged_suffix_survives_a_power_loss(self) -> None:
        """The same late fetch as in `InstalledSnapshotTest`, with a simulated disk."""
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            recovered = loop.run_until_complete(self.late_fetch_on_disk(loop))
        finally:
            asyncio.set_event_loop(None)
            loop.close()
        self.assertEqual(60, recovered.snapshot.index)
        self.assertEqual((60, 80), (recovered.log.base_index, recovered.log.last_index))
        self.assertEqual((3, ""), (recovered.term, recovered.vote))

    async def late_fetch_on_disk(self, loop: VirtualLoop) -> Recovered:
        world = World(seed=1, loop=loop)
        machine = world.add_machine(name="m", zone="d")
        process = SimProcess(world=world, name="p", machine=machine, instance=1)
        store = Store(ports=process.ports)
        identity = DiskIdentity(replica="a", cluster="k")
        await store.read_identity()
        await store.write_identity(identity=identity)
        founding = DiskSnapshot(index=1, term=1, members=MEMBERS, cluster="k")
        await store.save_snapshot(snapshot=founding, tail=[], term=1, vote="")
        failures: list[object] = []
        task = ReplicaTask(
            ports=process.ports,
            store=store,
            transport=Transport(ports=process.ports, counts=Counter()),
            journal=Journal(now=process.ports.clock.now_us),
            recovered=await store.recover(identity=identity),
            own_address="10.0.0.1:7100",
            on_applied=lambda outcome, index: None,
            on_role=lambda role: None,
            on_error=failures.append,
        )
        entries = [LogEntry(index=i, term=2, kind=t.NOOP) for i in range(2, 81)]
        task.receive(
            message=AppendEntries(
                cluster="k",
                sender="c",
                to="a",
                term=3,
                prev_log_index=1,
                prev_log_term=1,
                entries=entries,
                commit_index=55,
            )
        )
        await asyncio.sleep(0.1)
        self.assertEqual(80, task.raft.durable)
        task._fetched = DiskSnapshot(index=60, term=2, members=MEMBERS, cluster="k")
        task._handle_event(
            event=t.SnapshotFetched(
                index=60, term=2, members=MEMBERS, leader="b", leader_term=2, heartbeat=0
            )
        )
        await asyncio.sleep(0.1)
        self.assertEqual([], failures)
        process.kill()
        machine.disk_image.lose_power()
        store = Store(ports=SimProcess(world=world, name="p", machine=machine, instance=2).ports)
        return await store.recover(identity=await store.read_identity())


class DurableTermTest(unittest.TestCase):
    """Term and vote are on disk before a replica sends a message that depends on them."""

    def candidate(self) -> tuple[ReplicaHarness, list[object]]:
        harness = ReplicaHarness(base=0, last=5, term=3)
        harness.now = 10_000_000
        harness.step(t.Tick())  # pre-vote
        effects = []
        for sender in ("b", "c"):
            effects += harness.receive(
                RequestVoteReply(
                    cluster="k", sender=sender, to="a", term=4, is_pre_vote=True, is_granted=True
                )
            )
        self.assertEqual((t.CANDIDATE, 4), (harness.replica.role, harness.replica.term))
        return harness, effects

    def test_vote_requests_wait_until_term_and_own_vote_are_synced(self) -> None:
        """Otherwise a crash could lose the term, and the replica would campaign in it again.

        With a shorter log after the crash, late grants for the longer log would count.
        """
        harness, effects = self.candidate()
        persisted = effects_of(effects, t.Persist)[-1]
        self.assertEqual((4, "a"), (persisted.term, persisted.vote))
        requests = [s for s in effects_of(effects, t.Send) if isinstance(s.message, RequestVote)]
        self.assertEqual(2, len(requests))
        self.assertTrue(all(send.after >= persisted.number for send in requests))

    def test_no_leader_is_elected_before_the_own_vote_is_synced(self) -> None:
        """A grant before the sync can only answer a request from before a restart."""
        harness, _ = self.candidate()
        grants = [
            RequestVoteReply(cluster="k", sender=sender, to="a", term=4, is_granted=True)
            for sender in ("b", "c")
        ]
        for grant in grants:
            harness.receive(grant)
        self.assertEqual(t.CANDIDATE, harness.replica.role)
        harness.step(t.Synced(number=harness.replica.state.writes.last_number))
        self.assertEqual(t.CANDIDATE, harness.replica.role)
        harness.receive(grants[0])
        self.assertEqual(t.LEADER, harness.replica.role)


class LeadershipTransferTest(unittest.TestCase):
    def leader(self) -> ReplicaHarness:
        harness, _ = DurableTermTest().candidate()
        harness.step(t.Synced(number=harness.replica.state.writes.last_number))
        harness.receive(RequestVoteReply(cluster="k", sender="b", to="a", term=4, is_granted=True))
        self.assertEqual(t.LEADER, harness.replica.role)
        harness.step(t.Synced(number=harness.replica.state.writes.last_number))
        self.acknowledge(harness, "b")
        self.assertEqual(6, harness.replica.commit_index)
        return harness

    def acknowledge(self, harness: ReplicaHarness, *names: str) -> list[object]:
        effects = []
        for name in names:
            effects += harness.receive(
                AppendEntriesReply(
                    cluster="k",
                    sender=name,
                    to="a",
                    term=harness.replica.term,
                    is_ok=True,
                    match_index=harness.replica.log.last_index,
                )
            )
        return effects

    def test_nothing_is_proposed_during_a_leadership_transfer(self) -> None:
        harness = self.leader()
        harness.step(t.TransferLeadership())
        last = harness.replica.log.last_index
        self.assertTrue(
            effects_of(harness.step(t.Propose(kind=t.COMMAND, data=b"", token=1)), t.NotLeader)
        )
        harness.step(t.JoinRequested(member=CoreMember(replica="d", address="d")))
        self.assertEqual(last, harness.replica.log.last_index)

    def test_an_unfinished_transfer_is_cancelled_after_a_timeout(self) -> None:
        harness = self.leader()
        harness.step(t.TransferLeadership())
        harness.now += 900_000
        harness.step(t.Tick())
        effects = harness.step(t.Propose(kind=t.COMMAND, data=b"", token=1))
        self.assertTrue(effects_of(effects, t.Proposed))

    def test_repeated_requests_do_not_extend_a_transfer(self) -> None:
        harness = self.leader()
        harness.step(t.TransferLeadership())
        for _ in range(9):
            harness.now += 100_000
            harness.step(t.TransferLeadership())
        harness.step(t.Tick())
        effects = harness.step(t.Propose(kind=t.COMMAND, data=b"", token=1))
        self.assertTrue(effects_of(effects, t.Proposed))

    def test_a_join_request_during_a_transfer_is_granted_after_it(self) -> None:
        harness = self.leader()
        harness.step(t.TransferLeadership())
        harness.step(t.JoinRequested(member=CoreMember(replica="d", address="d")))
        harness.now += 900_000
        harness.step(t.Tick())
        self.assertTrue(harness.replica.members.has(replica="d"))

    def test_a_replica_with_a_stalled_disk_ignores_timeout_now(self) -> None:
        harness = ReplicaHarness(base=0, last=5, term=3)
        harness.append(term=4, sender="b", index=5)  # the write of the new term is never synced
        harness.now += 2_000_000
        harness.receive(TimeoutNow(cluster="k", sender="b", to="a", term=4))
        self.assertEqual((t.FOLLOWER, 4), (harness.replica.role, harness.replica.term))


class LogConflictTest(unittest.TestCase):
    """The leader finds the matching entry of a diverged log in at most one round per term."""

    def rounds(self, harness: ReplicaHarness, *, leader_terms: list[int], next_index: int) -> int:
        """Count how often a leader with these terms is rejected before its entries match."""
        count = 0
        while True:
            effects = harness.receive(
                AppendEntries(
                    cluster="k",
                    sender="b",
                    to="a",
                    term=9,
                    prev_log_index=next_index - 1,
                    prev_log_term=leader_terms[next_index - 2],
                )
            )
            reply = effects_of(effects, t.Send)[-1].message
            if reply.is_ok:
                return count
            count += 1
            self.assertLess(reply.conflict_index + 1, next_index)
            next_index = reply.conflict_index + 1

    def test_all_entries_of_a_conflicting_term_are_skipped_in_one_round(self) -> None:
        harness = ReplicaHarness(base=0, last=10, term=2)
        for index in range(11, 311):
            harness.replica.log.append(LogEntry(index=index, term=3, kind=t.COMMAND))
        leader_terms = [2] * 10 + [5] * 400
        self.assertEqual(1, self.rounds(harness, leader_terms=leader_terms, next_index=300))

    def test_committed_entries_are_never_skipped(self) -> None:
        harness = ReplicaHarness(base=0, last=10, term=2)
        harness.replica.state.commit_index = 7
        leader_terms = [2] * 7 + [5] * 20
        self.assertEqual(1, self.rounds(harness, leader_terms=leader_terms, next_index=11))

    def test_a_second_leader_in_a_term_violates_an_invariant(self) -> None:
        harness = LeadershipTransferTest().leader()
        with self.assertRaises(InvariantViolated):
            harness.append(term=4, sender="b", index=5)

    def test_a_conflict_with_a_committed_entry_violates_an_invariant(self) -> None:
        harness = ReplicaHarness(base=0, last=10, term=2)
        harness.replica.state.commit_index = 7
        message = AppendEntries(
            cluster="k",
            sender="b",
            to="a",
            term=3,
            prev_log_index=5,
            prev_log_term=2,
            entries=[LogEntry(index=6, term=3, kind=t.COMMAND)],
        )
        with self.assertRaises(InvariantViolated):
            harness.receive(message)
