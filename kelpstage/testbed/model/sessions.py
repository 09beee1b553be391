"""How the leader serves operators' orders and edges' leases.

An order is looked up under a read index, checked, proposed, and acknowledged when no edge
can serve an older epoch; a lease is given under a read index. The calls may be lost,
late, doubled or sent again; an operator without a clear answer repeats its order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import (
    LeaseAnswer,
    LeaveEdgeCall,
    MembershipCall,
    Operator,
    Order,
    OrderAnswer,
    OrderCall,
    ReadCall,
    RenewCall,
    StateAnswer,
)
from kelpstage.testbed.model.edges import EdgeHost, ModelEdges
from kelpstage.testbed.model.interfaces import NodeView
from kelpstage.testbed.model.scope import Scope

ORDER_WAIT_US = 10_000_000

LOOK_UP, TURN, PROPOSED, SETTLE = "look-up", "turn", "proposed", "settle"


@dataclass(kw_only=True, eq=False)
class Work:
    """A call that a node has not answered yet."""

    address: str
    starts: int
    call: Any
    lease_table: leases.LeaseTable
    until_us: int
    source: str = ""
    stage: str = LOOK_UP
    epoch: int = 0
    version: int = 0


class Sessions:
    """All operators and edges, and their calls under way."""

    def __init__(self, *, world: EdgeHost, scope: Scope) -> None:
        self.world = world
        self._scope = scope
        self.operators = {f"op{i}": Operator(name=f"op{i}") for i in range(scope.operators)}
        self.edges = ModelEdges(world=world, scope=scope)
        self._joining: dict[str, bool] = {}  # is it an observer?
        self._work: dict[int, Work] = {}
        self._token = 0

    # --- calls arrive at a node --------------------------------------------------------

    def arrive(self, *, node: NodeView, source: str, call: Any) -> None:
        """A call of an operator's or an edge's; one that is not the leader gives no
        clear answer."""
        if core.role_of(node.replica) != core.LEADER:
            return
        if isinstance(call, LeaveEdgeCall):
            self._note_leaving(node=node, call=call)
            return
        if isinstance(call, RenewCall):
            self._note_edge(node=node, call=call)
        if isinstance(call, OrderCall) and self._is_at_work(node=node, order=call.order):
            return  # the call joins the work that is under way for the same order
        self._begin(node=node, source=source, call=call)

    def _begin(self, *, node: NodeView, source: str, call: Any) -> None:
        """A call waits for a read index first."""
        self._token += 1
        self._work[self._token] = Work(
            address=node.address,
            starts=node.starts,
            call=call,
            lease_table=node.lease_table,
            until_us=self.world.now_us + ORDER_WAIT_US,
            source=source,
        )
        node.take(core.ReadIndexRequest(token=self._token))

    def _note_leaving(self, *, node: NodeView, call: LeaveEdgeCall) -> None:
        leases.lease_table_leaves(
            node.lease_table,
            edge=call.edge,
            incarnation=call.incarnation,
            now_us=self.world.now_us,
        )

    def _is_at_work(self, *, node: NodeView, order: Order) -> bool:
        return any(
            work.lease_table is node.lease_table
            and isinstance(work.call, OrderCall)
            and work.call.order.digest == order.digest
            for work in self._work.values()
        )

    def _note_edge(self, *, node: NodeView, call: RenewCall) -> None:
        leases.lease_table_hears(
            node.lease_table,
            edge=call.edge,
            incarnation=call.incarnation,
            epoch=call.epoch,
            now_us=self.world.now_us,
        )

    # --- what the replica says --------------------------------------------------------------

    def read_lost(self, *, token: int) -> None:
        """The lead was lost before the read index was confirmed."""
        self._work.pop(token, None)

    def proposal_lost(self, *, token: int) -> None:
        """Nobody knows what becomes of the entry: no clear answer."""
        self._work.pop(token, None)

    def read_ready(self, *, node: NodeView, token: int, index: int) -> None:
        """The read index is confirmed by a majority."""
        work = self._work.get(token)
        if work is None:
            return
        if isinstance(work.call, OrderCall):
            self._look_up(node=node, token=token, work=work)
            return
        if isinstance(work.call, MembershipCall):
            work.stage = TURN
            self._propose_membership(node=node, token=token, work=work)
            return
        del self._work[token]
        if isinstance(work.call, ReadCall):
            self.world.checks.read_done(
                node=node, floor=work.call.floor, version=node.machine.state.version
            )
        if isinstance(work.call, RenewCall):
            self._give_lease(node=node, work=work)

    def _give_lease(self, *, node: NodeView, work: Work) -> None:
        if work.lease_table is not node.lease_table:
            return
        call, epoch = work.call, node.machine.state.epoch
        is_on_membership = call.edge in node.machine.state.membership
        if not is_on_membership or call.is_observer != (call.edge in node.machine.state.observers):
            self._joining[call.edge] = call.is_observer
        if not is_on_membership:
            self._send_state(node=node, call=call)
            return
        leases.lease_table_gives(
            node.lease_table, edge=call.edge, epoch=epoch, now_us=self.world.now_us
        )
        answer = LeaseAnswer(
            incarnation=call.incarnation,
            reply=leases.lease_reply(epoch=epoch),
            sent_us=call.sent_us,
        )
        self.world.send(source=node.address, to=call.edge, body=answer)
        self._send_state(node=node, call=call)

    def _send_state(self, *, node: NodeView, call: RenewCall) -> None:
        if call.epoch < node.machine.state.epoch:
            state = StateAnswer(doc=node.machine.doc())
            self.world.send(source=node.address, to=call.edge, body=state)

    # --- the membership of edges --------------------------------------------------------------

    def _is_changing(self, *, work: Work) -> bool:
        """Is another change of this leader proposed, and not yet applied?"""
        return any(
            other.lease_table is work.lease_table and other.stage == PROPOSED
            for other in self._work.values()
        )

    def _may_propose(self, *, node: NodeView, work: Work) -> bool:
        """One change at a time, when the one before it is settled."""
        state = node.machine.state
        return not self._is_changing(work=work) and leases.lease_table_settled(
            node.lease_table, state=state, epoch=state.epoch, now_us=self.world.now_us
        )

    def _begin_membership_change(self, *, node: NodeView) -> None:
        """A leader looks now and then whether an edge is to join or to be removed."""
        is_begun = any(
            work.lease_table is node.lease_table and isinstance(work.call, MembershipCall)
            for work in self._work.values()
        )
        if not is_begun and self._membership_command(node=node):
            self._begin(node=node, source=node.address, call=MembershipCall())

    def _membership_command(self, *, node: NodeView) -> bytes:
        state = node.machine.state
        joining = {
            name: is_observer
            for name, is_observer in self._joining.items()
            if name in self.edges.by_name and not self.edges.by_name[name].lease_holder.has_left
            if name not in state.membership or is_observer != (name in state.observers)
        }
        if joining:
            return leases.join_bytes(edges=joining)
        now_us = self.world.now_us
        if not leases.has_edge_quorum(node.lease_table, state=state, now_us=now_us):
            return b""
        return leases.removal_bytes(
            node.lease_table, state=state, tolerance=self._scope.tolerance, now_us=now_us
        )

    def _propose_membership(self, *, node: NodeView, token: int, work: Work) -> None:
        if not self._may_propose(node=node, work=work):
            return
        data = self._membership_command(node=node)
        if not data:
            del self._work[token]
            return
        work.stage = PROPOSED
        node.take(core.Propose(kind=core.COMMAND, data=data, token=token))

    # --- orders -------------------------------------------------------------------------------

    def _look_up(self, *, node: NodeView, token: int, work: Work) -> None:
        order = work.call.order
        outcome = core.decided(machine=node.machine, order=order)
        if outcome is not None:
            self._decided(node=node, token=token, work=work, outcome=outcome)
            return
        current = node.machine.state.version
        if order.expected > current:
            self._refuse_by_log(node=node, token=token, work=work)
            return
        refusal = core.refusal_of_base(
            expected=order.expected, version=order.version, current=current
        )
        if refusal is not None:
            self._refuse(node=node, token=token, work=work)
            return
        work.stage = TURN
        self._propose(node=node, token=token, work=work)

    def _propose(self, *, node: NodeView, token: int, work: Work) -> None:
        """Propose the order when the change before it is settled.

        The state machine checks it once more, against what is in force at its index.
        """
        order, state = work.call.order, node.machine.state
        if not self._may_propose(node=node, work=work):
            return
        work.stage = PROPOSED
        data = core.order_bytes(
            put_id=order.put_id,
            expected=order.expected,
            version=order.version,
            document=order.document,
            state=state,
        )
        node.take(core.Propose(kind=core.COMMAND, data=data, token=token))

    def _refuse_by_log(self, *, node: NodeView, token: int, work: Work) -> None:
        """Have the state machine refuse an order on a version to come."""
        order = work.call.order
        work.stage = PROPOSED
        data = core.refusal_bytes(
            put_id=order.put_id,
            expected=order.expected,
            version=order.version,
            digest=order.digest,
        )
        node.take(core.Propose(kind=core.COMMAND, data=data, token=token))

    def applied(self, *, node: NodeView, token: int, outcome: Any) -> None:
        """The state machine decided an order that was proposed here."""
        work = self._work.get(token)
        if work is None:
            return
        if isinstance(work.call, MembershipCall):
            del self._work[token]
            return
        self._decided(node=node, token=token, work=work, outcome=outcome)

    def _decided(self, *, node: NodeView, token: int, work: Work, outcome: Any) -> None:
        if core.is_unclear(outcome):
            del self._work[token]
            return
        if core.is_refusal(outcome):
            self._refuse(node=node, token=token, work=work)
            return
        self.world.checks.order_took_effect(order=work.call.order)
        work.stage, work.epoch, work.version = SETTLE, outcome.epoch, outcome.version
        self._settle(node=node, token=token, work=work)

    def _refuse(self, *, node: NodeView, token: int, work: Work) -> None:
        del self._work[token]
        self.world.checks.refused_order(order=work.call.order)
        self._answer(node=node, work=work, is_refused=True, version=node.machine.state.version)

    def _settle(self, *, node: NodeView, token: int, work: Work) -> None:
        """Acknowledge when no edge can serve an older epoch."""
        state = node.machine.state
        if not leases.lease_table_settled(
            work.lease_table, state=state, epoch=work.epoch, now_us=self.world.now_us
        ):
            return
        del self._work[token]
        order = work.call.order
        self.world.checks.acknowledged_order(order=order, version=work.version, epoch=work.epoch)
        self._answer(node=node, work=work, is_refused=False, version=work.version)

    def _answer(self, *, node: NodeView, work: Work, is_refused: bool, version: int) -> None:
        answer = OrderAnswer(order=work.call.order, is_refused=is_refused, version=version)
        self.world.send(source=node.address, to=work.source, body=answer)

    def tick(self, *, node: NodeView) -> None:
        """Orders that wait for a settled epoch are looked at again, and the membership."""
        if core.role_of(node.replica) == core.LEADER:
            self._begin_membership_change(node=node)
        waiting = [
            (token, work)
            for token, work in self._work.items()
            if work.address == node.address and work.stage in (TURN, SETTLE)
        ]
        for token, work in waiting:
            if work.lease_table is not node.lease_table or self.world.now_us > work.until_us:
                del self._work[token]
            elif work.stage == SETTLE:
                self._settle(node=node, token=token, work=work)
            elif core.role_of(node.replica) != core.LEADER:
                del self._work[token]
            elif isinstance(work.call, MembershipCall):
                self._propose_membership(node=node, token=token, work=work)
            else:
                self._propose(node=node, token=token, work=work)

    def node_ended(self, *, node: NodeView) -> None:
        """Drop the calls that are pending at a process that ended; they get no reply."""
        self._work = {t: w for t, w in self._work.items() if w.address != node.address}

    # --- answers arrive ---------------------------------------------------------------------------

    def receive(self, *, name: str, body: Any) -> None:
        """An operator or an edge takes an answer."""
        if name in self.operators:
            self.operators[name].hear(answer=body)
        else:
            self.edges.receive(name=name, body=body)
