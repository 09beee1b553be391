"""Handlers of the messages that other processes send to a core.

One function for each message type; `handle` dispatches on the type. A handler returns the
reply, or None for a message that has none.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    Chunk,
    Done,
    FetchSnapshot,
    FetchState,
    ForwardOperatorCall,
    ForwardOperatorCallReply,
    InstallSnapshot,
    JoinCore,
    LeaseReply,
    LeaveCore,
    LeaveCoreReply,
    RegisterEdge,
    RegisterEdgeReply,
    Renew,
    RequestVote,
    RequestVoteReply,
    SeedProbe,
    SeedState,
    TimeoutNow,
)
from kelpstage.core.context import MessageContext
from kelpstage.core.forwarding import pack_body, unpack_body
from kelpstage.core.raft.types import JoinRequested, LeaveRequested, LeaveState
from kelpstage.core.web.operators import answer_as_leader

FORWARD_TIMEOUT_US = 1_500_000


@singledispatch
async def handle(message: object, core: MessageContext, source: str) -> Any:
    """Handle a message from another process; one of an unknown type is only counted."""
    core.counts["line_unexpected_message"] += 1
    return None


async def on_raft_message(message: object, core: MessageContext, source: str) -> None:
    """Queue a Raft message for the replica; without a running replica, drop the message."""
    if core.task is not None:
        core.task.receive(message=message)


for kind in (
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    TimeoutNow,
):
    handle.register(kind, on_raft_message)


@handle.register
async def on_seed_probe(message: SeedProbe, core: MessageContext, source: str) -> SeedState:
    """Report this core's replica and cluster to a core that is bootstrapping."""
    return core.seed_state()


@handle.register
async def on_join_core(message: JoinCore, core: MessageContext, source: str) -> Done:
    """Queue a core's request to become a member; a follower forwards it once."""
    task = core.task
    if task is None or message.cluster != task.cluster:
        return Done(why="another cluster")
    if task.is_leader:
        task.inbox.put_nowait(JoinRequested(member=message.member))
        return Done(is_ok=True)
    if message.is_forwarded or not task.leader_address:
        return Done(why="no leader")
    message.is_forwarded = True
    core.transport.send(address=task.leader_address, message=message)
    return Done(is_ok=True)


@handle.register
async def on_leave_core(message: LeaveCore, core: MessageContext, source: str) -> LeaveCoreReply:
    """Queue a member's request to leave, and report the progress of its removal."""
    task = core.task
    if task is None or message.cluster != task.cluster or not task.is_leader:
        return LeaveCoreReply(state=LeaveState.NOT_LEADER)
    task.inbox.put_nowait(LeaveRequested(replica=message.replica))
    status = task.raft.leave_status(
        replica=message.replica, term=message.term, last_index=message.last_index
    )
    return LeaveCoreReply(
        state=status.state,
        losses_borne=max(0, status.losses_borne),
        losses_wanted=status.losses_wanted,
    )


@handle.register
async def on_fetch_snapshot(message: FetchSnapshot, core: MessageContext, source: str) -> Chunk:
    """Send a chunk of the newest snapshot."""
    if core.task is None:
        return Chunk(is_found=False)
    return core.task.snapshot_chunk(request=message)


@handle.register
async def on_fetch_state(message: FetchState, core: MessageContext, source: str) -> Chunk:
    """Send a chunk of the newest applied state."""
    if core.task is None:
        return Chunk(is_found=False)
    return core.task.state_chunk(request=message)


@handle.register
async def on_register_edge(
    message: RegisterEdge, core: MessageContext, source: str
) -> RegisterEdgeReply:
    """Record the contact of an edge, and return contacts of other edges and the cores."""
    core.add_edge_contact(contact=message.contact)
    return RegisterEdgeReply(
        cluster=core.identity.cluster if core.identity else "",
        peers=core.sample_edge_contacts(),
        cores=core.core_addresses(),
    )


@handle.register
async def on_renew(message: Renew, core: MessageContext, source: str) -> LeaseReply:
    """Renew a lease as the leader; a follower forwards the request, at most twice."""
    core.add_edge_contact(contact=message.contact)
    task, lease_service = core.task, core.lease_service
    if task is None or lease_service is None:
        return LeaseReply(why="this core is not up", peers=core.sample_edge_contacts())
    if task.is_leader:
        return await lease_service.renew(request=message)
    hint = LeaseReply(
        cluster=task.cluster,
        why="no leader known",
        leader_address=task.leader_address,
        cores=core.core_addresses(),
        peers=core.sample_edge_contacts(),
    )
    if message.hops >= 2 or not task.leader_address:
        return hint
    message.hops += 1
    reply: LeaseReply | KelpstageError = await core.transport.call(
        address=task.leader_address, message=message, wait_us=FORWARD_TIMEOUT_US
    )
    if isinstance(reply, KelpstageError):
        hint.why = f"leader not reached: {reply.kind}"
        return hint
    return reply


@handle.register
async def on_forward_operator_call(
    message: ForwardOperatorCall, core: MessageContext, source: str
) -> ForwardOperatorCallReply | None:
    """Answer an operator's call that another core has forwarded."""
    request = unpack_body(message=message)
    if request is None:
        core.counts["line_unreadable_body"] += 1
        return None  # no reply: the sender treats this leader as unreachable
    return pack_body(message=await answer_as_leader(core=core, request=request))
