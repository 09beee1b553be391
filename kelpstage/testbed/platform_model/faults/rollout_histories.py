"""Histories of orders of one service: new versions, back, again, and to the version in place.

Each order follows the end of the one before it, at once or later. Instances of the target may be
fewer than the old ones, or be lost for good.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from kelpstage.testbed.platform_model.backends import FIRST_REVISION, Backend, VersionFault
from kelpstage.testbed.platform_model.faults.rollouts import (
    DRAIN_DELAY_S,
    drain_all,
    target_instances,
)
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.history import RolloutOrder

ORDERS = 4
WATCH_US = 60_000_000  # after the term, for a final condition
OVER_US = (14_000_000, 16_000_000)
LOSS_DELAY_S = 1.0  # from the start of instances to the loss of some
OVER_ROLLING_DELAY_S = 2.0
MARGIN_S = 1.5  # beyond the time in which an order may be sent again


class OrderKind(Enum):
    """Which version an order names."""

    NEW = "new"
    IN_PLACE = "in place"
    BACK = "back"  # a version that was in place before
    AGAIN = "again"  # a version that was reverted


class Instances(Enum):
    """How many instances of the target start beside the old ones, and which are lost for good."""

    AS_MANY = "as many"
    HALF = "half"
    ONE_LOST = "one lost"
    MOST_LOST = "most lost"
    ALL_LOST = "all lost"
    NONE = "none"


class Pause(Enum):
    """How long an order comes after the end of the one before it."""

    NONE = "none"
    WITHIN = "within"  # the time in which the earlier order may be sent again
    BEYOND = "beyond"


@dataclass(frozen=True, kw_only=True)
class DrawnOrder:
    """One order of a history."""

    kind: OrderKind
    is_bad: bool
    instances: Instances
    pause: Pause
    has_order_over: bool


def draw_orders(rand: random.Random) -> list[DrawnOrder]:
    """Draw a history of orders."""
    return [
        DrawnOrder(
            kind=rand.choice(list(OrderKind)),
            is_bad=rand.random() < 0.4,
            instances=rand.choice([Instances.AS_MANY] * 4 + list(Instances)),
            pause=rand.choice(list(Pause)),
            has_order_over=rand.random() < 0.25,
        )
        for _ in range(ORDERS)
    ]


def draw_service(play: Any, rand: random.Random) -> str:
    """Draw the service of a history: a shard, or one that gets requests for a single backend."""
    drafts = play.drafts.routes.values()
    fan_out = next(draft for draft in drafts if draft.fan_out).fan_out
    single = sorted({name for draft in drafts for name, share in draft.services if share})
    return str(rand.choice((rand.choice(single), rand.choice(fan_out))))


@dataclass(kw_only=True)
class ServiceVersions:
    """The versions of a service, as its operator keeps them."""

    in_place: str = FIRST_REVISION
    earlier: list[str] = field(default_factory=list)
    reverted: list[str] = field(default_factory=list)
    serial: int = 1

    def target_of(self, *, kind: OrderKind) -> str:
        """The version that an order names; a new one if there is none of its kind."""
        if kind == OrderKind.IN_PLACE:
            return self.in_place
        if kind == OrderKind.BACK and self.earlier:
            return self.earlier[-1]
        if kind == OrderKind.AGAIN and self.reverted:
            return self.reverted[-1]
        self.serial += 1
        return f"v{self.serial}"

    def complete(self, *, target: str) -> None:
        """Record that a rollout to this version is complete."""
        if target == self.in_place:
            return
        self.earlier = [name for name in self.earlier if name != target] + [self.in_place]
        self.reverted = [name for name in self.reverted if name != target]
        self.in_place = target

    def revert(self, *, target: str) -> None:
        """Record that a rollout to this version was reverted."""
        self.reverted = [name for name in self.reverted if name != target] + [target]


class HistoryPlayer:
    """Plays a history of orders as the operator and the platform do."""

    def __init__(self, play: Any, *, rand: random.Random, service: str) -> None:
        self._play = play
        self._rand = rand
        self._service = service
        self._over_us = rand.choice(OVER_US)
        self._versions = ServiceVersions()
        self._last: RolloutOrder | None = None

    async def run(self, *, orders: list[DrawnOrder]) -> None:
        """Play the orders, each once the one before it has ended."""
        for drawn in orders:
            await self._pause(drawn.pause)
            target = self._versions.target_of(kind=drawn.kind)
            if self._is_repetition(target=target):
                await self._play.rollout_operator.begin_once(order=self._last)
                continue
            await self._wait_for_new_order(target=target)
            if not await self._carry_out(drawn=drawn, target=target):
                return

    async def _pause(self, pause: Pause) -> None:
        within_s = self._play.history.bounds.ack_within_us / 1_000_000
        if pause == Pause.WITHIN:
            await sleep(s=self._rand.random() * within_s)
        if pause == Pause.BEYOND:
            await sleep(s=within_s + MARGIN_S)

    def _is_repetition(self, *, target: str) -> bool:
        """True if the users' page takes an order for a repetition of the last one."""
        last, bounds = self._last, self._play.history.bounds
        if last is None or last.target != target or not last.reverted_us:
            return False
        return bool(self._play.world.now_us() < last.sent_us + bounds.ack_within_us)

    async def _wait_for_new_order(self, *, target: str) -> None:
        """Wait until an order with the content of an earlier one is certainly a new one."""
        earlier = [
            order.acked_us
            for order in self._play.history.rollouts
            if (order.service, order.target) == (self._service, target)
        ]
        if not earlier:
            return
        since_us = max(earlier) + self._play.history.bounds.ack_within_us + int(MARGIN_S * 1e6)
        await sleep(s=max(0.0, (since_us - self._play.world.now_us()) / 1_000_000))

    async def _carry_out(self, *, drawn: DrawnOrder, target: str) -> bool:
        """Give an order and follow it to its end; false if it was not taken or did not end."""
        play = self._play
        is_in_place = target == self._versions.in_place
        fault = VersionFault() if drawn.is_bad and not is_in_place else None
        order = self._order(target=target, is_bad=fault is not None)
        order.has_fewer_instances = not is_in_place and drawn.instances != Instances.AS_MANY
        old = play.backend_pool.active_instances(service=self._service)
        await play.rollout_operator.begin(order=order)
        if not order.acked_us:
            return False
        self._last = order
        new = self._start(drawn=drawn, old=old, order=order, fault=fault)
        followers = [self._watch(order=order)]
        if drawn.has_order_over:
            followers.append(self._order_over(order=order))
        await asyncio.gather(*followers)
        await self._follow_up(order=order, new=new)
        return bool(order.final_us)

    def _order(self, *, target: str, is_bad: bool) -> RolloutOrder:
        number = len(self._play.history.rollouts) + 2
        return RolloutOrder(
            key=f"rollout-{number}",
            service=self._service,
            target=target,
            over_us=self._over_us,
            is_bad=is_bad,
            is_alone=len(self._play.plan.faults) == 1 and not self._play.plan.closing,
        )

    def _start(
        self,
        *,
        drawn: DrawnOrder,
        old: list[Backend],
        order: RolloutOrder,
        fault: VersionFault | None,
    ) -> list[Backend]:
        """Start the target's instances, and lose some of them after a while."""
        if drawn.instances == Instances.NONE:
            return []
        beside = old[::2] if drawn.instances == Instances.HALF else old
        new = target_instances(self._play, old=beside, order=order, fault=fault)
        lost = {
            Instances.ONE_LOST: new[:1],
            Instances.MOST_LOST: new[: len(new) * 3 // 4],
            Instances.ALL_LOST: new,
        }.get(drawn.instances, [])
        if lost:
            self._play.later(self._lose(backends=lost))
        return new

    async def _lose(self, *, backends: list[Backend]) -> None:
        await sleep(s=LOSS_DELAY_S + self._rand.random() * self._over_us / 1_000_000)
        for backend in backends:
            self._play.backend_pool.crash(backend=backend)

    async def _order_over(self, *, order: RolloutOrder) -> None:
        """Order another version while one is rolling; it is refused, or carried out as well."""
        await sleep(s=OVER_ROLLING_DELAY_S)
        other = self._order(target=f"{order.target}-over", is_bad=False)
        other.has_fewer_instances = True  # none is started
        other.sent_us = self._play.world.now_us()
        await self._play.rollout_operator.begin_once(order=other)
        if other.acked_us:
            self._play.history.rollouts.append(other)
            await self._watch(order=other)

    async def _watch(self, *, order: RolloutOrder) -> None:
        operator = self._play.rollout_operator
        await operator.watch(order=order, until_us=order.term_us + WATCH_US)

    async def _follow_up(self, *, order: RolloutOrder, new: list[Backend]) -> None:
        """Stop or drain backends as the platform does after a final condition."""
        pool = self._play.backend_pool
        if order.complete_us:
            for backend in pool.active_instances(service=self._service):
                if backend.revision != order.target:
                    pool.stop(backend=backend)
            self._versions.complete(target=order.target)
        if order.reverted_us:
            await sleep(s=DRAIN_DELAY_S)
            drain_all(self._play, backends=new)
            self._versions.revert(target=order.target)


async def rollout_history(play: Any, rand: random.Random) -> None:
    """One service gets several orders of rollouts, of each kind, one after another."""
    player = HistoryPlayer(play, rand=rand, service=draw_service(play, rand))
    await player.run(orders=draw_orders(rand))
