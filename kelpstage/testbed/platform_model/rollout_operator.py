"""The operator's calls about rollouts: begin one, read its condition, read back at the end."""

from __future__ import annotations

import asyncio
import json

from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.testbed.platform_model.history import History, RolloutOrder
from kelpstage.testbed.platform_model.net import PlatformWorld
from kelpstage.testbed.platform_model.operator import (
    MAX_BACKOFF_US,
    MIN_BACKOFF_US,
    OTHER_REJECTIONS_LIMIT,
    REJECTED_STATUSES,
    RETRYABLE_STATUSES,
    Operator,
)

BEGIN_PATH, READ_PATH = "/api/Rollouts.Begin", "/api/Rollouts.Read"
WATCH_INTERVAL_S = 0.3
READ_BACK_ATTEMPTS = 40
READS_AFTER_THE_END = 4
COMPLETE, REVERTED = "complete", "reverted"


class RolloutOperator:
    """Sends the orders of rollouts through an operator's connection, and reads them."""

    def __init__(self, *, world: PlatformWorld, history: History, operator: Operator) -> None:
        self._world = world
        self._history = history
        self._operator = operator
        self.lose_share = 0.0  # of the replies to `begin`

    async def begin(self, *, order: RolloutOrder, give_up_us: int = 40_000_000) -> None:
        """Send an order until it has a clear answer or `give_up_us` is over."""
        order.sent_us = self._world.now_us()
        self._history.rollouts.append(order)
        backoff_us, other_rejections = MIN_BACKOFF_US, 0
        while self._world.now_us() < order.sent_us + give_up_us:
            status = await self.begin_once(order=order)
            if status == 200:
                return
            other_rejections += 400 <= status < 500 and status not in RETRYABLE_STATUSES
            if status in REJECTED_STATUSES or other_rejections >= OTHER_REJECTIONS_LIMIT:
                order.refused_us = order.ended_us = self._world.now_us()
                return
            await asyncio.sleep(backoff_us / 1_000_000)
            backoff_us = min(MAX_BACKOFF_US, backoff_us * 2)
        order.ended_us = self._world.now_us()

    async def begin_once(self, *, order: RolloutOrder) -> int:
        """Send an order once to a random address; the status of the reply, 0 if there is none."""
        body = {
            "Service": order.service,
            "TargetVersion": order.target,
            "OverS": order.over_us / 1_000_000,
        }
        reply = await self._operator.call_any(
            method="POST", path=BEGIN_PATH, body=json.dumps(body).encode()
        )
        status = reply.status if isinstance(reply, HttpReply) else 0
        if status and self._world.rand.random() < self.lose_share:
            status = 0
            order.lost_us.append(self._world.now_us())
        order.statuses.append(status)
        if status == 200 and not order.acked_us:
            order.acked_us = order.ended_us = self._world.now_us()
        return status

    async def read(self, *, order: RolloutOrder) -> str | None:
        """Read the rollout of the order's service and record its condition.

        Returns the target that the reply names, or `None` without a reply of status 200.
        """
        sent_us = self._world.now_us()
        reply = await self._operator.call_any(method="GET", path=f"{READ_PATH}/{order.service}")
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return None
        found = json.loads(reply.body)
        if found["TargetVersion"] == order.target:
            self._record(order=order, condition=found["Condition"])
        elif 0 < order.acked_us <= sent_us and self._is_newest(order=order):
            order.other_targets.append(str(found["TargetVersion"]))
        return str(found["TargetVersion"])

    def _is_newest(self, *, order: RolloutOrder) -> bool:
        """True if no other order of the service was sent after this one."""
        same = [known for known in self._history.rollouts if known.service == order.service]
        return same[-1] is order

    def _record(self, *, order: RolloutOrder, condition: str) -> None:
        order.condition = condition
        if not order.conditions or order.conditions[-1] != condition:
            order.conditions.append(condition)
        if condition == COMPLETE and not order.complete_us:
            order.complete_us = self._world.now_us()
        if condition == REVERTED and not order.reverted_us:
            order.reverted_us = self._world.now_us()

    async def watch(self, *, order: RolloutOrder, until_us: int) -> None:
        """Read repeatedly until the rollout is complete or reverted, or the time has come."""
        while self._world.now_us() < until_us:
            await self.read(order=order)
            if order.complete_us or order.reverted_us:
                break
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def read_again(self, *, order: RolloutOrder) -> None:
        """Read several times, at any core, after a final condition was read."""
        for _ in range(READS_AFTER_THE_END):
            await self.read(order=order)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def read_back(self) -> None:
        """Read every acknowledged rollout once more, at the end of a scenario."""
        newest = {order.service: order for order in self._history.rollouts if order.acked_us}
        for order in newest.values():
            for _ in range(READ_BACK_ATTEMPTS):
                order.read_back = await self.read(order=order)
                if order.read_back is not None:
                    break
                await asyncio.sleep(WATCH_INTERVAL_S)
