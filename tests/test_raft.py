"""Raft alone, on many seeds: lost, late and doubled messages, crashes that lose
what was not synced; committed entries never change, and a term has one leader."""

from __future__ import annotations

import random
import unittest

from kelpstage.base.wire.messages import CoreMember, LogEntry
from kelpstage.core.raft import types as t
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.replica import Replica

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
