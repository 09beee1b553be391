"""Confirmation of the leader by a majority, with one round for many callers.

A leader may grant a lease only if a majority confirmed it after the renewal was received
(the read index of the Raft thesis, section 6.4). Callers share rounds, and rounds are paced
on large memberships, so that their number does not grow with the number of edges.
"""

from __future__ import annotations

import asyncio

from kelpstage.common.errors.control import NoLeaderError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.leases.announcements import LARGE_MEMBERSHIP_EDGES
from kelpstage.core.replica_task import ReplicaTask

CONFIRM_TIMEOUT_US = 1_000_000
CONFIRM_INTERVAL_US = 50_000  # from start to start of two rounds, on large memberships


class LeaderConfirmation:
    """Runs confirmation rounds, one at a time."""

    def __init__(self, *, ports: Ports, task: ReplicaTask) -> None:
        self._ports = ports
        self._task = task
        self._next_round: asyncio.Future[NoLeaderError | None] | None = None
        self._is_running = False

    async def confirm(self) -> NoLeaderError | None:
        """Confirm this leader in a round that starts after this call; None if confirmed.

        One round serves all callers that were waiting when it started.
        """
        if self._next_round is None:
            self._next_round = asyncio.get_running_loop().create_future()
        round_result = self._next_round
        if not self._is_running:
            self._is_running = True
            self._ports.spawn(self._run_rounds())
        return await asyncio.shield(round_result)

    async def _run_rounds(self) -> None:
        try:
            while self._next_round is not None:
                round_result, self._next_round = self._next_round, None
                began_us = self._ports.clock.now_us()
                round_result.set_result(await self._task.confirm(wait_us=CONFIRM_TIMEOUT_US))
                await self._pause(began_us=began_us)
        finally:
            self._is_running = False

    async def _pause(self, *, began_us: int) -> None:
        clock = self._ports.clock
        left_us = began_us + CONFIRM_INTERVAL_US - clock.now_us()
        if left_us > 0 and len(self._task.machine.state.membership) > LARGE_MEMBERSHIP_EDGES:
            await clock.sleep(us=left_us)
