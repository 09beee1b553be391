"""Handlers for the messages that other processes of the cluster send to an edge."""

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
    FetchVersions,
    Gather,
    Gathered,
    LeaseReply,
    ListedVersions,
    Members,
    MissingMsg,
    RelayRenew,
    Trace,
)
from kelpstage.edge.backend.discovery import DiscoveryTask
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gather.conversion import child_state, gathered_reply
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.timelines import Timelines, as_json

RELAY_TIMEOUT_US = 380_000
MAX_GATHER_US = 120_000_000


class MessageContext(Protocol):
    """The attributes of an edge that the handlers use."""

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
    registry: BackendRegistry
    discovery: DiscoveryTask | None


@singledispatch
async def handle(message: Any, edge: MessageContext, source: str) -> Any:
    """Return the reply to a message from the address `source`; None if it has none."""
    edge.counts["line_unexpected_message"] += 1
    return None


@handle.register
async def handle_gather(message: Gather, edge: MessageContext, source: str) -> Gathered:
    """Gather a subtree for the parent, resume an earlier query of it, or cancel one."""
    if message.is_resumed and message.is_cancelled:
        edge.gather.cancel(root=message.root, query_id=message.query_id)
        return _all_missing_reply(message=message)
    lease_holder = edge.lease_holder
    if lease_holder.cluster and message.cluster != lease_holder.cluster:
        return Gathered(is_stale=True, version=0)
    message.wait_us = min(message.wait_us, MAX_GATHER_US)
    message.due_us = min(message.due_us, MAX_GATHER_US)
    if message.is_resumed:
        outcome = await edge.gather.resume(root=message.root, query_id=message.query_id)
        return gathered_reply(outcome=outcome) if outcome else _all_missing_reply(message=message)
    record = child_state(key=edge.gather.next_key(), ask=message, now_us=edge.ports.clock.now_us())
    outcome = await edge.gather.settle(record=record)
    return gathered_reply(outcome=outcome)


def _all_missing_reply(*, message: Gather) -> Gathered:
    return Gathered(
        version=message.version,
        missing=[MissingMsg(shard=s, cause="partner_lost") for s in message.subtree.shards],
    )


@handle.register
async def handle_fetch_trace(message: FetchTrace, edge: MessageContext, source: str) -> Trace:
    """Return the timeline of a search at this node."""
    timeline = edge.timelines.find(search=message.search)
    if timeline is None:
        return Trace(is_found=False)
    return Trace(is_found=True, body=json.dumps(as_json(timeline=timeline)).encode())


@handle.register
async def handle_confirm_epoch(
    message: ConfirmEpoch, edge: MessageContext, source: str
) -> ConfirmEpochReply:
    """Report the epoch installed here, and start a fetch if the sender has a newer one."""
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
async def handle_fetch_members(message: FetchMembers, edge: MessageContext, source: str) -> Members:
    """Return the member table to an edge of this cluster."""
    cluster = edge.lease_holder.cluster
    if message.cluster and cluster and message.cluster != cluster:
        return Members(cluster=cluster)
    return Members(cluster=cluster, members=edge.swim.table())


@handle.register
async def handle_announce(message: Announce, edge: MessageContext, source: str) -> None:
    """Pass a state announced by a core on for installation."""
    edge.leases.on_announced(announce=message)


@handle.register
async def handle_fetch_state(message: FetchState, edge: MessageContext, source: str) -> Chunk:
    """Return a chunk of the installed state."""
    return edge.leases.state_chunk(ask=message)


@handle.register
async def handle_endpoint_update(
    message: EndpointUpdate, edge: MessageContext, source: str
) -> None:
    """Apply an endpoint list update read by another edge."""
    if edge.discovery is not None:
        edge.discovery.on_update(update=message)


@handle.register
async def handle_fetch_endpoints(
    message: FetchEndpoints, edge: MessageContext, source: str
) -> EndpointUpdate:
    """Return this edge's endpoint list; an empty update if it has none."""
    if edge.discovery is None:
        return EndpointUpdate()
    return edge.discovery.on_fetch(ask=message)


@handle.register
async def handle_relay_renew(message: RelayRenew, edge: MessageContext, source: str) -> LeaseReply:
    """Forward a renewal to the leader for an edge that cannot reach it."""
    # This node may know a newer leader than the one that the sender could not reach.
    message.renew.relayed_by = edge.own_address
    reply = await edge.transport.call(
        address=edge.leases.leader or message.target,
        message=message.renew,
        wait_us=RELAY_TIMEOUT_US,
    )
    if isinstance(reply, KelpstageError):
        return LeaseReply(why=f"relay: {reply.kind}")
    lease_reply: LeaseReply = reply
    return lease_reply


@handle.register
async def handle_fetch_versions(
    message: FetchVersions, edge: MessageContext, source: str
) -> ListedVersions:
    """Return the versions of a service that this edge has listed lately."""
    return ListedVersions(
        is_known=edge.registry.are_instances_known,
        versions=edge.registry.versions_of(service=message.service),
    )
