"""Handlers of the messages that other processes send to a core.

One function a message type; `handle` dispatches by it. A handler returns the reply, None
where none is due.
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

FORWARD_WAIT_US = 1_500_000


@singledispatch
async def handle(message: object, core: MessageContext, source: str) -> Any:
    """Answer a message of another process; one of an unknown type is counted."""
    core.counts["line_unexpected_message"] += 1
    return None


async def on_raft_message(message: object, core: MessageContext, source: str) -> None:
    """Queue a Raft message for the replica; without one it is lost, as on a network."""
    if core.task is not None:
        core.task.heard(message=message)


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
    """Report what this core is to one that looks for a cluster."""
    return core.seed_state()


@handle.register
async def on_join_core(message: JoinCore, core: MessageContext, source: str) -> Done:
    """Queue the request of a core to become a member; a follower forwards it once."""
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
    """Queue the request of a member to leave, and report how far that is."""
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
    return core.task.snapshot_chunk(ask=message)


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
    """Remember an edge, and tell it of other edges and of the cores."""
    core.meet(contact=message.contact)
    return RegisterEdgeReply(
        cluster=core.identity.cluster if core.identity else "",
        peers=core.some_peers(),
        cores=core.core_addresses(),
    )


@handle.register
async def on_renew(message: Renew, core: MessageContext, source: str) -> LeaseReply:
    """Renew a lease as the leader; a follower forwards the request, at most twice."""
    core.meet(contact=message.contact)
    task, lease_service = core.task, core.lease_service
    if task is None or lease_service is None:
        return LeaseReply(why="this core is not up", peers=core.some_peers())
    if task.is_leader:
        return await lease_service.renew(request=message)
    hint = LeaseReply(
        cluster=task.cluster,
        why="no leader known",
        leader_address=task.leader_address,
        cores=core.core_addresses(),
        peers=core.some_peers(),
    )
    if message.hops >= 2 or not task.leader_address:
        return hint
    message.hops += 1
    reply: LeaseReply | KelpstageError = await core.transport.call(
        address=task.leader_address, message=message, wait_us=FORWARD_WAIT_US
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
        return None  # the caller takes no answer for a silent leader
    return pack_body(message=await answer_as_leader(core=core, request=request))
