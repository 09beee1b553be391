"""Sends attempts: chooses a backend for a shard, if the retry budget allows the attempt."""

from __future__ import annotations

from kelpstage.edge.backend.selection import Candidate, options
from kelpstage.edge.events import AttemptRefused, AttemptSent
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import QueryBackend
from kelpstage.edge.gather.request_state import WAITING, Attempt, RequestState, ShardState
from kelpstage.edge.gather.stages.windows import latest_window_end_us

MIN_TIME_LEFT_US = 3_000  # with less time left, no retry or hedge could complete


def send_wanted_attempts(*, record: RequestState, context: GatherContext) -> None:
    """Send the attempts that are wanted.

    If the budget refuses an attempt for a child's shard, the shard stays with the child, whose
    result may still arrive.
    """
    for shard_state in list(record.shard_states.values()):
        if shard_state.state is not WAITING or not shard_state.wants_attempt:
            continue
        send_attempt(shard_state=shard_state, record=record, context=context, is_hedge=False)
        if shard_state.is_extra and not shard_state.is_restart and not shard_state.attempts:
            del record.shard_states[shard_state.shard]
            record.missing[shard_state.shard] = (shard_state.cause, shard_state.detail)
            for child in record.children:  # regathered later, when the budget allows it
                child.is_regathered &= shard_state.shard not in child.subtree.all_shards()


def send_attempt(
    *, shard_state: ShardState, record: RequestState, context: GatherContext, is_hedge: bool
) -> bool:
    """Send an attempt to the best backend not tried yet; true if the budget refused it."""
    ranked = _ranked_backends(shard_state=shard_state, record=record, context=context)
    tried = {attempt.backend for attempt in shard_state.attempts}
    choices = [option for option in ranked if not option.refusal and option.backend not in tried]
    shard_state.wants_attempt = False
    is_again = shard_state.attempts or shard_state.is_extra
    if is_again and record.due_us - context.now_us < MIN_TIME_LEFT_US:
        choices = []  # no reply could arrive in time
    is_used_up = record.is_bounded and not record.has_attempt(shard_state=shard_state)
    if is_used_up or not choices:
        why = "no other backend is eligible" if tried else "no backend is eligible"
        why = "no attempts are left" if is_used_up else why
        _trace_refusal(
            shard_state=shard_state, record=record, context=context, why=why, ranked=ranked
        )
        if not is_hedge:
            detail = shard_state.detail or "none may be asked"
            shard_state.mark_missing(cause=shard_state.cause or "no_backend", detail=detail)
        return False
    why = _describe_attempt(shard_state=shard_state, is_hedge=is_hedge)
    if not _acquire_budget(shard_state=shard_state, record=record, context=context):
        why = f"{why}: the budget is spent"
        _trace_refusal(
            shard_state=shard_state, record=record, context=context, why=why, ranked=ranked
        )
        if not is_hedge:
            detail = _budget_spent_detail(detail=shard_state.detail)
            shard_state.mark_missing(cause=shard_state.cause or "budget", detail=detail)
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


def _ranked_backends(
    *, shard_state: ShardState, record: RequestState, context: GatherContext
) -> tuple[Candidate, ...]:
    """Return all backends of the shard, the best first."""
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


def _trace_refusal(
    *,
    shard_state: ShardState,
    record: RequestState,
    context: GatherContext,
    why: str,
    ranked: tuple[Candidate, ...],
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
    ranked: tuple[Candidate, ...],
) -> None:
    """Record an attempt and emit the effect that sends it."""
    context.next_attempt += 1
    entry = context.registry.entry(name=backend)
    distance_us = entry.distance_us
    window_us = context.latencies.window_us(
        name=backend, least_us=record.route.window_us + distance_us
    )
    shard_state.attempts.append(
        Attempt(
            number=context.next_attempt,
            backend=backend,
            sent_us=context.now_us,
            window_end_us=min(
                context.now_us + window_us,
                latest_window_end_us(record=record, context=context) + distance_us,
            ),
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


def _describe_attempt(*, shard_state: ShardState, is_hedge: bool) -> str:
    if is_hedge:
        return "past its window: hedged attempt"
    if shard_state.attempts:
        return f"retry after {shard_state.cause}"
    if shard_state.is_restart:
        return "restarted search"
    return f"instead of a peer ({shard_state.detail})" if shard_state.cause else "first"


def _budget_spent_detail(*, detail: str) -> str:
    mark = "(budget spent)"
    return detail if detail.endswith(mark) else f"{detail} {mark}".strip()


def _acquire_budget(
    *, shard_state: ShardState, record: RequestState, context: GatherContext
) -> bool:
    """Take an attempt from the retry budget; false if it is spent.

    First attempts are only counted. Restarted searches have a larger allowance.
    """
    count = {"service": record.collection, "shard": shard_state.shard, "now_us": context.now_us}
    if shard_state.attempts or shard_state.is_extra:
        is_again = shard_state.is_restart and not shard_state.attempts
        return context.budget.try_acquire(
            edges=context.live_edge_count(), is_restart=is_again, **count
        )
    context.budget.count_first(**count)
    return True
