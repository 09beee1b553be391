"""How the leader handles operators' orders and edges' lease requests.

An order is looked up under a read index, checked, proposed, and acknowledged when no edge
can serve an older epoch. A lease is granted under a read index. Calls may be lost, delayed,
duplicated or sent again; an operator without a definite reply repeats its order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.core.state.outcomes import RolloutBegun
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import (
    LeaseGrant,
    LeaveEdgeCall,
    MembershipCall,
    Operator,
    Order,
    OrderCall,
    OrderReply,
    ReadCall,
    RenewCall,
    StateReply,
)
from kelpstage.testbed.model.edges import EdgeHost, ModelEdges
from kelpstage.testbed.model.interfaces import NodeView
from kelpstage.testbed.model.rollouts import (
    ModelRollouts,
    RepeatedOrder,
    RolloutCall,
    RolloutChangeCall,
)
from kelpstage.testbed.model.scope import Scope

ORDER_WAIT_US = 10_000_000

LOOK_UP, AWAITING_TURN, PROPOSED, SETTLING = "look-up", "turn", "proposed", "settle"


@dataclass(kw_only=True, eq=False)
class PendingCall:
    """A call that a node has not answered yet.

    `stage` says what it waits for: the read index (`LOOK_UP`), the change before it
    (`AWAITING_TURN`), its log entry (`PROPOSED`), or the end of older epochs (`SETTLING`).
    """

    address: str
    starts: int
    call: Any
    lease_table: leases.LeaseTable
    deadline_us: int
    source: str = ""
    stage: str = LOOK_UP
    epoch: int = 0
    version: int = 0

    @property
    def arrived_us(self) -> int:
        """When the call reached the node."""
        return self.deadline_us - ORDER_WAIT_US


class Sessions:
    """All operators and edges, and their pending calls."""

    def __init__(self, *, world: EdgeHost, scope: Scope) -> None:
        self.world = world
        self._scope = scope
        self.operators = {f"op{i}": Operator(name=f"op{i}") for i in range(scope.operators)}
        self.edges = ModelEdges(world=world, scope=scope)
        self.rollouts = ModelRollouts(world=world)
        self._joining: dict[str, bool] = {}  # is it an observer?
        self._pending_calls: dict[int, PendingCall] = {}
        self._token = 0

    # --- calls arrive at a node --------------------------------------------------------

    def handle_call(self, *, node: NodeView, source: str, call: Any) -> None:
        """Handle a call of an operator or an edge; only the leader answers."""
        if core.role_of(node.replica) != core.LEADER:
            return
        if isinstance(call, LeaveEdgeCall):
            self._record_leave(node=node, call=call)
            return
        if isinstance(call, RenewCall):
            self._record_heartbeat(node=node, call=call)
        if isinstance(call, OrderCall) and self._is_pending(node=node, order=call.order):
            return  # the pending call for the same order answers this one as well
        if isinstance(call, RolloutCall) and self.rollouts.is_late(call=call):
            return
        self._begin_call(node=node, source=source, call=call)

    def change_rollout(self, *, node: NodeView, change: RolloutChangeCall) -> None:
        """Begin a change of a rollout on the leader."""
        self._begin_call(node=node, source=node.address, call=change)

    def _begin_call(self, *, node: NodeView, source: str, call: Any) -> None:
        """Add a call to the pending ones and request its read index."""
        self._token += 1
        self._pending_calls[self._token] = PendingCall(
            address=node.address,
            starts=node.starts,
            call=call,
            lease_table=node.lease_table,
            deadline_us=self.world.now_us + ORDER_WAIT_US,
            source=source,
        )
        node.step(core.ReadIndexRequest(token=self._token))

    def _record_leave(self, *, node: NodeView, call: LeaveEdgeCall) -> None:
        leases.lease_table_leaves(
            node.lease_table,
            edge=call.edge,
            incarnation=call.incarnation,
            now_us=self.world.now_us,
        )

    def _is_pending(self, *, node: NodeView, order: Order) -> bool:
        return any(
            pending.lease_table is node.lease_table
            and isinstance(pending.call, OrderCall)
            and pending.call.order.digest == order.digest
            for pending in self._pending_calls.values()
        )

    def _record_heartbeat(self, *, node: NodeView, call: RenewCall) -> None:
        leases.lease_table_hears(
            node.lease_table,
            edge=call.edge,
            incarnation=call.incarnation,
            epoch=call.epoch,
            now_us=self.world.now_us,
        )

    # --- effects of the replica -------------------------------------------------------------

    def read_lost(self, *, token: int) -> None:
        """Drop a call: leadership was lost before its read index was confirmed."""
        self._pending_calls.pop(token, None)

    def proposal_lost(self, *, token: int) -> None:
        """Drop a call without a reply: the outcome of its entry is unknown here."""
        self._pending_calls.pop(token, None)

    def read_ready(self, *, node: NodeView, token: int, index: int) -> None:
        """Continue a call whose read index a majority has confirmed."""
        pending = self._pending_calls.get(token)
        if pending is None:
            return
        if isinstance(pending.call, OrderCall):
            self._look_up(node=node, token=token, pending=pending)
            return
        if isinstance(pending.call, MembershipCall):
            pending.stage = AWAITING_TURN
            self._propose_membership(node=node, token=token, pending=pending)
            return
        if isinstance(pending.call, RolloutCall | RolloutChangeCall):
            pending.stage = AWAITING_TURN
            self._propose_rollout(node=node, token=token, pending=pending)
            return
        del self._pending_calls[token]
        if isinstance(pending.call, ReadCall):
            self.world.checks.read_done(
                node=node, floor=pending.call.floor, version=node.machine.state.version
            )
        if isinstance(pending.call, RenewCall):
            self._grant_lease(node=node, pending=pending)

    def _grant_lease(self, *, node: NodeView, pending: PendingCall) -> None:
        if pending.lease_table is not node.lease_table:
            return
        call, epoch = pending.call, node.machine.state.epoch
        is_member = call.edge in node.machine.state.membership
        if not is_member or call.is_observer != (call.edge in node.machine.state.observers):
            self._joining[call.edge] = call.is_observer
        if not is_member:
            self._send_state(node=node, call=call)
            return
        leases.lease_table_gives(
            node.lease_table, edge=call.edge, epoch=epoch, now_us=self.world.now_us
        )
        grant = LeaseGrant(
            incarnation=call.incarnation,
            reply=leases.lease_reply(epoch=epoch),
            sent_us=call.sent_us,
        )
        self.world.send(source=node.address, to=call.edge, body=grant)
        self._send_state(node=node, call=call)

    def _send_state(self, *, node: NodeView, call: RenewCall) -> None:
        if call.epoch < node.machine.state.epoch:
            state = StateReply(doc=node.machine.doc())
            self.world.send(source=node.address, to=call.edge, body=state)

    # --- the membership of edges --------------------------------------------------------------

    def _is_changing(self, *, pending: PendingCall) -> bool:
        """True if another change of this leader is proposed and not applied yet."""
        return any(
            other.lease_table is pending.lease_table and other.stage == PROPOSED
            for other in self._pending_calls.values()
        )

    def _may_propose(self, *, node: NodeView, pending: PendingCall) -> bool:
        """True if no other change is in progress and the current epoch is settled."""
        state = node.machine.state
        return not self._is_changing(pending=pending) and leases.lease_table_settled(
            node.lease_table, state=state, epoch=state.epoch, now_us=self.world.now_us
        )

    def _begin_membership_change(self, *, node: NodeView) -> None:
        """Begin a change of the membership if an edge is to be added or removed."""
        is_begun = any(
            pending.lease_table is node.lease_table and isinstance(pending.call, MembershipCall)
            for pending in self._pending_calls.values()
        )
        if not is_begun and self._membership_command(node=node):
            self._begin_call(node=node, source=node.address, call=MembershipCall())

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

    def _propose_membership(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        if not self._may_propose(node=node, pending=pending):
            return
        data = self._membership_command(node=node)
        if not data:
            del self._pending_calls[token]
            return
        pending.stage = PROPOSED
        node.step(core.Propose(kind=core.COMMAND, data=data, token=token))

    # --- rollouts -----------------------------------------------------------------------------

    def _propose_rollout(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        """Decide on an order of a rollout, or on a change of one, once it is its turn."""
        if not self._may_propose(node=node, pending=pending):
            return
        state, call = node.machine.state, pending.call
        if isinstance(call, RolloutCall):
            decision = self.rollouts.decide(
                state=state, ages=node.order_ages, call=call, arrived_us=pending.arrived_us
            )
            if isinstance(decision, RepeatedOrder):
                self.rollouts.repeated(state=state, order=call.order, decision=decision)
                self.rollouts.acknowledged(order=call.order)  # its epoch is settled
        data = self.rollouts.command(
            state=state, ages=node.order_ages, call=call, arrived_us=pending.arrived_us
        )
        if not data:
            del self._pending_calls[token]
            return
        pending.stage = PROPOSED
        node.step(core.Propose(kind=core.COMMAND, data=data, token=token))

    def _rollout_applied(
        self, *, node: NodeView, token: int, pending: PendingCall, outcome: Any
    ) -> None:
        if isinstance(pending.call, RolloutCall) and isinstance(outcome, RolloutBegun):
            node.order_ages.note_taken(number=outcome.number, now_us=self.world.now_us)
            pending.stage, pending.epoch = SETTLING, outcome.number
            self._acknowledge_if_settled(node=node, token=token, pending=pending)
            return
        del self._pending_calls[token]

    # --- orders -------------------------------------------------------------------------------

    def _look_up(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        order = pending.call.order
        outcome = core.decided(machine=node.machine, order=order)
        if outcome is not None:
            self._handle_outcome(node=node, token=token, pending=pending, outcome=outcome)
            return
        current = node.machine.state.version
        if order.expected > current:
            self._propose_refusal(node=node, token=token, pending=pending)
            return
        refusal = core.refusal_of_base(
            expected=order.expected, version=order.version, current=current
        )
        if refusal is not None:
            self._refuse(node=node, token=token, pending=pending)
            return
        pending.stage = AWAITING_TURN
        self._propose(node=node, token=token, pending=pending)

    def _propose(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        """Propose the order once the change before it is settled.

        The state machine checks the order again, against the version in force at its index.
        """
        order, state = pending.call.order, node.machine.state
        if not self._may_propose(node=node, pending=pending):
            return
        pending.stage = PROPOSED
        data = core.order_bytes(
            put_id=order.put_id,
            expected=order.expected,
            version=order.version,
            document=order.document,
            state=state,
        )
        node.step(core.Propose(kind=core.COMMAND, data=data, token=token))

    def _propose_refusal(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        """Propose that the state machine reject an order on a future version."""
        order = pending.call.order
        pending.stage = PROPOSED
        data = core.refusal_bytes(
            put_id=order.put_id,
            expected=order.expected,
            version=order.version,
            digest=order.digest,
        )
        node.step(core.Propose(kind=core.COMMAND, data=data, token=token))

    def applied(self, *, node: NodeView, token: int, outcome: Any) -> None:
        """Continue a call whose proposed entry the state machine has applied."""
        pending = self._pending_calls.get(token)
        if pending is None:
            return
        if isinstance(pending.call, MembershipCall):
            del self._pending_calls[token]
            return
        if isinstance(pending.call, RolloutCall | RolloutChangeCall):
            self._rollout_applied(node=node, token=token, pending=pending, outcome=outcome)
            return
        self._handle_outcome(node=node, token=token, pending=pending, outcome=outcome)

    def _handle_outcome(
        self, *, node: NodeView, token: int, pending: PendingCall, outcome: Any
    ) -> None:
        if core.is_unclear(outcome):
            del self._pending_calls[token]
            return
        if core.is_refusal(outcome):
            self._refuse(node=node, token=token, pending=pending)
            return
        self.world.checks.order_took_effect(order=pending.call.order)
        pending.stage, pending.epoch, pending.version = SETTLING, outcome.epoch, outcome.version
        self._acknowledge_if_settled(node=node, token=token, pending=pending)

    def _refuse(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        del self._pending_calls[token]
        self.world.checks.refused_order(order=pending.call.order)
        self._reply(node=node, pending=pending, is_refused=True, version=node.machine.state.version)

    def _acknowledge_if_settled(self, *, node: NodeView, token: int, pending: PendingCall) -> None:
        """Acknowledge an order if no edge can serve an older epoch."""
        state = node.machine.state
        if not leases.lease_table_settled(
            pending.lease_table, state=state, epoch=pending.epoch, now_us=self.world.now_us
        ):
            return
        del self._pending_calls[token]
        order = pending.call.order
        if isinstance(pending.call, RolloutCall):
            self.rollouts.acknowledged(order=order)
            return
        self.world.checks.acknowledged_order(
            order=order, version=pending.version, epoch=pending.epoch
        )
        self._reply(node=node, pending=pending, is_refused=False, version=pending.version)

    def _reply(
        self, *, node: NodeView, pending: PendingCall, is_refused: bool, version: int
    ) -> None:
        reply = OrderReply(order=pending.call.order, is_refused=is_refused, version=version)
        self.world.send(source=node.address, to=pending.source, body=reply)

    def tick(self, *, node: NodeView) -> None:
        """Check the membership, and retry or drop the waiting calls of a node."""
        if core.role_of(node.replica) == core.LEADER:
            self._begin_membership_change(node=node)
        waiting = [
            (token, pending)
            for token, pending in self._pending_calls.items()
            if pending.address == node.address and pending.stage in (AWAITING_TURN, SETTLING)
        ]
        for token, pending in waiting:
            if (
                pending.lease_table is not node.lease_table
                or self.world.now_us > pending.deadline_us
            ):
                del self._pending_calls[token]
            elif pending.stage == SETTLING:
                self._acknowledge_if_settled(node=node, token=token, pending=pending)
            elif core.role_of(node.replica) != core.LEADER:
                del self._pending_calls[token]
            elif isinstance(pending.call, MembershipCall):
                self._propose_membership(node=node, token=token, pending=pending)
            elif isinstance(pending.call, RolloutCall | RolloutChangeCall):
                self._propose_rollout(node=node, token=token, pending=pending)
            else:
                self._propose(node=node, token=token, pending=pending)

    def node_ended(self, *, node: NodeView) -> None:
        """Drop the pending calls of a process that ended; they get no reply."""
        self._pending_calls = {
            t: w for t, w in self._pending_calls.items() if w.address != node.address
        }

    # --- replies ----------------------------------------------------------------------------------

    def receive(self, *, name: str, body: Any) -> None:
        """Pass a reply to an operator or an edge."""
        if name in self.operators:
            self.operators[name].receive(reply=body)
        else:
            self.edges.receive(name=name, body=body)
