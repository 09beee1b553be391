"""Operators' orders: repeats, lost answers, two operators, changes of leader, bad input."""

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
from kelpstage.testbed.checkers.linearizable import Answer, Read, Try, Write, find_anomalies
from kelpstage.testbed.fleet.deployment import load as fleet_deployment
from kelpstage.testbed.platform_model.machines import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.test_bad_orders import Site, order
from tests.test_cluster_recovery import run_recovery
from tests.test_cores import hurt, play


class AppliedRequests(unittest.TestCase):
    """The replicated record of orders: what a repeat hears, however late it comes."""

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

    def change(self, *, times: int) -> None:
        for _ in range(times):
            base = self.machine.state.version
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)

    def refuse(self, *, times: int) -> None:
        for number in range(times):
            outcome = self.put(self.machine, base=0, version=9, text=f"late {number}")
            self.assertIsInstance(outcome, PutSuperseded)

    def restored(self) -> Machine:
        return Machine(cluster="c", state=CoreState().parse(bytes(self.machine.state)))

    def test_a_superseded_order_is_acknowledged_again_after_thousands_of_changes(self) -> None:
        self.change(times=1)
        first = dict(base=0, version=2, text="on 0")
        for _ in range(4):
            self.change(times=700)
            self.assertEqual(2, self.put(self.machine, **first).version)
            self.assertEqual(2, self.put(self.machine, **first, put_id="another").version)
            self.machine = self.restored()
        for base in range(0, self.machine.state.version, 2):
            outcome = self.put(self.machine, base=base, version=base + 2, text=f"on {base}")
            self.assertIsInstance(outcome, PutApplied)
            self.assertEqual(base + 2, outcome.version)
        self.assertEqual(RECORDS_KEPT, len(self.machine.state.puts))

    def test_refusals_never_push_out_what_was_taken(self) -> None:
        self.change(times=3)
        self.refuse(times=RECORDS_KEPT + REFUSALS_KEPT + 9)
        outcome = self.put(self.machine, base=0, version=2, text="on 0")
        self.assertEqual(PutApplied(version=2, epoch=1), outcome)
        self.assertEqual(REFUSALS_KEPT, len(self.machine.state.refused))

    def test_the_loser_of_a_superseded_base_is_still_refused(self) -> None:
        self.change(times=RECORDS_KEPT + 20)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=0, version=2, text="another on 0")
            self.assertEqual(PutSuperseded(expected=0, current=machine.state.version), outcome)

    def test_a_snapshot_decides_as_the_replica_that_took_it(self) -> None:
        self.change(times=RECORDS_KEPT + 30)
        self.refuse(times=7)
        again = self.restored()
        orders = [
            *({"base": b, "version": b + 2, "text": f"on {b}"} for b in range(0, 1200, 2)),
            *({"base": 0, "version": 9, "text": f"late {n}"} for n in range(9)),
            {"base": again.state.version, "version": again.state.version, "text": "not above"},
            {"base": again.state.version, "version": again.state.version + 1, "text": "next"},
        ]
        for one in orders:
            self.assertEqual(self.put(self.machine, **one), self.put(again, **one))
            self.assertEqual(bytes(self.machine.state), bytes(again.state))

    def test_beyond_the_oldest_digest_there_is_no_clear_answer_rather_than_a_refusal(self) -> None:
        kept, state_machine.DIGESTS_KEPT = state_machine.DIGESTS_KEPT, 40
        self.addCleanup(setattr, state_machine, "DIGESTS_KEPT", kept)
        self.change(times=RECORDS_KEPT + 60)
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

    def test_the_record_costs_few_bytes(self) -> None:
        self.change(times=2_000)
        self.assertLess(len(bytes(self.machine.state)), RECORDS_KEPT * 100 + 1_500 * 24 + 200)

    def test_a_refused_order_on_a_version_to_come_is_never_taken_later(self) -> None:
        self.change(times=1)
        digest = put_digest(document=b"early", expected=4, version=6)
        refusal = RefusePut(put_id="early", digest=digest, expected=4, version=6)
        outcome = self.machine.apply(data=bytes(Command(refuse=refusal)))
        self.assertEqual(PutSuperseded(expected=4, current=2), outcome)
        self.change(times=1)
        for machine in (self.machine, self.restored()):
            outcome = self.put(machine, base=4, version=6, text="early", put_id="early")
            self.assertEqual(PutSuperseded(expected=4, current=2), outcome)
            self.assertEqual(4, machine.state.version)

    def test_a_refusal_that_comes_when_its_base_is_there_decides_nothing(self) -> None:
        self.change(times=1)
        digest = put_digest(document=b"x", expected=2, version=4)
        refusal = Command(refuse=RefusePut(put_id="x", digest=digest, expected=2, version=4))
        self.assertIsInstance(self.machine.apply(data=bytes(refusal)), PutOutcomeUnknown)
        outcome = self.put(self.machine, base=2, version=4, text="x", put_id="x")
        self.assertEqual(PutApplied(version=4, epoch=2), outcome)
        self.assertEqual(outcome, self.machine.apply(data=bytes(refusal)))

    def test_a_version_that_is_not_above_is_refused_for_good(self) -> None:
        self.change(times=1)
        low = dict(base=2, version=2, text="same number")
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))
        self.change(times=1)
        self.assertEqual(PutNotAbove(version=2, current=2), self.put(self.machine, **low))


class LeaseTable:
    """What the operators of a simulated site sent, read and were answered."""

    def __init__(self) -> None:
        self.writes: list[Write] = []
        self.bodies: dict[str, bytes] = {}
        self.reads: list[Read] = []

    def order(self, *, key: str, base: int, version: int) -> Write:
        body = order(lambda raw: raw.update(Note=key), revision=version)
        content = hashlib.sha256(body).hexdigest()
        write = Write(key=key, base=base, version=version, content=content)
        self.writes.append(write)
        self.bodies[key] = body
        return write

    def acknowledged(self) -> list[Write]:
        return [write for write in self.writes if write.of(Answer.ACKNOWLEDGED)]

    def anomalies(self) -> list[str]:
        return [one.why for one in find_anomalies(writes=self.writes, reads=self.reads)]


class OrderSite(Site):
    """A site with operators whose every call is recorded."""

    def __init__(self, **more: Any) -> None:
        super().__init__(**more)
        self.lease_table = LeaseTable()
        self.is_open = True
        self.lost_share = 0.6

    async def send(self, write: Write, *, member: str, rand: random.Random | None = None) -> Answer:
        """One call with an order; its answer may be lost on its way."""
        sent_us = self.world.now_us()
        reply = await self.replace(
            member, self.lease_table.bodies[write.key], base=str(write.base), wait_us=1_000_000
        )
        status = reply.status if isinstance(reply, HttpReply) else 0
        assert status in (0, 200, 400, 412, 503), reply
        answer = ANSWERS.get(status, Answer.UNCLEAR)
        if rand is not None and rand.random() < self.lost_share:
            answer = Answer.UNCLEAR
        done_us = self.world.now_us()
        write.tries.append(Try(sent_us=sent_us, done_us=done_us, answer=answer))
        return answer

    async def insist(self, write: Write, *, rand: random.Random) -> Answer:
        """Send an order again and again, to any member, until it has a clear answer."""
        answer = Answer.UNCLEAR
        while answer is Answer.UNCLEAR and self.is_open:
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
        self.lease_table.reads.append(
            Read(sent_us=sent_us, done_us=self.world.now_us(), version=version, content=content)
        )
        return version

    async def operate(self, *, who: str, rand: random.Random, at_once: int, step: int) -> None:
        """Orders on top of what is read, `at_once` under way together; what was taken is
        sent again now and then. A `step` makes every operator pick the same number."""
        turn = 0
        while self.is_open:
            base = await self.read_once(member=rand.choice(self.names))
            if base is None:
                await self.sleep(100_000)
                continue
            turn += 1
            orders = [
                self.lease_table.order(
                    key=f"{who}{turn}.{place}",
                    base=base,
                    version=base + (step or rand.randrange(1, 9)),
                )
                for place in range(at_once)
            ]
            await asyncio.gather(*(self.insist(write, rand=rand) for write in orders))
            known = self.lease_table.acknowledged()
            for write in rand.sample(known, min(2, len(known))):
                await self.send(write, member=rand.choice(self.names))


CONFIGURATION = load(name="configuration")
ANSWERS = {200: Answer.ACKNOWLEDGED, 412: Answer.CONFLICT, 400: Answer.INVALID}


def day(*, seed: int, count: int, at_once: int, step: int, troubles: int = 7) -> OrderSite:
    """Operators at work while machines of the core suffer what is to be borne."""
    sites: list[OrderSite] = []

    async def scenario(site: OrderSite) -> None:
        sites.append(site)
        rand = random.Random(f"orders/{seed}")
        await site.start(is_first=True)
        await site.wait_for(lambda: len(site.voters()) == 2 * site.tolerance + 1)
        work = [
            site.outside.spawn(
                site.operate(
                    who=who, rand=random.Random(f"{seed}/{who}"), at_once=at_once, step=step
                )
            )
            for who in ("a", "b")
        ]
        for _ in range(troubles):
            before = len(site.lease_table.acknowledged())
            await site.wait_for(
                lambda b=before: (
                    len(site.lease_table.acknowledged()) > b or any(w.done() for w in work)
                ),
                us=30_000_000,
            )
            await hurt(site, rand)
            await site.wait_for(lambda: len(site.voters()) >= 2 * site.tolerance + 1, us=15_000_000)
        site.is_open = False
        for one in work:
            await one
        site.kill(*rand.sample(site.names, site.tolerance), is_disk=True)
        site.kill(*site.up(), is_power=True)
        await site.start()
        await site.wait_for(lambda: len(site.voters()) >= 2 * site.tolerance + 1)
        for member in site.names:
            await site.read_once(member=member)
        for write in site.lease_table.acknowledged():  # superseded or not, everywhere
            for member in site.names:
                await site.send(write, member=member)

    play(scenario, seed=seed, count=count, tolerance=(count - 1) // 2, make=OrderSite)
    return sites[0]


async def _soon(value: Any) -> Any:
    return value


class Days(unittest.TestCase):
    """Days of trouble by seed: one order of all changes explains every answer."""

    def check(self, **plan: int) -> OrderSite:
        site = day(**plan)
        self.assertEqual([], site.lease_table.anomalies(), plan)
        self.assertGreater(len(site.lease_table.acknowledged()), 5, "hardly anything was taken")
        return site

    def test_two_operators_with_one_number(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                site = self.check(seed=seed, count=3, at_once=1, step=2)
                numbers = Counter((write.base, write.version) for write in site.lease_table.writes)
                self.assertGreater(max(numbers.values()), 1, "they never met")

    def test_two_operators_with_one_number_over_many_snapshots(self) -> None:
        with mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 3):
            for seed in range(10, 13):
                with self.subTest(seed=seed):
                    self.check(seed=seed, count=3, at_once=1, step=2)

    def test_eight_orders_under_way_at_once(self) -> None:
        for seed in range(20, 23):
            with self.subTest(seed=seed):
                site = self.check(seed=seed, count=3, at_once=4, step=0)
                refused = [write for write in site.lease_table.writes if write.is_refused]
                self.assertGreater(len(refused), 10)

    def found(self, **plan: int) -> str:
        """What the checker says of a day, over a few seeds."""
        for seed in range(60, 66):
            anomalies = day(seed=seed, count=3, at_once=1, step=2, **plan).lease_table.anomalies()
            if anomalies:
                return anomalies[0]
        return ""

    def test_records_that_a_restart_forgets_are_noticed(self) -> None:
        real = Machine.__init__

        def forgetful(machine: Machine, **more: Any) -> None:
            real(machine, **more)
            machine.state.puts = []
            machine._taken, machine._records, machine._superseded = {}, {}, {}

        with (
            mock.patch.object(Machine, "__init__", forgetful),
            mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 3),
        ):
            self.assertIn("was applied, and refused", self.found())

    def test_orders_that_are_not_looked_up_are_noticed(self) -> None:
        with mock.patch.object(ConfigurationWrites, "_look_up", lambda self, **_: _soon(None)):
            self.assertIn("was applied, and refused", self.found())

    def test_one_number_among_eight_at_five_voters(self) -> None:
        with self.subTest(seed=40):
            self.check(seed=40, count=5, at_once=4, step=3, troubles=8)


class InFlight(unittest.TestCase):
    """An order that is in the log when its leader loses the lead."""

    def lead_is_lost(self, *, seed: int) -> tuple[OrderSite, Answer]:
        """The entry reaches the others, no answer of theirs reaches the leader; what the
        order's sender is answered, and then everybody."""
        out: list[Any] = []

        async def scenario(site: OrderSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            first = site.lease_table.order(key="first", base=0, version=3)
            await site.insist(first, rand=random.Random(seed))
            leader = site.leader()
            others = [name for name in site.names if name != leader]
            log = site.daemons[leader].task.raft.log
            before = log.last_index
            sent = site.lease_table.order(key="sent", base=3, version=5)
            rival = site.lease_table.order(key="rival", base=3, version=5)
            call = asyncio.ensure_future(self.patient(site, sent, member=leader))
            while log.last_index == before:
                await site.sleep(500)
            for other in others:
                site.world.cut(a=other, b=leader, is_one_way=True)
            answer = await call
            await site.wait_for(lambda: site.leader() in others)
            await asyncio.gather(
                *(
                    site.insist(write, rand=random.Random(f"{seed}/{place}"))
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

        play(scenario, seed=seed, count=3, tolerance=1, make=OrderSite)
        return out[0], out[1]

    async def patient(self, site: OrderSite, write: Write, *, member: str) -> Answer:
        """The order by the product's own interface, which can wait for longer."""
        sent_us = site.world.now_us()
        document, version = CONFIGURATION.to_document(body=site.lease_table.bodies[write.key])
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
        write.tries.append(Try(sent_us=sent_us, done_us=site.world.now_us(), answer=answer))
        return answer

    def test_it_has_no_clear_answer_until_it_is_found_taken(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                site, answer = self.lead_is_lost(seed=seed)
                self.assertIs(Answer.UNCLEAR, answer)
                self.assertEqual([], site.lease_table.anomalies())
                _, sent, rival = site.lease_table.writes
                self.assertGreaterEqual(len(sent.of(Answer.ACKNOWLEDGED)), 3)
                self.assertGreaterEqual(len(rival.of(Answer.CONFLICT)), 3)
                self.assertFalse(sent.is_refused or rival.of(Answer.ACKNOWLEDGED))

    def test_a_refusal_of_what_may_yet_commit_is_noticed(self) -> None:
        real = ReplicaTask._take

        def take(self: ReplicaTask, *, event: Any) -> None:
            real(self, event=event)
            if self.is_leader:
                return
            for token, _ in self._proposals.values():
                self.waiters.settle(token=token, outcome=PutSuperseded(expected=3, current=4))
            self._proposals.clear()

        with mock.patch.object(ReplicaTask, "_take", take):
            found = [self.lead_is_lost(seed=seed)[0].lease_table.anomalies() for seed in range(3)]
        self.assertIn("sent was applied, and refused (another version is current)", sum(found, []))


class TwoMembers(unittest.TestCase):
    """Copies of orders at several members at the same time."""

    def test_one_order_at_every_member_at_once(self) -> None:
        async def scenario(site: OrderSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            for turn in range(6):
                version = turn + 1
                write = site.lease_table.order(key=f"o{turn}", base=turn, version=version)
                answers = await asyncio.gather(
                    *(site.send(write, member=member) for member in site.names * 2)
                )
                self.assertEqual({Answer.ACKNOWLEDGED}, set(answers))
            puts = site.daemons[site.leader()].task.machine.state.puts
            self.assertEqual(6, len(puts), "each was taken once")
            self.assertEqual([], site.lease_table.anomalies())

        play(scenario, seed=7, count=3, tolerance=1, make=OrderSite)

    def test_two_under_one_number_in_every_order_of_arrival(self) -> None:
        """Each at one of the members, `gap_us` apart, each repeated everywhere after it."""

        async def scenario(site: OrderSite) -> None:
            await site.start(is_first=True)
            await site.wait_for(lambda: len(site.voters()) == 3)
            base = 0
            for gap_us in (-40_000, -9_000, -1_000, 0, 1_000, 9_000, 40_000):
                for members in itertools.product(site.names, repeat=2):
                    pair = [
                        site.lease_table.order(key=f"{side}{base}", base=base, version=base + 2)
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
            self.assertEqual([], site.lease_table.anomalies())

        play(scenario, seed=8, count=3, tolerance=1, make=OrderSite)

    async def send_later(
        self, site: OrderSite, write: Write, *, member: str, after_us: int
    ) -> Answer:
        await site.sleep(after_us)
        return await site.send(write, member=member)


class Recovery(unittest.TestCase):
    """Orders after a recovery from a survivor that was behind an acknowledgement."""

    def test_what_an_edge_gave_back_is_acknowledged_again_and_what_lies_between_unclear(
        self,
    ) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()  # version 1
            left = next(name for name in fleet.core_address if name != fleet.leader())
            others = [name for name in fleet.core_address if name != left]
            orders = {
                base: {"document": fleet.configuration(note=f"on {base}"), "put_id": f"on-{base}"}
                for base in (1, 2, 3, 4)
            }

            async def send(base: int, *, core: str | None = None, **more: Any) -> dict:
                order_row = {**orders[base], **more}
                return await fleet.put(expected=base, core=core, wait_us=2_000_000, **order_row)

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
            await fleet.wait_for(what="a leader", is_there=lambda: fleet.leader() == left)
            for name in fleet.edge_own:
                await fleet.stop_edge(name=name)
                await fleet.start_edge(name=name, seeds=seeds[:1])
            await fleet.sleep(us=4_000_000)
            known = [await send(base, core=left) for base in (1, 2, 3)]
            self.assertEqual(
                ["ok", "unresolved", "ok"], [row["end"] for row in known], "none is refused"
            )
            rival = fleet.configuration(note="rival")
            late = await send(2, core=left, document=rival, put_id="rival")
            self.assertEqual("unresolved", late["end"], "it may have been the one taken")
            late = await send(3, core=left, document=rival, put_id="rival")
            self.assertEqual("version_mismatch", late["end"], "its version is another's")

        run_sim(seed=1, deployment=fleet_deployment(name="tiny"), scenario=scenario)


class NotSettled(unittest.TestCase):
    """A taken order whose acknowledgement an edge still holds up."""

    def test_sent_again_anywhere_it_waits_for_the_same_outcome(self) -> None:
        for is_lead_lost in (False, True):
            with self.subTest(is_lead_lost=is_lead_lost):
                self.assertGreater(self.answers_before_the_lease_ends(is_lead_lost), 3)

    def answers_before_the_lease_ends(self, is_lead_lost: bool) -> int:
        """How many unclear answers came first; a refusal or an early 200 fails the test."""
        counts: list[int] = []

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edge = fleet.daemons["edge/node-05"]
            fleet.processes["edge/node-05"].freeze()
            order_row = {
                "document": fleet.configuration(note="two"),
                "expected": 1,
                "put_id": "two",
            }
            leader, cores = fleet.leader(), list(fleet.core_address)
            row = await fleet.put(core=leader, wait_us=200_000, **order_row)
            self.assertEqual("unresolved", row["end"])
            lease_ends_us = edge.lease_holder.lease_until_us()
            if is_lead_lost:
                fleet.kill_core(name=leader)
                cores.remove(leader)
            unclear = 0
            for turn in range(200):
                core = cores[turn % len(cores)]
                rows = await asyncio.gather(
                    *(fleet.put(core=core, wait_us=200_000, **order_row) for _ in range(2))
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
                again = await fleet.put(core=core, **order_row)
                self.assertEqual(200, again["status"])

        run_sim(seed=2, deployment=fleet_deployment(name="tiny"), scenario=scenario)
        return counts[0]


if __name__ == "__main__":
    unittest.main()
