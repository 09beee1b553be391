"""Stage four: attempts to backends, queries to children."""

from __future__ import annotations

from kelpstage.edge.backend.selection import Option, options
from kelpstage.edge.events import (
    AttemptRefused,
    AttemptSent,
    ChildLate,
    ChildQueried,
    OmissionSet,
)
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import QueryBackend, QueryChild
from kelpstage.edge.gather.request_state import (
    GATHERING,
    ROOT,
    SINGLE,
    WAITING,
    Attempt,
    Child,
    RequestState,
    ShardState,
)
from kelpstage.edge.gather.stages.merge import regather
from kelpstage.edge.gather.tree import Subtree

LOOK_AGAIN_US = 100_000
LAST_SEND_US = 3_000
WINDOW_SHARE = 40  # per cent of the time left
CHILD_SHARE = 45  # per cent of the aim, until a child counts as late
OMIT_SHARE = 85  # per cent of the aim, when a search that need not be whole is answered
CLIENT_US = 4_000  # of the aim, for the client's own way to this node and back


def send(*, record: RequestState, context: GatherContext) -> None:
    """Send what is wanted and not yet on its way."""
    if record.phase is not GATHERING:
        return
    unsent = [child for child in record.children if not child.is_sent]
    _send_wanted(record=record, context=context)
    if record.kind is ROOT and not record.omit_us:
        _set_omission(record=record, context=context)
    for child in unsent:
        _send_child(child=child, record=record, context=context)
    _hedge(record=record, context=context)
    if record.kind is ROOT:
        _regather_late(record=record, context=context)
        _regather_missing(record=record, context=context)


# --- windows ----------------------------------------------------------------------


def _child_window_us(*, child: Child, record: RequestState, context: GatherContext) -> int:
    """A child's least window leaves room for its own children's."""
    least_us = record.route.window_us * (child.subtree.height() + 1)
    if record.aim_us:
        least_us = max(least_us, record.aim_us * CHILD_SHARE // 100)
    return context.node_window_us(name=child.subtree.node, least_us=least_us)


def _latest_us(*, record: RequestState, context: GatherContext) -> int:
    """However far a window was stretched, a second attempt must still have its time."""
    left_us = record.due_us - context.now_us
    if record.aim_us:  # an answer after the aim is worth little
        left_us = min(
            left_us, max(record.arrived_us + record.aim_us - context.now_us, 0) or left_us
        )
    return context.now_us + max(record.route.window_us, left_us * WINDOW_SHARE // 100)


def _set_omission(*, record: RequestState, context: GatherContext) -> None:
    """When the root stops waiting for what is late: never, while every shard is
    wanted; else after twice the longest window, room for one more attempt."""
    if record.route.is_strict:
        record.omit_us = record.due_us
        return
    if record.aim_us:
        after_us = record.aim_us * OMIT_SHARE // 100 - CLIENT_US
        record.omit_us = min(record.due_us, max(record.arrived_us + after_us, context.now_us))
        context.trace.add(
            OmissionSet(search=record.search, after_us=record.omit_us - context.now_us)
        )
        return
    windows = [
        attempt.soft_us - attempt.sent_us
        for shard_state in record.shard_states.values()
        for attempt in shard_state.attempts
    ] + [_child_window_us(child=child, record=record, context=context) for child in record.children]
    longest = max(windows, default=record.route.window_us)
    record.omit_us = min(record.due_us, context.now_us + 2 * longest)
    context.trace.add(OmissionSet(search=record.search, after_us=record.omit_us - context.now_us))


# --- sends --------------------------------------------------------------------------


def _send_attempt(
    *, shard_state: ShardState, record: RequestState, context: GatherContext, is_hedge: bool
) -> bool:
    """Send an attempt to the best backend that is left; true if the budget refused it."""
    ranked = _ranked(shard_state=shard_state, record=record, context=context)
    tried = {attempt.backend for attempt in shard_state.attempts}
    choices = [option for option in ranked if not option.refusal and option.backend not in tried]
    shard_state.wants_attempt = False
    is_again = shard_state.attempts or shard_state.is_extra
    if is_again and record.due_us - context.now_us < LAST_SEND_US:
        choices = []  # no answer could be in time
    is_used_up = record.is_bounded and not record.has_attempt(shard_state=shard_state)
    if is_used_up or not choices:
        why = "no other backend may be asked" if tried else "no backend may be asked"
        why = "its attempts are used up" if is_used_up else why
        _refuse(shard_state=shard_state, record=record, context=context, why=why, ranked=ranked)
        if not is_hedge:
            detail = shard_state.detail or "none may be asked"
            shard_state.miss(cause=shard_state.cause or "no_backend", detail=detail)
        return False
    why = _why_of(shard_state=shard_state, is_hedge=is_hedge)
    if not _may_send(shard_state=shard_state, record=record, context=context):
        why = f"{why}: the budget is spent"
        _refuse(shard_state=shard_state, record=record, context=context, why=why, ranked=ranked)
        if not is_hedge:
            detail = _spent(detail=shard_state.detail)
            shard_state.miss(cause=shard_state.cause or "budget", detail=detail)
        return True
    _begin_attempt(
        backend=choices[0].backend,
        shard_state=shard_state,
        record=record,
        context=context,
        why=why,
        ranked=ranked,
    )
    return False


def _ranked(
    *, shard_state: ShardState, record: RequestState, context: GatherContext
) -> tuple[Option, ...]:
    """All backends of the shard, the best first."""
    return tuple(
        options(
            configuration=record.configuration,
            registry=context.registry,
            latencies=context.latencies,
            collection=record.collection,
            shard=shard_state.shard,
            zone=context.zone,
            now_us=context.now_us,
            rand=context.rand,
        )
    )


def _refuse(
    *,
    shard_state: ShardState,
    record: RequestState,
    context: GatherContext,
    why: str,
    ranked: tuple[Option, ...],
) -> None:
    context.trace.add(
        AttemptRefused(search=record.search, shard=shard_state.shard, why=why, ranked=ranked)
    )


def _begin_attempt(
    *,
    backend: str,
    shard_state: ShardState,
    record: RequestState,
    context: GatherContext,
    why: str,
    ranked: tuple[Option, ...],
) -> None:
    """Note an attempt at a backend, and have it sent."""
    context.next_attempt += 1
    window_us = context.latencies.window_us(name=backend, least_us=record.route.window_us)
    shard_state.attempts.append(
        Attempt(
            number=context.next_attempt,
            backend=backend,
            sent_us=context.now_us,
            soft_us=min(context.now_us + window_us, _latest_us(record=record, context=context)),
        )
    )
    context.trace.add(
        AttemptSent(
            search=record.search,
            shard=shard_state.shard,
            number=context.next_attempt,
            backend=backend,
            window_us=window_us,
            why=why,
            ranked=ranked,
        )
    )
    record.sent_shards.add(shard_state.shard)
    entry = context.registry.entry(name=backend)
    entry.in_flight += 1
    context.emit(
        QueryBackend(
            record=record,
            generation=record.generation,
            shard=shard_state.shard,
            cut=record.configuration.collections[record.collection].shards[shard_state.shard].cut,
            number=context.next_attempt,
            backend=backend,
            address=entry.address,
            wait_us=max(1_000, record.due_us - context.now_us),
            line_limit=entry.line_limit,
        )
    )


def _why_of(*, shard_state: ShardState, is_hedge: bool) -> str:
    if is_hedge:
        return "past its window: a rival"
    if shard_state.attempts:
        return f"again after {shard_state.cause}"
    if shard_state.is_forced:
        return "begun again"
    return f"instead of a peer ({shard_state.detail})" if shard_state.cause else "first"


def _spent(*, detail: str) -> str:
    mark = "(budget spent)"
    return detail if detail.endswith(mark) else f"{detail} {mark}".strip()


def _may_send(*, shard_state: ShardState, record: RequestState, context: GatherContext) -> bool:
    """A first send is free, the rest is budgeted; a search begun again has more room."""
    count = {"service": record.collection, "shard": shard_state.shard, "now_us": context.now_us}
    if shard_state.attempts or shard_state.is_extra:
        is_again = shard_state.is_forced and not shard_state.attempts
        return context.budget.take(edges=context.edges(), is_again=is_again, **count)
    context.budget.first(**count)
    return True


def _send_child(*, child: Child, record: RequestState, context: GatherContext) -> None:
    child.is_sent = True
    child.sent_us = context.now_us
    child.soft_us = context.now_us + _child_window_us(child=child, record=record, context=context)
    child.soft_us = min(child.soft_us, _latest_us(record=record, context=context))
    until_us = record.omit_us
    if child.is_resumed:
        child.soft_us = until_us = record.due_us
    else:
        context.next_attempt += 1
        child.ask_id = context.next_attempt
        record.hand_over(child=child, is_reserved=context.is_late(name=child.subtree.node))
    record.sent_shards |= set(child.subtree.all_shards())
    context.trace.add(
        ChildQueried(
            search=record.search,
            node=child.subtree.node,
            shards=tuple(child.subtree.all_shards()),
            window_us=child.soft_us - context.now_us,
            is_resumed=child.is_resumed,
        )
    )
    left_us = until_us - context.now_us
    margin_us = context.reply_margin_us(name=child.subtree.node)
    wait_us = max(1_000, left_us - max(margin_us, left_us // 10))
    context.emit(
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


# --- second attempts --------------------------------------------------------------------


def _hedge(*, record: RequestState, context: GatherContext) -> None:
    """A backend past its window gets a rival, once, inside the budget."""
    if record.kind is SINGLE:
        return
    for shard_state in record.shard_states.values():
        if shard_state.state is not WAITING or shard_state.was_hedged or not shard_state.attempts:
            continue
        if (
            any(context.now_us < attempt.soft_us for attempt in shard_state.attempts)
            or context.now_us < shard_state.hedge_us
        ):
            continue
        shard_state.was_hedged = True
        for attempt in shard_state.attempts:
            if attempt.is_open:
                context.registry.note_overdue(name=attempt.backend, now_us=context.now_us)
        if _send_attempt(shard_state=shard_state, record=record, context=context, is_hedge=True):
            shard_state.was_hedged, shard_state.hedge_us = False, context.now_us + LOOK_AGAIN_US


def _regather_late(*, record: RequestState, context: GatherContext) -> None:
    """Below the quorum without a late child's shards, the root asks for them itself."""
    late = [
        child
        for child in record.children
        if child.state is WAITING and context.now_us >= child.soft_us
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
    late = [child for child in late if _may_ask_for(child=child, record=record)]
    if not late:
        return  # all attempts are with them: what they get is what there is
    wanted = record.route.quorum - len(record.parts) - len(in_time)
    if wanted > context.budget.room(
        service=record.collection,
        now_us=context.now_us,
        edges=context.edges(),
        shards=[shard for child in late for shard in child.subtree.all_shards()],
    ):
        return  # it would not be enough: better to wait, and leave it to others
    for child in late:
        regather(child=child, record=record, cause="window", why=f"{child.subtree.node} is late")
    _send_wanted(record=record, context=context)


def _may_ask_for(*, child: Child, record: RequestState) -> bool:
    """Are attempts left here for any of a helper's shards?"""
    return any(record.left_of(shard=shard) > 0 for shard in child.subtree.all_shards())


def _regather_missing(*, record: RequestState, context: GatherContext) -> None:
    """Below the quorum, what a child left out is waited for, and what it could not
    get is asked for again, once."""
    if not record.missing:
        return
    if len(record.parts) + len(record.waiting_shards()) >= record.route.quorum:
        return
    _resume_children(record=record, context=context)
    for shard, (cause, detail) in sorted(record.missing.items()):
        is_open = shard not in record.shard_states and shard not in record.parts
        if is_open and record.left_of(shard=shard) > 0:
            record.shard_states[shard] = ShardState(
                shard=shard, is_extra=True, cause=cause, detail=detail
            )
    _send_wanted(record=record, context=context)


def _resume_children(*, record: RequestState, context: GatherContext) -> None:
    """A child whose window ended still listens to its backends: have the rest of it."""
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
            ask_id=child.ask_id,
            is_resumed=True,
            attempts=child.attempts,
            unknown=child.unknown,
        )
        record.children.append(rest)
        _send_child(child=rest, record=record, context=context)


def _send_wanted(*, record: RequestState, context: GatherContext) -> None:
    """Attempts that are wanted. A shard of a child's that the budget has no attempt
    for stays the child's: it may still come."""
    for shard_state in list(record.shard_states.values()):
        if shard_state.state is not WAITING or not shard_state.wants_attempt:
            continue
        _send_attempt(shard_state=shard_state, record=record, context=context, is_hedge=False)
        if shard_state.is_extra and not shard_state.is_forced and not shard_state.attempts:
            del record.shard_states[shard_state.shard]
            record.missing[shard_state.shard] = (shard_state.cause, shard_state.detail)
            for child in record.children:  # to be tried again when the budget has room
                child.is_regathered &= shard_state.shard not in child.subtree.all_shards()
