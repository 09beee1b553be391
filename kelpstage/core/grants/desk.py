"""The leader's desk: grants for edges, and the settling of what was committed.

Epochs change one at a time: a put or a change of the roster is proposed only
when no edge can serve the epoch before the last any more.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.locks import Condition, Lock

from kelpstage.base.defects import Defect, EdgeStillHere, NoLeader, UnknownEdge
from kelpstage.base.journal import Journal
from kelpstage.base.ports.types import Ports
from kelpstage.base.wire.lines import Lines
from kelpstage.base.wire.messages import Announce, GrantReply, Renew
from kelpstage.core.events import EpochSettled, RosterChanged
from kelpstage.core.grants.ledger import GRANT_SPAN_US, Ledger
from kelpstage.core.grants.puts import Puts
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.machine import AddEdge, Command, RemoveEdge, RosterSet

ANNOUNCED_BYTES = 64 * 1024
CONFIRM_US = 1_000_000
SETTLE_LOOK_US = 50_000
ROSTER_WAIT_US = 5_000_000


class Desk:
    """Grants, puts and the roster, as the leader keeps them."""

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Lines,
        journal: Journal,
        task: ReplicaTask,
        own: str,
        tolerance: int = 0,
    ) -> None:
        self._ports = ports
        self._lines = lines
        self._journal = journal
        self._task = task
        self._own = own
        self.change = Lock()
        self._news = Condition()
        self._joining: set[str] = set()
        self._shown_epoch = 0
        self._gone: frozenset = frozenset()
        self.ledger = Ledger(since_us=ports.clock.now_us())
        self.puts = Puts(
            ports=ports, journal=journal, task=task, desk=self, tolerance=tolerance
        )

    # --- told by the replica's task ---------------------------------------------------

    def took_lead(self) -> None:
        self.ledger = Ledger(since_us=self._ports.clock.now_us())

    def applied(self) -> None:
        """Tell every edge at once when the epoch has moved on."""
        epoch = self._task.machine.state.epoch
        if epoch == self._shown_epoch:
            return
        self._shown_epoch = epoch
        if not self._task.is_leader:
            return
        state = bytes(self._task.machine.doc())
        if len(state) > ANNOUNCED_BYTES:
            state = b""  # to be fetched in chunks
        for contact in self.ledger.contacts(now_us=self._ports.clock.now_us()):
            self._ports.point("core.before_announce")
            self._lines.send(
                address=contact.address,
                message=Announce(
                    cluster=self._task.cluster, epoch=epoch, leader_address=self._own,
                    state=state,
                ),
            )

    # --- grants ---------------------------------------------------------------------------

    async def renew(self, *, ask: Renew) -> GrantReply:
        """Grant an edge the right to serve, if this leader is confirmed after its asking."""
        task = self._task
        if ask.cluster and ask.cluster != task.cluster:
            return GrantReply(cluster=task.cluster, why="another cluster")
        ledger = self.ledger
        now_us = self._ports.clock.now_us()
        if ask.is_leaving:
            ledger.give_back(edge=ask.edge, incarnation=ask.incarnation)
            self._news.notify_all()
            return GrantReply(cluster=task.cluster, why="leaving")
        if ask.cluster:
            ledger.heard(
                edge=ask.edge,
                incarnation=ask.incarnation,
                epoch=ask.epoch,
                contact=ask.contact,
                now_us=now_us,
            )
            self._news.notify_all()
        defect = await task.confirm(wait_us=CONFIRM_US)
        if defect is not None or ledger is not self.ledger:
            return GrantReply(cluster=task.cluster, why=defect.why if defect else "lead changed")
        if not ask.cluster:
            ledger.heard(
                edge=ask.edge, incarnation=ask.incarnation, epoch=0, contact=ask.contact,
                now_us=now_us,
            )
        state = task.machine.state
        is_on_roster = ask.edge in state.roster
        reply = GrantReply(
            is_granted=is_on_roster,
            cluster=task.cluster,
            epoch=state.epoch,
            version=state.version,
            span_us=GRANT_SPAN_US,
            leader_address=self._own,
            cores=[member.address for member in task.raft.members.current],
            is_on_roster=is_on_roster,
            partners=ledger.contacts(now_us=now_us),
        )
        if not is_on_roster:
            reply.why = "joining the roster"
            self._begin_join(edge=ask.edge)
            return reply
        self._ports.point("core.before_grant")
        ledger.grant(edge=ask.edge, epoch=state.epoch, now_us=self._ports.clock.now_us())
        return reply

    def _begin_join(self, *, edge: str) -> None:
        if edge in self._joining:
            return
        self._joining.add(edge)
        self._ports.spawn(self._join(edge=edge))

    async def _join(self, *, edge: str) -> None:
        await self._set_roster(command=Command(add=AddEdge(edge=edge)))
        self._joining.discard(edge)

    async def _set_roster(self, *, command: Command) -> Defect | None:
        async with self.change:
            defect = await self._task.confirm(wait_us=CONFIRM_US)
            if defect is not None:
                return defect
            if not await self.settled(
                epoch=self._task.machine.state.epoch, wait_us=ROSTER_WAIT_US
            ):
                return NoLeader(why="the epoch before is not settled")
            outcome = await self._task.propose(
                data=bytes(command), put_id="", wait_us=ROSTER_WAIT_US
            )
            if not isinstance(outcome, RosterSet):
                return outcome
            self._journal.add(RosterChanged(roster=list(self._task.machine.state.roster)))
            await self.settled(epoch=outcome.epoch, wait_us=ROSTER_WAIT_US)
            return None

    async def settled(self, *, epoch: int, wait_us: int) -> bool:
        """Wait until no edge can serve an epoch older than this one."""
        clock, ledger = self._ports.clock, self.ledger
        started_us = clock.now_us()
        while True:
            now_us = clock.now_us()
            if ledger is not self.ledger:
                return False  # another lead: what is the newest has to be asked anew
            if self.is_settled(epoch=epoch):
                self._journal.add(EpochSettled(epoch=epoch, after_us=now_us - started_us))
                return True
            if now_us - started_us > wait_us or not self._task.is_leader:
                return False
            await self.heard_news(wait_us=SETTLE_LOOK_US)

    async def heard_news(self, *, wait_us: int) -> None:
        """Wait until an edge has said something, or so long."""
        await self._ports.clock.within(asyncio.ensure_future(self._news.wait()), us=wait_us)

    # --- operators ---------------------------------------------------------------------------

    def is_settled(self, *, epoch: int) -> bool:
        """Can no edge serve an epoch older than this one? If the newest epoch added
        several edges at once, most of the roster before it must have it as well, so
        that no majority of that one vouches for what was before."""
        state = self._task.machine.state
        now_us = self._ports.clock.now_us()
        rosters = [state.roster]
        if epoch == state.epoch and state.old_roster:
            rosters.append(state.old_roster)
        return all(
            self.ledger.is_settled(
                epoch=epoch, roster=list(roster), now_us=now_us, gone=self._gone
            )
            for roster in rosters
        )

    async def remove_edges(self, *, edges: list[str]) -> RosterSet | Defect:
        """Take edges that are gone for good off the roster, one after the other.

        Named together, they may be most of the roster: none of them speaks for an
        older epoch any more, so the others can settle what they could not before.
        """
        defect = await self._task.confirm(wait_us=CONFIRM_US)
        if defect is not None:
            return defect
        for edge in edges:
            defect = self._still_here(edge=edge)
            if defect is not None:
                return defect
        self._gone = frozenset(edges)
        try:
            for edge in edges:
                defect = await self._set_roster(command=Command(remove=RemoveEdge(edge=edge)))
                if defect is not None:
                    return defect
        finally:
            self._gone = frozenset()
        return RosterSet(epoch=self._task.machine.state.epoch)

    def _still_here(self, *, edge: str) -> Defect | None:
        if edge not in self._task.machine.state.roster:
            return UnknownEdge(edge=edge)
        now_us = self._ports.clock.now_us()
        holder = self.ledger.holder(edge=edge)
        heard_us = self.ledger.since_us if holder is None else holder.heard_us
        if now_us - heard_us < 2 * GRANT_SPAN_US:
            return EdgeStillHere(edge=edge, heard_us_ago=now_us - heard_us)
        return None
