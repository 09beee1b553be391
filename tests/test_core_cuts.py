"""A core partitioned for twenty seconds, with writes and reads at every member before,
during and after: simulated cores with fixed seeds, without edges.

Every reply is recorded and checked. No read is older than the newest version acknowledged
before it began. No write is rejected permanently: the same write goes to every member, so
only 200 and 503 are valid. Every member that the operator reaches replies within a second,
and the majority side acknowledges a write within `ACKNOWLEDGED_WITHIN_US` of the partition.
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
from tests.test_cores import SimulatedCores, run_scenario

PARTITION_US = 20_000_000
CALL_US = 1_000_000  # timeout of an operator's call
DEADLINE_US = 800_000
PAUSE_US = 150_000
FREEZE_US = 10_000_000
LONG_CALL_US = 60_000_000
READ_INTERVAL_US = 500_000
ACKNOWLEDGED_WITHIN_US = 5_000_000
CAUGHT_UP_WITHIN_US = 4_000_000
SEEDS = (1, 2)

Links = list[tuple[str, str]]


@dataclass(kw_only=True)
class Answer:
    """One operator's call and its outcome."""

    kind: str  # "order" (a write) or "read"
    member: str
    version: int  # of the write, or returned by the read
    began_us: int
    ended_us: int
    status: int  # 0: no reply


@dataclass(kw_only=True)
class History:
    """The replies that operators received, and the violations among them."""

    answers: list[Answer] = field(default_factory=list)
    acknowledged: list[tuple[int, int]] = field(default_factory=list)  # time, version
    sent: dict[int, bytes] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def newest_before(self, *, at_us: int) -> int:
        """The newest version that was acknowledged before a point in time."""
        return max((version for when, version in self.acknowledged if when < at_us), default=0)

    def note(self, *, answer: Answer, body: bytes = b"") -> None:
        """Record a reply and check it."""
        self.answers.append(answer)
        self._check_status(answer=answer)
        if answer.kind == "order":
            self._check_write(answer=answer, body=body)
        elif answer.status == 200:
            self._check_read(answer=answer, body=body)

    def _check_status(self, *, answer: Answer) -> None:
        if answer.status == 0:
            self.violations.append(f"no answer: {answer}")
        elif answer.status not in (200, 503):
            self.violations.append(f"neither success nor retryable: {answer}")

    def _check_write(self, *, answer: Answer, body: bytes) -> None:
        if answer.status != 200:
            return
        if all(version != answer.version for _, version in self.acknowledged):
            self.acknowledged.append((answer.ended_us, answer.version))

    def _check_read(self, *, answer: Answer, body: bytes) -> None:
        newest = self.newest_before(at_us=answer.began_us)
        if answer.version < newest:
            self.violations.append(f"older than the acknowledged {newest}: {answer}")
        if self.sent.get(answer.version) != body:
            self.violations.append(f"body differs from the write of that version: {answer}")


class Operators:
    """Sends one write at a time to every member until a member acknowledges it, and once more
    after that; reads at every member meanwhile."""

    def __init__(self, *, cores: SimulatedCores, call_us: int) -> None:
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

    async def _write(self, *, member: str, expected: int, version: int, body: bytes) -> bool:
        began_us = self.cores.world.now_us()
        reply = await self._call(
            member=member,
            method="PUT",
            body=body,
            headers={
                "If-Match": str(expected),
                "Kelp-Version": str(version),
                "Kelp-Put-Id": f"order-{version}",
                "Kelp-Time-Left-Us": str(DEADLINE_US),
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

    async def write(self) -> int:
        """Send the next write to all members until one acknowledges it; return the time taken."""
        expected, version = self._version, self._version + 1 + self._version % 3
        body = self.cores.document(f"order {version}")
        self.history.sent[version] = body
        began_us = self.cores.world.now_us()

        async def at(member: str) -> None:
            while self._version < version:
                if await self._write(member=member, expected=expected, version=version, body=body):
                    self._version = max(self._version, version)
                await self.cores.sleep(PAUSE_US)
            await self._write(member=member, expected=expected, version=version, body=body)

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
            member=member, method="GET", headers={"Kelp-Time-Left-Us": str(DEADLINE_US)}
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

    async def keep_writing(self) -> None:
        while self.is_open:
            await self.write()
            await self.cores.sleep(PAUSE_US)


@dataclass(kw_only=True)
class RunResult:
    """The result of one run."""

    history: History
    acknowledged_after_us: list[int] = field(default_factory=list)
    caught_up_after_us: list[int] = field(default_factory=list)
    extra_terms: int = 0  # elections after the partition had healed


def both_directions(*, cores: SimulatedCores, name: str) -> Links:
    """Links between a core and all others, in both directions."""
    return inbound(cores=cores, name=name) + outbound(cores=cores, name=name)


def inbound(*, cores: SimulatedCores, name: str) -> Links:
    """Links from all other cores to a core: it receives nothing."""
    return [(other, name) for other in cores.names if other != name]


def outbound(*, cores: SimulatedCores, name: str) -> Links:
    """Links from a core to all others: they receive nothing from it."""
    return [(name, other) for other in cores.names if other != name]


Partition = Callable[..., Links]


async def partition_member(
    *,
    cores: SimulatedCores,
    operators: Operators,
    result: RunResult,
    name: str,
    partition: Partition,
) -> None:
    """Partition a member for twenty seconds and heal; measure acknowledgement and catch-up."""
    pairs = partition(cores=cores, name=name)
    began_us = cores.world.now_us()
    cores.world.blocked_paths |= set(pairs)
    await cores.sleep(PARTITION_US)
    acknowledged = [when for when, _ in operators.history.acknowledged if when > began_us + 50_000]
    result.acknowledged_after_us.append(
        min(acknowledged, default=began_us + PARTITION_US) - began_us
    )
    term = max(cores.daemons[other].task.raft.term for other in cores.names if other != name)
    cores.world.blocked_paths -= set(pairs)
    cores.world.send_waiting()

    def is_caught_up() -> bool:
        leader = cores.leader()
        if leader is None:
            return False
        commit = cores.daemons[leader].task.raft.commit_index
        return cores.daemons[name].task.applied >= commit - 1

    result.caught_up_after_us.append(await cores.wait_for(is_caught_up))
    await cores.sleep(3_000_000)
    result.extra_terms += max(d.task.raft.term for d in cores.daemons.values()) - term


def run_with_operators(
    scenario: Callable[[SimulatedCores, Operators, RunResult], Awaitable[None]],
    *,
    seed: int,
    count: int = 3,
    tolerance: int = 1,
    call_us: int = CALL_US,
) -> RunResult:
    """Run a scenario while operators write and read."""
    results: list[RunResult] = []

    async def run(cores: SimulatedCores) -> None:
        await cores.start(is_first=True)
        await cores.wait_for(lambda: len(cores.voters()) == 2 * tolerance + 1)
        operators = Operators(cores=cores, call_us=call_us)
        await operators.write()
        result = RunResult(history=operators.history)
        results.append(result)
        tasks = [asyncio.ensure_future(operators.keep_writing())]
        tasks += [asyncio.ensure_future(operators.keep_reading(member=m)) for m in cores.names]
        await cores.sleep(1_500_000)
        await scenario(cores, operators, result)
        operators.is_open = False
        for task in tasks:
            await task

    run_scenario(run, seed=seed, count=count, tolerance=tolerance)
    return results[0]


def partition_scenario(*, of: str, partition: Partition) -> Callable[..., Awaitable[None]]:
    """One partition of the leader, or of the first core that is not the leader."""

    async def scenario(cores: SimulatedCores, operators: Operators, result: RunResult) -> None:
        leader = cores.leader()
        name = leader if of == "leader" else next(n for n in cores.names if n != leader)
        await partition_member(
            cores=cores, operators=operators, result=result, name=name, partition=partition
        )

    return scenario


async def partition_two_leaders(
    cores: SimulatedCores, operators: Operators, result: RunResult
) -> None:
    """The leader is partitioned, and once that has healed, the next leader."""
    for _ in range(2):
        name = cores.leader()
        await partition_member(
            cores=cores, operators=operators, result=result, name=name, partition=both_directions
        )


async def freeze_cores(cores: SimulatedCores, operators: Operators, result: RunResult) -> None:
    """The leader is frozen for ten seconds, twice; then all cores but one for six. They
    resume with open calls and with every timer due at once."""
    for count, span_us in ((1, FREEZE_US), (1, FREEZE_US), (2, FREEZE_US * 6 // 10)):
        leader = cores.leader()
        others = [name for name in cores.names if name != leader]
        frozen = [leader, *others][:count]
        for name in frozen:
            cores.processes[name].freeze()
        reads = []
        for _ in range(span_us // READ_INTERVAL_US):
            reads += [asyncio.ensure_future(operators.read(member=name)) for name in frozen]
            await cores.sleep(READ_INTERVAL_US)
        for name in frozen:
            cores.processes[name].thaw()
        await asyncio.gather(*reads)
        await cores.sleep(5_000_000)


class CoreFreezes(unittest.TestCase):
    """A core that resumes from a freeze answers the calls that it accepted before, to clients
    that wait longer than the freeze. Each reply is checked against the time of the request."""

    def test_reads_are_current_when_a_core_resumes(self) -> None:
        for seed in SEEDS:
            result = run_with_operators(freeze_cores, seed=seed, call_us=LONG_CALL_US)
            self.assertEqual(result.history.violations[:5], [], f"seed {seed}")
            self.assertGreater(len(result.history.acknowledged), 50, f"seed {seed}")
            waited_us = max(a.ended_us - a.began_us for a in result.history.answers)
            self.assertGreater(waited_us, FREEZE_US - CALL_US, f"seed {seed}")


class NetworkPartitions(unittest.TestCase):
    def check(
        self, scenario: Callable[..., Awaitable[None]], *, may_add_terms: bool = False
    ) -> None:
        for seed in SEEDS:
            result = run_with_operators(scenario, seed=seed)
            message = f"seed {seed}: {result.acknowledged_after_us} {result.caught_up_after_us}"
            self.assertEqual(result.history.violations[:5], [], message)
            self.assertLess(max(result.acknowledged_after_us), ACKNOWLEDGED_WITHIN_US, message)
            self.assertLess(max(result.caught_up_after_us), CAUGHT_UP_WITHIN_US, message)
            if not may_add_terms:
                self.assertEqual(result.extra_terms, 0, message)

    def test_leader_partitioned_in_both_directions(self) -> None:
        self.check(partition_scenario(of="leader", partition=both_directions))

    def test_follower_partitioned_in_both_directions(self) -> None:
        self.check(partition_scenario(of="follower", partition=both_directions))

    def test_leader_receives_nothing(self) -> None:
        self.check(partition_scenario(of="leader", partition=inbound))

    def test_messages_of_the_leader_are_lost(self) -> None:
        self.check(partition_scenario(of="leader", partition=outbound))

    def test_follower_receives_nothing(self) -> None:
        self.check(partition_scenario(of="follower", partition=inbound))

    def test_messages_of_a_follower_are_lost(self) -> None:
        self.check(partition_scenario(of="follower", partition=outbound))

    def test_two_leaders_partitioned_in_turn(self) -> None:
        self.check(partition_two_leaders)


def confirm_without_majority(self: ReplicaTask, *, wait_us: int) -> Any:
    """Planted fault: a leader confirms itself without a majority."""
    outcome = None if self.is_leader else NoLeaderError(why="not the leader")
    return _immediate(outcome=outcome)


async def _immediate(*, outcome: Any) -> Any:
    return outcome


async def look_up_in_memory(
    self: ConfigurationWrites, *, put: PutConfiguration, digest: bytes
) -> Any:
    """Planted fault: the outcome of a write is looked up in this member's own state only."""
    outcome = self._task.machine.decided(put=put, digest=digest)
    return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)


async def reject_from_memory(self: ConfigurationWrites, *, put: PutConfiguration, **_: Any) -> Any:
    """Planted fault: a member rejects a base version that its own state does not have."""
    current = self._task.machine.state.version
    return VersionMismatchError(expected=put.expected, current=current)


async def read_from_memory(*, core: Core, request: ForwardOperatorCall) -> HttpReply:
    """Planted fault: a member that believes to be the leader reads without the read index."""
    if request.method == "GET" and core.task.is_leader:
        return _get_configuration(task=core.task)
    return await real_answer(core=core, request=request)


def campaign_without_pre_vote(state: RaftState) -> None:
    """Planted fault: every election timeout starts an election in a new term."""
    elections._campaign(state, is_transfer=False)


class PlantedFaults(unittest.TestCase):
    """The checks of this module detect planted faults."""

    def violations(self, *, scenario: Callable[..., Awaitable[None]], seed: int = 1) -> str:
        return " ".join(run_with_operators(scenario, seed=seed).history.violations)

    def test_reads_without_the_read_index(self) -> None:
        with (
            mock.patch.object(operators_module, "_answer", read_from_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(
                scenario=partition_scenario(of="leader", partition=both_directions)
            )
        self.assertIn("older than the acknowledged", found)

    def test_reads_stay_current_without_check_quorum(self) -> None:
        with mock.patch.object(RaftState, "has_quorum_contact", lambda self: True):
            result = run_with_operators(
                partition_scenario(of="leader", partition=both_directions), seed=1
            )
        self.assertNotIn("older than the acknowledged", " ".join(result.history.violations))

    def test_write_rejected_from_stale_state(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", look_up_in_memory),
            mock.patch.object(ConfigurationWrites, "_refuse", reject_from_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(
                scenario=partition_scenario(of="leader", partition=both_directions)
            )
        self.assertIn("neither success nor retryable", found)
        self.assertIn("status=412", found)

    def test_rejection_through_the_log_needs_a_majority_despite_a_stale_lookup(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", look_up_in_memory),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(
                scenario=partition_scenario(of="leader", partition=both_directions)
            )
        self.assertNotIn("neither success nor retryable", found)

    def test_reads_from_an_unconfirmed_leader(self) -> None:
        with (
            mock.patch.object(ReplicaTask, "confirm", confirm_without_majority),
            mock.patch.object(RaftState, "has_quorum_contact", lambda self: True),
        ):
            found = self.violations(
                scenario=partition_scenario(of="leader", partition=both_directions)
            )
        self.assertIn("older than the acknowledged", found)

    def test_reads_from_memory_after_a_freeze(self) -> None:
        with mock.patch.object(operators_module, "_answer", read_from_memory):
            result = run_with_operators(freeze_cores, seed=1, call_us=LONG_CALL_US)
        self.assertIn("older than the acknowledged", " ".join(result.history.violations))

    def test_writes_rejected_from_memory_after_a_freeze(self) -> None:
        with (
            mock.patch.object(ConfigurationWrites, "_look_up", look_up_in_memory),
            mock.patch.object(ConfigurationWrites, "_refuse", reject_from_memory),
        ):
            result = run_with_operators(freeze_cores, seed=2, call_us=LONG_CALL_US)
        self.assertIn("status=412", " ".join(result.history.violations))

    def test_elections_without_a_pre_vote(self) -> None:
        with mock.patch.object(elections, "_start_pre_vote", campaign_without_pre_vote):
            result = run_with_operators(
                partition_scenario(of="follower", partition=both_directions), seed=1
            )
        self.assertGreater(result.extra_terms, 0)

    def test_no_reply_from_a_partitioned_member(self) -> None:
        with mock.patch.object(
            operators_module, "_max_leader_wait_us", lambda *, wait_us: 3_000_000
        ):
            found = self.violations(
                scenario=partition_scenario(of="follower", partition=both_directions)
            )
        self.assertIn("no answer", found)


class ConfirmedReads(unittest.TestCase):
    """The confirmation of a read is checked again when its reply is sent."""

    def read_with_interruption(
        self, *, meanwhile: Callable[[SimulatedCores, str], Awaitable[None]]
    ) -> HttpReply:
        """A read at the leader, with an interruption between its confirmation and its reply."""
        replies: list[HttpReply] = []
        real = ReplicaTask.confirm

        async def scenario(cores: SimulatedCores) -> None:
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
                            headers={"Kelp-Time-Left-Us": str(DEADLINE_US)},
                            wait_us=30_000_000,
                        )
                    )
                )

        run_scenario(scenario, seed=4, count=3, tolerance=1)
        return replies[0]

    def test_read_confirmed_before_a_freeze_is_rejected_after_it(self) -> None:
        async def freeze(cores: SimulatedCores, name: str) -> None:
            process = cores.processes[name]
            process.freeze()
            version = cores.version
            cores.names.remove(name)  # the operator calls only the others
            await cores.wait_for(lambda: cores.leader() is not None)
            await cores.put()
            cores.names.append(name)
            self.assertGreater(cores.version, version)
            process.thaw()

        self.assertEqual(self.read_with_interruption(meanwhile=freeze).status, 503)

    def test_read_confirmed_before_a_replica_restart_is_rejected(self) -> None:
        async def restart_replica(cores: SimulatedCores, name: str) -> None:
            cores.daemons[name]._on_disk_error(DiskError(path="log", op="sync", why="planted"))
            await cores.sleep(10_000)

        self.assertEqual(self.read_with_interruption(meanwhile=restart_replica).status, 503)


class LearnerPartition(unittest.TestCase):
    """A fourth core that is no voter forgets an unreachable leader, and catches up later."""

    def test_partitioned_learner_forgets_the_leader_and_catches_up(self) -> None:
        async def scenario(cores: SimulatedCores) -> None:
            await cores.start(is_first=True)
            await cores.wait_for(lambda: len(cores.voters()) == 3)
            await cores.sleep(2_000_000)
            await cores.put()
            voters = cores.voters()
            learner = next(n for n in cores.names if cores.address(n) not in voters)
            cores.world.blocked_paths |= set(both_directions(cores=cores, name=learner))
            await cores.sleep(4_000_000)
            task = cores.daemons[learner].task
            self.assertEqual(task.leader_address, "")  # it reports no leader any longer
            began_us = cores.world.now_us()
            reply = await cores.call(learner, "GET", headers={"Kelp-Time-Left-Us": "800000"})
            self.assertEqual(reply.status, 503)
            self.assertLess(cores.world.now_us() - began_us, 500_000)
            await cores.sleep(PARTITION_US)
            cores.world.heal()
            await cores.put()
            await cores.wait_for(
                lambda: task.applied == cores.daemons[cores.leader()].task.applied, us=4_000_000
            )

        for seed in SEEDS:
            run_scenario(scenario, seed=seed, count=4, tolerance=1)


if __name__ == "__main__":
    unittest.main()
