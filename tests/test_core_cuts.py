"""A core machine cut off for twenty seconds, with orders and reads at every member
before, during and after: simulated days with fixed seeds, no edges.

Every answer is recorded and judged: no read older than the newest acknowledgement before
it began, no order refused for good (the same order goes to every member, so only 200 or
a 503 are proper), an answer within a second from every member that the operator reaches,
and an acknowledgement by the majority side within `ACKNOWLEDGED_WITHIN_US` of the cut.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import NoLeaderError, VersionMismatchError
from kelpstage.common.errors.storage import DiskError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.messages import ForwardOperatorCall
from kelpstage.core.app import Core
from kelpstage.core.leases.configuration_writes import ConfigurationWrites, as_result
from kelpstage.core.raft import elections
from kelpstage.core.raft.state import RaftState
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import PutConfiguration
from kelpstage.core.web import operators as operators_module
from kelpstage.core.web.operators import _answer as real_answer
from kelpstage.core.web.operators import _get_configuration
from tests.test_cores import Cores, play

CUT_US = 20_000_000
CALL_US = 1_000_000  # an operator moves on after so much silence
ORDER_WAIT_US = 800_000
PAUSE_US = 150_000
FREEZE_US = 10_000_000
PATIENT_US = 60_000_000
READ_EVERY_US = 500_000
ACKNOWLEDGED_WITHIN_US = 5_000_000
CAUGHT_UP_WITHIN_US = 4_000_000
SEEDS = (1, 2)

Pairs = list[tuple[str, str]]


@dataclass(kw_only=True)
class Answer:
    """One operator's call and what came of it."""

    kind: str  # "order" or "read"
    member: str
    version: int  # that the order states, or that the read returned
    began_us: int
    ended_us: int
    status: int  # 0: no answer


@dataclass(kw_only=True)
class History:
    """What operators saw, and what of it may not be."""

    answers: list[Answer] = field(default_factory=list)
    acknowledged: list[tuple[int, int]] = field(default_factory=list)  # when, version
    sent: dict[int, bytes] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def newest_before(self, *, at_us: int) -> int:
        """The newest version that was acknowledged before a moment."""
        return max((version for when, version in self.acknowledged if when < at_us), default=0)

    def note(self, *, answer: Answer, body: bytes = b"") -> None:
        """Record an answer and judge it."""
        self.answers.append(answer)
        self._judge_time(answer=answer)
        if answer.kind == "order":
            self._judge_order(answer=answer, body=body)
        elif answer.status == 200:
            self._judge_read(answer=answer, body=body)

    def _judge_time(self, *, answer: Answer) -> None:
        if answer.status == 0:
            self.violations.append(f"no answer: {answer}")
        elif answer.status not in (200, 503):
            self.violations.append(f"neither done nor to be tried again: {answer}")

    def _judge_order(self, *, answer: Answer, body: bytes) -> None:
        if answer.status != 200:
            return
        if all(version != answer.version for _, version in self.acknowledged):
            self.acknowledged.append((answer.ended_us, answer.version))

    def _judge_read(self, *, answer: Answer, body: bytes) -> None:
        newest = self.newest_before(at_us=answer.began_us)
        if answer.version < newest:
            self.violations.append(f"older than the acknowledged {newest}: {answer}")
        if self.sent.get(answer.version) != body:
            self.violations.append(f"not what was sent under that version: {answer}")


class Operators:
    """One order at a time, sent to every member until one acknowledges it and once after
    that; reads at every member all the while."""

    def __init__(self, *, cores: Cores, call_us: int) -> None:
        self.cores = cores
        self._call_us = call_us
        self.history = History()
        self.is_open = True
        self._version = 0

    async def _call(self, *, member: str, method: str, **more: Any) -> HttpReply | KelpstageError:
        cores = self.cores
        return await cores.outside.ports.net.fetch(
            call=HttpCall(
                method=method,
                url=f"http://{cores.address(member, 8100)}/v1/configuration",
                wait_us=self._call_us,
                **more,
            )
        )

    async def _order(self, *, member: str, expected: int, version: int, body: bytes) -> bool:
        began_us = self.cores.world.now_us()
        reply = await self._call(
            member=member,
            method="PUT",
            body=body,
            headers={
                "If-Match": str(expected),
                "Kelp-Version": str(version),
                "Kelp-Put-Id": f"order-{version}",
                "Kelp-Time-Left-Us": str(ORDER_WAIT_US),
            },
        )
        status = 0 if isinstance(reply, KelpstageError) else reply.status
        self.history.note(
            answer=Answer(
                kind="order",
                member=member,
                version=version,
                began_us=began_us,
                ended_us=self.cores.world.now_us(),
                status=status,
            )
        )
        return status == 200

    async def order(self) -> int:
        """Send the next order everywhere until it is acknowledged; how long that took."""
        expected, version = self._version, self._version + 1 + self._version % 3
        body = self.cores.document(f"order {version}")
        self.history.sent[version] = body
        began_us = self.cores.world.now_us()

        async def at(member: str) -> None:
            while self._version < version:
                if await self._order(member=member, expected=expected, version=version, body=body):
                    self._version = max(self._version, version)
                await self.cores.sleep(PAUSE_US)
            await self._order(member=member, expected=expected, version=version, body=body)

        repeats = [asyncio.ensure_future(at(member)) for member in self.cores.up()]
        while self._version < version and self.is_open:
            await self.cores.sleep(10_000)
        took_us = self.cores.world.now_us() - began_us
        if not self.is_open:
            for repeat in repeats:
                repeat.cancel()
        return took_us

    async def read(self, *, member: str) -> None:
        """Read the configuration once."""
        began_us = self.cores.world.now_us()
        reply = await self._call(
            member=member, method="GET", headers={"Kelp-Time-Left-Us": str(ORDER_WAIT_US)}
        )
        is_answered = not isinstance(reply, KelpstageError)
        is_found = is_answered and reply.status == 200
        self.history.note(
            answer=Answer(
                kind="read",
                member=member,
                version=int(reply.headers["etag"].strip('"')) if is_found else 0,
                began_us=began_us,
                ended_us=self.cores.world.now_us(),
                status=reply.status if is_answered else 0,
            ),
            body=reply.body if is_found else b"",
        )

    async def keep_reading(self, *, member: str) -> None:
        while self.is_open:
            await self.read(member=member)
            await self.cores.sleep(PAUSE_US)

    async def keep_ordering(self) -> None:
        while self.is_open:
            await self.order()
            await self.cores.sleep(PAUSE_US)


@dataclass(kw_only=True)
class Day:
    """What a day came to."""

    history: History
    acknowledged_after_us: list[int] = field(default_factory=list)
    caught_up_after_us: list[int] = field(default_factory=list)
    disturbed: int = 0  # terms spent after a cut had healed


def both_ways(*, cores: Cores, name: str) -> Pairs:
    """Cut from all other cores, in both directions."""
    return into(cores=cores, name=name) + out_of(cores=cores, name=name)


def into(*, cores: Cores, name: str) -> Pairs:
    """It hears nothing of the others."""
    return [(other, name) for other in cores.names if other != name]


def out_of(*, cores: Cores, name: str) -> Pairs:
    """The others hear nothing of it."""
    return [(name, other) for other in cores.names if other != name]


Cut = Callable[..., Pairs]


async def hold_cut(*, cores: Cores, operators: Operators, day: Day, name: str, cut: Cut) -> None:
    """Cut one member for twenty seconds and heal; measure both sides of it."""
    pairs = cut(cores=cores, name=name)
    began_us = cores.world.now_us()
    cores.world.cuts |= set(pairs)
    await cores.sleep(CUT_US)
    acknowledged = [when for when, _ in operators.history.acknowledged if when > began_us + 50_000]
    day.acknowledged_after_us.append(min(acknowledged, default=began_us + CUT_US) - began_us)
    term = max(cores.daemons[other].task.raft.term for other in cores.names if other != name)
    cores.world.cuts -= set(pairs)
    cores.world.flush()

    def is_caught_up() -> bool:
        leader = cores.leader()
        if leader is None:
            return False
        commit = cores.daemons[leader].task.raft.commit_index
        return cores.daemons[name].task.applied >= commit - 1

    day.caught_up_after_us.append(await cores.wait_for(is_caught_up))
    await cores.sleep(3_000_000)
    day.disturbed += max(d.task.raft.term for d in cores.daemons.values()) - term


def run_day(
    scenario: Callable[[Cores, Operators, Day], Awaitable[None]],
    *,
    seed: int,
    count: int = 3,
    tolerance: int = 1,
    call_us: int = CALL_US,
) -> Day:
    """Operators at work over a story of cuts."""
    days: list[Day] = []

    async def tell(cores: Cores) -> None:
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 2 * tolerance + 1)
        operators = Operators(cores=cores, call_us=call_us)
        await operators.order()
        day = Day(history=operators.history)
        days.append(day)
        tasks = [asyncio.ensure_future(operators.keep_ordering())]
        tasks += [asyncio.ensure_future(operators.keep_reading(member=m)) for m in cores.names]
        await cores.sleep(1_500_000)
        await scenario(cores, operators, day)
        operators.is_open = False
        for task in tasks:
            await task

    play(tell, seed=seed, count=count, tolerance=tolerance)
    return days[0]


def cut_story(*, of: str, cut: Cut) -> Callable[..., Awaitable[None]]:
    """One cut of the leader, or of the first core that does not lead."""

    async def scenario(cores: Cores, operators: Operators, day: Day) -> None:
        leader = cores.leader()
        name = leader if of == "leader" else next(n for n in cores.names if n != leader)
        await hold_cut(cores=cores, operators=operators, day=day, name=name, cut=cut)

    return scenario


async def in_turn(cores: Cores, operators: Operators, day: Day) -> None:
    """The leader is cut, and as soon as that has healed, the next leader."""
    for _ in range(2):
        name = cores.leader()
        await hold_cut(cores=cores, operators=operators, day=day, name=name, cut=both_ways)


async def freezes(cores: Cores, operators: Operators, day: Day) -> None:
    """The leader stands still for ten seconds, twice; then all but one core for six. They
    wake with calls open and every timer due at once."""
    for count, span_us in ((1, FREEZE_US), (1, FREEZE_US), (2, FREEZE_US * 6 // 10)):
        leader = cores.leader()
        others = [name for name in cores.names if name != leader]
        frozen = [leader, *others][:count]
        for name in frozen:
            cores.processes[name].freeze()
        reads = []
        for _ in range(span_us // READ_EVERY_US):
            reads += [asyncio.ensure_future(operators.read(member=name)) for name in frozen]
            await cores.sleep(READ_EVERY_US)
        for name in frozen:
            cores.processes[name].thaw()
        await asyncio.gather(*reads)
        await cores.sleep(5_000_000)


class Freezes(unittest.TestCase):
    """Callers who wait for longer than any freeze hear what a woken core makes of calls
    that it took before: judged by when they were sent."""

    def test_a_core_wakes_with_calls_open(self) -> None:
        for seed in SEEDS:
            day = run_day(freezes, seed=seed, call_us=PATIENT_US)
            self.assertEqual(day.history.violations[:5], [], f"seed {seed}")
            self.assertGreater(len(day.history.acknowledged), 50, f"seed {seed}")
            waited_us = max(a.ended_us - a.began_us for a in day.history.answers)
            self.assertGreater(waited_us, FREEZE_US - CALL_US, f"seed {seed}")


class Cuts(unittest.TestCase):
    def judge(self, scenario: Callable[..., Awaitable[None]], *, may_disturb: bool = False) -> None:
        for seed in SEEDS:
            day = run_day(scenario, seed=seed)
            told = f"seed {seed}: {day.acknowledged_after_us} {day.caught_up_after_us}"
            self.assertEqual(day.history.violations[:5], [], told)
            self.assertLess(max(day.acknowledged_after_us), ACKNOWLEDGED_WITHIN_US, told)
            self.assertLess(max(day.caught_up_after_us), CAUGHT_UP_WITHIN_US, told)
            if not may_disturb:
                self.assertEqual(day.disturbed, 0, told)

    def test_the_leader(self) -> None:
        self.judge(cut_story(of="leader", cut=both_ways))

    def test_a_follower(self) -> None:
        self.judge(cut_story(of="follower", cut=both_ways))

    def test_the_leader_hears_nothing(self) -> None:
        self.judge(cut_story(of="leader", cut=into))

    def test_the_leader_is_not_heard(self) -> None:
        self.judge(cut_story(of="leader", cut=out_of))

    def test_a_follower_hears_nothing(self) -> None:
        self.judge(cut_story(of="follower", cut=into))

    def test_a_follower_is_not_heard(self) -> None:
        self.judge(cut_story(of="follower", cut=out_of))

    def test_both_in_turn(self) -> None:
        self.judge(in_turn)


def never_confirmed(self: ReplicaTask, *, wait_us: int) -> Any:
    """Planted fault: a leader's own word stands for the majority's."""
    outcome = None if self.is_leader else NoLeaderError(why="not the leader")
    return _at_once(outcome=outcome)


async def _at_once(*, outcome: Any) -> Any:
    return outcome


async def looked_up_in_memory(
    self: ConfigurationWrites, *, put: PutConfiguration, digest: bytes
) -> Any:
    """Planted fault: an order is judged by what this member happens to know."""
    outcome = self._task.machine.decided(put=put, digest=digest)
    return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)


async def refused_in_memory(self: ConfigurationWrites, *, put: PutConfiguration, **_: Any) -> Any:
    """Planted fault: a base version that this member has not got is refused by its word."""
    current = self._task.machine.state.version
    return VersionMismatchError(expected=put.expected, current=current)


async def read_from_memory(*, core: Core, ask: ForwardOperatorCall) -> HttpReply:
    """Planted fault: a member that leads, or thinks so, reads without the read index."""
    if ask.method == "GET" and core.task.is_leader:
        return _get_configuration(task=core.task)
    return await real_answer(core=core, ask=ask)


def campaign_without_pre_vote(state: RaftState) -> None:
    """Planted fault: a term is spent on every silence."""
    elections._campaign(state, is_transfer=False)


class PlantedFaults(unittest.TestCase):
    """Each day above is shown to notice a fault of its kind."""

    def violations(self, *, scenario: Callable[..., Awaitable[None]], seed: int = 1) -> str:
        return " ".join(run_day(scenario, seed=seed).history.violations)

    def test_reads_without_the_read_index(self) -> None:
        with (
            mock.patch.object(operators_module, "_answer", read_from_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(scenario=cut_story(of="leader", cut=both_ways))
        self.assertIn("older than the acknowledged", found)

    def test_check_quorum_alone_is_not_what_holds_reads(self) -> None:
        with mock.patch.object(RaftState, "has_quorum_contact", lambda self: True):
            day = run_day(cut_story(of="leader", cut=both_ways), seed=1)
        self.assertNotIn("older than the acknowledged", " ".join(day.history.violations))

    def test_an_order_refused_from_stale_state(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", looked_up_in_memory),
            mock.patch.object(ConfigurationWrites, "_refuse", refused_in_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(scenario=cut_story(of="leader", cut=both_ways))
        self.assertIn("neither done nor to be tried again", found)
        self.assertIn("status=412", found)

    def test_a_refusal_by_the_log_needs_a_majority_even_beside_a_stale_look_up(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", looked_up_in_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(scenario=cut_story(of="leader", cut=both_ways))
        self.assertNotIn("neither done nor to be tried again", found)

    def test_a_leader_that_is_not_confirmed(self) -> None:
        with (
            mock.patch.object(ReplicaTask, "confirm", never_confirmed),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(scenario=cut_story(of="leader", cut=both_ways))
        self.assertIn("older than the acknowledged", found)

    def test_a_woken_core_that_answers_from_memory(self) -> None:
        with mock.patch.object(operators_module, "_answer", read_from_memory):
            day = run_day(freezes, seed=1, call_us=PATIENT_US)
        self.assertIn("older than the acknowledged", " ".join(day.history.violations))

    def test_a_woken_core_that_judges_orders_from_memory(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", looked_up_in_memory),
            mock.patch.object(ConfigurationWrites, "_refuse", refused_in_memory),
        ):
            day = run_day(freezes, seed=2, call_us=PATIENT_US)
        self.assertIn("status=412", " ".join(day.history.violations))

    def test_elections_without_a_pre_vote(self) -> None:
        with mock.patch.object(elections, "_start_pre_vote", campaign_without_pre_vote):
            day = run_day(cut_story(of="follower", cut=both_ways), seed=1)
        self.assertGreater(day.disturbed, 0)

    def test_silence_at_the_cut_off_member(self) -> None:
        with mock.patch.object(operators_module, "_kept_us", lambda *, wait_us: 3_000_000):
            found = self.violations(scenario=cut_story(of="follower", cut=both_ways))
        self.assertIn("no answer", found)


class Judged(unittest.TestCase):
    """What was confirmed for a read is judged again when its answer is given."""

    def read_over(self, *, meanwhile: Callable[[Cores, str], Awaitable[None]]) -> HttpReply:
        """A read at the leader, with something between its confirmation and its answer."""
        replies: list[HttpReply] = []
        real = ReplicaTask.confirm

        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.put()
            name = cores.leader()
            asked = cores.daemons[name].task

            async def confirm(self: ReplicaTask, *, wait_us: int) -> Any:
                outcome = await real(self, wait_us=wait_us)
                if self is asked:
                    await meanwhile(cores, name)
                return outcome

            with mock.patch.object(ReplicaTask, "confirm", confirm):
                replies.append(
                    await cores.outside.ports.net.fetch(
                        call=HttpCall(
                            method="GET",
                            url=f"http://{cores.address(name, 8100)}/v1/configuration",
                            headers={"Kelp-Time-Left-Us": str(ORDER_WAIT_US)},
                            wait_us=30_000_000,
                        )
                    )
                )

        play(scenario, seed=4, count=3, tolerance=1)
        return replies[0]

    def test_a_read_confirmed_before_a_freeze_is_void_after_it(self) -> None:
        async def freeze(cores: Cores, name: str) -> None:
            process = cores.processes[name]
            process.freeze()
            version = cores.version
            cores.names.remove(name)  # the operator asks the others
            await cores.wait_for(lambda: cores.leader() is not None)
            await cores.put()
            cores.names.append(name)
            self.assertGreater(cores.version, version)
            process.thaw()

        self.assertEqual(self.read_over(meanwhile=freeze).status, 503)

    def test_a_read_confirmed_before_the_replica_began_anew_is_void(self) -> None:
        async def begin_anew(cores: Cores, name: str) -> None:
            cores.daemons[name]._on_disk_error(DiskError(path="log", op="sync", why="planted"))
            await cores.sleep(10_000)

        self.assertEqual(self.read_over(meanwhile=begin_anew).status, 503)


class Learner(unittest.TestCase):
    """A fourth core, no voter: it forgets a leader that is silent, and returns."""

    def test_a_learner_that_was_cut_off_returns(self) -> None:
        async def scenario(cores: Cores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.sleep(2_000_000)
            await cores.put()
            voters = cores.voters()
            learner = next(n for n in cores.names if cores.address(n) not in voters)
            cores.world.cuts |= set(both_ways(cores=cores, name=learner))
            await cores.sleep(4_000_000)
            task = cores.daemons[learner].task
            self.assertEqual(task.leader_address, "")  # it says no more who leads
            began_us = cores.world.now_us()
            reply = await cores.call(learner, "GET", headers={"Kelp-Time-Left-Us": "800000"})
            self.assertEqual(reply.status, 503)
            self.assertLess(cores.world.now_us() - began_us, 500_000)
            await cores.sleep(CUT_US)
            cores.world.heal()
            await cores.put()
            await cores.wait_for(
                lambda: task.applied == cores.daemons[cores.leader()].task.applied, us=4_000_000
            )

        for seed in SEEDS:
            play(scenario, seed=seed, count=4, tolerance=1)


if __name__ == "__main__":
    unittest.main()
