"""Stage two: plans the tree, and the shards and children of this node in it."""

from __future__ import annotations

from kelpstage.edge.backend.selection import options
from kelpstage.edge.events import Planned
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.request_state import (
    GATHERING,
    ROOT,
    SINGLE,
    Child,
    RequestState,
    ShardState,
)
from kelpstage.edge.gather.tree import Subtree, build_tree, build_zone_tree


def plan(*, record: RequestState, context: GatherContext) -> None:
    """Plan an admitted request that has no plan yet."""
    if record.phase is not GATHERING or record.shard_states or record.children:
        return
    if record.kind is SINGLE:
        context.trace.add(Planned(search=record.search, version=record.version, subtree=None))
        record.shard_states = {record.shard: ShardState(shard=record.shard)}
        record.omit_at_us = record.due_us
        return
    if record.kind is ROOT:
        record.subtree = root_subtree(record=record, context=context)
        record.addresses = {
            name: context.swim.members[name].info.address
            for name in record.subtree.nodes() - {context.me}
        }
    subtree = record.subtree
    context.trace.add(Planned(search=record.search, version=record.version, subtree=subtree))
    record.shard_states = {
        shard: ShardState(shard=shard, is_extra=is_again, is_restart=is_again)
        for shard, is_again in (
            (shard, record.was_sent_before(shard=shard)) for shard in subtree.shards
        )
    }
    record.children = [
        Child(slot=slot, subtree=child) for slot, child in enumerate(subtree.children)
    ]


def root_subtree(*, record: RequestState, context: GatherContext) -> Subtree:
    """Return the tree of a query, with this node as its root."""
    if record.request is not None:
        return forward_subtree(record=record, context=context)
    return build_tree(
        root=context.me,
        shards=record.route.fan_out,
        helpers=context.helpers(collection=record.collection, rand=context.rand),
        fan_out=record.route.tree_fan_out,
    )


def forward_subtree(*, record: RequestState, context: GatherContext) -> Subtree:
    """Return the tree of a forwarded search, with levels inside the zones of the backends.

    Each shard is assigned to the nearest zone that has an eligible backend for it. Zones at equal
    distance are ordered at random once for the whole search, so that results are merged as far
    as possible before they cross zones.
    """
    shards = record.route.fan_out
    if record.attempts_left and any(
        record.remaining_attempts(shard=s) < record.attempts for s in shards
    ):
        # After a restart the attempts left differ by shard, so none are delegated to helpers.
        return Subtree(node=context.me, shards=shards)
    helpers = context.helpers_by_zone(collection=record.collection)
    order = context.zones_by_distance()
    groups: dict[str, list[str]] = {}
    for shard in record.route.fan_out:
        zones = {
            context.registry.entry(name=option.backend).zone
            for option in options(
                configuration=record.configuration,
                registry=context.registry,
                latencies=context.latencies,
                collection=record.collection,
                shard=shard,
                zone=context.zone,
                now_us=context.now_us,
                rand=None,
            )
            if not option.refusal and not option.is_suspected
        }
        zone = next((name for name in order if name in zones), context.zone)
        groups.setdefault(zone, []).append(shard)
    return build_zone_tree(
        root=context.me,
        zone=context.zone,
        groups=[(zone, tuple(shards)) for zone, shards in groups.items()],
        helpers=helpers,
        fan_out=record.route.tree_fan_out,
    )
