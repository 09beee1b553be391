"""Whether a change of what edges serve can be proposed now, so that it survives and settles."""

from __future__ import annotations

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    NoEdgeMajorityError,
    NoLeaderError,
    TooFewVotersError,
)
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.replicated_state import edge_membership

POLL_INTERVAL_US = 50_000
CORE_CONTACT_GRACE_US = 5_000_000  # after an election, for other cores to contact the leader


class WriteReadiness:
    """Checks the voters of the core and the reports of the edges.

    `tolerance` is the number of cores whose loss an acknowledged change survives.
    """

    def __init__(
        self, *, ports: Ports, task: ReplicaTask, settlement: EpochSettlement, tolerance: int
    ) -> None:
        self._ports = ports
        self._task = task
        self._settlement = settlement
        self._tolerance = tolerance
        self._voters_needed = 2 * tolerance + 1

    async def check(self, *, deadline_us: int) -> KelpstageError | None:
        """The error that prevents a proposal now; None if a change can be proposed.

        Waits until `deadline_us` for edges to report, for voters and for the previous change.
        """
        state = self._task.machine.state
        await self._await_edge_quorum(deadline_us=deadline_us)
        if not self._settlement.has_quorum():
            voters = edge_membership(state=state).voters
            reported = self._settlement.lease_table.recently_reported(
                edges=voters, now_us=self._ports.clock.now_us()
            )
            return NoEdgeMajorityError(heard=len(reported), membership=len(voters))
        if not await self._has_enough_voters(deadline_us=deadline_us):
            return TooFewVotersError(voters=self._voter_count(), needed=self._voters_needed)
        wait_us = max(0, deadline_us - self._ports.clock.now_us())
        if not await self._settlement.wait_settled(epoch=state.epoch, wait_us=wait_us):
            return NoLeaderError(why="the previous change is not settled yet")
        return None

    async def _await_edge_quorum(self, *, deadline_us: int) -> None:
        """Wait until a quorum of edges has reported, up to one lease span after an election.

        Voting members that have not reported by then count as missing.
        """
        clock = self._ports.clock
        deadline_us = min(deadline_us, self._settlement.lease_table.since_us + LEASE_SPAN_US)
        while clock.now_us() < deadline_us and not self._settlement.has_quorum():
            await self._settlement.wait_for_edge_report(wait_us=POLL_INTERVAL_US)

    def _voter_count(self) -> int:
        return sum(member.is_voter for member in self._task.raft.members.current)

    async def _has_enough_voters(self, *, deadline_us: int) -> bool:
        """True if data on a majority of the voters survives `tolerance` losses.

        Waits while voters are still being added. See `docs/notes/voters.md`.
        """
        clock = self._ports.clock
        while self._voter_count() < self._voters_needed:
            if self._are_current_voters_sufficient():
                return True
            if clock.now_us() >= deadline_us or not self._task.is_leader:
                return False
            await clock.sleep(us=POLL_INTERVAL_US)
        return True

    def _are_current_voters_sufficient(self) -> bool:
        """True if every known core votes and a majority of the voters exceeds `tolerance`.

        An acknowledged write then survives `tolerance` losses even with fewer voters than
        configured.
        """
        leading_us = self._ports.clock.now_us() - self._settlement.lease_table.since_us
        members = self._task.raft.members.current
        has_only_voters = leading_us > CORE_CONTACT_GRACE_US and all(
            member.is_voter for member in members
        )
        return has_only_voters and self._voter_count() // 2 >= self._tolerance
