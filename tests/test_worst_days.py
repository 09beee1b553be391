"""Simulated cores under hundreds of large writes, while a member is down for half a minute,
all cores lose power, a core is replaced, and disks are lost one after the other."""

from __future__ import annotations

import random
import unittest
from typing import Any, Awaitable, Callable

from kelpstage.common.transport.messages import AppendEntries, AppendEntriesReply, CoreMember
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.types import COMMAND, Persist, Propose, Received, Send, Synced, Tick
from tests.test_cores import CATCH_UP_US, Register, SimulatedCores, run_scenario

WRITE_INTERVAL_US = 470_000
DOCUMENT_BYTES = 130_000
NEXT_WRITE_LIMIT_US = 12_000_000
FAR_BYTES_PER_US = 2.0  # a 48 KiB window over a 24 ms round trip


class ConfigurationWriter:
    """An operator that keeps writing configurations."""

    def __init__(self, cores: SimulatedCores, *, seed: int) -> None:
        self.cores = cores
        self.rand = random.Random(f"{seed}/changes")
        self.register = Register(cores)
        self.task = cores.outside.spawn(self._run())

    @property
    def acknowledged(self) -> int:
        return len(self.register.acknowledged)

    async def _run(self) -> None:
        cores, register, serial = self.cores, self.register, 0
        while register.is_open:
            serial += 1
            base, _ = await register.read(self.rand)
            # Random, so that no delta is small.
            text = self.rand.randbytes(DOCUMENT_BYTES // 2).hex()
            body = cores.document(f"{serial} on {base} {text}")
            register.sent.setdefault(base + 1, []).append(body)
            await register.put(
                self.rand, base=base, version=base + 1, body=body, put_id=f"change-{serial}"
            )
            await cores.sleep(WRITE_INTERVAL_US)

    async def expect_next_write(self, *, after: str) -> None:
        """Wait for the next acknowledgement; raise `AssertionError` after `NEXT_WRITE_LIMIT_US`."""
        before = self.acknowledged
        try:
            await self.cores.wait_for(
                lambda: self.acknowledged > before or self.task.done(), us=NEXT_WRITE_LIMIT_US
            )
        except AssertionError as stuck:
            raise AssertionError(f"after {after}: {stuck}\n{describe_cores(self.cores)}") from stuck
        if self.task.done():
            self.task.result()

    async def stop(self) -> None:
        self.register.is_open = False
        await self.task


def describe_cores(cores: SimulatedCores) -> str:
    """Each core's role, log and members, for failure messages."""
    return "\n".join(_describe_core(cores, name=name) for name in cores.names)


def _describe_core(cores: SimulatedCores, *, name: str) -> str:
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


def expect_all_voters(cores: SimulatedCores, *, after: str) -> None:
    """Assert that every remaining machine is a voter in contact with the leader."""
    there = {cores.address(name) for name in cores.names}
    if there != set(cores.voters()):
        raise AssertionError(f"after {after}: voters {cores.voters()}\n{describe_cores(cores)}")


async def kill_and_restart(
    cores: SimulatedCores, *, name: str, away_us: int, is_disk: bool
) -> None:
    cores.kill(name, is_power=True, is_disk=is_disk)
    await cores.sleep(away_us)
    await cores.start(name)


async def replace_core(cores: SimulatedCores, *, gone: str, fresh: str) -> None:
    """Remove a machine with its disk, and start an empty one at another address."""
    cores.kill(gone, is_disk=True)
    cores.names.remove(gone)
    cores.add(name=fresh, zone="d0")
    await cores.sleep(1_000_000)
    await cores.start(fresh, seeds=[gone, *cores.names[:2]])


def mixed_losses_scenario(*, seed: int) -> Callable[[SimulatedCores], Awaitable[None]]:
    """The faults that broke a cluster in production: outage, power loss, replacement, disk."""

    async def scenario(cores: SimulatedCores) -> None:
        rand = random.Random(f"{seed}/story")
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        writer = ConfigurationWriter(cores, seed=seed)
        await cores.sleep(8_000_000)

        dark = rand.choice(cores.names)
        await kill_and_restart(cores, name=dark, away_us=30_000_000, is_disk=False)
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="half a minute without power")

        cores.kill(*cores.names, is_power=True)
        await cores.sleep(1_500_000)
        await cores.start()
        await writer.expect_next_write(after="the loss of all power")

        await cores.sleep(8_000_000)
        await replace_core(cores, gone=rand.choice(cores.names), fresh="c3")
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="a replacement")

        await writer.expect_next_write(after="a replacement")
        lost = rand.choice([cores.leader() or "c3", *cores.names])
        await kill_and_restart(cores, name=lost, away_us=2_000_000, is_disk=True)
        await cores.sleep(CATCH_UP_US)
        expect_all_voters(cores, after="a lost disk")

        await writer.expect_next_write(after="a lost disk")
        await writer.stop()
        cores.kill(rand.choice(cores.names), is_disk=True)
        cores.kill(*cores.up(), is_power=True)
        await cores.sleep(1_000_000)
        await cores.start()
        await writer.register.read(rand)

    return scenario


class LossesDuringWrites(unittest.TestCase):
    def test_outage_power_loss_replacement_and_disk_loss(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                run_scenario(mixed_losses_scenario(seed=seed), seed=seed, count=3, tolerance=1)

    def test_with_bounded_connection_windows(self) -> None:
        """The entries that a returning or new member lacks take over a second to transmit. They
        are sent once, not again with each heartbeat that arrives earlier."""
        for seed in range(3):
            with self.subTest(seed=seed):
                run_scenario(
                    mixed_losses_scenario(seed=seed),
                    seed=seed,
                    count=3,
                    tolerance=1,
                    far_bytes_per_us=FAR_BYTES_PER_US,
                )


def repeated_losses_scenario(
    *, seed: int, turns: int
) -> Callable[[SimulatedCores], Awaitable[None]]:
    """A sequence of losses, each once the previous one counts as recovered."""

    async def scenario(cores: SimulatedCores) -> None:
        rand = random.Random(f"{seed}/wipes")
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 3)
        writer = ConfigurationWriter(cores, seed=seed)
        await cores.sleep(6_000_000)
        for turn in range(turns):
            kind = rand.choice(("wipe", "wipe", "replace", "power"))
            await writer.expect_next_write(after=f"turn {turn}")
            name = rand.choice([cores.leader() or cores.names[0], *cores.names])
            if kind == "replace":
                await replace_core(cores, gone=name, fresh=f"c{turn + 3}")
            else:
                away_us = rand.choice((300_000, 1_500_000, 3_000_000))
                await kill_and_restart(cores, name=name, away_us=away_us, is_disk=kind == "wipe")
            await cores.sleep(CATCH_UP_US)
            expect_all_voters(cores, after=f"turn {turn}: {kind} of {name}")
        await writer.expect_next_write(after="the last loss")
        await writer.stop()
        cores.kill(rand.choice(cores.names), is_disk=True)
        cores.kill(*cores.up(), is_power=True)
        await cores.sleep(1_000_000)
        await cores.start()
        await writer.register.read(rand)

    return scenario


class RepeatedLosses(unittest.TestCase):
    def test_each_loss_is_recovered_in_time(self) -> None:
        for seed in (9, 11):
            with self.subTest(seed=seed):
                run_scenario(
                    repeated_losses_scenario(seed=seed, turns=8),
                    seed=seed,
                    count=3,
                    tolerance=1,
                    far_bytes_per_us=2.5,
                )


class LargeMessageInFlight(unittest.TestCase):
    """A leader, and a member to which a large message is in flight."""

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
        """Handle the event and sync its writes; return the messages sent to the member."""
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
        """The messages that the leader sends within `span_us` without a reply."""
        sent = []
        until_us = self.now_us + span_us
        while self.now_us < until_us:
            self.now_us += 20_000
            sent += self.step(Tick())
        return sent

    def test_heartbeat_carries_the_known_match_index(self) -> None:
        for message in self.heartbeats(span_us=300_000):
            self.assertEqual(self.large_index - 1, message.prev_log_index)
            self.assertEqual([], message.entries)

    def test_stale_mismatch_resends_nothing(self) -> None:
        sent = self.answer(is_ok=False, conflict_index=self.large_index - 1)
        self.assertEqual([], [message for message in sent if message.entries])

    def test_mismatch_at_an_earlier_index_sends_the_missing_entries(self) -> None:
        progress = self.leader.state.progress["b"]
        progress.match_index = 0
        (message,) = self.answer(is_ok=False, conflict_index=self.large_index - 2)
        self.assertEqual(self.large_index - 1, message.entries[0].index)

    def test_lost_message_is_resent(self) -> None:
        """The message was lost with its connection, and no error reports it."""
        self.heartbeats(span_us=500_000)
        again = self.answer(is_ok=False, conflict_index=self.large_index - 1)
        self.assertEqual(self.large_index, again[0].entries[0].index)


class ReturnAfterAbsence(unittest.TestCase):
    """A member that was unreachable for long exchanges messages again as soon as it returns:
    the others do not wait for its old connections."""

    def run_absence(self, *, seed: int, is_partition: bool, away_us: int) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            writer = ConfigurationWriter(cores, seed=seed)
            await cores.sleep(2_000_000)
            away = cores.names[seed % 3]
            others = [name for name in cores.names if name != away]
            if is_partition:
                for other in others:
                    cores.world.block_path(a=away, b=other)
                await cores.sleep(away_us)
                cores.world.heal()
            else:
                await kill_and_restart(cores, name=away, away_us=away_us, is_disk=False)
            await cores.sleep(CATCH_UP_US)
            expect_all_voters(cores, after=f"{away_us} us away")
            leader = cores.daemons[cores.leader()].task.raft
            behind = leader.commit_index - cores.daemons[away].task.raft.commit_index
            self.assertLessEqual(behind, 2, describe_cores(cores))
            await writer.expect_next_write(after=f"{away_us} us away")
            await writer.stop()

        run_scenario(scenario, seed=seed, count=3, tolerance=1)

    def test_after_a_power_loss(self) -> None:
        for seed, away_us in enumerate((3_000_000, 10_000_000, 30_000_000)):
            with self.subTest(away_us=away_us):
                self.run_absence(seed=seed, is_partition=False, away_us=away_us)

    def test_after_a_network_partition(self) -> None:
        for seed, away_us in enumerate((3_000_000, 10_000_000, 20_000_000)):
            with self.subTest(away_us=away_us):
                self.run_absence(seed=seed, is_partition=True, away_us=away_us)


if __name__ == "__main__":
    unittest.main()
