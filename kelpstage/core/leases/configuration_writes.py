"""Operators' orders, as the leader takes them: judged, proposed, settled, each by a piece
of work that goes on when its caller's patience ends, so that a repeat finds it done.

Nothing is decided here: the replicated state machine decides, and this module answers
200 or refuses only by what a log says that was confirmed to be the newest.
See `docs/notes/control/orders.md`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

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
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import PutDecided
from kelpstage.core.leases.lease_table import LEASE_SPAN_US
from kelpstage.core.leases.validation import DocumentValidator
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import Command, PutConfiguration, RefusePut, put_command
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.outcomes import (
    PutApplied,
    PutNotAbove,
    PutOutcomeUnknown,
    PutSuperseded,
    PutUnreadable,
    PutVersionTaken,
    outcome_of,
)

if TYPE_CHECKING:
    from kelpstage.core.leases.lease_service import LeaseService

CONFIRM_US = 1_000_000
PATIENCE_US = 10_000_000
LOOK_US = 50_000
CORES_MEET_US = 5_000_000


class ConfigurationWrites:
    """What the lease service does with orders."""

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        lease_service: "LeaseService",
        tolerance: int,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._lease_service = lease_service
        self._tolerance = tolerance
        self._voters_needed = 2 * tolerance + 1
        self._work: dict[bytes, asyncio.Future] = {}
        self.judge = DocumentValidator().judge

    async def put(
        self, *, document: bytes, expected: int, put_id: str, wait_us: int, version: int = 0
    ) -> PutApplied | KelpstageError:
        """Put a configuration; 200 is given when no edge can serve an older one.

        A call that runs out of time gets `WriteUnresolvedError`, while the work goes on: the same
        put again, under whatever id, waits for the same work or hears what it came to.
        """
        judged = self.judge(document=document)
        if isinstance(judged, InvalidConfigurationError):
            return judged
        if judged and version and judged != version:
            why = f"the put is given version {version}, the document says {judged}"
            return InvalidConfigurationError(faults=[InvalidField(path="version", why=why)])
        version = version or judged
        digest = put_digest(document=document, expected=expected, version=version)
        record = self._task.machine.record(put_id=put_id)
        if record is not None and record.digest != digest:
            return PutIdReusedError(put_id=put_id, why="it named another put")
        work = self._work.get(digest)
        if work is None:
            put = PutConfiguration(
                put_id=put_id, expected=expected, document=document, version=version
            )
            work = self._ports.spawn(
                self._see_through(put=put, digest=digest, wait_us=max(wait_us, PATIENCE_US))
            )
            self._work[digest] = work
        outcome = await self._ports.clock.within(work, us=wait_us)
        if outcome is None:
            return WriteUnresolvedError(put_id=put_id, why="still at work on it; ask again")
        if isinstance(outcome, WriteUnresolvedError):
            return WriteUnresolvedError(put_id=put_id, why=outcome.why)
        return outcome

    async def _see_through(
        self, *, put: PutConfiguration, digest: bytes, wait_us: int
    ) -> PutApplied | KelpstageError:
        until_us = self._ports.clock.now_us() + wait_us
        try:
            return await self._decide(put=put, digest=digest, until_us=until_us)
        finally:
            self._work.pop(digest, None)

    async def _decide(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | KelpstageError:
        decided = await self._look_up(put=put, digest=digest)
        if decided is None:
            async with self._lease_service.change:
                # While this waited its turn, the lead may have been elsewhere.
                decided = await self._look_up(put=put, digest=digest)
                if decided is None:
                    decided = await self._propose(put=put, digest=digest, until_us=until_us)
        if isinstance(decided, KelpstageError):
            return decided
        if not await self._lease_service.settled(
            epoch=decided.epoch, wait_us=self._left_us(until_us)
        ):
            return WriteUnresolvedError(
                put_id=put.put_id, why="in the log; edges not yet known to have it"
            )
        self._ports.point("core.before_put_result")
        return decided

    def _left_us(self, until_us: int) -> int:
        return max(0, until_us - self._ports.clock.now_us())

    async def _look_up(
        self, *, put: PutConfiguration, digest: bytes
    ) -> PutApplied | KelpstageError | None:
        """Was this put decided, by a log that is confirmed to be the newest?"""
        error = await self._task.confirm(wait_us=CONFIRM_US)
        if error is not None:
            return error
        outcome = self._task.machine.decided(put=put, digest=digest)
        return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)

    async def _refuse(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | KelpstageError:
        """Refuse by the log an order on a version to come: a copy of it that is still
        under way must not be taken when that version is there."""
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
        """Bring a put into the log. Versions only rise, so what is refused here without a
        trace in the log would be refused again whenever another copy of it came."""
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
        membership = list(state.membership)
        await self._hear_membership(membership=membership, until_us=until_us)
        lease_table, now_us = self._lease_service.lease_table, clock.now_us()
        if not lease_table.has_majority(membership=membership, now_us=now_us):
            heard = lease_table.heard_lately(membership=membership, now_us=now_us)
            return NoEdgeMajorityError(heard=len(heard), membership=len(membership))
        if not await self._has_voters(until_us=until_us):
            return TooFewVotersError(voters=self._voters(), needed=self._voters_needed)
        if not await self._lease_service.settled(
            epoch=state.epoch, wait_us=self._left_us(until_us)
        ):
            return NoLeaderError(why="the change before this one is not settled yet")
        self._ports.point("core.before_propose")
        command = put_command(put=put, state=self._task.machine.state)
        outcome = await self._task.propose(
            data=bytes(command), put_id=put.put_id, wait_us=self._left_us(until_us)
        )
        result = as_result(outcome=outcome, put_id=put.put_id)
        if isinstance(outcome, (PutApplied, PutSuperseded, PutNotAbove)):
            self._journal.add(
                PutDecided(
                    put_id=put.put_id,
                    outcome="applied" if isinstance(outcome, PutApplied) else "lost",
                    version=self._task.machine.state.version,
                )
            )
        if isinstance(result, PutApplied):
            # The next change waits behind this one, within the same order.
            await self._lease_service.settled(epoch=result.epoch, wait_us=self._left_us(until_us))
        return result

    async def _hear_membership(self, *, membership: list[str], until_us: int) -> None:
        """A leader that was elected a moment ago has not heard its edges yet; give
        them one span before it is said that most are missing."""
        clock = self._ports.clock
        until_us = min(until_us, self._lease_service.lease_table.since_us + LEASE_SPAN_US)
        while clock.now_us() < until_us:
            if self._lease_service.lease_table.has_majority(
                membership=membership, now_us=clock.now_us()
            ):
                return
            await self._lease_service.heard_news(wait_us=LOOK_US)

    def _voters(self) -> int:
        return sum(member.is_voter for member in self._task.raft.members.current)

    async def _has_voters(self, *, until_us: int) -> bool:
        """Are there enough voters that what most of them have outlives the losses that
        are to be borne? While the set is being filled, wait for it.
        See `docs/notes/voters.md`."""
        clock = self._ports.clock
        while self._voters() < self._voters_needed:
            if self._is_all_there_is():
                return True
            if clock.now_us() >= until_us or not self._task.is_leader:
                return False
            await clock.sleep(us=LOOK_US)
        return True

    def _is_all_there_is(self) -> bool:
        """Is no other core in sight, while most of those there are hold a put on one disk
        more than may be lost? What was acknowledged is then kept all the same."""
        led_us = self._ports.clock.now_us() - self._lease_service.lease_table.since_us
        members = self._task.raft.members.current
        is_alone = led_us > CORES_MEET_US and all(member.is_voter for member in members)
        return is_alone and self._voters() // 2 >= self._tolerance

    def put_state(self, *, put_id: str) -> PutApplied | KelpstageError | None:
        """What became of a put, as far as this leader's log tells."""
        record = self._task.machine.record(put_id=put_id)
        if record is None:
            return None
        return as_result(outcome=outcome_of(record=record), put_id=put_id)


def as_result(*, outcome: Any, put_id: str) -> PutApplied | KelpstageError:
    """What an operator is answered for a put's outcome.

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
