"""Writes of configurations on the leader: validated, proposed, settled.

Each write runs in a task of its own that outlives its caller's wait, so that a repeat finds
its outcome. Nothing is decided here: the replicated state machine decides, and this module
reports success or refusal only from a log that was confirmed to be the newest.
See `docs/notes/control/orders.md`.
"""

from __future__ import annotations

import asyncio

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    NoEdgeMajorityError,
    NoLeaderError,
    PutIdReusedError,
    TooFewVotersError,
    VersionMismatchError,
    VersionNotAboveError,
    WriteUnresolvedError,
)
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField
from kelpstage.common.event_journal import Journal
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import PutDecided
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_US
from kelpstage.core.leases.validation import DocumentValidator
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import Command, PutConfiguration, RefusePut, put_command
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.outcomes import (
    PutApplied,
    PutNotAbove,
    PutOutcome,
    PutOutcomeUnknown,
    PutSuperseded,
    PutUnreadable,
    PutVersionTaken,
    outcome_of,
)
from kelpstage.core.state.replicated_state import CoreState, edge_membership

LEAST_WRITE_US = 10_000_000  # that a write is worked on, however short its caller waits
LOOK_US = 50_000
CORES_MEET_US = 5_000_000  # after an election, until other cores have made contact


class ConfigurationWrites:
    """Takes writes through the log, one epoch at a time.

    `tolerance` is the number of cores whose loss an acknowledged write survives.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        settlement: EpochSettlement,
        tolerance: int,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._settlement = settlement
        self._tolerance = tolerance
        self._voters_needed = 2 * tolerance + 1
        self._running: dict[bytes, asyncio.Future[PutApplied | KelpstageError]] = {}
        self.validate = DocumentValidator().validate

    @property
    def in_progress(self) -> int:
        """How many writes this core works on."""
        return len(self._running)

    async def put(
        self, *, document: bytes, expected: int, put_id: str, wait_us: int, version: int = 0
    ) -> PutApplied | KelpstageError:
        """Write a configuration; done when no edge can serve an older one.

        A call that runs out of time (`wait_us`) gets `WriteUnresolvedError` while the write
        goes on: the same write again, under whatever id, waits for it or gets its outcome.
        """
        stated_version = self.validate(document=document)
        if isinstance(stated_version, InvalidConfigurationError):
            return stated_version
        if stated_version and version and stated_version != version:
            why = f"the put is given version {version}, the document says {stated_version}"
            return InvalidConfigurationError(faults=[InvalidField(path="version", why=why)])
        version = version or stated_version
        digest = put_digest(document=document, expected=expected, version=version)
        record = self._task.machine.record(put_id=put_id)
        if record is not None and record.digest != digest:
            return PutIdReusedError(put_id=put_id, why="it named another put")
        running = self._running.get(digest)
        if running is None:
            put = PutConfiguration(
                put_id=put_id, expected=expected, document=document, version=version
            )
            running = self._ports.spawn(
                self._run_write(put=put, digest=digest, wait_us=max(wait_us, LEAST_WRITE_US))
            )
            self._running[digest] = running
        outcome: PutApplied | KelpstageError | None = await self._ports.clock.within(
            running, us=wait_us
        )
        if outcome is None:
            return WriteUnresolvedError(put_id=put_id, why="still at work on it; ask again")
        if isinstance(outcome, WriteUnresolvedError):
            return WriteUnresolvedError(put_id=put_id, why=outcome.why)
        return outcome

    async def _run_write(
        self, *, put: PutConfiguration, digest: bytes, wait_us: int
    ) -> PutApplied | KelpstageError:
        until_us = self._ports.clock.now_us() + wait_us
        try:
            return await self._decide(put=put, digest=digest, until_us=until_us)
        finally:
            self._running.pop(digest, None)

    async def _decide(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | KelpstageError:
        decided = await self._look_up(put=put, digest=digest)
        if decided is None:
            async with self._settlement.change:
                # While this waited for the lock, another core may have led.
                decided = await self._look_up(put=put, digest=digest)
                if decided is None:
                    decided = await self._propose(put=put, digest=digest, until_us=until_us)
        if isinstance(decided, KelpstageError):
            return decided
        if not await self._settlement.wait_settled(
            epoch=decided.epoch, wait_us=self._left_us(until_us)
        ):
            return WriteUnresolvedError(
                put_id=put.put_id, why="in the log; edges not yet known to have it"
            )
        self._ports.failpoint("core.before_put_result")
        return decided

    def _left_us(self, until_us: int) -> int:
        return max(0, until_us - self._ports.clock.now_us())

    async def _look_up(
        self, *, put: PutConfiguration, digest: bytes
    ) -> PutApplied | KelpstageError | None:
        """The outcome of a write that a log confirmed to be the newest holds, or None."""
        error = await self._task.confirm(wait_us=CONFIRM_US)
        if error is not None:
            return error
        outcome = self._task.machine.decided(put=put, digest=digest)
        return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)

    async def _refuse(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | KelpstageError:
        """Refuse through the log a write on a version to come: a copy of it that is still
        in flight must not be applied when that version is there."""
        refusal = RefusePut(
            put_id=put.put_id, digest=digest, expected=put.expected, version=put.version
        )
        outcome = await self._task.propose(
            data=bytes(Command(refuse=refusal)),
            put_id=put.put_id,
            wait_us=self._left_us(until_us),
        )
        return as_result(outcome=outcome, put_id=put.put_id)

    async def _propose(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | KelpstageError:
        """Propose a write to the log.

        Versions only rise, so what is refused here without a record in the log would be
        refused again whenever another copy of it arrived.
        """
        clock = self._ports.clock
        if clock.now_us() >= until_us:
            return WriteUnresolvedError(put_id=put.put_id, why="its turn came too late; ask again")
        state = self._task.machine.state
        if put.expected > state.version:
            return await self._refuse(put=put, digest=digest, until_us=until_us)
        if put.expected < state.version:
            return VersionMismatchError(expected=put.expected, current=state.version)
        if put.version and put.version <= state.version:
            return VersionNotAboveError(version=put.version, current=state.version)
        error = await self._check_ready(state=state, until_us=until_us)
        if error is not None:
            return error
        self._ports.failpoint("core.before_propose")
        command = put_command(put=put, state=self._task.machine.state)
        outcome = await self._task.propose(
            data=bytes(command), put_id=put.put_id, wait_us=self._left_us(until_us)
        )
        self._record_decision(put=put, outcome=outcome)
        result = as_result(outcome=outcome, put_id=put.put_id)
        if isinstance(result, PutApplied):
            # The next change waits until this one is settled.
            await self._settlement.wait_settled(epoch=result.epoch, wait_us=self._left_us(until_us))
        return result

    async def _check_ready(self, *, state: CoreState, until_us: int) -> KelpstageError | None:
        """Why no write can be proposed now; None if one can."""
        await self._await_edge_quorum(until_us=until_us)
        if not self._settlement.has_quorum():
            voters = edge_membership(state=state).voters
            heard = self._settlement.lease_table.reported_lately(
                edges=voters, now_us=self._ports.clock.now_us()
            )
            return NoEdgeMajorityError(heard=len(heard), membership=len(voters))
        if not await self._has_voters(until_us=until_us):
            return TooFewVotersError(voters=self._voters(), needed=self._voters_needed)
        if not await self._settlement.wait_settled(
            epoch=state.epoch, wait_us=self._left_us(until_us)
        ):
            return NoLeaderError(why="the change before this one is not settled yet")
        return None

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

    async def _await_edge_quorum(self, *, until_us: int) -> None:
        """Give the edges one lease span after an election to report, before the voting
        members are considered missing."""
        clock = self._ports.clock
        until_us = min(until_us, self._settlement.lease_table.since_us + LEASE_SPAN_US)
        while clock.now_us() < until_us and not self._settlement.has_quorum():
            await self._settlement.wait_for_edge_report(wait_us=LOOK_US)

    def _voters(self) -> int:
        return sum(member.is_voter for member in self._task.raft.members.current)

    async def _has_voters(self, *, until_us: int) -> bool:
        """Are there enough voters that what a majority has survives `tolerance` losses?

        While voters are still being added, wait for them. See `docs/notes/voters.md`.
        """
        clock = self._ports.clock
        while self._voters() < self._voters_needed:
            if self._is_every_core_voting():
                return True
            if clock.now_us() >= until_us or not self._task.is_leader:
                return False
            await clock.sleep(us=LOOK_US)
        return True

    def _is_every_core_voting(self) -> bool:
        """Is there no other core, while a majority of the voters has one disk more than may
        be lost? What was acknowledged is then kept all the same."""
        led_us = self._ports.clock.now_us() - self._settlement.lease_table.since_us
        members = self._task.raft.members.current
        is_alone = led_us > CORES_MEET_US and all(member.is_voter for member in members)
        return is_alone and self._voters() // 2 >= self._tolerance

    def put_state(self, *, put_id: str) -> PutApplied | KelpstageError | None:
        """The outcome of a write, None if this leader's log holds no record of it."""
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
    if isinstance(outcome, PutVersionTaken):
        return PutIdReusedError(put_id=put_id, why="it named another put")
    if isinstance(outcome, PutUnreadable):
        return WriteUnresolvedError(put_id=put_id, why="another change came between; send it again")
    if isinstance(outcome, (PutOutcomeUnknown, WriteUnresolvedError)):
        return WriteUnresolvedError(put_id=put_id, why=outcome.why)
    return outcome
