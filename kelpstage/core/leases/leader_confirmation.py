"""Confirmation of the leader by a majority, one round for many callers.

A lease may be given only by a leader that a majority confirmed after the renewal was
received (the read index of the Raft thesis, section 6.4). Rounds are shared, and paced on
large memberships, so that their number does not grow with the edges.
"""

from __future__ import annotations

import asyncio

from kelpstage.common.errors.control import NoLeaderError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.leases.announcements import RELAYED_FROM_EDGES
from kelpstage.core.replica_task import ReplicaTask

CONFIRM_US = 1_000_000
CONFIRM_GAP_US = 50_000  # between the beginnings of two rounds, on large memberships


class LeaderConfirmation:
    """Runs rounds of confirmation, one at a time."""

    def __init__(self, *, ports: Ports, task: ReplicaTask) -> None:
        self._ports = ports
        self._task = task
        self._queued: asyncio.Future[NoLeaderError | None] | None = None
        self._is_running = False

    async def confirm(self) -> NoLeaderError | None:
        """Confirm this leader by a round that begins after this call.

        None if it is confirmed. One round answers all callers that came before it began;
        one at a time is in progress.
        """
        if self._queued is None:
            self._queued = asyncio.get_running_loop().create_future()
        round_result = self._queued
        if not self._is_running:
            self._is_running = True
            self._ports.spawn(self._run_rounds())
        return await asyncio.shield(round_result)

    async def _run_rounds(self) -> None:
        try:
            while self._queued is not None:
                round_result, self._queued = self._queued, None
                began_us = self._ports.clock.now_us()
                round_result.set_result(await self._task.confirm(wait_us=CONFIRM_US))
                await self._pause(began_us=began_us)
        finally:
            self._is_running = False

    async def _pause(self, *, began_us: int) -> None:
        clock = self._ports.clock
        left_us = began_us + CONFIRM_GAP_US - clock.now_us()
        if left_us > 0 and len(self._task.machine.state.membership) > RELAYED_FROM_EDGES:
            await clock.sleep(us=left_us)
