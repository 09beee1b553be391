"""Pass two: the tree, and the cells and kids that this node has in it."""

from __future__ import annotations

from kelpstage.edge.events import Planned
from kelpstage.edge.gather.record import GATHERS, ROOT, SINGLE, Cell, Gathering, Kid
from kelpstage.edge.gather.tree import Branch, grow
from kelpstage.edge.gather.world import World


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
            name: member.info.address for name, member in world.swim.members.items()
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
    return grow(
        root=world.me,
        shards=record.route.fan_out,
        helpers=world.helpers(collection=record.collection, rand=world.rand),
        fan_out=record.route.tree_fan_out,
    )
