"""Raft alone, on many seeds: lost, late and doubled messages, crashes that lose
what was not synced; committed entries never change, and a term has one leader."""

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


class Net:
    """Three replicas, a bag of messages, one clock."""

    def __init__(self, seed: int) -> None:
        self.rand = random.Random(seed)
        self.now = 0
        self.disks = {n: Disk() for n in NAMES}
        self.bag: list[tuple[str, object]] = []
        self.held: dict[str, list[t.Send]] = {n: [] for n in NAMES}
        self.synced = {n: 0 for n in NAMES}
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.reads: list[tuple[int, int]] = []
        self.asked: dict[int, int] = {}
        self.replicas = {n: self.boot(n) for n in NAMES}
        self.proposals = 0
        self.problems: list[str] = []

    def boot(self, name: str) -> Replica:
        disk = self.disks[name]
        disk.queue = []
        self.held[name], self.synced[name] = [], 0
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
                    self.held[name].append(effect)
                else:
                    self.bag.append((effect.to.replica, effect.message))
            elif isinstance(effect, t.Commit):
                self.note_commit(name, effect.entries)
            elif isinstance(effect, t.RoleChanged) and effect.role == t.LEADER:
                if self.leaders.setdefault(effect.term, name) != name:
                    self.problems.append(f"two leaders in term {effect.term}")
            elif isinstance(effect, t.ReadReady) and effect.index < self.asked[effect.token]:
                self.problems.append("a read behind what was committed when it was asked")

    def note_commit(self, name: str, entries: list[LogEntry]) -> None:
        for entry in entries:
            data = bytes(entry)
            if self.committed.setdefault(entry.index, data) != data:
                self.problems.append(f"entry {entry.index} differs at {name}")

    def turn(self) -> None:
        self.now += self.rand.randrange(1_000, 30_000)
        name = self.rand.choice(NAMES)
        lot = self.rand.random()
        if lot < 0.45 and self.bag:
            to, message = self.bag.pop(self.rand.randrange(len(self.bag)))
            if self.rand.random() < 0.05:
                self.bag.append((to, message))
            if self.rand.random() > 0.06:
                self.step(to, t.Received(message=message))
        elif lot < 0.70 and self.disks[name].queue:
            number = self.disks[name].sync_one()
            self.synced[name] = number
            ready = [s for s in self.held[name] if s.after <= number]
            self.held[name] = [s for s in self.held[name] if s.after > number]
            self.bag += [(s.to.replica, s.message) for s in ready]
            self.step(name, t.Synced(number=number))
        elif lot < 0.95:
            self.step(name, t.Tick())
        elif lot < 0.985:
            self.proposals += 1
            self.step(
                name,
                t.Propose(kind=t.COMMAND, data=str(self.proposals).encode(), token=self.proposals),
            )
        elif lot < 0.995:
            self.proposals += 1
            self.asked[self.proposals] = max(self.committed, default=0)
            self.step(name, t.ReadIndex(token=self.proposals))
        elif lot < 0.998:
            self.replicas[name] = self.boot(name)
        else:
            self.step(name, t.TransferLeadership())


class RaftTest(unittest.TestCase):
    def test_safety_on_many_seeds(self) -> None:
        total = 0
        for seed in range(40):
            with self.subTest(seed=seed):
                net = Net(seed)
                for _ in range(4_000):
                    net.turn()
                self.assertEqual([], net.problems)
                total += len(net.committed)
        self.assertGreater(total, 400, "hardly anything was committed: nothing was proved")

    def test_cut_off_replica_does_not_raise_the_term(self) -> None:
        net = Net(3)
        while not any(r.role == t.LEADER for r in net.replicas.values()):
            net.turn()
        leader = next(n for n, r in net.replicas.items() if r.role == t.LEADER)
        lost = next(n for n in NAMES if n != leader)
        before = net.replicas[lost].term
        for _ in range(100):
            net.now += 100_000
            net.replicas[lost].step(now_us=net.now, event=t.Tick())
        self.assertEqual(before, net.replicas[lost].term)

    def test_leader_without_a_majority_steps_down(self) -> None:
        net = Net(3)
        while not any(r.role == t.LEADER for r in net.replicas.values()):
            net.turn()
        leader = next(r for r in net.replicas.values() if r.role == t.LEADER)
        for _ in range(60):
            net.now += 100_000
            leader.step(now_us=net.now, event=t.Tick())
        self.assertNotEqual(t.LEADER, leader.role)

    def test_learner_forgets_a_leader_that_it_no_longer_hears(self) -> None:
        members = [*MEMBERS, CoreMember(replica="d", address="d")]
        learner = Replica(me="d", cluster="k", members=members, rand=random.Random(1), now_us=0)
        heartbeat = AppendEntries(cluster="k", sender="a", to="d", term=1, leader_address="a")
        learner.step(now_us=1_000, event=t.Received(message=heartbeat))
        learner.step(now_us=1_000, event=t.Synced(number=1))
        self.assertEqual("a", learner.leader)
        learner.step(now_us=2_000_000, event=t.Tick())
        self.assertEqual(("", ""), (learner.leader, learner.leader_address))


class Follower:
    """One replica of three that is fed by hand; its disk syncs when it is told to."""

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
        """An AppendEntries with no entries, behind the entry at `index`."""
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


def only(effects: list[object], kind: type) -> list:
    return [effect for effect in effects if isinstance(effect, kind)]


class InstalledSnapshotTest(unittest.TestCase):
    """The paper's figure 13: what an installed snapshot leaves of the log."""

    def late_fetch(self) -> tuple[Follower, list[object]]:
        """Entries up to 80 are appended, synced and acknowledged to the leader of term
        3 while the transfer of a snapshot up to 60, offered in term 2, is under way."""
        one = Follower(base=50, last=50)
        offers = only(one.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered)
        self.assertEqual(60, offers[0].index)
        entries = [LogEntry(index=i, term=2, kind=t.COMMAND) for i in range(51, 81)]
        one.receive(
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
        one.step(t.Synced(number=one.replica.state.writes.last_number))
        self.assertEqual((80, 80, 55), self.ends(one))
        return one, one.fetched(offers[0])

    def ends(self, one: Follower) -> tuple[int, int, int]:
        replica = one.replica
        return replica.log.last_index, replica.durable, replica.commit_index

    def test_an_acknowledged_suffix_stays_in_the_log_and_on_disk(self) -> None:
        one, effects = self.late_fetch()
        self.assertEqual((80, 80, 60), self.ends(one))
        kept = only(effects, t.SaveSnapshot)
        self.assertEqual(list(range(61, 81)), [entry.index for entry in kept[0].tail])

    def test_a_membership_change_in_the_suffix_stays_in_force(self) -> None:
        one = Follower(base=50, last=50, term=2)
        offers = only(one.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered)
        more = [*MEMBERS, CoreMember(replica="d", address="d")]
        entries = [LogEntry(index=i, term=2, kind=t.COMMAND) for i in range(51, 71)]
        entries[-1] = LogEntry(
            index=70, term=2, kind=t.MEMBERSHIP, data=write_members(members=more)
        )
        one.receive(
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
        one.fetched(offers[0])
        self.assertTrue(one.replica.members.has(replica="d"))
        self.assertEqual(70, one.replica.members.index)

    def test_a_log_that_differs_at_the_last_included_index_is_discarded(self) -> None:
        one = Follower(base=50, last=80, term=2)
        offers = only(one.offer(term=4, sender="b", index=60, index_term=3), t.FetchOffered)
        effects = one.fetched(offers[0])
        self.assertEqual((60, 50, 60), self.ends(one))
        self.assertEqual([], only(effects, t.SaveSnapshot)[0].tail)
        one.step(t.Synced(number=one.replica.state.writes.last_number))
        self.assertEqual((60, 60, 60), self.ends(one))

    def test_a_log_that_holds_the_last_included_entry_needs_no_transfer(self) -> None:
        one = Follower(base=50, last=80, term=2)
        effects = one.offer(term=3, sender="b", index=60, index_term=2)
        self.assertEqual([], only(effects, t.FetchOffered))
        self.assertEqual((80, 80, 60), self.ends(one))
        replies = [effect.message for effect in only(effects, t.Send)]
        self.assertEqual([(True, 60)], [(r.is_ok, r.match_index) for r in replies])

    def test_a_leader_keeps_its_own_log(self) -> None:
        one = Follower(base=50, last=50, term=2)
        offers = only(one.offer(term=2, sender="b", index=60, index_term=2), t.FetchOffered)
        one.append(term=2, sender="b", index=50)
        one.replica.state.role = t.LEADER
        one.fetched(offers[0])
        self.assertEqual(50, one.replica.log.base_index)

    def test_a_fetch_offered_in_an_older_term_answers_no_later_leader(self) -> None:
        """The reply would carry the heartbeat of the older term under the new term: a
        leader that was restarted in between would take it for contact after a read."""
        one = Follower(base=50, last=50)
        offers = only(
            one.offer(term=2, sender="b", index=60, index_term=2, heartbeat=900), t.FetchOffered
        )
        one.append(term=3, sender="b", index=50)
        effects = one.fetched(offers[0])
        self.assertEqual(60, one.replica.log.base_index)
        self.assertEqual([], only(effects, t.Send))

    def test_a_fetch_of_the_same_term_is_answered(self) -> None:
        one = Follower(base=50, last=50)
        offers = only(
            one.offer(term=2, sender="b", index=60, index_term=2, heartbeat=9), t.FetchOffered
        )
        replies = [send.message for send in only(one.fetched(offers[0]), t.Send)]
        self.assertEqual([(60, 9, 2)], [(r.match_index, r.heartbeat, r.term) for r in replies])


class InstalledSnapshotOnDiskTest(unittest.TestCase):
    def test_an_acknowledged_suffix_is_there_after_a_loss_of_power(self) -> None:
        """The same late fetch as above, with the disk under it."""
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
            own="10.0.0.1:7100",
            on_applied=lambda outcome, index: None,
            on_role=lambda role: None,
            on_error=failures.append,
        )
        entries = [LogEntry(index=i, term=2, kind=t.NOOP) for i in range(2, 81)]
        task.heard(
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
        task._take(
            event=t.SnapshotFetched(
                index=60, term=2, members=MEMBERS, leader="b", leader_term=2, heartbeat=0
            )
        )
        await asyncio.sleep(0.1)
        self.assertEqual([], failures)
        process.kill()
        machine.platter.cut_power()
        store = Store(ports=SimProcess(world=world, name="p", machine=machine, instance=2).ports)
        return await store.recover(identity=await store.read_identity())


class DurableTermTest(unittest.TestCase):
    """What a replica says in a term is on its disk before it says it."""

    def candidate(self) -> tuple[Follower, list[object]]:
        one = Follower(base=0, last=5, term=3)
        one.now = 10_000_000
        one.step(t.Tick())  # pre-vote
        effects = []
        for sender in ("b", "c"):
            effects += one.receive(
                RequestVoteReply(
                    cluster="k", sender=sender, to="a", term=4, is_pre_vote=True, is_granted=True
                )
            )
        self.assertEqual((t.CANDIDATE, 4), (one.replica.role, one.replica.term))
        return one, effects

    def test_votes_are_asked_for_when_term_and_own_vote_are_synced(self) -> None:
        """Else a crash could forget the term, and the same replica would ask for votes in
        it again, with a shorter log: late grants for the longer one would count."""
        one, effects = self.candidate()
        persisted = only(effects, t.Persist)[-1]
        self.assertEqual((4, "a"), (persisted.term, persisted.vote))
        asked = [s for s in only(effects, t.Send) if isinstance(s.message, RequestVote)]
        self.assertEqual(2, len(asked))
        self.assertTrue(all(send.after >= persisted.number for send in asked))

    def test_a_term_that_is_not_synced_has_no_leader(self) -> None:
        """Grants that come before can only be for an earlier life of this replica."""
        one, _ = self.candidate()
        grants = [
            RequestVoteReply(cluster="k", sender=sender, to="a", term=4, is_granted=True)
            for sender in ("b", "c")
        ]
        for grant in grants:
            one.receive(grant)
        self.assertEqual(t.CANDIDATE, one.replica.role)
        one.step(t.Synced(number=one.replica.state.writes.last_number))
        self.assertEqual(t.CANDIDATE, one.replica.role)
        one.receive(grants[0])
        self.assertEqual(t.LEADER, one.replica.role)


class TransferTest(unittest.TestCase):
    def leader(self) -> Follower:
        one, _ = DurableTermTest().candidate()
        one.step(t.Synced(number=one.replica.state.writes.last_number))
        one.receive(RequestVoteReply(cluster="k", sender="b", to="a", term=4, is_granted=True))
        self.assertEqual(t.LEADER, one.replica.role)
        one.step(t.Synced(number=one.replica.state.writes.last_number))
        self.acknowledge(one, "b")
        self.assertEqual(6, one.replica.commit_index)
        return one

    def acknowledge(self, one: Follower, *names: str) -> list[object]:
        effects = []
        for name in names:
            effects += one.receive(
                AppendEntriesReply(
                    cluster="k",
                    sender=name,
                    to="a",
                    term=one.replica.term,
                    is_ok=True,
                    match_index=one.replica.log.last_index,
                )
            )
        return effects

    def test_nothing_is_proposed_while_the_lead_is_transferred(self) -> None:
        one = self.leader()
        one.step(t.TransferLeadership())
        last = one.replica.log.last_index
        self.assertTrue(only(one.step(t.Propose(kind=t.COMMAND, data=b"", token=1)), t.NotLeader))
        one.step(t.JoinRequested(member=CoreMember(replica="d", address="d")))
        self.assertEqual(last, one.replica.log.last_index)

    def test_a_transfer_that_comes_to_nothing_is_given_up_in_time(self) -> None:
        one = self.leader()
        one.step(t.TransferLeadership())
        one.now += 900_000
        one.step(t.Tick())
        effects = one.step(t.Propose(kind=t.COMMAND, data=b"", token=1))
        self.assertTrue(only(effects, t.Proposed))

    def test_asking_again_does_not_keep_a_transfer_up_for_ever(self) -> None:
        one = self.leader()
        one.step(t.TransferLeadership())
        for _ in range(9):
            one.now += 100_000
            one.step(t.TransferLeadership())
        one.step(t.Tick())
        effects = one.step(t.Propose(kind=t.COMMAND, data=b"", token=1))
        self.assertTrue(only(effects, t.Proposed))

    def test_a_join_that_came_during_a_transfer_is_taken_up_after_it(self) -> None:
        one = self.leader()
        one.step(t.TransferLeadership())
        one.step(t.JoinRequested(member=CoreMember(replica="d", address="d")))
        one.now += 900_000
        one.step(t.Tick())
        self.assertTrue(one.replica.members.has(replica="d"))

    def test_a_stalled_disk_does_not_campaign_when_told_to(self) -> None:
        one = Follower(base=0, last=5, term=3)
        one.append(term=4, sender="b", index=5)  # the new term is never synced
        one.now += 2_000_000
        one.receive(TimeoutNow(cluster="k", sender="b", to="a", term=4))
        self.assertEqual((t.FOLLOWER, 4), (one.replica.role, one.replica.term))


class ConflictTest(unittest.TestCase):
    """Where a log differs, the leader finds where it matches in a round a term at most."""

    def rounds(self, one: Follower, *, leader_terms: list[int], next_index: int) -> int:
        """How often a leader with these terms is refused before its entries are taken."""
        count = 0
        while True:
            effects = one.receive(
                AppendEntries(
                    cluster="k",
                    sender="b",
                    to="a",
                    term=9,
                    prev_log_index=next_index - 1,
                    prev_log_term=leader_terms[next_index - 2],
                )
            )
            reply = only(effects, t.Send)[-1].message
            if reply.is_ok:
                return count
            count += 1
            self.assertLess(reply.conflict_index + 1, next_index)
            next_index = reply.conflict_index + 1

    def test_three_hundred_entries_of_one_term_are_passed_at_once(self) -> None:
        one = Follower(base=0, last=10, term=2)
        for index in range(11, 311):
            one.replica.log.add(LogEntry(index=index, term=3, kind=t.COMMAND))
        leader_terms = [2] * 10 + [5] * 400
        self.assertEqual(1, self.rounds(one, leader_terms=leader_terms, next_index=300))

    def test_what_is_committed_is_never_passed(self) -> None:
        one = Follower(base=0, last=10, term=2)
        one.replica.state.commit_index = 7
        leader_terms = [2] * 7 + [5] * 20
        self.assertEqual(1, self.rounds(one, leader_terms=leader_terms, next_index=11))

    def test_a_second_leader_in_a_term_ends_the_process(self) -> None:
        one = TransferTest().leader()
        with self.assertRaises(InvariantViolated):
            one.append(term=4, sender="b", index=5)

    def test_a_conflict_with_a_committed_entry_ends_the_process(self) -> None:
        one = Follower(base=0, last=10, term=2)
        one.replica.state.commit_index = 7
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
            one.receive(message)
