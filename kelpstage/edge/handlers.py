"""What an edge does with each message that other processes of the cluster send it."""

from __future__ import annotations

import json
from collections import Counter
from functools import singledispatch
from typing import Any, Protocol

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
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
from kelpstage.edge.backend.discovery import DiscoveryTask
from kelpstage.edge.gather.conversion import child_state, gathered_reply
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.timelines import Timelines, as_json

RELAY_WAIT_US = 380_000
LONGEST_GATHER_US = 120_000_000


class HandlingEdge(Protocol):
    """What the handlers need of the edge."""

    own_address: str
    incarnation: int
    ports: Ports
    counts: Counter[str]
    transport: Transport
    lease_holder: LeaseHolder
    swim: Swim
    gather: GatherTask
    leases: LeaseTask
    timelines: Timelines
    discovery: DiscoveryTask | None


@singledispatch
async def handle(message: Any, edge: HandlingEdge, source: str) -> Any:
    """Handle a message from the address `source`; gives the reply, if there is one."""
    edge.counts["line_unexpected_message"] += 1
    return None


@handle.register
async def handle_gather(message: Gather, edge: HandlingEdge, source: str) -> Gathered:
    """Gather a subtree for the node above, hand up what was left out before, or drop it."""
    if message.is_resumed and message.is_cancelled:
        edge.gather.cancel(root=message.root, ask_id=message.query_id)
        return _nothing_more(message=message)
    lease_holder = edge.lease_holder
    if lease_holder.cluster and message.cluster != lease_holder.cluster:
        return Gathered(is_stale=True, version=0)
    message.wait_us = min(message.wait_us, LONGEST_GATHER_US)
    message.due_us = min(message.due_us, LONGEST_GATHER_US)
    if message.is_resumed:
        outcome = await edge.gather.resume(root=message.root, ask_id=message.query_id)
        return gathered_reply(outcome=outcome) if outcome else _nothing_more(message=message)
    record = child_state(key=edge.gather.next_key(), ask=message, now_us=edge.ports.clock.now_us())
    outcome = await edge.gather.settle(record=record)
    return gathered_reply(outcome=outcome)


def _nothing_more(*, message: Gather) -> Gathered:
    return Gathered(
        version=message.version,
        missing=[MissingMsg(shard=s, cause="partner_lost") for s in message.subtree.shards],
    )


@handle.register
async def handle_fetch_trace(message: FetchTrace, edge: HandlingEdge, source: str) -> Trace:
    """Show what became of a search at this node."""
    timeline = edge.timelines.find(search=message.search)
    if timeline is None:
        return Trace(is_found=False)
    return Trace(is_found=True, body=json.dumps(as_json(timeline=timeline)).encode())


@handle.register
async def handle_confirm_epoch(
    message: ConfirmEpoch, edge: HandlingEdge, source: str
) -> ConfirmEpochReply:
    """Say which epoch is installed here, and learn of a newer one."""
    lease_holder = edge.lease_holder
    if message.cluster == lease_holder.cluster:
        member = edge.swim.members.get(message.edge)
        address = member.info.address if member else ""
        if lease_holder.note_epoch(epoch=message.epoch, source=address):
            edge.leases.start_fetch(first=address)
    return ConfirmEpochReply(
        edge=lease_holder.me,
        incarnation=edge.incarnation,
        vouches=lease_holder.may_confirm(now_us=edge.ports.clock.now_us()),
        epoch=lease_holder.epoch,
        cluster=lease_holder.cluster,
        asker_version=edge.swim.served_version(name=message.edge),
    )


@handle.register
async def handle_fetch_members(message: FetchMembers, edge: HandlingEdge, source: str) -> Members:
    """Give the member table to an edge of this cluster."""
    cluster = edge.lease_holder.cluster
    if message.cluster and cluster and message.cluster != cluster:
        return Members(cluster=cluster)
    return Members(cluster=cluster, members=edge.swim.table())


@handle.register
async def handle_announce(message: Announce, edge: HandlingEdge, source: str) -> None:
    """Install a state that a core announces."""
    edge.leases.on_announced(announce=message)


@handle.register
async def handle_fetch_state(message: FetchState, edge: HandlingEdge, source: str) -> Chunk:
    """Give a piece of the installed state."""
    return edge.leases.state_chunk(ask=message)


@handle.register
async def handle_endpoint_update(message: EndpointUpdate, edge: HandlingEdge, source: str) -> None:
    """Take what another edge read of the list of backends."""
    if edge.discovery is not None:
        edge.discovery.on_update(update=message)


@handle.register
async def handle_fetch_endpoints(
    message: FetchEndpoints, edge: HandlingEdge, source: str
) -> EndpointUpdate:
    """Give what is known of the list of backends."""
    if edge.discovery is None:
        return EndpointUpdate()
    return edge.discovery.on_fetch(ask=message)


@handle.register
async def handle_relay_renew(message: RelayRenew, edge: HandlingEdge, source: str) -> LeaseReply:
    """Pass a renewal on to the leader, for an edge that can't reach it."""
    # This node may know a newer leader than the one that the asker could not reach.
    message.renew.relayed_by = edge.own_address
    reply = await edge.transport.call(
        address=edge.leases.leader or message.target, message=message.renew, wait_us=RELAY_WAIT_US
    )
    if isinstance(reply, KelpstageError):
        return LeaseReply(why=f"relay: {reply.kind}")
    lease_reply: LeaseReply = reply
    return lease_reply
