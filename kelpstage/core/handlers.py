"""What a core does with each message that comes by its own lines."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from kelpstage.base.defects import Defect
from kelpstage.base.wire import frames
from kelpstage.base.wire.chunks import cut_chunk
from kelpstage.base.wire.messages import (
    AppendEntries,
    AppendEntriesReply,
    Chunk,
    Done,
    FetchSnapshot,
    FetchState,
    GrantReply,
    InstallSnapshot,
    JoinCore,
    Meet,
    MeetReply,
    ProxyOperator,
    ProxyOperatorReply,
    Renew,
    RequestVote,
    RequestVoteReply,
    SeedProbe,
    SeedState,
    TimeoutNow,
)
from kelpstage.core.raft.types import JoinRequested

PROXY_WAIT_US = 1_500_000


@singledispatch
async def handle(message: Any, core: Any, source: str) -> Any:
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
    if message.is_proxied or not task.leader_address:
        return Done(why="no leader")
    message.is_proxied = True
    core.lines.send(address=task.leader_address, message=message)
    return Done(is_ok=True)


@handle.register
async def _(message: FetchSnapshot, core: Any, source: str) -> Chunk:
    if core.task is None:
        return Chunk(is_found=False)
    return core.task.snapshot_chunk(ask=message)


@handle.register
async def _(message: FetchState, core: Any, source: str) -> Chunk:
    if core.task is None:
        return Chunk(is_found=False)
    doc = core.task.machine.doc()
    if doc.epoch < message.epoch:
        return Chunk(is_found=False)
    return cut_chunk(data=bytes(doc), offset=message.offset, mark=doc.epoch)


@handle.register
async def _(message: Meet, core: Any, source: str) -> MeetReply:
    core.meet(contact=message.contact)
    return MeetReply(
        cluster=core.identity.cluster if core.identity else "",
        partners=core.some_partners(),
        cores=core.core_addresses(),
    )


@handle.register
async def _(message: Renew, core: Any, source: str) -> GrantReply:
    core.meet(contact=message.contact)
    task, desk = core.task, core.desk
    if task is None or desk is None:
        return GrantReply(why="this core is not up", partners=core.some_partners())
    if task.is_leader:
        return await desk.renew(ask=message)
    hint = GrantReply(
        cluster=task.cluster,
        why="no leader known",
        leader_address=task.leader_address,
        cores=core.core_addresses(),
        partners=core.some_partners(),
    )
    if message.hops >= 2 or not task.leader_address:
        return hint
    message.hops += 1
    reply = await core.lines.call(
        address=task.leader_address, message=message, wait_us=PROXY_WAIT_US
    )
    if isinstance(reply, Defect):
        hint.why = f"leader not reached: {reply.kind}"
        return hint
    return reply


@handle.register
async def _(message: ProxyOperator, core: Any, source: str) -> ProxyOperatorReply:
    from kelpstage.core.web.operators import verdict_for_proxy

    return await verdict_for_proxy(core=core, ask=message)


async def proxy_to_leader(*, core: Any, ask: ProxyOperator) -> ProxyOperatorReply | Defect:
    """Hand an operator's call to the leader, on the line for bulk."""
    return await core.lines.call(
        address=core.task.leader_address,
        message=ask,
        wait_us=ask.wait_us * 19 // 20,  # so that the caller hears of a silent leader
        lane=frames.BULK,
    )
