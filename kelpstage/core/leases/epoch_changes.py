"""Proposes changes of the replicated state that are not operators' writes, one epoch at a time."""

from __future__ import annotations

from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import NoLeaderError
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_TIMEOUT_US
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import Command

CHANGE_TIMEOUT_US = 5_000_000


class EpochChanges:
    """Each change waits for the previous epoch to settle, and for its own."""

    def __init__(self, *, task: ReplicaTask, settlement: EpochSettlement) -> None:
        self._task = task
        self._settlement = settlement

    async def change(
        self,
        *,
        make_command: Callable[[], Command | None],
        on_changed: Callable[[], None] = lambda: None,
    ) -> KelpstageError | None:
        """Propose a command; returns an error if it was not applied.

        `make_command` is called when the change may be proposed and decides on the state of that
        moment; with None, nothing is proposed. `on_changed` is called once the command is applied.
        """
        async with self._settlement.change_lock:
            # Another core may have led while this change waited for the lock.
            error: KelpstageError | None = await self._task.confirm(wait_us=CONFIRM_TIMEOUT_US)
            if error is not None:
                return error
            if not await self._settlement.wait_settled(
                epoch=self._task.machine.state.epoch, wait_us=CHANGE_TIMEOUT_US
            ):
                return NoLeaderError(why="the previous epoch is not settled")
            command = make_command()
            if command is None:
                return None
            outcome = await self._task.propose(
                data=bytes(command), put_id="", wait_us=CHANGE_TIMEOUT_US
            )
            if isinstance(outcome, KelpstageError):
                return outcome
            on_changed()
            await self._settlement.wait_settled(
                epoch=self._task.machine.state.epoch, wait_us=CHANGE_TIMEOUT_US
            )
            return None
