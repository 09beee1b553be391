"""Orders of rollouts on the leader: replicated and in force before they are acknowledged."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import RolloutUnderWayError, WriteUnresolvedError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.events import RolloutOrdered
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_TIMEOUT_US
from kelpstage.core.leases.write_readiness import WriteReadiness
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.listed_versions import ListedVersionsQuery
from kelpstage.core.rollouts.order_ages import OrderAge, OrderAges
from kelpstage.core.rollouts.repetitions import (
    NewOrder,
    OrderDecision,
    OtherRollout,
    RepeatedOrder,
    decide_order,
)
from kelpstage.core.state.commands import BeginRollout, Command
from kelpstage.core.state.outcomes import RolloutBegun, RolloutSuperseded, RolloutUnderWay
from kelpstage.core.state.rollouts import (
    first_in_place,
    reverted_versions,
    rollout_of,
    versions_in_place,
)

MIN_ORDER_TIMEOUT_US = 10_000_000  # of one order, even if its caller waits for less
OrderContent = tuple[str, str, int]  # service, target, duration


@dataclass(kw_only=True)
class PendingOrder:
    """An order in progress, and when the first and the last of the calls that wait for it came."""

    order: BeginRollout
    first_call_us: int
    deadline_us: int
    last_call_us: int = 0
    task: asyncio.Future[RolloutBegun | KelpstageError] = field(init=False)


class RolloutOrders:
    """Takes orders, each in a task that continues after its caller's timeout.

    An order is acknowledged once a quorum of cores has it on disk and no edge can serve an epoch
    before it: then no edge sends a request to the target version before its first step.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        settlement: EpochSettlement,
        readiness: WriteReadiness,
        listed_versions: ListedVersionsQuery,
        ages: OrderAges,
        repeat_within_us: int,
    ) -> None:
        """`repeat_within_us` is how long an operator may send an order again."""
        self._ports = ports
        self._journal = journal
        self._task = task
        self._settlement = settlement
        self._readiness = readiness
        self._listed_versions = listed_versions
        self._ages = ages
        self._repeat_within_us = repeat_within_us
        self._pending: dict[OrderContent, PendingOrder] = {}

    async def begin(
        self, *, service: str, target: str, over_us: int, wait_us: int
    ) -> RolloutBegun | KelpstageError:
        """Begin a rollout; returns once every edge that may serve has installed it.

        A call that exceeds `wait_us` gets `WriteUnresolvedError` while the order continues. The
        same order sent again waits for it or gets its outcome; it is never refused.
        """
        content = (service, target, over_us)
        pending = self._pending.get(content)
        if pending is None:
            pending = self._start(content=content, wait_us=max(wait_us, MIN_ORDER_TIMEOUT_US))
        pending.last_call_us = self._ports.clock.now_us()
        outcome: RolloutBegun | KelpstageError | None = await self._ports.clock.within(
            pending.task, us=wait_us
        )
        if outcome is None:
            return WriteUnresolvedError(put_id="", why="the order is still in progress; retry")
        return outcome

    def _start(self, *, content: OrderContent, wait_us: int) -> PendingOrder:
        service, target, over_us = content
        order = BeginRollout(
            service=service, target=target, over_us=over_us, at_us=self._ports.clock.wall_us()
        )
        now_us = self._ports.clock.now_us()
        pending = PendingOrder(order=order, first_call_us=now_us, deadline_us=now_us + wait_us)
        self._pending[content] = pending
        pending.task = self._ports.spawn(self._run(pending=pending))
        return pending

    async def _run(self, *, pending: PendingOrder) -> RolloutBegun | KelpstageError:
        try:
            begun = await self._decide(pending=pending)
            if isinstance(begun, KelpstageError):
                return begun
            wait_us = max(0, pending.deadline_us - self._ports.clock.now_us())
            if await self._settlement.wait_settled(epoch=begun.number, wait_us=wait_us):
                self._ports.failpoint("core.before_put_result")
                return begun
            return WriteUnresolvedError(
                put_id="", why="committed, but not yet confirmed by the edges"
            )
        finally:
            self._close(pending=pending)

    def _close(self, *, pending: PendingOrder) -> None:
        """Let no further call wait for this task."""
        order = pending.order
        content = (order.service, order.target, order.over_us)
        if self._pending.get(content) is pending:
            del self._pending[content]

    async def _decide(self, *, pending: PendingOrder) -> RolloutBegun | KelpstageError:
        order = pending.order
        async with self._settlement.change_lock:
            error: KelpstageError | None = await self._task.confirm(wait_us=CONFIRM_TIMEOUT_US)
            if error is not None:
                return error
            decision = self._decision(pending=pending)
            if not isinstance(decision, NewOrder):
                self._close(pending=pending)  # the next call is decided by its own time
            if isinstance(decision, RepeatedOrder):
                return RolloutBegun(number=decision.number)
            if not isinstance(decision, NewOrder):
                return _error_of(decision=decision, service=order.service)
            error = await self._readiness.check(deadline_us=pending.deadline_us)
            if error is not None:
                return error
            order.is_new, order.follows = True, decision.follows
            order.in_place = await self._in_place(order=order)
            return await self._propose(order=order, deadline_us=pending.deadline_us)

    def _decision(self, *, pending: PendingOrder) -> OrderDecision:
        """The decision on the calls that wait, by the ages of earlier orders when they came."""
        state, now_us = self._task.machine.state, self._ports.clock.now_us()

        def age_of(rollout: RolloutState) -> OrderAge:
            age = self._ages.age(
                state=state, service=rollout.service, number=rollout.number, now_us=now_us
            )
            return age.at_arrivals(
                first_us=now_us - pending.first_call_us, last_us=now_us - pending.last_call_us
            )

        return decide_order(
            state=state,
            order=pending.order,
            age_of=age_of,
            repeat_within_us=self._repeat_within_us,
        )

    async def _in_place(self, *, order: BeginRollout) -> list[str]:
        """The versions in place; asks edges if no earlier order shows them."""
        state = self._task.machine.state
        in_place = versions_in_place(state=state, service=order.service)
        if in_place:
            return in_place
        return first_in_place(
            listed=await self._listed_versions.fetch(service=order.service),
            target=order.target,
            reverted=reverted_versions(rollout=rollout_of(state=state, service=order.service)),
        )

    async def _propose(
        self, *, order: BeginRollout, deadline_us: int
    ) -> RolloutBegun | KelpstageError:
        """Replicate a new order, and wait until its epoch is settled, for the next change."""
        self._ports.failpoint("core.before_propose")
        outcome = await self._task.propose(
            data=bytes(Command(begin_rollout=order)),
            put_id="",
            wait_us=max(0, deadline_us - self._ports.clock.now_us()),
        )
        if isinstance(outcome, RolloutUnderWay):
            return RolloutUnderWayError(service=order.service, target=outcome.target)
        if isinstance(outcome, RolloutSuperseded):
            return WriteUnresolvedError(put_id="", why="another order was taken first")
        if not isinstance(outcome, RolloutBegun):
            return outcome  # type: ignore[no-any-return]
        self._ages.note_taken(number=outcome.number, now_us=self._ports.clock.now_us())
        self._journal.add(
            RolloutOrdered(service=order.service, target=order.target, over_us=order.over_us)
        )
        await self._settlement.wait_settled(
            epoch=outcome.number, wait_us=max(0, deadline_us - self._ports.clock.now_us())
        )
        return outcome


def _error_of(*, decision: OrderDecision, service: str) -> KelpstageError:
    """The error for an order that is not taken now."""
    if isinstance(decision, OtherRollout):
        return RolloutUnderWayError(service=service, target=decision.target)
    why = getattr(decision, "why", "")
    return WriteUnresolvedError(put_id="", why=f"{why}; retry")
