"""Stage four: sends attempts to backends and queries to children."""

from __future__ import annotations

from kelpstage.edge.events import (
    ChildLate,
    ChildQueried,
)
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import QueryChild
from kelpstage.edge.gather.request_state import (
    GATHERING,
    ROOT,
    SINGLE,
    WAITING,
    Child,
    RequestState,
    ShardState,
)
from kelpstage.edge.gather.stages.attempts import send_attempt, send_wanted_attempts
from kelpstage.edge.gather.stages.merge import regather
from kelpstage.edge.gather.stages.windows import child_window_end_us, set_omission
from kelpstage.edge.gather.tree import Subtree

CHILD_WORK_DIVISOR = 10  # of the time left: reserved for merging and sending a child's reply
RECHECK_US = 100_000  # until a hedge or regather that the budget refused is tried again


def send(*, record: RequestState, context: GatherContext) -> None:
    """Send the attempts and queries that are wanted and not sent yet."""
    if record.phase is not GATHERING or record.is_abandoned:
        return
    unsent = [child for child in record.children if not child.is_sent]
    send_wanted_attempts(record=record, context=context)
    if record.kind is ROOT and not record.omit_at_us:
        set_omission(record=record, context=context)
    for child in unsent:
        _send_child(child=child, record=record, context=context)
    _hedge(record=record, context=context)
    if record.kind is ROOT:
        _regather_late(record=record, context=context)
        _regather_missing(record=record, context=context)


def _send_child(*, child: Child, record: RequestState, context: GatherContext) -> None:
    child.is_sent = True
    child.sent_us = context.now_us
    child.window_end_us = child_window_end_us(child=child, record=record, context=context)
    until_us = record.omit_at_us
    if child.is_resumed:
        child.window_end_us = until_us = record.due_us
    else:
        context.next_attempt += 1
        child.query_id = context.next_attempt
        record.delegate_attempts(child=child, keeps_one=context.is_late(name=child.subtree.node))
    record.sent_shards |= set(child.subtree.all_shards())
    context.trace.add(
        ChildQueried(
            search=record.search,
            node=child.subtree.node,
            shards=tuple(child.subtree.all_shards()),
            window_us=child.window_end_us - context.now_us,
            is_resumed=child.is_resumed,
        )
    )
    left_us = until_us - context.now_us
    margin_us = context.reply_margin_us(name=child.subtree.node)
    wait_us = max(1_000, left_us - margin_us - left_us // CHILD_WORK_DIVISOR)
    context.emit(
        QueryChild(
            record=record,
            generation=record.generation,
            slot=child.slot,
            node=child.subtree.node,
            address=record.addresses.get(child.subtree.node, ""),
            wait_us=wait_us,
            query_id=child.query_id,
            is_resumed=child.is_resumed,
        )
    )


# --- hedging and regathering -------------------------------------------------------------


def _hedge(*, record: RequestState, context: GatherContext) -> None:
    """Send one hedged attempt for each shard past its window, if the retry budget allows it."""
    if record.kind is SINGLE:
        return
    for shard_state in record.shard_states.values():
        if shard_state.state is not WAITING or shard_state.was_hedged or not shard_state.attempts:
            continue
        if (
            any(context.now_us < attempt.window_end_us for attempt in shard_state.attempts)
            or context.now_us < shard_state.hedge_retry_us
        ):
            continue
        shard_state.was_hedged = True
        for attempt in shard_state.attempts:
            if attempt.is_open:
                context.registry.note_overdue(name=attempt.backend, now_us=context.now_us)
        if send_attempt(shard_state=shard_state, record=record, context=context, is_hedge=True):
            shard_state.was_hedged, shard_state.hedge_retry_us = False, context.now_us + RECHECK_US


def _regather_late(*, record: RequestState, context: GatherContext) -> None:
    """Request late children's shards from the root if the quorum cannot be met without them."""
    late = [
        child
        for child in record.children
        if child.state is WAITING and context.now_us >= child.window_end_us
    ]
    if not late:
        return
    for child in late:
        if not child.was_late:
            child.was_late = True
            context.trace.add(ChildLate(search=record.search, node=child.subtree.node))
            context.note_late(name=child.subtree.node)
    in_time = record.waiting_shards() - {s for child in late for s in child.subtree.all_shards()}
    if len(record.parts) + len(in_time) >= record.route.quorum:
        return
    late = [child for child in late if _has_attempts_left(child=child, record=record)]
    if not late:
        return  # the late children have all attempts; only their results can arrive
    wanted = record.route.quorum - len(record.parts) - len(in_time)
    if wanted > context.budget.available(
        service=record.collection,
        now_us=context.now_us,
        edges=context.live_edge_count(),
        shards=[shard for child in late for shard in child.subtree.all_shards()],
    ):
        return  # too little for the quorum: wait, and leave the budget to others
    for child in late:
        regather(child=child, record=record, cause="window", why=f"{child.subtree.node} is late")
    send_wanted_attempts(record=record, context=context)


def _has_attempts_left(*, child: Child, record: RequestState) -> bool:
    """True if this node has attempts left for any of a child's shards."""
    return any(record.remaining_attempts(shard=shard) > 0 for shard in child.subtree.all_shards())


def _regather_missing(*, record: RequestState, context: GatherContext) -> None:
    """Below the quorum, resume children that left shards out, and request once more the shards
    that a child could not get."""
    if not record.missing:
        return
    if len(record.parts) + len(record.waiting_shards()) >= record.route.quorum:
        return
    _resume_children(record=record, context=context)
    for shard, (cause, detail) in sorted(record.missing.items()):
        is_open = shard not in record.shard_states and shard not in record.parts
        if is_open and record.remaining_attempts(shard=shard) > 0:
            record.shard_states[shard] = ShardState(
                shard=shard, is_extra=True, cause=cause, detail=detail
            )
    send_wanted_attempts(record=record, context=context)


def _resume_children(*, record: RequestState, context: GatherContext) -> None:
    """Request the rest from children that replied partly and still wait for their backends."""
    for child in [child for child in record.children if child.is_open]:
        child.is_open = False
        shards = tuple(
            shard
            for shard in child.subtree.all_shards()
            if record.missing.get(shard, ("",))[0] == "window" and shard not in record.shard_states
        )
        if not shards:
            continue
        for shard in shards:
            del record.missing[shard]
        rest = Child(
            slot=len(record.children),
            subtree=Subtree(node=child.subtree.node, shards=shards),
            query_id=child.query_id,
            is_resumed=True,
            attempts=child.attempts,
            unreported=child.unreported,
        )
        record.children.append(rest)
        _send_child(child=rest, record=record, context=context)
