"""Configuration writes of operators: retries, lost replies, two operators, leader changes."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.core import snapshots
from kelpstage.core.leases.configuration_writes import ConfigurationWrites
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state import machine as state_machine
from kelpstage.core.state.commands import Command, PutConfiguration, RefusePut
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.machine import RECORDS_KEPT, REFUSALS_KEPT, Machine
from kelpstage.core.state.outcomes import PutApplied, PutNotAbove, PutOutcomeUnknown, PutSuperseded
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.testbed.checkers.linearizable import Answer, Attempt, Read, Write, find_anomalies
from kelpstage.testbed.fleet.deployment import load as fleet_deployment
from kelpstage.testbed.platform_model.machines import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.test_bad_orders import Site, order
from tests.test_cluster_recovery import run_recovery
from tests.test_cores import inject_fault, run_scenario


class RequestRecords(unittest.TestCase):
    """The replicated records of writes: the outcome of a retry, however late it arrives."""

    def setUp(self) -> None:
        self.machine = Machine(cluster="c")

    def put(
        self, machine: Machine, *, base: int, version: int = 0, text: str = "", put_id=""
    ) -> object:
        put = PutConfiguration(
            put_id=put_id or f"{base}/{version}/{text}",
            expected=base,
            document=text.encode(),
            version=version,
        )
        return machine.apply(data=bytes(Command(put=put)))

    def apply_writes(self, *, times: int) -> None:
        for _ in range(times):
            base = self.machine.state.version
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)

    def reject_writes(self, *, times: int) -> None:
        for number in range(times):
            outcome = self.put(self.machine, base=0, version=9, text=f"late {number}")
            self.assertIsInstance(outcome, PutSuperseded)

    def restored(self) -> Machine:
        return Machine(cluster="c", state=CoreState().parse(bytes(self.machine.state)))

    def test_a_superseded_write_is_acknowledged_again_after_thousands_of_writes(self) -> None:
        self.apply_writes(times=1)
        first = dict(base=0, version=2, text="on 0")
        for _ in range(4):
            self.apply_writes(times=700)
            self.assertEqual(2, self.put(self.machine, **first).version)
            self.assertEqual(2, self.put(self.machine, **first, put_id="another").version)
            self.machine = self.restored()
        for base in range(0, self.machine.state.version, 2):
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)
            self.assertEqual(base + 2, outcome.version)
        self.assertEqual(RECORDS_KEPT, len(self.machine.state.puts))

    def test_rejections_never_evict_applied_writes(self) -> None:
        self.apply_writes(times=3)
        self.reject_writes(times=RECORDS_KEPT + REFUSALS_KEPT + 9)
        outcome = self.put(self.machine, base=0, version=2, text="on 0")
        self.assertEqual(PutApplied(version=2, epoch=1), outcome)
        self.assertEqual(REFUSALS_KEPT, len(self.machine.state.refused))

    def test_a_conflicting_write_on_a_superseded_base_is_still_rejected(self) -> None:
        self.apply_writes(times=RECORDS_KEPT + 20)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=0, version=2, text="another on 0")
            self.assertEqual(PutSuperseded(expected=0, current=machine.state.version), outcome)

    def test_a_restored_snapshot_decides_like_its_replica(self) -> None:
        self.apply_writes(times=RECORDS_KEPT + 30)
        self.reject_writes(times=7)
        again = self.restored()
        writes = [
            *({"base": b, "version": b + 2, "text": f"on {b}"} for b in range(0, 1200, 2)),
            *({"base": 0, "version": 9, "text": f"late {n}"} for n in range(9)),
            {"base": again.state.version, "version": again.state.version, "text": "not above"},
            {"base": again.state.version, "version": again.state.version + 1, "text": "next"},
        ]
        for write in writes:
            self.assertEqual(self.put(self.machine, **write), self.put(again, **write))
            self.assertEqual(bytes(self.machine.state), bytes(again.state))

    def test_writes_older_than_the_kept_digests_are_unknown_not_rejected(self) -> None:
        kept, state_machine.DIGESTS_KEPT = state_machine.DIGESTS_KEPT, 40
        self.addCleanup(setattr, state_machine, "DIGESTS_KEPT", kept)
        self.apply_writes(times=RECORDS_KEPT + 60)
        forgotten = self.machine.state.forgotten_to
        self.assertEqual(40, forgotten)
        for machine in (self.machine, self.restored()):
            for base in range(0, machine.state.version, 2):
                outcome = self.put(machine, base=base, version=base + 2, text=f"on {base}")
                wanted = PutOutcomeUnknown if base < forgotten else PutApplied
                self.assertIsInstance(outcome, wanted, base)
                other = self.put(machine, base=base, version=base + 2, text="another")
                wanted = PutOutcomeUnknown if base < forgotten else PutSuperseded
                self.assertIsInstance(other, wanted, base)

    def test_records_use_few_bytes(self) -> None:
        self.apply_writes(times=2_000)
        self.assertLess(len(bytes(self.machine.state)), RECORDS_KEPT * 100 + 1_500 * 24 + 200)

    def test_a_rejected_write_on_a_future_version_is_never_applied(self) -> None:
        self.apply_writes(times=1)
        digest = put_digest(document=b"early", expected=4, version=6)
        refusal = RefusePut(put_id="early", digest=digest, expected=4, version=6)
        outcome = self.machine.apply(data=bytes(Command(refuse=refusal)))
        self.assertEqual(PutSuperseded(expected=4, current=2), outcome)
        self.apply_writes(times=1)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=4, version=6, text="early", put_id="early")
            self.assertEqual(PutSuperseded(expected=4, current=2), outcome)
            self.assertEqual(4, machine.state.version)

    def test_a_rejection_after_its_base_version_exists_has_no_effect(self) -> None:
        self.apply_writes(times=1)
        digest = put_digest(document=b"x", expected=2, version=4)
        refusal = Command(refuse=RefusePut(put_id="x", digest=digest, expected=2, version=4))
        self.assertIsInstance(self.machine.apply(data=bytes(refusal)), PutOutcomeUnknown)
        outcome = self.put(self.machine, base=2, version=4, text="x", put_id="x")
        self.assertEqual(PutApplied(version=4, epoch=2), outcome)
        self.assertEqual(outcome, self.machine.apply(data=bytes(refusal)))

    def test_a_version_not_above_the_current_is_rejected_permanently(self) -> None:
        self.apply_writes(times=1)
        low = dict(base=2, version=2, text="same number")
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))
        self.apply_writes(times=1)
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))


class OperatorHistory:
    """The writes and reads of the operators of a simulated site, with the replies."""

    def __init__(self) -> None:
        self.writes: list[Write] = []
        self.bodies: dict[str, bytes] = {}
        self.reads: list[Read] = []

    def new_write(self, *, key: str, base: int, version: int) -> Write:
        body = order(lambda raw: raw.update(Note=key), revision=version)
        content = hashlib.sha256(body).hexdigest()
        write = Write(key=key, base=base, version=version, content=content)
        self.writes.append(write)
        self.bodies[key] = body
        return write

    def acknowledged(self) -> list[Write]:
        return [write for write in self.writes if write.attempts_with(Answer.ACKNOWLEDGED)]

    def anomalies(self) -> list[str]:
        return [anomaly.why for anomaly in find_anomalies(writes=self.writes, reads=self.reads)]


class OperatorSite(Site):
    """A site whose operator calls are all recorded."""

    def __init__(self, **more: Any) -> None:
        super().__init__(**more)
        self.history = OperatorHistory()
        self.is_running = True
        self.lost_reply_probability = 0.6

    async def send(self, write: Write, *, member: str, rand: random.Random | None = None) -> Answer:
        """Send a write once; with `rand` the reply may be lost."""
        sent_us = self.world.now_us()
        reply = await self.replace(
            member, self.history.bodies[write.key], base=str(write.base), wait_us=1_000_000
        )
        status = reply.status if isinstance(reply, HttpReply) else 0
        assert status in (0, 200, 400, 412, 503), reply
        answer = ANSWERS.get(status, Answer.UNCLEAR)
        if rand is not None and rand.random() < self.lost_reply_probability:
            answer = Answer.UNCLEAR
        done_us = self.world.now_us()
        write.tries.append(Attempt(sent_us=sent_us, done_us=done_us, answer=answer))
        return answer

    async def send_until_decided(self, write: Write, *, rand: random.Random) -> Answer:
        """Send a write to random members until it has a clear reply."""
        answer = Answer.UNCLEAR
        while answer is Answer.UNCLEAR and self.is_running:
            answer = await self.send(write, member=rand.choice(self.names), rand=rand)
            await self.sleep(rand.randrange(10_000, 300_000))
        return answer

    async def read_once(self, *, member: str) -> int | None:
        sent_us = self.world.now_us()
        reply = await self.outside.ports.net.fetch(
            call=HttpCall(
                method="GET",
                url=f"http://{self.address(member, 8100)}/api/Config.Read",
                wait_us=1_000_000,
            )
        )
        if not isinstance(reply, HttpReply) or reply.status not in (200, 404):
            return None
        version, content = 0, ""
        if reply.status == 200:
            version = json.loads(reply.body)["Revision"]
            content = hashlib.sha256(reply.body).hexdigest()
        self.history.reads.append(
            Read(sent_us=sent_us, done_us=self.world.now_us(), version=version, content=content)
        )
        return version

    async def run_operator(self, *, who: str, rand: random.Random, at_once: int, step: int) -> None:
        """Read the version and send `at_once` concurrent writes on it, until the run ends.

        Some acknowledged writes are sent again. With a `step` every operator picks the same
        version.
        """
        turn = 0
        while self.is_running:
            base = await self.read_once(member=rand.choice(self.names))
            if base is None:
                await self.sleep(100_000)
                continue
            turn += 1
            writes = [
                self.history.new_write(
                    key=f"{who}{turn}.{place}",
                    base=base,
                    version=base + (step or rand.randrange(1, 9)),
                )
                for place in range(at_once)
            ]
            await asyncio.gather(*(self.send_until_decided(write, rand=rand) for write in writes))
            known = self.history.acknowledged()
            for write in rand.sample(known, min(2, len(known))):
                await self.send(write, member=rand.choice(self.names))


CONFIGURATION = load(name="configuration")
ANSWERS = {200: Answer.ACKNOWLEDGED, 412: Answer.CONFLICT, 400: Answer.INVALID}


def run_faults(
    *, seed: int, count: int, at_once: int, step: int, fault_count: int = 7
) -> OperatorSite:
    """Run operators while core machines have faults within the tolerance."""
    sites: list[OperatorSite] = []

    async def scenario(site: OperatorSite) -> None:
        sites.append(site)
        rand = random.Random(f"orders/{seed}")
        await site.start(is_first=True)
        await site.wait_for(lambda: len(site.voters()) == 2 * site.tolerance + 1)
        work = [
            site.outside.spawn(
                site.run_operator(
                    who=who, rand=random.Random(f"{seed}/{who}"), at_once=at_once, step=step
                )
            )
            for who in ("a", "b")
        ]
        for _ in range(fault_count):
            before = len(site.history.acknowledged())
            await site.wait_for(
                lambda b=before: (
                    len(site.history.acknowledged()) > b or any(w.done() for w in work)
                ),
                us=30_000_000,
            )
            await inject_fault(site, rand)
            await site.wait_for(lambda: len(site.voters()) >= 2 * site.tolerance + 1, us=15_000_000)
        site.is_running = False
        for task in work:
            await task
        site.kill(*rand.sample(site.names, site.tolerance), is_disk=True)
        site.kill(*site.up(), is_power=True)
        await site.start()
        await site.wait_for(lambda: len(site.voters()) >= 2 * site.tolerance + 1)
        for member in site.names:
            await site.read_once(member=member)
        for write in site.history.acknowledged():  # superseded or not, everywhere
            for member in site.names:
                await site.send(write, member=member)

    run_scenario(scenario, seed=seed, count=count, tolerance=(count - 1) // 2, make=OperatorSite)
    return sites[0]


async def _return_value(value: Any) -> Any:
    return value


class WritesDuringFaults(unittest.TestCase):
    """With random faults, a single order of all writes explains every reply."""

    def check(self, **plan: int) -> OperatorSite:
        site = run_faults(**plan)
        self.assertEqual([], site.history.anomalies(), plan)
        self.assertGreater(len(site.history.acknowledged()), 5, "almost no write was applied")
        return site

    def test_two_operators_with_the_same_version(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                site = self.check(seed=seed, count=3, at_once=1, step=2)
                numbers = Counter((write.base, write.version) for write in site.history.writes)
                self.assertGreater(
                    max(numbers.values()), 1, "no two writes had the same base and version"
                )

    def test_two_operators_with_the_same_version_over_many_snapshots(self) -> None:
        with mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 3):
            for seed in range(10, 13):
                with self.subTest(seed=seed):
                    self.check(seed=seed, count=3, at_once=1, step=2)

    def test_eight_writes_in_flight(self) -> None:
        for seed in range(20, 23):
            with self.subTest(seed=seed):
                site = self.check(seed=seed, count=3, at_once=4, step=0)
                refused = [write for write in site.history.writes if write.is_refused]
                self.assertGreater(len(refused), 10)

    def first_anomaly(self, **plan: int) -> str:
        """The first anomaly that the checker finds over a few seeds; empty if none."""
        for seed in range(60, 66):
            anomalies = run_faults(
                seed=seed, count=3, at_once=1, step=2, **plan
            ).history.anomalies()
            if anomalies:
                return anomalies[0]
        return ""

    def test_records_lost_in_a_restart_are_detected(self) -> None:
        real = Machine.__init__

        def without_records(machine: Machine, **more: Any) -> None:
            real(machine, **more)
            machine.state.puts = []
            machine._applied_by_digest, machine._records, machine._compacted_versions = {}, {}, {}

        with (
            mock.patch.object(Machine, "__init__", without_records),
            mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 3),
        ):
            self.assertIn("was applied, and refused", self.first_anomaly())

    def test_missing_lookups_are_detected(self) -> None:
        with mock.patch.object(
            ConfigurationWrites, "_look_up", lambda self, **_: _return_value(None)
        ):
            self.assertIn("was applied, and refused", self.first_anomaly())

    def test_eight_writes_of_the_same_version_with_five_voters(self) -> None:
        with self.subTest(seed=40):
            self.check(seed=40, count=5, at_once=4, step=3, fault_count=8)


class WritesInFlight(unittest.TestCase):
    """A write that is in the log when its leader loses its leadership."""

    def lose_leadership(self, *, seed: int) -> tuple[OperatorSite, Answer]:
        """The entry reaches the other members, but their replies do not reach the leader.

        Returns the site, and the reply to the sender of the write.
        """
        out: list[Any] = []

        async def scenario(site: OperatorSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            first = site.history.new_write(key="first", base=0, version=3)
            await site.send_until_decided(first, rand=random.Random(seed))
            leader = site.leader()
            others = [name for name in site.names if name != leader]
            log = site.daemons[leader].task.raft.log
            before = log.last_index
            sent = site.history.new_write(key="sent", base=3, version=5)
            rival = site.history.new_write(key="rival", base=3, version=5)
            call = asyncio.ensure_future(self.send_with_long_timeout(site, sent, member=leader))
            while log.last_index == before:
                await site.sleep(500)
            for other in others:
                site.world.block_path(a=other, b=leader, is_one_way=True)
            answer = await call
            await site.wait_for(lambda: site.leader() in others)
            await asyncio.gather(
                *(
                    site.send_until_decided(write, rand=random.Random(f"{seed}/{place}"))
                    for place, write in enumerate((rival, sent))
                )
            )
            site.world.heal()
            await site.wait_for(lambda: len(site.voters()) == 3)
            for member in site.names:
                await site.send(sent, member=member)
                await site.send(rival, member=member)
                await site.read_once(member=member)
            out.extend((site, answer))

        run_scenario(scenario, seed=seed, count=3, tolerance=1, make=OperatorSite)
        return out[0], out[1]

    async def send_with_long_timeout(
        self, site: OperatorSite, write: Write, *, member: str
    ) -> Answer:
        """Send a write over the product's own interface, which allows a longer timeout."""
        sent_us = site.world.now_us()
        document, version = CONFIGURATION.to_document(body=site.history.bodies[write.key])
        reply = await site.outside.ports.net.fetch(
            call=HttpCall(
                method="PUT",
                url=f"http://{site.address(member, 8100)}/v1/configuration",
                headers={
                    "If-Match": str(write.base),
                    "Kelp-Version": str(version),
                    "Kelp-Put-Id": write.key,
                    "Kelp-Time-Left-Us": "8000000",
                },
                body=document,
                wait_us=9_000_000,
            )
        )
        status = reply.status if isinstance(reply, HttpReply) else 0
        answer = ANSWERS.get(status, Answer.UNCLEAR)
        write.tries.append(Attempt(sent_us=sent_us, done_us=site.world.now_us(), answer=answer))
        return answer

    def test_the_reply_is_unclear_until_the_write_is_found_applied(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                site, answer = self.lose_leadership(seed=seed)
                self.assertIs(Answer.UNCLEAR, answer)
                self.assertEqual([], site.history.anomalies())
                _, sent, rival = site.history.writes
                self.assertGreaterEqual(len(sent.attempts_with(Answer.ACKNOWLEDGED)), 3)
                self.assertGreaterEqual(len(rival.attempts_with(Answer.CONFLICT)), 3)
                self.assertFalse(sent.is_refused or rival.attempts_with(Answer.ACKNOWLEDGED))

    def test_rejecting_a_write_that_may_still_commit_is_detected(self) -> None:
        real = ReplicaTask._handle_event

        def take(self: ReplicaTask, *, event: Any) -> None:
            real(self, event=event)
            if self.is_leader:
                return
            for token, _ in self._proposals.values():
                self.waiters.settle(token=token, outcome=PutSuperseded(expected=3, current=4))
            self._proposals.clear()

        with mock.patch.object(ReplicaTask, "_handle_event", take):
            found = [self.lose_leadership(seed=seed)[0].history.anomalies() for seed in range(3)]
        self.assertIn("sent was applied, and refused (another version is current)", sum(found, []))


class ConcurrentWrites(unittest.TestCase):
    """Copies of writes, sent to several members at the same time."""

    def test_one_write_sent_to_every_member_is_applied_once(self) -> None:
        async def scenario(site: OperatorSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            for turn in range(6):
                version = turn + 1
                write = site.history.new_write(key=f"o{turn}", base=turn, version=version)
                answers = await asyncio.gather(
                    *(site.send(write, member=member) for member in site.names * 2)
                )
                self.assertEqual({Answer.ACKNOWLEDGED}, set(answers))
            puts = site.daemons[site.leader()].task.machine.state.puts
            self.assertEqual(6, len(puts), "each write is applied once")
            self.assertEqual([], site.history.anomalies())

        run_scenario(scenario, seed=7, count=3, tolerance=1, make=OperatorSite)

    def test_one_of_two_writes_of_a_version_wins_in_any_arrival_order(self) -> None:
        """Two writes are sent `gap_us` apart to one member each, and then again to all members."""

        async def scenario(site: OperatorSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            base = 0
            for gap_us in (-40_000, -9_000, -1_000, 0, 1_000, 9_000, 40_000):
                for members in itertools.product(site.names, repeat=2):
                    pair = [
                        site.history.new_write(key=f"{side}{base}", base=base, version=base + 2)
                        for side in "ab"
                    ]
                    answers = await asyncio.gather(
                        *(
                            self.send_later(site, write, member=member, after_us=after_us)
                            for write, member, after_us in zip(
                                pair, members, (max(0, -gap_us), max(0, gap_us)), strict=True
                            )
                        )
                    )
                    self.assertEqual({Answer.ACKNOWLEDGED, Answer.CONFLICT}, set(answers))
                    for member in site.names:
                        for write, answer in zip(pair, answers, strict=True):
                            self.assertIs(answer, await site.send(write, member=member))
                    base += 2
            self.assertEqual([], site.history.anomalies())

        run_scenario(scenario, seed=8, count=3, tolerance=1, make=OperatorSite)

    async def send_later(
        self, site: OperatorSite, write: Write, *, member: str, after_us: int
    ) -> Answer:
        await site.sleep(after_us)
        return await site.send(write, member=member)


class RecoveryFromSurvivor(unittest.TestCase):
    """Writes after a recovery from a survivor that lacks acknowledged writes."""

    def test_recovered_writes_are_acknowledged_and_those_between_unclear(
        self,
    ) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()  # version 1
            left = next(name for name in fleet.core_address if name != fleet.leader())
            others = [name for name in fleet.core_address if name != left]
            writes = {
                base: {"document": fleet.configuration(note=f"on {base}"), "put_id": f"on-{base}"}
                for base in (1, 2, 3, 4)
            }

            async def send(base: int, *, core: str | None = None, **more: Any) -> dict:
                write_args = {**writes[base], **more}
                return await fleet.put(expected=base, core=core, wait_us=2_000_000, **write_args)

            self.assertEqual(200, (await send(1))["status"])
            fleet.kill_core(name=left)
            self.assertEqual(200, (await send(2, core=others[0]))["status"])
            self.assertEqual(200, (await send(3, core=others[0]))["status"])
            for name in others:
                fleet.kill_core(name=name, is_disk=True)
            outcome = await run_recovery(fleet, name=left, edges=list(fleet.edge_own))
            self.assertEqual(4, outcome.version)
            seeds = [fleet.core_address[left], "10.9.9.8:1", "10.9.9.9:1"]
            await fleet.start_core(name=left, seeds=seeds)
            await fleet.wait_for(what="a leader", condition=lambda: fleet.leader() == left)
            for name in fleet.edge_own:
                await fleet.stop_edge(name=name)
                await fleet.start_edge(name=name, seeds=seeds[:1])
            await fleet.sleep(us=4_000_000)
            known = [await send(base, core=left) for base in (1, 2, 3)]
            self.assertEqual(
                ["ok", "unresolved", "ok"], [row["end"] for row in known], "none is rejected"
            )
            rival = fleet.configuration(note="rival")
            late = await send(2, core=left, document=rival, put_id="rival")
            self.assertEqual("unresolved", late["end"], "it may have been the applied write")
            late = await send(3, core=left, document=rival, put_id="rival")
            self.assertEqual(
                "version_mismatch", late["end"], "its version belongs to another write"
            )

        run_sim(seed=1, deployment=fleet_deployment(name="tiny"), scenario=scenario)


class UnsettledWrites(unittest.TestCase):
    """An applied write whose acknowledgement an edge still delays."""

    def test_a_retry_at_any_core_waits_for_the_same_outcome(self) -> None:
        for is_leader_killed in (False, True):
            with self.subTest(is_leader_killed=is_leader_killed):
                self.assertGreater(self.unclear_replies_before_lease_end(is_leader_killed), 3)

    def unclear_replies_before_lease_end(self, is_leader_killed: bool) -> int:
        """The number of unclear replies before the 200; a rejection or early 200 fails the test."""
        counts: list[int] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edge = fleet.daemons["edge/node-05"]
            fleet.processes["edge/node-05"].freeze()
            write_args = {
                "document": fleet.configuration(note="two"),
                "expected": 1,
                "put_id": "two",
            }
            leader, cores = fleet.leader(), list(fleet.core_address)
            row = await fleet.put(core=leader, wait_us=200_000, **write_args)
            self.assertEqual("unresolved", row["end"])
            lease_ends_us = edge.lease_holder.lease_until_us()
            if is_leader_killed:
                fleet.kill_core(name=leader)
                cores.remove(leader)
            unclear = 0
            for turn in range(200):
                core = cores[turn % len(cores)]
                rows = await asyncio.gather(
                    *(fleet.put(core=core, wait_us=200_000, **write_args) for _ in range(2))
                )
                for row in rows:
                    self.assertIn(row["status"], (0, 200, 503), row)
                if any(row["status"] == 200 for row in rows):
                    break
                unclear += 1
            self.assertEqual(200, rows[0]["status"])
            self.assertGreaterEqual(fleet.now_us(), lease_ends_us, "an edge may serve the old one")
            counts.append(unclear)
            fleet.processes["edge/node-05"].thaw()
            for core in cores:
                again = await fleet.put(core=core, **write_args)
                self.assertEqual(200, again["status"])

        run_sim(seed=2, deployment=fleet_deployment(name="tiny"), scenario=scenario)
        return counts[0]


if __name__ == "__main__":
    unittest.main()
