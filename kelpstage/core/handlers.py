"""What a core does with each message that comes by its own lines."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch
from typing import Any, TypeVar

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError
from kelpstage.common.transport import frames
from kelpstage.common.transport.delta import apply_delta, pack_delta
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
from kelpstage.core.raft.types import JoinRequested, LeaveRequested, LeaveState

FORWARD_WAIT_US = 1_500_000
PACKED_FROM_BYTES = 4 * 1024
Forwarded = TypeVar("Forwarded", ForwardOperatorCall, ForwardOperatorCallReply)


@singledispatch
async def handle(message: Any, core: Any, source: str) -> Any:
    """Answer a message of another process; None where none is due."""
    core.counts["line_unexpected_message"] += 1
    return None


async def _raft(message: Any, core: Any, source: str) -> None:
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
    handle.register(kind, _raft)


@handle.register
async def _(message: SeedProbe, core: Any, source: str) -> SeedState:
    return core.seed_state()


@handle.register
async def _(message: JoinCore, core: Any, source: str) -> Done:
    task = core.task
    if task is None or message.cluster != task.cluster:
        return Done(why="another cluster")
    if task.is_leader:
        task.inbox.put_nowait(JoinRequested(member=message.member))
        return Done(is_ok=True)
    if message.is_forwarded or not task.leader_address:
        return Done(why="no leader")
    message.is_forwarded = True
    core.lines.send(address=task.leader_address, message=message)
    return Done(is_ok=True)


@handle.register
async def _(message: LeaveCore, core: Any, source: str) -> LeaveCoreReply:
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
async def _(message: FetchSnapshot, core: Any, source: str) -> Chunk:
    if core.task is None:
        return Chunk(is_found=False)
    return core.task.snapshot_chunk(ask=message)


@handle.register
async def _(message: FetchState, core: Any, source: str) -> Chunk:
    if core.task is None:
        return Chunk(is_found=False)
    return core.task.state_chunk(ask=message)


@handle.register
async def _(message: RegisterEdge, core: Any, source: str) -> RegisterEdgeReply:
    core.meet(contact=message.contact)
    return RegisterEdgeReply(
        cluster=core.identity.cluster if core.identity else "",
        peers=core.some_peers(),
        cores=core.core_addresses(),
    )


@handle.register
async def _(message: Renew, core: Any, source: str) -> LeaseReply:
    core.meet(contact=message.contact)
    task, lease_service = core.task, core.lease_service
    if task is None or lease_service is None:
        return LeaseReply(why="this core is not up", peers=core.some_peers())
    if task.is_leader:
        return await lease_service.renew(ask=message)
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
    reply = await core.lines.call(
        address=task.leader_address, message=message, wait_us=FORWARD_WAIT_US
    )
    if isinstance(reply, KelpstageError):
        hint.why = f"leader not reached: {reply.kind}"
        return hint
    return reply


@handle.register
async def _(
    message: ForwardOperatorCall, core: Any, source: str
) -> ForwardOperatorCallReply | None:
    from kelpstage.core.web.operators import answer_as_leader

    ask = unpack_body(message=message)
    if ask is None:
        core.counts["line_unreadable_body"] += 1
        return None  # no answer: the caller takes it for a silent leader
    return pack_body(message=await answer_as_leader(core=core, ask=ask))


def pack_body(*, message: Forwarded) -> Forwarded:
    """The same message with a large body compressed, for its way between cores.

    >>> packed = pack_body(message=ForwardOperatorCallReply(status=200, body=b"route " * 1000))
    >>> len(packed.packed) < 100, packed.body, unpack_body(message=packed).body == b"route " * 1000
    (True, b'', True)
    """
    if len(message.body) < PACKED_FROM_BYTES:
        return message
    return replace(message, body=b"", packed=pack_delta(base=b"", whole=message.body))


def unpack_body(*, message: Forwarded) -> Forwarded | None:
    """The reverse of `pack_body`; nothing if the bytes are damaged.

    >>> unpack_body(message=ForwardOperatorCallReply(packed=b"junk")) is None
    True
    """
    if not message.packed:
        return message
    body = apply_delta(base=b"", delta=message.packed)
    return None if body is None else replace(message, body=body, packed=b"")


async def forward_to_leader(
    *, core: Any, ask: ForwardOperatorCall
) -> ForwardOperatorCallReply | KelpstageError:
    """Hand an operator's call to the leader, on the line for bulk."""
    address = core.task.leader_address
    reply = await core.lines.call(
        address=address,
        message=pack_body(message=ask),
        wait_us=ask.wait_us * 19 // 20,  # so that the caller hears of a silent leader
        lane=frames.BULK,
    )
    if not isinstance(reply, ForwardOperatorCallReply):
        return reply
    return unpack_body(message=reply) or ConnectionLostError(address=address, why="unreadable body")
