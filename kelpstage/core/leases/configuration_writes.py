"""Configuration writes on the leader: validated, proposed and settled.

Each write runs in its own task, which continues after its caller's timeout, so that a retry
gets the outcome. The replicated state machine decides the outcome. This module reports
success or rejection only after a quorum confirmed that this leader's log is the newest.
See `docs/notes/control/orders.md`.
"""

from __future__ import annotations

import asyncio

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    PutIdReusedError,
    VersionMismatchError,
    VersionNotAboveError,
    WriteUnresolvedError,
)
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import PutDecided
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_TIMEOUT_US
from kelpstage.core.leases.validation import DocumentValidator
from kelpstage.core.leases.write_readiness import WriteReadiness
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import Command, PutConfiguration, RefusePut, put_command
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.outcomes import (
    PutApplied,
    PutDeltaMismatch,
    PutIdTaken,
    PutNotAbove,
    PutOutcome,
    PutOutcomeUnknown,
    PutSuperseded,
    outcome_of,
)

MIN_WRITE_TIMEOUT_US = 10_000_000  # of one write, even if its caller waits for less


class ConfigurationWrites:
    """Proposes writes to the log, one epoch at a time."""

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        settlement: EpochSettlement,
        readiness: WriteReadiness,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._settlement = settlement
        self._readiness = readiness
        self._running: dict[bytes, asyncio.Future[PutApplied | KelpstageError]] = {}
        self.validate = DocumentValidator().validate

    @property
    def in_progress(self) -> int:
        """The number of writes in progress on this core."""
        return len(self._running)

    async def put(
        self, *, document: bytes, expected: int, put_id: str, wait_us: int, version: int = 0
    ) -> PutApplied | KelpstageError:
        """Write a configuration; returns once no edge can serve an older one.

        A call that exceeds its timeout (`wait_us`) gets `WriteUnresolvedError` while the write
        continues. The same write sent again, under any id, waits for it or gets its outcome.
        """
        stated_version = self.validate(document=document)
        if isinstance(stated_version, InvalidConfigurationError):
            return stated_version
        if stated_version and version and stated_version != version:
            why = f"the write has version {version}, but the document states {stated_version}"
            return InvalidConfigurationError(faults=[InvalidField(path="version", why=why)])
        version = version or stated_version
        digest = put_digest(document=document, expected=expected, version=version)
        record = self._task.machine.record(put_id=put_id)
        if record is not None and record.digest != digest:
            return PutIdReusedError(put_id=put_id, why="the id was used for another write")
        running = self._running.get(digest)
        if running is None:
            put = PutConfiguration(
                put_id=put_id, expected=expected, document=document, version=version
            )
            running = self._ports.spawn(
                self._run_write(put=put, digest=digest, wait_us=max(wait_us, MIN_WRITE_TIMEOUT_US))
            )
            self._running[digest] = running
        outcome: PutApplied | KelpstageError | None = await self._ports.clock.within(
            running, us=wait_us
        )
        if outcome is None:
            return WriteUnresolvedError(put_id=put_id, why="the write is still in progress; retry")
        if isinstance(outcome, WriteUnresolvedError):
            return WriteUnresolvedError(put_id=put_id, why=outcome.why)
        return outcome

    async def _run_write(
        self, *, put: PutConfiguration, digest: bytes, wait_us: int
    ) -> PutApplied | KelpstageError:
        deadline_us = self._ports.clock.now_us() + wait_us
        try:
            return await self._decide(put=put, digest=digest, deadline_us=deadline_us)
        finally:
            self._running.pop(digest, None)

    async def _decide(
        self, *, put: PutConfiguration, digest: bytes, deadline_us: int
    ) -> PutApplied | KelpstageError:
        decided = await self._look_up(put=put, digest=digest)
        if decided is None:
            async with self._settlement.change_lock:
                # Another core may have led while this write waited for the lock.
                decided = await self._look_up(put=put, digest=digest)
                if decided is None:
                    decided = await self._propose(put=put, digest=digest, deadline_us=deadline_us)
        if isinstance(decided, KelpstageError):
            return decided
        if not await self._settlement.wait_settled(
            epoch=decided.epoch, wait_us=self._remaining_us(deadline_us)
        ):
            return WriteUnresolvedError(
                put_id=put.put_id, why="committed, but not yet confirmed by the edges"
            )
        self._ports.failpoint("core.before_put_result")
        return decided

    def _remaining_us(self, deadline_us: int) -> int:
        return max(0, deadline_us - self._ports.clock.now_us())

    async def _look_up(
        self, *, put: PutConfiguration, digest: bytes
    ) -> PutApplied | KelpstageError | None:
        """The recorded outcome of a write, from a confirmed log; None if it holds no record."""
        error = await self._task.confirm(wait_us=CONFIRM_TIMEOUT_US)
        if error is not None:
            return error
        outcome = self._task.machine.decided(put=put, digest=digest)
        return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)

    async def _refuse(
        self, *, put: PutConfiguration, digest: bytes, deadline_us: int
    ) -> PutApplied | KelpstageError:
        """Reject, through the log, a write whose base version does not exist yet.

        Without the log entry, a copy of the write that is still in flight could be applied
        once that version exists.
        """
        refusal = RefusePut(
            put_id=put.put_id, digest=digest, expected=put.expected, version=put.version
        )
        outcome = await self._task.propose(
            data=bytes(Command(refuse=refusal)),
            put_id=put.put_id,
            wait_us=self._remaining_us(deadline_us),
        )
        return as_result(outcome=outcome, put_id=put.put_id)

    async def _propose(
        self, *, put: PutConfiguration, digest: bytes, deadline_us: int
    ) -> PutApplied | KelpstageError:
        """Propose a write to the log.

        Versions only increase, so a write that is rejected here without a log entry is
        rejected again if another copy of it arrives later.
        """
        clock = self._ports.clock
        if clock.now_us() >= deadline_us:
            return WriteUnresolvedError(
                put_id=put.put_id, why="timed out waiting for earlier changes; retry"
            )
        state = self._task.machine.state
        if put.expected > state.version:
            return await self._refuse(put=put, digest=digest, deadline_us=deadline_us)
        if put.expected < state.version:
            return VersionMismatchError(expected=put.expected, current=state.version)
        if put.version and put.version <= state.version:
            return VersionNotAboveError(version=put.version, current=state.version)
        error = await self._readiness.check(deadline_us=deadline_us)
        if error is not None:
            return error
        self._ports.failpoint("core.before_propose")
        command = put_command(put=put, state=self._task.machine.state)
        outcome = await self._task.propose(
            data=bytes(command), put_id=put.put_id, wait_us=self._remaining_us(deadline_us)
        )
        self._record_decision(put=put, outcome=outcome)
        result = as_result(outcome=outcome, put_id=put.put_id)
        if isinstance(result, PutApplied):
            # The next change waits until this one is settled.
            await self._settlement.wait_settled(
                epoch=result.epoch, wait_us=self._remaining_us(deadline_us)
            )
        return result

    def _record_decision(
        self, *, put: PutConfiguration, outcome: PutOutcome | KelpstageError
    ) -> None:
        if not isinstance(outcome, (PutApplied, PutSuperseded, PutNotAbove)):
            return
        self._journal.add(
            PutDecided(
                put_id=put.put_id,
                outcome="applied" if isinstance(outcome, PutApplied) else "lost",
                version=self._task.machine.state.version,
            )
        )

    def put_state(self, *, put_id: str) -> PutApplied | KelpstageError | None:
        """The outcome of a write; None if this leader's log holds no record of it."""
        record = self._task.machine.record(put_id=put_id)
        if record is None:
            return None
        return as_result(outcome=outcome_of(record=record), put_id=put_id)


def as_result(*, outcome: PutOutcome | KelpstageError, put_id: str) -> PutApplied | KelpstageError:
    """The result that an operator gets for a write's outcome.

    >>> as_result(outcome=PutSuperseded(expected=1, current=2), put_id="p")
    VersionMismatchError(expected=1, current=2)
    """
    if isinstance(outcome, PutSuperseded):
        return VersionMismatchError(expected=outcome.expected, current=outcome.current)
    if isinstance(outcome, PutNotAbove):
        return VersionNotAboveError(version=outcome.version, current=outcome.current)
    if isinstance(outcome, PutIdTaken):
        return PutIdReusedError(put_id=put_id, why="the id was used for another write")
    if isinstance(outcome, PutDeltaMismatch):
        return WriteUnresolvedError(
            put_id=put_id, why="another change was committed first; send the write again"
        )
    if isinstance(outcome, (PutOutcomeUnknown, WriteUnresolvedError)):
        return WriteUnresolvedError(put_id=put_id, why=outcome.why)
    return outcome
