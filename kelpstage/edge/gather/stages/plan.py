"""Pass two: the tree, and the cells and kids that this node has in it."""

from __future__ import annotations

from kelpstage.edge.backend.selection import options
from kelpstage.edge.events import Planned
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.request_state import GATHERS, ROOT, SINGLE, Cell, Gathering, Kid
from kelpstage.edge.gather.tree import Branch, grow, grow_by_zone


def plan(*, record: Gathering, world: World) -> None:
    """Plan a request that has no plan yet."""
    if record.stage != GATHERS or record.cells or record.kids:
        return
    if record.kind == SINGLE:
        world.trail.add(Planned(search=record.search, version=record.version, branch=None))
        record.cells = {record.shard: Cell(shard=record.shard)}
        record.omit_us = record.due_us
        return
    if record.kind == ROOT:
        record.branch = root_branch(record=record, world=world)
        record.addresses = {
            name: world.swim.members[name].info.address
            for name in record.branch.nodes() - {world.me}
        }
    branch = record.branch
    world.trail.add(Planned(search=record.search, version=record.version, branch=branch))
    record.cells = {
        shard: Cell(shard=shard, is_extra=is_again, is_forced=is_again)
        for shard, is_again in (
            (shard, record.is_sent_before(shard=shard)) for shard in branch.shards
        )
    }
    record.kids = [Kid(slot=slot, branch=child) for slot, child in enumerate(branch.children)]


def root_branch(*, record: Gathering, world: World) -> Branch:
    """The whole tree of a query, with this node as its root."""
    if record.request is not None:
        return forward_branch(record=record, world=world)
    return grow(
        root=world.me,
        shards=record.route.fan_out,
        helpers=world.helpers(collection=record.collection, rand=world.rand),
        fan_out=record.route.tree_fan_out,
    )


def forward_branch(*, record: Gathering, world: World) -> Branch:
    """The tree of a forwarded search: levels inside the zones of the backends. Each shard
    goes to the nearest zone that has a backend for it which may be asked; among zones as
    far as each other one is taken by lot for the whole search, so that as much as can be
    is merged before it crosses."""
    shards = record.route.fan_out
    if record.attempts_left and any(record.left_of(shard=s) < record.attempts for s in shards):
        # Begun again: what is left of the attempts differs by shard, so no helper has any.
        return Branch(node=world.me, shards=shards)
    helpers = world.helpers_by_zone(collection=record.collection)
    order = world.zones_by_distance()
    groups: dict[str, list[str]] = {}
    for shard in record.route.fan_out:
        zones = {
            world.book.entry(name=option.backend).zone
            for option in options(
                configuration=record.configuration,
                book=world.book,
                paces=world.paces,
                collection=record.collection,
                shard=shard,
                domain=world.domain,
                now_us=world.now_us,
                rand=None,
            )
            if not option.refusal and not option.is_distrusted
        }
        zone = next((name for name in order if name in zones), world.domain)
        groups.setdefault(zone, []).append(shard)
    return grow_by_zone(
        root=world.me,
        zone=world.domain,
        groups=[(zone, tuple(shards)) for zone, shards in groups.items()],
        helpers=helpers,
        fan_out=record.route.tree_fan_out,
    )
