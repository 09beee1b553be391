"""Views that explain this node's decisions: plan, timeline of a search, status."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.transport.messages import FetchTrace, Trace
from kelpstage.edge.backend.backend_state import STATE_NAMES
from kelpstage.edge.backend.selection import options
from kelpstage.edge.gather.tree import Subtree, build_tree, last_fan_out, levels
from kelpstage.edge.gossip.members import MEMBER_STATUS_NAMES
from kelpstage.edge.timelines import as_json
from kelpstage.edge.web.interfaces import ReportingEdge

TRACE_TIMEOUT_US = 400_000


def plan_view(*, edge: ReportingEdge, collection: str) -> dict[str, Any] | None:
    """The gathering plan that would be chosen now, without its random choices."""
    context = edge.gather_context
    context.now_us = edge.ports.clock.now_us()
    configuration = edge.lease_holder.configuration
    route = configuration.route(collection=collection)
    if route is None:
        return None
    helpers = context.helpers(collection=collection, rand=None)
    tree = build_tree(
        root=edge.name, shards=route.fan_out, helpers=helpers, fan_out=route.tree_fan_out
    )
    count = len(route.fan_out)
    return {
        "collection": collection,
        "configuration": configuration.version,
        "root": edge.name,
        "shards": count,
        "quorum": route.quorum,
        "fan_out": route.tree_fan_out,
        "levels": levels(shard_count=count, fan_out=route.tree_fan_out),
        "last_fan_out": last_fan_out(shard_count=count, fan_out=route.tree_fan_out),
        "window_us": route.window_us,
        "tree": _subtree_view(edge=edge, subtree=tree, collection=collection),
        "nodes": _node_views(edge=edge, collection=collection, helpers=helpers),
    }


async def search_view(*, edge: ReportingEdge, search: str) -> dict[str, Any] | None:
    """The timeline of a search at this node, with those of the peers that it queried.

    None if this node has no timeline of it; a peer's may be missing with a reason.
    """
    timeline = edge.timelines.find(search=search)
    if timeline is None:
        return None
    view = {"node": edge.name, **as_json(timeline=timeline)}
    queried = dict.fromkeys(
        row["node"] for row in view["timeline"] if row["event"] == "ChildQueried"
    )
    parts = await asyncio.gather(
        *(_fetch_peer_timeline(edge=edge, node=n, search=search) for n in queried)
    )
    view["partners"] = dict(zip(queried, parts, strict=True))
    return view


async def _fetch_peer_timeline(*, edge: ReportingEdge, node: str, search: str) -> dict[str, Any]:
    member = edge.swim.members.get(node)
    if member is None:
        return {"why_not": "no longer a peer"}
    reply = await edge.transport.call(
        address=member.info.address, message=FetchTrace(search=search), wait_us=TRACE_TIMEOUT_US
    )
    if isinstance(reply, Trace):
        return json.loads(reply.body) if reply.is_found else {"why_not": "no longer stored there"}
    return {"why_not": reply.kind if isinstance(reply, KelpstageError) else "unexpected reply"}


def _subtree_view(*, edge: ReportingEdge, subtree: Subtree, collection: str) -> dict[str, Any]:
    zone = _zone_of(edge=edge, name=subtree.node)
    return {
        "node": subtree.node,
        "domain": zone,
        "shards": [
            _shard_view(edge=edge, collection=collection, shard=shard, zone=zone)
            for shard in subtree.shards
        ],
        "children": [
            _subtree_view(edge=edge, subtree=child, collection=collection)
            for child in subtree.children
        ],
    }


def _zone_of(*, edge: ReportingEdge, name: str) -> str:
    if name == edge.name:
        return edge.zone
    member = edge.swim.members.get(name)
    return member.info.zone if member else ""


def _shard_view(*, edge: ReportingEdge, collection: str, shard: str, zone: str) -> dict[str, Any]:
    ranked = options(
        configuration=edge.lease_holder.configuration,
        registry=edge.registry,
        latencies=edge.gather_context.latencies,
        collection=collection,
        shard=shard,
        zone=zone,
        now_us=edge.ports.clock.now_us(),
        rand=None,
    )
    return {
        "shard": shard,
        "backend": ranked[0].backend if ranked and not ranked[0].refusal else None,
        "options": [
            {
                "backend": option.backend,
                "why_not": option.refusal or None,
                "is_near": option.is_near,
                "in_flight": option.in_flight,
                "mean_us": option.mean_us,
            }
            for option in ranked
        ],
    }


def _node_views(
    *, edge: ReportingEdge, collection: str, helpers: list[str]
) -> list[dict[str, Any]]:
    rows = []
    for name, member in sorted(edge.swim.members.items()):
        info = member.info
        is_gatherer = edge.lease_holder.configuration.is_gatherer(
            collection=collection, name=name, zone=info.zone
        )
        why_not = None
        if name not in helpers:
            why_not = (
                "excluded by the gatherers' selector"
                if not is_gatherer
                else "not ready"
                if MEMBER_STATUS_NAMES.get(info.status) == "alive"
                else MEMBER_STATUS_NAMES.get(info.status, "unknown")
            )
        rows.append(
            {
                "node": name,
                "rank": helpers.index(name) + 1 if name in helpers else None,
                "why_not": why_not,
                "is_own_domain": info.zone == edge.zone,
                "load": info.load,
                "was_late": edge.gather_context.is_late(name=name),
            }
        )
    return sorted(rows, key=lambda row: (row["rank"] is None, row["rank"] or 0, row["node"]))


def status_view(*, edge: ReportingEdge) -> dict[str, Any]:
    """The state of this edge: lease, peers, backends, retry budget, recent events."""
    now_us = edge.ports.clock.now_us()
    lease_holder = edge.lease_holder
    refusal = edge.not_ready_reason()
    return {
        "program": "kelpstage-edge",
        "name": edge.name,
        "domain": edge.zone,
        "is_ready": not refusal,
        "why_not": refusal or None,
        "cluster": lease_holder.cluster or None,
        "version": lease_holder.configuration.version,
        "epoch": lease_holder.epoch,
        "newest_epoch": lease_holder.newest_epoch,
        "lease": {
            "is_held": lease_holder.has_lease(now_us=now_us),
            "left_us": max(0, lease_holder.lease_until_us() - now_us),
            "leader": edge.leases.leader or None,
            "last_why": edge.leases.last_refusal or None,
            "vouchers": lease_holder.confirming_members(now_us=now_us),
            "roster": list(lease_holder.membership.names),
        },
        "in_flight": len(edge.gather.table),
        "partners": [
            {
                "name": name,
                "address": member.info.address,
                "domain": member.info.zone,
                "status": MEMBER_STATUS_NAMES.get(member.info.status, "unknown"),
                "load": member.info.load,
                "version": member.info.version,
                "is_ready": member.info.is_ready,
                "status_for_us": now_us - member.status_since_us,
            }
            for name, member in sorted(edge.swim.members.items())
        ],
        "backends": [
            {
                "name": name,
                "address": entry.address or None,
                "state": STATE_NAMES[entry.state],
                "why": entry.why,
                "seen_by": entry.seen_by or None,
                "is_dark": edge.registry.is_unreachable(name=name, now_us=now_us),
                "in_flight": entry.in_flight,
            }
            for name, entry in sorted(edge.registry.entries.items())
        ],
        "searches": edge.searches.as_json(),
        "budget": edge.gather_context.budget.spent(now_us=now_us),
        "counts": dict(sorted((edge.counts + edge.journal.counts).items())),
        "events": edge.journal.tail(limit=30),
    }
