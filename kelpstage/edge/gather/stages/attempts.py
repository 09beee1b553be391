"""Attempts at backends: which backend is asked for a shard, if the budget allows it."""

from __future__ import annotations

from kelpstage.edge.backend.selection import Option, options
from kelpstage.edge.events import AttemptRefused, AttemptSent
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import QueryBackend
from kelpstage.edge.gather.request_state import WAITING, Attempt, RequestState, ShardState
from kelpstage.edge.gather.stages.windows import latest_us

LAST_SEND_US = 3_000  # of the time left; an attempt begun later could not be in time


def send_wanted(*, record: RequestState, context: GatherContext) -> None:
    """Attempts that are wanted. A shard of a child's that the budget has no attempt
    for stays the child's: it may still come."""
    for shard_state in list(record.shard_states.values()):
        if shard_state.state is not WAITING or not shard_state.wants_attempt:
            continue
        send_attempt(shard_state=shard_state, record=record, context=context, is_hedge=False)
        if shard_state.is_extra and not shard_state.is_forced and not shard_state.attempts:
            del record.shard_states[shard_state.shard]
            record.missing[shard_state.shard] = (shard_state.cause, shard_state.detail)
            for child in record.children:  # to be tried again when the budget has room
                child.is_regathered &= shard_state.shard not in child.subtree.all_shards()


def send_attempt(
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
    reason = "hedge" if is_hedge else "retry" if is_again else "first"
    context.statistics.note_attempt(reason=reason)
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
            soft_us=min(context.now_us + window_us, latest_us(record=record, context=context)),
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
            connection_limit=entry.connection_limit,
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
