"""How a core leaves its cluster gracefully before a planned stop.

Invariant: a stopping member exits once its removal is committed. If no other core can
replace it, it exits once it has stopped acknowledging entries and enough other members
hold every entry that it has acknowledged. It waits no longer than its limit, and logs
the state of the removal if that was not granted by then.
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
REPLY_TIMEOUT_US = 300_000
NO_LEADER_TIMEOUT_US = 2_000_000  # longer than an election takes
log = logger(name="core")


@dataclass(frozen=True, kw_only=True)
class LeaveOutcome:
    """The final state of the removal, and how many losses the other voters tolerate."""

    state: LeaveState
    losses_borne: int = 0
    losses_wanted: int = 0


class GracefulLeave:
    """Requests the removal of this core from the leader until it is granted."""

    def __init__(
        self, *, task: ReplicaTask, transport: Transport, clock: Clock, limit_us: int
    ) -> None:
        """`limit_us` bounds the time of `run`, in microseconds."""
        self._task = task
        self._transport = transport
        self._clock = clock
        self._deadline_us = clock.now_us() + limit_us
        self._last_reply_us = clock.now_us()

    async def run(self) -> LeaveOutcome:
        """Leave the cluster within the time limit."""
        if not self._other_addresses():
            return LeaveOutcome(state=LeaveState.COPIED)
        outcome = await self._request_until_granted()
        if outcome.state == LeaveState.COPIED:
            # No entry that is acknowledged from here on relies on this core's disk.
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
        return now_us < self._deadline_us and now_us - self._last_reply_us < NO_LEADER_TIMEOUT_US

    async def _request(self) -> LeaveOutcome | None:
        """Request the removal and return the leader's answer; None without one."""
        replies = await self._call(addresses=self._known_leader())
        if not replies:
            replies = await self._call(addresses=self._other_addresses())
        if not replies:
            return None
        self._last_reply_us = self._clock.now_us()
        return LeaveOutcome(
            state=LeaveState(replies[0].state),
            losses_borne=replies[0].losses_borne,
            losses_wanted=replies[0].losses_wanted,
        )

    async def _call(self, *, addresses: list[str]) -> list[LeaveCoreReply]:
        """Replies of leaders; none if this core's term changed during the call."""
        raft = self._task.raft
        asked_term = raft.term
        request = LeaveCore(
            cluster=self._task.cluster,
            replica=self._task.me,
            term=asked_term,
            last_index=raft.log.last_index,
        )
        calls = [
            self._transport.call(address=address, message=request, wait_us=REPLY_TIMEOUT_US)
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
        return [address] if address in self._other_addresses() else []

    def _other_addresses(self) -> list[str]:
        members = self._task.raft.members.others(replica=self._task.me)
        return sorted({member.address for member in members})

    def _log_outcome(self, *, outcome: LeaveOutcome) -> None:
        if outcome.state not in (LeaveState.REPLACED, LeaveState.COPIED):
            log.error(
                "stopping before the removal from the cluster was granted: {}", outcome.state.name
            )
        if outcome.losses_borne < outcome.losses_wanted:
            text = "without this core the voters tolerate {} more losses; {} are required"
            log.warning(text, outcome.losses_borne, outcome.losses_wanted)
