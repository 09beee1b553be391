"""The orders of rollouts in a soak: one service after another order, each followed to its end."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.fleet.fleet import Fleet

SECOND_US = 1_000_000
SERVICE = "soaked"  # without instances: its steps wait for the reports of edges only
VERSIONS = ("v1", "v2", "v3")
OVER_US = 3 * SECOND_US
CALL_TIMEOUT_US = 1_500_000
RETRY_PAUSE_S = 0.1
READ_PAUSE_S = 0.3
ROLLING = "rolling"


class SoakRollouts:
    """Gives orders, and records in `violations` what an acknowledged one does not keep."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._last: tuple[str, str] | None = None  # target and final condition
        self.violations: list[str] = []
        self.ended = 0

    async def order(
        self, rand: random.Random, *, ack_s: float = 60.0, end_s: float = 120.0
    ) -> None:
        """Order a drawn version, and read it until its rollout has ended."""
        target = rand.choice(VERSIONS)
        if not await self._begin(target=target, rand=rand, limit_s=ack_s):
            return
        condition = await self._read_to_end(target=target, rand=rand, limit_s=end_s)
        if condition:
            self.ended += 1
            self._last = (target, condition)

    async def check_last(self, rand: random.Random, *, limit_s: float) -> None:
        """Check that the last rollout that ended is still read so."""
        if self._last is None:
            return
        target, condition = self._last
        view = await self._read(rand=rand, limit_s=limit_s)
        if (view.get("target"), view.get("condition")) != (target, condition):
            self.violations.append(f"the rollout to {target} was {condition}, and is {view}")

    async def _begin(self, *, target: str, rand: random.Random, limit_s: float) -> bool:
        body = {"service": SERVICE, "target": target, "over_us": OVER_US}
        deadline_us = self._fleet.now_us() + int(limit_s * SECOND_US)
        reply: Any = None
        while self._fleet.now_us() < deadline_us:
            reply = await self._call(
                rand=rand, method="POST", path="/v1/rollouts", body=json.dumps(body).encode()
            )
            if isinstance(reply, HttpReply) and reply.status == 200:
                return True
            if isinstance(reply, HttpReply) and 400 <= reply.status < 500:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self.violations.append(f"no acknowledgement of {target} within {limit_s} s: {reply}")
        return False

    async def _read_to_end(self, *, target: str, rand: random.Random, limit_s: float) -> str:
        """The final condition; empty if there is none in time."""
        deadline_us = self._fleet.now_us() + int(limit_s * SECOND_US)
        view: dict[str, Any] = {}
        while self._fleet.now_us() < deadline_us:
            view = await self._read(rand=rand, limit_s=limit_s)
            if view.get("target") != target:
                self.violations.append(f"{target} was acknowledged, and {view} read")
                return ""
            if view["condition"] != ROLLING:
                return str(view["condition"])
            await asyncio.sleep(READ_PAUSE_S)
        self.violations.append(f"the rollout to {target} has not ended in {limit_s} s: {view}")
        return ""

    async def _read(self, *, rand: random.Random, limit_s: float) -> dict[str, Any]:
        deadline_us = self._fleet.now_us() + int(limit_s * SECOND_US)
        while self._fleet.now_us() < deadline_us:
            reply = await self._call(rand=rand, method="GET", path=f"/v1/rollouts/{SERVICE}")
            if isinstance(reply, HttpReply) and reply.status == 200:
                return dict(json.loads(reply.body))
            await asyncio.sleep(RETRY_PAUSE_S)
        return {}

    async def _call(
        self, *, rand: random.Random, method: str, path: str, body: bytes = b""
    ) -> HttpReply | KelpstageError:
        address = self._fleet.core_http[rand.choice(list(self._fleet.core_http))]
        reply: HttpReply | KelpstageError = await self._fleet.ports.net.fetch(
            call=HttpCall(
                method=method,
                url=f"http://{address}{path}",
                headers={"Kelp-Time-Left-Us": str(CALL_TIMEOUT_US)},
                body=body,
                wait_us=CALL_TIMEOUT_US + SECOND_US,
            )
        )
        return reply
