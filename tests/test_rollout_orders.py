"""Orders of rollouts that follow an earlier order of the same service, at the leader.

Which orders are repetitions, which versions are in place, and which clock counts.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tornado.locks import Lock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RolloutUnderWayError, WriteUnresolvedError
from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.listed_versions import ListedVersionsQuery
from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.core.rollouts.orders import RolloutOrders
from kelpstage.core.state.commands import BeginRollout, ChangeRollout, Command
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import RolloutBegun, RolloutSuperseded
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.state.rollouts import rollout_of
from tests.async_case import AsyncCase

S = 1_000_000  # a second in microseconds
OVER_US = 4 * S
REPEAT_WITHIN_US = 8 * S
COMPLETE, REVERTED = RolloutCondition.COMPLETE, RolloutCondition.REVERTED


class Core:
    """A leading core: a state machine, and the orders that are taken on it.

    `now_us` is its monotonic clock, `wall_us` its time of day.
    """

    def __init__(self, *, listed: tuple[str, ...] = ("v1",)) -> None:
        self.now_us, self.wall_us = 100 * S, 1_700_000_000 * S
        self.listed = listed
        self.machine = Machine(cluster="c", state=CoreState(cluster="c", epoch=3))
        self.start()

    def start(self) -> None:
        """Start a process on the replicated state, as after a crash of all cores."""
        state = CoreState().parse(bytes(self.machine.state))
        self.machine = Machine(cluster="c", state=state)
        self.ages = OrderAges()
        self._observe()
        task = mock.create_autospec(ReplicaTask, instance=True)
        task.machine = self.machine
        task.confirm.return_value = None
        task.propose.side_effect = lambda data, put_id, wait_us: self.apply(data)
        settlement = mock.create_autospec(EpochSettlement, instance=True)
        settlement.change_lock = self.change_lock = Lock()
        settlement.wait_settled.return_value = True
        ports = mock.Mock()
        ports.spawn = lambda work: asyncio.get_running_loop().create_task(work)
        ports.clock.now_us = lambda: self.now_us
        ports.clock.wall_us = lambda: self.wall_us
        ports.clock.within = lambda future, us: future
        listed = mock.create_autospec(ListedVersionsQuery, instance=True)
        listed.fetch.side_effect = lambda service: list(self.listed)
        self.orders = RolloutOrders(
            ports=ports,
            journal=mock.Mock(),
            task=task,
            settlement=settlement,
            readiness=mock.Mock(check=mock.AsyncMock(return_value=None)),
            listed_versions=listed,
            ages=self.ages,
            repeat_within_us=REPEAT_WITHIN_US,
        )

    def apply(self, data: bytes) -> object:
        outcome = self.machine.apply(data=data)
        self._observe()
        return outcome

    def _observe(self) -> None:
        self.ages.observe(rollouts=self.machine.state.rollouts, now_us=self.now_us)

    def advance(self, *, seconds: float) -> None:
        self.now_us += int(seconds * S)
        self.wall_us += int(seconds * S)

    async def begin(self, target: str, *, over_us: int = OVER_US) -> RolloutBegun | KelpstageError:
        return await self.orders.begin(service="s", target=target, over_us=over_us, wait_us=S)

    def end(self, condition: RolloutCondition) -> None:
        """End the newest rollout, as the controller does."""
        rollout = self.newest
        elapsed_us = self.ages.elapsed_us(rollout=rollout, now_us=self.now_us)
        change = ChangeRollout(
            service="s",
            number=rollout.number,
            condition=condition,
            at_us=self.wall_us,
            elapsed_us=elapsed_us,
        )
        self.apply(bytes(Command(change_rollout=change)))

    async def carry_out(self, target: str, condition: RolloutCondition = COMPLETE) -> None:
        """Order a version, and end its rollout four seconds later."""
        outcome = await self.begin(target)
        assert isinstance(outcome, RolloutBegun), outcome
        self.advance(seconds=4)
        self.end(condition)

    @property
    def newest(self):
        return rollout_of(state=self.machine.state, service="s")


class Repetitions(AsyncCase):
    async def test_an_order_after_another_one_is_not_taken_for_a_copy_of_an_earlier_one(self):
        """It was acknowledged with the number of the first order and never carried out."""
        core = Core()
        await core.carry_out("v2")
        await core.carry_out("v1")
        core.advance(seconds=9)
        await core.begin("v2")
        self.assertEqual(
            ("v2", RolloutCondition.ROLLING), (core.newest.target, core.newest.condition)
        )

    async def test_the_same_order_begins_once_within_its_time_of_repetition(self):
        core = Core()
        first = await core.begin("v2")
        core.advance(seconds=4)
        core.end(REVERTED)
        core.advance(seconds=3)
        self.assertEqual(first, await core.begin("v2"))
        self.assertEqual(REVERTED, core.newest.condition)

    async def test_the_same_order_begins_again_after_its_time_of_repetition(self):
        core = Core()
        await core.carry_out("v2", REVERTED)
        core.advance(seconds=6)
        await core.begin("v2")
        self.assertEqual(RolloutCondition.ROLLING, core.newest.condition)

    async def test_an_order_that_may_be_a_late_copy_gets_a_retryable_error_and_changes_nothing(
        self,
    ):
        """It can't be distinguished after an election, or once another order was taken."""
        core = Core()
        await core.carry_out("v2", REVERTED)
        core.start()
        self.assertIsInstance(await core.begin("v2"), WriteUnresolvedError)
        await core.carry_out("v1")
        self.assertIsInstance(await core.begin("v2"), WriteUnresolvedError)
        self.assertEqual("v1", core.newest.target)
        core.advance(seconds=9)
        self.assertIsInstance(await core.begin("v2"), RolloutBegun)
        self.assertEqual("v2", core.newest.target)

    async def test_a_repetition_that_waited_for_its_turn_counts_from_its_arrival(self):
        """It was decided only when the change before it had settled, and began once more."""
        core = Core()
        first = await core.begin("v2")
        core.advance(seconds=4)
        core.end(REVERTED)
        core.advance(seconds=3)
        await core.change_lock.acquire()
        repeated = asyncio.ensure_future(core.begin("v2"))
        await asyncio.sleep(0)
        core.advance(seconds=4)
        core.change_lock.release()
        self.assertEqual(first, await repeated)
        self.assertEqual(REVERTED, core.newest.condition)

    async def test_a_new_order_does_not_get_the_answer_of_a_repetition_that_waits(self):
        core = Core()
        await core.begin("v2")
        core.advance(seconds=4)
        core.end(REVERTED)
        core.advance(seconds=3)
        await core.change_lock.acquire()
        calls = [asyncio.ensure_future(core.begin("v2"))]
        await asyncio.sleep(0)
        core.advance(seconds=4)
        calls.append(asyncio.ensure_future(core.begin("v2")))
        await asyncio.sleep(0)
        core.change_lock.release()
        for outcome in await asyncio.gather(*calls):
            self.assertIsInstance(outcome, WriteUnresolvedError)
        await core.begin("v2")
        self.assertEqual(RolloutCondition.ROLLING, core.newest.condition)

    async def test_an_order_to_the_complete_version_begins_no_second_rollout(self):
        core = Core()
        await core.carry_out("v2")
        number = core.newest.number
        for over_us in (OVER_US, 2 * OVER_US):
            core.advance(seconds=60)
            self.assertEqual(RolloutBegun(number=number), await core.begin("v2", over_us=over_us))

    async def test_stepped_clocks_of_leaders_change_no_decision(self):
        for step_s in (-3_600, 3_600):
            with self.subTest(step_s=step_s):
                core = Core()
                first = await core.begin("v2")
                core.advance(seconds=4)
                core.end(REVERTED)
                core.wall_us += step_s * S
                self.assertEqual(first, await core.begin("v2"))
                core.advance(seconds=6)
                await core.begin("v2")
                self.assertEqual(RolloutCondition.ROLLING, core.newest.condition)

    async def test_the_time_before_a_restart_of_all_cores_counts_as_far_as_it_was_replicated(self):
        core = Core()
        await core.carry_out("v2", REVERTED)
        core.start()
        core.advance(seconds=5.1)
        self.assertIsInstance(await core.begin("v2"), RolloutBegun)

    async def test_another_version_is_refused_until_the_time_of_the_rolling_one_is_over(self):
        """Later the rollout is about to end, so that a retry is taken."""
        core = Core()
        await core.begin("v2")
        self.assertIsInstance(await core.begin("v3"), RolloutUnderWayError)
        core.advance(seconds=4)
        self.assertIsInstance(await core.begin("v3"), WriteUnresolvedError)

    async def test_an_order_behind_one_that_the_leader_has_not_seen_is_not_applied(self):
        core = Core()
        await core.carry_out("v2")
        order = BeginRollout(service="s", target="v3", over_us=OVER_US, is_new=True, follows=1)
        outcome = core.apply(bytes(Command(begin_rollout=order)))
        self.assertEqual(RolloutSuperseded(service="s"), outcome)


class InPlace(AsyncCase):
    async def test_the_version_in_place_is_replicated_with_the_order(self):
        """It was inferred from the list, which shows the new version alone if the old crash."""
        core = Core(listed=("v1", "v2"))
        await core.carry_out("v2", REVERTED)
        self.assertEqual(["v1"], core.newest.in_place)
        core.start()
        core.listed = ("v3",)
        await core.carry_out("v3", REVERTED)
        self.assertEqual(["v1"], core.newest.in_place)
        await core.carry_out("v4")
        await core.carry_out("v5", REVERTED)
        self.assertEqual(["v4"], core.newest.in_place)
        self.assertEqual(["v2", "v3", "v5"], [*core.newest.reverted, core.newest.target])

    async def test_a_first_order_to_the_listed_version_is_one_to_the_version_in_place(self):
        core = Core()
        await core.begin("v1")
        self.assertEqual(["v1"], core.newest.in_place)

    async def test_a_version_in_place_is_never_among_the_reverted_ones(self):
        core = Core()
        for target, condition in (("v2", COMPLETE), ("v1", REVERTED), ("v2", COMPLETE)):
            await core.carry_out(target, condition)
            core.advance(seconds=9)
        await core.carry_out("v1")
        self.assertEqual(([], ["v2"]), (core.newest.reverted, core.newest.in_place))


if __name__ == "__main__":
    unittest.main()
