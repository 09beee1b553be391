"""What an edge does with each message that comes by its own lines."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import Any

from kelpstage.common.errors import Defect
from kelpstage.common.transport.messages import (
    Announce,
    AskList,
    AskMembers,
    AskTrail,
    Chunk,
    FetchState,
    Gather,
    Gathered,
    LeaseReply,
    ListNews,
    Members,
    MissingMsg,
    RelayRenew,
    Trail,
    Witness,
    WitnessReply,
)
from kelpstage.edge.gather.task import child_record, reply_of
from kelpstage.edge.timelines import as_json

RELAY_US = 380_000
LONGEST_GATHER_US = 120_000_000


@singledispatch
async def handle(message: Any, edge: Any, source: str) -> Any:
    edge.counts["line_unexpected_message"] += 1
    return None


@handle.register
async def _(message: Gather, edge: Any, source: str) -> Gathered:
    keeper = edge.keeper
    if keeper.cluster and message.cluster != keeper.cluster:
        return Gathered(is_stale=True, version=0)
    message.wait_us = min(message.wait_us, LONGEST_GATHER_US)
    message.due_us = min(message.due_us, LONGEST_GATHER_US)
    if message.is_resumed:
        outcome = await edge.gather.resume(root=message.root, ask_id=message.query_id)
        return reply_of(outcome=outcome) if outcome else _nothing_more(message=message)
    record = child_record(key=edge.gather.next_key(), ask=message, now_us=edge.ports.clock.now_us())
    outcome = await edge.gather.settle(record=record)
    return reply_of(outcome=outcome)


def _nothing_more(*, message: Gather) -> Gathered:
    return Gathered(
        version=message.version,
        missing=[MissingMsg(shard=s, cause="partner_lost") for s in message.branch.shards],
    )


@handle.register
async def _(message: AskTrail, edge: Any, source: str) -> Trail:
    line = edge.timelines.find(search=message.search)
    if line is None:
        return Trail(is_found=False)
    return Trail(is_found=True, body=json.dumps(as_json(line=line)).encode())


@handle.register
async def _(message: Witness, edge: Any, source: str) -> WitnessReply:
    keeper = edge.keeper
    if message.cluster == keeper.cluster:
        member = edge.swim.members.get(message.edge)
        address = member.info.address if member else ""
        if keeper.note_epoch(epoch=message.epoch, source=address):
            edge.leases.fetch_soon(first=address)
    return WitnessReply(
        edge=keeper.me,
        incarnation=edge.incarnation,
        vouches=keeper.vouches,
        epoch=keeper.epoch,
        cluster=keeper.cluster,
        asker_version=edge.swim.served(name=message.edge),
    )


@handle.register
async def _(message: AskMembers, edge: Any, source: str) -> Members:
    cluster = edge.keeper.cluster
    if message.cluster and cluster and message.cluster != cluster:
        return Members(cluster=cluster)
    return Members(cluster=cluster, members=edge.swim.table())


@handle.register
async def _(message: Announce, edge: Any, source: str) -> None:
    edge.leases.take_announced(announce=message)


@handle.register
async def _(message: FetchState, edge: Any, source: str) -> Chunk:
    return edge.leases.state_chunk(ask=message)


@handle.register
async def _(message: ListNews, edge: Any, source: str) -> None:
    if edge.list_task is not None:
        edge.list_task.take(news=message)


@handle.register
async def _(message: AskList, edge: Any, source: str) -> ListNews:
    if edge.list_task is None:
        return ListNews()
    return edge.list_task.answer(ask=message)


@handle.register
async def _(message: RelayRenew, edge: Any, source: str) -> LeaseReply:
    # This node may know a newer leader than the one that the asker could not reach.
    message.renew.relayed_by = edge.own
    reply = await edge.lines.call(
        address=edge.leases.leader or message.target, message=message.renew, wait_us=RELAY_US
    )
    if isinstance(reply, Defect):
        return LeaseReply(why=f"relay: {reply.kind}")
    return reply
