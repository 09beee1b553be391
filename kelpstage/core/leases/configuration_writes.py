"""Operators' orders, as the leader takes them: judged, proposed, settled, each by a piece
of work that goes on when its caller's patience ends, so that a repeat finds it done.

Nothing is decided here: the replicated state machine decides, and this module answers
200 or refuses only by what a log says that was confirmed to be the newest.
See `docs/notes/control/orders.md`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from kelpstage.common.errors import (
    ConfigurationRefused,
    Defect,
    Fault,
    NoEdgeMajority,
    NoLeader,
    PutIdReused,
    TooFewCores,
    Unresolved,
    VersionMismatch,
    VersionNotAbove,
)
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import PutDecided
from kelpstage.core.leases.lease_table import LEASE_SPAN_US
from kelpstage.core.leases.validation import Judge
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.machine import (
    Command,
    PutApplied,
    PutClash,
    PutConfiguration,
    PutLost,
    PutNotAbove,
    PutUnclear,
    PutUnreadable,
    RefusePut,
    outcome_of,
    put_command,
    put_digest,
)

if TYPE_CHECKING:
    from kelpstage.core.leases.lease_service import LeaseService

CONFIRM_US = 1_000_000
PATIENCE_US = 10_000_000
LOOK_US = 50_000
CORES_MEET_US = 5_000_000


class Puts:
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
        self.judge = Judge().judge

    async def put(
        self, *, document: bytes, expected: int, put_id: str, wait_us: int, version: int = 0
    ) -> PutApplied | Defect:
        """Put a configuration; 200 is given when no edge can serve an older one.

        A call that runs out of time gets `Unresolved`, while the work goes on: the same
        put again, under whatever id, waits for the same work or hears what it came to.
        """
        judged = self.judge(document=document)
        if isinstance(judged, ConfigurationRefused):
            return judged
        if judged and version and judged != version:
            why = f"the put is given version {version}, the document says {judged}"
            return ConfigurationRefused(faults=[Fault(path="version", why=why)])
        version = version or judged
        digest = put_digest(document=document, expected=expected, version=version)
        record = self._task.machine.record(put_id=put_id)
        if record is not None and record.digest != digest:
            return PutIdReused(put_id=put_id, why="it named another put")
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
            return Unresolved(put_id=put_id, why="still at work on it; ask again")
        if isinstance(outcome, Unresolved):
            return Unresolved(put_id=put_id, why=outcome.why)
        return outcome

    async def _see_through(
        self, *, put: PutConfiguration, digest: bytes, wait_us: int
    ) -> PutApplied | Defect:
        until_us = self._ports.clock.now_us() + wait_us
        try:
            return await self._decide(put=put, digest=digest, until_us=until_us)
        finally:
            self._work.pop(digest, None)

    async def _decide(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | Defect:
        decided = await self._look_up(put=put, digest=digest)
        if decided is None:
            async with self._lease_service.change:
                # While this waited its turn, the lead may have been elsewhere.
                decided = await self._look_up(put=put, digest=digest)
                if decided is None:
                    decided = await self._propose(put=put, digest=digest, until_us=until_us)
        if isinstance(decided, Defect):
            return decided
        if not await self._lease_service.settled(
            epoch=decided.epoch, wait_us=self._left_us(until_us)
        ):
            return Unresolved(put_id=put.put_id, why="in the log; edges not yet known to have it")
        self._ports.point("core.before_put_result")
        return decided

    def _left_us(self, until_us: int) -> int:
        return max(0, until_us - self._ports.clock.now_us())

    async def _look_up(self, *, put: PutConfiguration, digest: bytes) -> PutApplied | Defect | None:
        """Was this put decided, by a log that is confirmed to be the newest?"""
        defect = await self._task.confirm(wait_us=CONFIRM_US)
        if defect is not None:
            return defect
        outcome = self._task.machine.decided(put=put, digest=digest)
        return None if outcome is None else as_result(outcome=outcome, put_id=put.put_id)

    async def _refuse(
        self, *, put: PutConfiguration, digest: bytes, until_us: int
    ) -> PutApplied | Defect:
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
    ) -> PutApplied | Defect:
        """Bring a put into the log. Versions only rise, so what is refused here without a
        trace in the log would be refused again whenever another copy of it came."""
        clock = self._ports.clock
        if clock.now_us() >= until_us:
            return Unresolved(put_id=put.put_id, why="its turn came too late; ask again")
        state = self._task.machine.state
        if put.expected > state.version:
            return await self._refuse(put=put, digest=digest, until_us=until_us)
        if put.expected < state.version:
            return VersionMismatch(expected=put.expected, current=state.version)
        if put.version and put.version <= state.version:
            return VersionNotAbove(version=put.version, current=state.version)
        roster = list(state.roster)
        await self._hear_roster(roster=roster, until_us=until_us)
        ledger, now_us = self._lease_service.ledger, clock.now_us()
        if not ledger.has_majority(roster=roster, now_us=now_us):
            heard = ledger.heard_lately(roster=roster, now_us=now_us)
            return NoEdgeMajority(heard=len(heard), roster=len(roster))
        if not await self._has_voters(until_us=until_us):
            return TooFewCores(voters=self._voters(), needed=self._voters_needed)
        if not await self._lease_service.settled(
            epoch=state.epoch, wait_us=self._left_us(until_us)
        ):
            return NoLeader(why="the change before this one is not settled yet")
        self._ports.point("core.before_propose")
        command = put_command(put=put, state=self._task.machine.state)
        outcome = await self._task.propose(
            data=bytes(command), put_id=put.put_id, wait_us=self._left_us(until_us)
        )
        result = as_result(outcome=outcome, put_id=put.put_id)
        if isinstance(outcome, (PutApplied, PutLost, PutNotAbove)):
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

    async def _hear_roster(self, *, roster: list[str], until_us: int) -> None:
        """A leader that was elected a moment ago has not heard its edges yet; give
        them one span before it is said that most are missing."""
        clock = self._ports.clock
        until_us = min(until_us, self._lease_service.ledger.since_us + LEASE_SPAN_US)
        while clock.now_us() < until_us:
            if self._lease_service.ledger.has_majority(roster=roster, now_us=clock.now_us()):
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
        led_us = self._ports.clock.now_us() - self._lease_service.ledger.since_us
        members = self._task.raft.members.current
        is_alone = led_us > CORES_MEET_US and all(member.is_voter for member in members)
        return is_alone and self._voters() // 2 >= self._tolerance

    def put_state(self, *, put_id: str) -> PutApplied | Defect | None:
        """What became of a put, as far as this leader's log tells."""
        record = self._task.machine.record(put_id=put_id)
        if record is None:
            return None
        return as_result(outcome=outcome_of(record=record), put_id=put_id)


def as_result(*, outcome: Any, put_id: str) -> PutApplied | Defect:
    """What an operator is answered for a put's outcome.

    >>> as_result(outcome=PutLost(expected=1, current=2), put_id="p")
    VersionMismatch(expected=1, current=2)
    """
    if isinstance(outcome, PutLost):
        return VersionMismatch(expected=outcome.expected, current=outcome.current)
    if isinstance(outcome, PutNotAbove):
        return VersionNotAbove(version=outcome.version, current=outcome.current)
    if isinstance(outcome, PutClash):
        return PutIdReused(put_id=put_id, why="it named another put")
    if isinstance(outcome, PutUnreadable):
        return Unresolved(put_id=put_id, why="another change came between; send it again")
    if isinstance(outcome, (PutUnclear, Unresolved)):
        return Unresolved(put_id=put_id, why=outcome.why)
    return outcome
