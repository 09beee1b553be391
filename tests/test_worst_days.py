"""Simulated cores on days of hundreds of changes: a member away for half a minute, all
power lost, a replacement, lost disks one after the other; each change is a large one."""

from __future__ import annotations

import random
import unittest
from typing import Any, Awaitable, Callable

from kelpstage.common.transport.messages import AppendEntries, AppendEntriesReply, CoreMember
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.types import COMMAND, Persist, Propose, Received, Send, Synced, Tick
from tests.test_cores import CATCH_UP_US, Cores, Register, play

CHANGE_GAP_US = 470_000
DOCUMENT_BYTES = 130_000
GOES_ON_US = 12_000_000
FAR_BYTES_PER_US = 2.0  # a window of 48 KiB and a round trip of 24 ms


class Changes:
    """An operator that changes the configuration all day long."""

    def __init__(self, cores: Cores, *, seed: int) -> None:
        self.cores = cores
        self.rand = random.Random(f"{seed}/changes")
        self.register = Register(cores)
        self.task = cores.outside.spawn(self._run())

    @property
    def acknowledged(self) -> int:
        return len(self.register.acked)

    async def _run(self) -> None:
        cores, register, serial = self.cores, self.register, 0
        while register.is_open:
            serial += 1
            base, _ = await register.read(self.rand)
            text = self.rand.randbytes(DOCUMENT_BYTES // 2).hex()  # no difference is small
            body = cores.document(f"{serial} on {base} {text}")
            register.sent.setdefault(base + 1, []).append(body)
            await register.put(
                self.rand, base=base, version=base + 1, body=body, put_id=f"change-{serial}"
            )
            await cores.sleep(CHANGE_GAP_US)

    async def go_on(self, *, after: str) -> None:
        """The next change is acknowledged in bounded time."""
        before = self.acknowledged
        try:
            await self.cores.wait_for(
                lambda: self.acknowledged > before or self.task.done(), us=GOES_ON_US
            )
        except AssertionError as stuck:
            raise AssertionError(f"after {after}: {stuck}\n{state_of(self.cores)}") from stuck
        if self.task.done():
            self.task.result()

    async def end(self) -> None:
        self.register.is_open = False
        await self.task


def state_of(cores: Cores) -> str:
    """Each core's role, log and members, for a failure's message."""
    return "\n".join(_state_of_core(cores, name=name) for name in cores.names)


def _state_of_core(cores: Cores, *, name: str) -> str:
    core = cores.daemons.get(name)
    if core is None or not cores.processes[name].is_alive:
        return f"{name}: down"
    if core.task is None:
        return f"{name}: no replica, waits for {core.waits_for}"
    replica = core.task.raft
    members = [(m.replica[:4], m.address, m.is_voter) for m in replica.members.current]
    return (
        f"{name}: {replica.me[:4]} {replica.role} term {replica.term} leader {replica.leader[:4]} "
        f"log {replica.log.base_index}..{replica.log.last_index} commit {replica.commit_index} "
        f"members {members}"
    )


def expect_all_voters(cores: Cores, *, after: str) -> None:
    """Every machine that is there is a voter that the leader hears."""
    there = {cores.address(name) for name in cores.names}
    if there != set(cores.voters()):
        raise AssertionError(f"after {after}: voters {cores.voters()}\n{state_of(cores)}")


async def lose_and_return(cores: Cores, *, name: str, away_us: int, is_disk: bool) -> None:
    cores.kill(name, is_power=True, is_disk=is_disk)
    await cores.sleep(away_us)
    await cores.start(name)


async def replace(cores: Cores, *, gone: str, fresh: str) -> None:
    """One machine is gone for good, an empty one comes at another address."""
    cores.kill(gone, is_disk=True)
    cores.names.remove(gone)
    cores.add(name=fresh, zone="d0")
    await cores.sleep(1_000_000)
    await cores.start(fresh, seeds=[gone, *cores.names[:2]])


def recording_of(*, seed: int) -> Callable[[Cores], Awaitable[None]]:
    """The whole day, as it broke on the users' platform."""

    async def scenario(cores: Cores) -> None:
        rand = random.Random(f"{seed}/story")
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        changes = Changes(cores, seed=seed)
        await cores.sleep(8_000_000)

        dark = rand.choice(cores.names)
        await lose_and_return(cores, name=dark, away_us=30_000_000, is_disk=False)
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="half a minute without power")

        cores.kill(*cores.names, is_power=True)
        await cores.sleep(1_500_000)
        await cores.start()
        await changes.go_on(after="the loss of all power")

        await cores.sleep(8_000_000)
        await replace(cores, gone=rand.choice(cores.names), fresh="c3")
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="a replacement")

        await changes.go_on(after="a replacement")
        lost = rand.choice([cores.leader() or "c3", *cores.names])
        await lose_and_return(cores, name=lost, away_us=2_000_000, is_disk=True)
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="a lost disk")

        await changes.go_on(after="a lost disk")
        await changes.end()
        cores.kill(rand.choice(cores.names), is_disk=True)
        cores.kill(*cores.up(), is_power=True)
        await cores.sleep(1_000_000)
        await cores.start()
        await changes.register.read(rand)

    return scenario


class HundredsOfChanges(unittest.TestCase):
    def test_the_day_that_broke(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                play(recording_of(seed=seed), seed=seed, count=3, tolerance=1)

    def test_with_connections_of_bounded_windows(self) -> None:
        """What a returned or new member lacks is under way for a second and more; it is
        sent once, not with each heartbeat that overtakes it."""
        for seed in range(3):
            with self.subTest(seed=seed):
                play(
                    recording_of(seed=seed),
                    seed=seed,
                    count=3,
                    tolerance=1,
                    far_bytes_per_us=FAR_BYTES_PER_US,
                )


def losses_of(*, seed: int, turns: int) -> Callable[[Cores], Awaitable[None]]:
    """A loss each time that the one before counts as made good."""

    async def scenario(cores: Cores) -> None:
        rand = random.Random(f"{seed}/wipes")
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        changes = Changes(cores, seed=seed)
        await cores.sleep(6_000_000)
        for turn in range(turns):
            kind = rand.choice(("wipe", "wipe", "replace", "power"))
            await changes.go_on(after=f"turn {turn}")
            name = rand.choice([cores.leader() or cores.names[0], *cores.names])
            if kind == "replace":
                await replace(cores, gone=name, fresh=f"c{turn + 3}")
            else:
                away_us = rand.choice((300_000, 1_500_000, 3_000_000))
                await lose_and_return(cores, name=name, away_us=away_us, is_disk=kind == "wipe")
            await cores.sleep(CATCH_UP_US)
            expect_all_voters(cores, after=f"turn {turn}: {kind} of {name}")
        await changes.go_on(after="the last loss")
        await changes.end()
        cores.kill(rand.choice(cores.names), is_disk=True)
        cores.kill(*cores.up(), is_power=True)
        await cores.sleep(1_000_000)
        await cores.start()
        await changes.register.read(rand)

    return scenario


class OneLossAfterTheOther(unittest.TestCase):
    def test_each_is_made_good_in_time(self) -> None:
        for seed in (9, 11):
            with self.subTest(seed=seed):
                play(
                    losses_of(seed=seed, turns=8),
                    seed=seed,
                    count=3,
                    tolerance=1,
                    far_bytes_per_us=2.5,
                )


class LargeMessage(unittest.TestCase):
    """A leader, and a member to which a large message is under way."""

    def setUp(self) -> None:
        members = [
            CoreMember(replica="a", address="10.0.0.1:1", is_voter=True),
            CoreMember(replica="b", address="10.0.0.2:1", is_voter=False),
        ]
        self.leader = Replica(me="a", cluster="c", members=members, rand=random.Random(1), now_us=0)
        self.now_us = 10_000_000
        self.step(Tick())
        self.answer(is_ok=True, match_index=self.leader.log.last_index)
        self.step(Propose(kind=COMMAND, data=bytes(range(256)) * 300, token=1))
        self.large_index = self.leader.log.last_index

    def step(self, event: Any) -> list[AppendEntries]:
        """Take the event, sync what is written; what goes to the member."""
        effects = self.leader.step(now_us=self.now_us, event=event)
        writes = [e.number for e in effects if isinstance(e, Persist)]
        for number in writes:
            effects += self.leader.step(now_us=self.now_us, event=Synced(number=number))
        sent = [e.message for e in effects if isinstance(e, Send)]
        return [message for message in sent if isinstance(message, AppendEntries)]

    def answer(self, **more: Any) -> list[AppendEntries]:
        reply = AppendEntriesReply(cluster="c", sender="b", to="a", term=self.leader.term, **more)
        return self.step(Received(message=reply))

    def heartbeats(self, *, span_us: int) -> list[AppendEntries]:
        """What is sent in so long without an answer."""
        sent = []
        until_us = self.now_us + span_us
        while self.now_us < until_us:
            self.now_us += 20_000
            sent += self.step(Tick())
        return sent

    def test_a_heartbeat_names_what_is_known_to_match(self) -> None:
        for message in self.heartbeats(span_us=300_000):
            self.assertEqual(self.large_index - 1, message.prev_log_index)
            self.assertEqual([], message.entries)

    def test_a_mismatch_from_before_sends_nothing_again(self) -> None:
        sent = self.answer(is_ok=False, conflict_index=self.large_index - 1)
        self.assertEqual([], [message for message in sent if message.entries])

    def test_a_mismatch_further_back_sends_what_is_missing(self) -> None:
        progress = self.leader.state.progress["b"]
        progress.match_index = 0
        (message,) = self.answer(is_ok=False, conflict_index=self.large_index - 2)
        self.assertEqual(self.large_index - 1, message.entries[0].index)

    def test_what_is_lost_is_sent_again_soon(self) -> None:
        """The connection it was written to is gone: nobody says so."""
        self.heartbeats(span_us=500_000)
        again = self.answer(is_ok=False, conflict_index=self.large_index - 1)
        self.assertEqual(self.large_index, again[0].entries[0].index)


class Return(unittest.TestCase):
    """A member that was away for long is heard and told again as soon as it is back: no
    connection from before is waited for."""

    def play_absence(self, *, seed: int, is_cut: bool, away_us: int) -> None:
        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            changes = Changes(cores, seed=seed)
            await cores.sleep(2_000_000)
            away = cores.names[seed % 3]
            others = [name for name in cores.names if name != away]
            if is_cut:
                for other in others:
                    cores.world.cut(a=away, b=other)
                await cores.sleep(away_us)
                cores.world.heal()
            else:
                await lose_and_return(cores, name=away, away_us=away_us, is_disk=False)
            await cores.sleep(CATCH_UP_US)
            expect_all_voters(cores, after=f"{away_us} us away")
            leader = cores.daemons[cores.leader()].task.raft
            behind = leader.commit_index - cores.daemons[away].task.raft.commit_index
            self.assertLessEqual(behind, 2, state_of(cores))
            await changes.go_on(after=f"{away_us} us away")
            await changes.end()

        play(scenario, seed=seed, count=3, tolerance=1)

    def test_after_a_loss_of_power(self) -> None:
        for seed, away_us in enumerate((3_000_000, 10_000_000, 30_000_000)):
            with self.subTest(away_us=away_us):
                self.play_absence(seed=seed, is_cut=False, away_us=away_us)

    def test_after_a_cut(self) -> None:
        for seed, away_us in enumerate((3_000_000, 10_000_000, 20_000_000)):
            with self.subTest(away_us=away_us):
                self.play_absence(seed=seed, is_cut=True, away_us=away_us)


if __name__ == "__main__":
    unittest.main()
