"""What an edge does with each message that comes by its own lines."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.transport.messages import (
    Announce,
    Chunk,
    ConfirmEpoch,
    ConfirmEpochReply,
    EndpointUpdate,
    FetchEndpoints,
    FetchMembers,
    FetchState,
    FetchTrace,
    Gather,
    Gathered,
    LeaseReply,
    Members,
    MissingMsg,
    RelayRenew,
    Trace,
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
    lease_holder = edge.lease_holder
    if lease_holder.cluster and message.cluster != lease_holder.cluster:
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
        missing=[MissingMsg(shard=s, cause="partner_lost") for s in message.subtree.shards],
    )


@handle.register
async def _(message: FetchTrace, edge: Any, source: str) -> Trace:
    line = edge.timelines.find(search=message.search)
    if line is None:
        return Trace(is_found=False)
    return Trace(is_found=True, body=json.dumps(as_json(line=line)).encode())


@handle.register
async def _(message: ConfirmEpoch, edge: Any, source: str) -> ConfirmEpochReply:
    lease_holder = edge.lease_holder
    if message.cluster == lease_holder.cluster:
        member = edge.swim.members.get(message.edge)
        address = member.info.address if member else ""
        if lease_holder.note_epoch(epoch=message.epoch, source=address):
            edge.leases.fetch_soon(first=address)
    return ConfirmEpochReply(
        edge=lease_holder.me,
        incarnation=edge.incarnation,
        vouches=lease_holder.may_confirm_epochs,
        epoch=lease_holder.epoch,
        cluster=lease_holder.cluster,
        asker_version=edge.swim.served(name=message.edge),
    )


@handle.register
async def _(message: FetchMembers, edge: Any, source: str) -> Members:
    cluster = edge.lease_holder.cluster
    if message.cluster and cluster and message.cluster != cluster:
        return Members(cluster=cluster)
    return Members(cluster=cluster, members=edge.swim.table())


@handle.register
async def _(message: Announce, edge: Any, source: str) -> None:
    edge.leases.on_announced(announce=message)


@handle.register
async def _(message: FetchState, edge: Any, source: str) -> Chunk:
    return edge.leases.state_chunk(ask=message)


@handle.register
async def _(message: EndpointUpdate, edge: Any, source: str) -> None:
    if edge.discovery is not None:
        edge.discovery.take(news=message)


@handle.register
async def _(message: FetchEndpoints, edge: Any, source: str) -> EndpointUpdate:
    if edge.discovery is None:
        return EndpointUpdate()
    return edge.discovery.answer(ask=message)


@handle.register
async def _(message: RelayRenew, edge: Any, source: str) -> LeaseReply:
    # This node may know a newer leader than the one that the asker could not reach.
    message.renew.relayed_by = edge.own
    reply = await edge.lines.call(
        address=edge.leases.leader or message.target, message=message.renew, wait_us=RELAY_US
    )
    if isinstance(reply, KelpstageError):
        return LeaseReply(why=f"relay: {reply.kind}")
    return reply
