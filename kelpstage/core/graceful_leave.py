"""A planned stop: how a core leaves its cluster gracefully.

Invariant: a member that is to stop goes when its removal is committed; or, if nobody
can replace it, when enough others hold all that it has ever acknowledged, and it has
stopped acknowledging by then. It waits no longer than its limit; what was still missing
at the end is logged.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Clock
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import LeaveCore, LeaveCoreReply
from kelpstage.core.raft.types import LeaveState, TransferLeadership
from kelpstage.core.replica_task import ReplicaTask

REQUEST_INTERVAL_US = 100_000
ANSWER_US = 300_000
NO_LEADER_US = 2_000_000  # longer than an election takes
log = logger(name="core")


@dataclass(frozen=True, kw_only=True)
class LeaveOutcome:
    """How it ended, and how many losses of voters the others tolerate from now on."""

    state: LeaveState
    losses_borne: int = 0
    losses_wanted: int = 0


class Leaving:
    """Asks the leader for the removal of this core until that is granted."""

    def __init__(
        self, *, task: ReplicaTask, transport: Transport, clock: Clock, limit_us: int
    ) -> None:
        """`limit_us` bounds the time of `run`, in microseconds."""
        self._task = task
        self._transport = transport
        self._clock = clock
        self._until_us = clock.now_us() + limit_us
        self._answered_us = clock.now_us()

    async def run(self) -> LeaveOutcome:
        """Leave, within the limit."""
        if not self._others():
            return LeaveOutcome(state=LeaveState.COPIED)
        outcome = await self._request_until_granted()
        if outcome.state == LeaveState.COPIED:
            # Nothing that is acknowledged from here on counts on this core's disk.
            self._task.stop()
            outcome = await self._request_until_granted()
        self._log_outcome(outcome=outcome)
        return outcome

    async def _request_until_granted(self) -> LeaveOutcome:
        outcome = LeaveOutcome(state=LeaveState.NOT_LEADER)
        while self._is_time_left():
            if self._task.is_leader:
                self._task.inbox.put_nowait(TransferLeadership())
            else:
                outcome = await self._request() or outcome
            if outcome.state in (LeaveState.REPLACED, LeaveState.COPIED):
                return outcome
            await self._clock.sleep(us=REQUEST_INTERVAL_US)
        return outcome

    def _is_time_left(self) -> bool:
        now_us = self._clock.now_us()
        return now_us < self._until_us and now_us - self._answered_us < NO_LEADER_US

    async def _request(self) -> LeaveOutcome | None:
        """The answer of the leader; None if none answers."""
        replies = await self._call(addresses=self._known_leader())
        if not replies:
            replies = await self._call(addresses=self._others())
        if not replies:
            return None
        self._answered_us = self._clock.now_us()
        return LeaveOutcome(
            state=LeaveState(replies[0].state),
            losses_borne=replies[0].losses_borne,
            losses_wanted=replies[0].losses_wanted,
        )

    async def _call(self, *, addresses: list[str]) -> list[LeaveCoreReply]:
        """Answers of those that lead, in a term that is not over for this core."""
        raft = self._task.raft
        asked_term = raft.term
        request = LeaveCore(
            cluster=self._task.cluster,
            replica=self._task.me,
            term=asked_term,
            last_index=raft.log.last_index,
        )
        calls = [
            self._transport.call(address=address, message=request, wait_us=ANSWER_US)
            for address in addresses
        ]
        replies = await asyncio.gather(*calls)
        if raft.term != asked_term:
            return []
        return [
            reply
            for reply in replies
            if isinstance(reply, LeaveCoreReply) and reply.state != LeaveState.NOT_LEADER
        ]

    def _known_leader(self) -> list[str]:
        address = self._task.leader_address
        return [address] if address in self._others() else []

    def _others(self) -> list[str]:
        members = self._task.raft.members.others(replica=self._task.me)
        return sorted({member.address for member in members})

    def _log_outcome(self, *, outcome: LeaveOutcome) -> None:
        if outcome.state not in (LeaveState.REPLACED, LeaveState.COPIED):
            log.error("stops before its removal was granted: {}", outcome.state.name)
        if outcome.losses_borne < outcome.losses_wanted:
            text = "without this core the voters tolerate the loss of {} more, {} are wanted"
            log.warning(text, outcome.losses_borne, outcome.losses_wanted)
