"""Pass four: rounds to backends, queries to children."""

from __future__ import annotations

from kelpstage.edge.backend.selection import options
from kelpstage.edge.events import (
    AttemptRefused,
    AttemptSent,
    ChildLate,
    ChildQueried,
    OmissionSet,
)
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import QueryBackend, QueryChild
from kelpstage.edge.gather.request_state import (
    GATHERS,
    ROOT,
    SINGLE,
    WAITING,
    Attempt,
    Cell,
    Child,
    Gathering,
)
from kelpstage.edge.gather.stages.merge import regather
from kelpstage.edge.gather.tree import Subtree

LOOK_AGAIN_US = 100_000
LAST_SEND_US = 3_000
WINDOW_SHARE = 40  # per cent of the time left
CHILD_SHARE = 45  # per cent of the aim, until a child counts as late
OMIT_SHARE = 85  # per cent of the aim, when a search that need not be whole is answered
CLIENT_US = 4_000  # of the aim, for the client's own way to this node and back


def send(*, record: Gathering, world: World) -> None:
    """Send what is wanted and not yet on its way."""
    if record.stage != GATHERS:
        return
    unsent = [child for child in record.children if not child.is_sent]
    _send_wanted(record=record, world=world)
    if record.kind == ROOT and not record.omit_us:
        _set_omission(record=record, world=world)
    for child in unsent:
        _send_child(child=child, record=record, world=world)
    _hedge(record=record, world=world)
    if record.kind == ROOT:
        _regather_late(record=record, world=world)
        _regather_missing(record=record, world=world)


# --- windows ----------------------------------------------------------------------


def _child_window_us(*, child: Child, record: Gathering, world: World) -> int:
    """A child's least window leaves room for its own children's."""
    least_us = record.route.window_us * (child.subtree.height() + 1)
    if record.aim_us:
        least_us = max(least_us, record.aim_us * CHILD_SHARE // 100)
    return world.node_window_us(name=child.subtree.node, least_us=least_us)


def _latest_us(*, record: Gathering, world: World) -> int:
    """However far a window was stretched, a second round must still have its time."""
    left_us = record.due_us - world.now_us
    if record.aim_us:  # an answer after the aim is worth little
        left_us = min(left_us, max(record.arrived_us + record.aim_us - world.now_us, 0) or left_us)
    return world.now_us + max(record.route.window_us, left_us * WINDOW_SHARE // 100)


def _set_omission(*, record: Gathering, world: World) -> None:
    """When the root stops waiting for what is late: never, while every shard is
    wanted; else after twice the longest window, room for one more round."""
    if record.route.is_strict:
        record.omit_us = record.due_us
        return
    if record.aim_us:
        after_us = record.aim_us * OMIT_SHARE // 100 - CLIENT_US
        record.omit_us = min(record.due_us, max(record.arrived_us + after_us, world.now_us))
        world.trace.add(OmissionSet(search=record.search, after_us=record.omit_us - world.now_us))
        return
    windows = [
        one.soft_us - one.sent_us for cell in record.cells.values() for one in cell.rounds
    ] + [_child_window_us(child=child, record=record, world=world) for child in record.children]
    longest = max(windows, default=record.route.window_us)
    record.omit_us = min(record.due_us, world.now_us + 2 * longest)
    world.trace.add(OmissionSet(search=record.search, after_us=record.omit_us - world.now_us))


# --- sends --------------------------------------------------------------------------


def _send_round(*, cell: Cell, record: Gathering, world: World, is_hedge: bool) -> bool:
    """Send a round to the best backend that is left; true if the budget refused it."""
    tried = {one.backend for one in cell.rounds}
    ranked = tuple(
        options(
            configuration=record.configuration,
            registry=world.registry,
            latencies=world.latencies,
            collection=record.collection,
            shard=cell.shard,
            zone=world.zone,
            now_us=world.now_us,
            rand=world.rand,
        )
    )
    choices = [option for option in ranked if not option.refusal and option.backend not in tried]
    cell.wants_round = False
    if (cell.rounds or cell.is_extra) and record.due_us - world.now_us < LAST_SEND_US:
        choices = []  # no answer could be in time
    is_used_up = record.is_bounded and not record.has_attempt(cell=cell)
    if is_used_up:
        choices = []

    def refuse(why: str) -> None:
        world.trace.add(
            AttemptRefused(search=record.search, shard=cell.shard, why=why, ranked=ranked)
        )

    if not choices:
        why = "no other backend may be asked" if tried else "no backend may be asked"
        refuse("its attempts are used up" if is_used_up else why)
        if not is_hedge:
            cell.miss(cause=cell.cause or "no_backend", detail=cell.detail or "none may be asked")
        return False
    why = _why_of(cell=cell, is_hedge=is_hedge)
    if not _may_send(cell=cell, record=record, world=world):
        refuse(f"{why}: the budget is spent")
        if not is_hedge:
            cell.miss(cause=cell.cause or "budget", detail=_spent(detail=cell.detail))
        return True
    backend = choices[0].backend
    world.next_round += 1
    window_us = world.latencies.window_us(name=backend, least_us=record.route.window_us)
    cell.rounds.append(
        Attempt(
            number=world.next_round,
            backend=backend,
            sent_us=world.now_us,
            soft_us=min(world.now_us + window_us, _latest_us(record=record, world=world)),
        )
    )
    world.trace.add(
        AttemptSent(
            search=record.search,
            shard=cell.shard,
            number=world.next_round,
            backend=backend,
            window_us=window_us,
            why=why,
            ranked=ranked,
        )
    )
    record.sent_shards.add(cell.shard)
    entry = world.registry.entry(name=backend)
    entry.in_flight += 1
    world.emit(
        QueryBackend(
            record=record,
            generation=record.generation,
            shard=cell.shard,
            cut=record.configuration.collections[record.collection].shards[cell.shard].cut,
            number=world.next_round,
            backend=backend,
            address=entry.address,
            wait_us=max(1_000, record.due_us - world.now_us),
            line_limit=entry.line_limit,
        )
    )
    return False


def _why_of(*, cell: Cell, is_hedge: bool) -> str:
    if is_hedge:
        return "past its window: a rival"
    if cell.rounds:
        return f"again after {cell.cause}"
    if cell.is_forced:
        return "begun again"
    return f"instead of a peer ({cell.detail})" if cell.cause else "first"


def _spent(*, detail: str) -> str:
    mark = "(budget spent)"
    return detail if detail.endswith(mark) else f"{detail} {mark}".strip()


def _may_send(*, cell: Cell, record: Gathering, world: World) -> bool:
    """A first send is free, the rest is budgeted; a search begun again has more room."""
    count = {"service": record.collection, "shard": cell.shard, "now_us": world.now_us}
    if cell.rounds or cell.is_extra:
        is_again = cell.is_forced and not cell.rounds
        return world.budget.take(edges=world.edges(), is_again=is_again, **count)
    world.budget.first(**count)
    return True


def _send_child(*, child: Child, record: Gathering, world: World) -> None:
    child.is_sent = True
    child.sent_us = world.now_us
    child.soft_us = world.now_us + _child_window_us(child=child, record=record, world=world)
    child.soft_us = min(child.soft_us, _latest_us(record=record, world=world))
    until_us = record.omit_us
    if child.is_resumed:
        child.soft_us = until_us = record.due_us
    else:
        world.next_round += 1
        child.ask_id = world.next_round
        record.hand_over(child=child, is_reserved=world.is_shy(name=child.subtree.node))
    record.sent_shards |= set(child.subtree.all_shards())
    world.trace.add(
        ChildQueried(
            search=record.search,
            node=child.subtree.node,
            shards=tuple(child.subtree.all_shards()),
            window_us=child.soft_us - world.now_us,
            is_resumed=child.is_resumed,
        )
    )
    left_us = until_us - world.now_us
    margin_us = world.reply_margin_us(name=child.subtree.node)
    wait_us = max(1_000, left_us - max(margin_us, left_us // 10))
    world.emit(
        QueryChild(
            record=record,
            generation=record.generation,
            slot=child.slot,
            node=child.subtree.node,
            address=record.addresses.get(child.subtree.node, ""),
            wait_us=wait_us,
            ask_id=child.ask_id,
            is_resumed=child.is_resumed,
        )
    )


# --- second rounds --------------------------------------------------------------------


def _hedge(*, record: Gathering, world: World) -> None:
    """A backend past its window gets a rival, once, inside the budget."""
    if record.kind == SINGLE:
        return
    for cell in record.cells.values():
        if cell.state != WAITING or cell.was_hedged or not cell.rounds:
            continue
        if any(world.now_us < one.soft_us for one in cell.rounds) or world.now_us < cell.hedge_us:
            continue
        cell.was_hedged = True
        for one in cell.rounds:
            if one.is_open:
                world.registry.note_overdue(name=one.backend, now_us=world.now_us)
        if _send_round(cell=cell, record=record, world=world, is_hedge=True):
            cell.was_hedged, cell.hedge_us = False, world.now_us + LOOK_AGAIN_US


def _regather_late(*, record: Gathering, world: World) -> None:
    """Below the quorum without a late child's shards, the root asks for them itself."""
    late = [
        child
        for child in record.children
        if child.state == WAITING and world.now_us >= child.soft_us
    ]
    if not late:
        return
    for child in late:
        if not child.was_late:
            child.was_late = True
            world.trace.add(ChildLate(search=record.search, node=child.subtree.node))
            world.note_late(name=child.subtree.node)
    in_time = record.waiting_shards() - {s for child in late for s in child.subtree.all_shards()}
    if len(record.parts) + len(in_time) >= record.route.quorum:
        return
    late = [child for child in late if _may_ask_for(child=child, record=record)]
    if not late:
        return  # all attempts are with them: what they get is what there is
    wanted = record.route.quorum - len(record.parts) - len(in_time)
    if wanted > world.budget.room(
        service=record.collection,
        now_us=world.now_us,
        edges=world.edges(),
        shards=[shard for child in late for shard in child.subtree.all_shards()],
    ):
        return  # it would not be enough: better to wait, and leave it to others
    for child in late:
        regather(child=child, record=record, cause="window", why=f"{child.subtree.node} is late")
    _send_wanted(record=record, world=world)


def _may_ask_for(*, child: Child, record: Gathering) -> bool:
    """Are attempts left here for any of a helper's shards?"""
    return any(record.left_of(shard=shard) > 0 for shard in child.subtree.all_shards())


def _regather_missing(*, record: Gathering, world: World) -> None:
    """Below the quorum, what a child left out is waited for, and what it could not
    get is asked for again, once."""
    if not record.missing:
        return
    if len(record.parts) + len(record.waiting_shards()) >= record.route.quorum:
        return
    _resume_children(record=record, world=world)
    for shard, (cause, detail) in sorted(record.missing.items()):
        is_open = shard not in record.cells and shard not in record.parts
        if is_open and record.left_of(shard=shard) > 0:
            record.cells[shard] = Cell(shard=shard, is_extra=True, cause=cause, detail=detail)
    _send_wanted(record=record, world=world)


def _resume_children(*, record: Gathering, world: World) -> None:
    """A child whose window ended still listens to its backends: have the rest of it."""
    for child in [child for child in record.children if child.is_open]:
        child.is_open = False
        shards = tuple(
            shard
            for shard in child.subtree.all_shards()
            if record.missing.get(shard, ("",))[0] == "window" and shard not in record.cells
        )
        if not shards:
            continue
        for shard in shards:
            del record.missing[shard]
        rest = Child(
            slot=len(record.children),
            subtree=Subtree(node=child.subtree.node, shards=shards),
            ask_id=child.ask_id,
            is_resumed=True,
            attempts=child.attempts,
            unknown=child.unknown,
        )
        record.children.append(rest)
        _send_child(child=rest, record=record, world=world)


def _send_wanted(*, record: Gathering, world: World) -> None:
    """Rounds that are wanted. A shard of a child's that the budget has no round
    for stays the child's: it may still come."""
    for cell in list(record.cells.values()):
        if cell.state != WAITING or not cell.wants_round:
            continue
        _send_round(cell=cell, record=record, world=world, is_hedge=False)
        if cell.is_extra and not cell.is_forced and not cell.rounds:
            del record.cells[cell.shard]
            record.missing[cell.shard] = (cell.cause, cell.detail)
            for child in record.children:  # to be tried again when the budget has room
                child.is_regathered &= cell.shard not in child.subtree.all_shards()
