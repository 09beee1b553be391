"""Stage three: merges replies into the request's state, each completely or not at all."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from kelpstage.common.errors.backends import InvalidReplyError, RequestNotRunError
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.transport.messages import Gathered, PartMsg
from kelpstage.edge.backend.reply import ValidatedPart
from kelpstage.edge.events import AttemptEnded, BadPart, ChildEnded
from kelpstage.edge.forward.sealed_answer import ForwardedReply
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import (
    BackendReplied,
    ChildReplied,
    FetchConfiguration,
    SubtreeReply,
)
from kelpstage.edge.gather.record_order import leaf_limit
from kelpstage.edge.gather.request_state import (
    AWAITING,
    CHILD,
    GATHERING,
    MISSING,
    RECEIVED,
    ROOT,
    SINGLE,
    WAITING,
    Child,
    RequestState,
    ShardState,
)
from kelpstage.edge.gather.stages.admit import note_restart, settle_record


def merge(*, record: RequestState, context: GatherContext) -> None:
    """Process the replies received since the last run."""
    while record.inbox and record.phase is GATHERING:
        event = record.inbox.popleft()
        if event.generation == record.generation:
            apply_reply(event, record, context)
    record.inbox.clear()


@singledispatch
def apply_reply(event: Any, record: RequestState, context: GatherContext) -> None:
    """Apply one reply to the request's state."""
    raise TypeError(type(event))


@apply_reply.register
def apply_backend_reply(
    event: BackendReplied, record: RequestState, context: GatherContext
) -> None:
    """Apply a backend's reply: its part, or the failure of the attempt."""
    context.trace.add(
        AttemptEnded(
            search=record.search,
            shard=event.shard,
            number=event.number,
            backend=event.backend,
            outcome=_outcome_text(outcome=event.outcome),
        )
    )
    shard_state = record.shard_states.get(event.shard)
    if shard_state is None:
        return
    for attempt in shard_state.attempts:
        if attempt.number == event.number:
            attempt.is_open = False
    if shard_state.state is not WAITING or event.shard in record.parts:
        return
    outcome = event.outcome
    if isinstance(outcome, ValidatedPart):
        shard_state.state = RECEIVED
        shard_state.wants_attempt = False
        record.parts[event.shard] = PartMsg(
            shard=outcome.shard,
            backend=event.backend,
            stamp=outcome.stamp,
            count=outcome.count,
            cut=outcome.cut,
        )
        record.runs[event.shard] = record.order.sort_and_truncate(
            records=outcome.records, limit=leaf_limit(limit=record.limit)
        )
        return
    if isinstance(outcome, ForwardedReply):
        _take_whole_reply(reply=outcome, shard_state=shard_state, record=record)
        return
    _backend_failed(event=event, shard_state=shard_state, record=record, context=context)


def _take_whole_reply(
    *, reply: ForwardedReply, shard_state: ShardState, record: RequestState
) -> None:
    """Take an answer that is returned unchanged.

    A server error of a repeatable request is retried on another backend, and returned if no
    better answer arrives.
    """
    record.has_run = True
    record.backend_reply = reply
    if reply.is_success or reply.status < 500 or not record.is_repeatable:
        shard_state.state = RECEIVED
        shard_state.wants_attempt = False
        return
    if shard_state.has_open_attempt():
        return
    shard_state.cause, shard_state.detail = "backend_failed", str(reply.status)
    if not record.has_attempt(shard_state=shard_state):
        shard_state.mark_missing(cause=shard_state.cause, detail=shard_state.detail)
        return
    shard_state.wants_attempt = True


def surely_not_run(*, outcome: Any) -> bool:
    """True if the backend certainly did not run the request and never will.

    >>> surely_not_run(outcome=ConnectError(address="a"))
    True
    >>> surely_not_run(outcome=ConnectionLostError(address="a"))
    False
    """
    if isinstance(outcome, (ConnectError, RequestNotRunError)):
        return True
    return isinstance(outcome, (ConnectionLostError, ReplyTimeoutError)) and not outcome.was_sent


def _outcome_text(*, outcome: Any) -> str:
    if isinstance(outcome, InvalidReplyError):
        return f"bad_reply: {outcome.part}: {outcome.why}"
    return outcome.kind if isinstance(outcome, KelpstageError) else "in"


def _trace_child(
    *, child: Child, outcome: Any, record: RequestState, context: GatherContext
) -> None:
    parts: tuple = ()
    missing: tuple = ()
    name = _outcome_text(outcome=outcome)
    if isinstance(outcome, Gathered):
        name = "stale" if outcome.is_stale else "partly in" if outcome.is_open else "in"
        parts = tuple(part.shard for part in outcome.parts)
        missing = tuple((m.shard, m.cause, m.detail) for m in outcome.missing)
    context.trace.add(
        ChildEnded(
            search=record.search,
            node=child.subtree.node,
            outcome=name,
            shards_in=parts,
            missing=missing,
        )
    )


def _backend_failed(
    *, event: BackendReplied, shard_state: ShardState, record: RequestState, context: GatherContext
) -> None:
    outcome: KelpstageError = event.outcome
    detail = outcome.kind
    if isinstance(outcome, InvalidReplyError):
        detail = f"{outcome.part}: {outcome.why}"
        context.journal.add(
            BadPart(backend=event.backend, shard=event.shard, part=outcome.part, why=outcome.why)
        )
    if not surely_not_run(outcome=outcome):
        record.reached_backend = record.has_run = True
    if shard_state.has_open_attempt():
        return
    cause = "window" if isinstance(outcome, ReplyTimeoutError) else outcome.kind
    is_once = record.request is None or not record.is_repeatable
    is_over = record.kind is SINGLE and record.reached_backend and is_once
    if (
        is_over
        or isinstance(outcome, ReplyTimeoutError)
        or not record.has_attempt(shard_state=shard_state)
    ):
        shard_state.mark_missing(cause=cause, detail=detail)
        return
    shard_state.cause, shard_state.detail = outcome.kind, detail
    shard_state.wants_attempt = True


@apply_reply.register
def apply_child_reply(event: ChildReplied, record: RequestState, context: GatherContext) -> None:
    """Apply a child's reply: its parts, or the loss of the child."""
    child = record.children[event.slot]
    outcome = event.outcome
    _trace_child(child=child, outcome=outcome, record=record, context=context)
    if child.state is not WAITING:
        return
    if isinstance(outcome, Gathered) and outcome.is_stale:
        _on_stale_child(reply=outcome, child=child, record=record, context=context)
        return
    records = record.order.unpack(data=outcome.records) if isinstance(outcome, Gathered) else None
    if records is None or not _is_valid_reply(reply=outcome, child=child, record=record):
        why = outcome.kind if isinstance(outcome, KelpstageError) else "improper reply"
        is_sent = not surely_not_run(outcome=outcome)
        _child_lost(child=child, why=why, record=record, context=context, is_sent=is_sent)
        return
    child.state = RECEIVED
    child.is_open = outcome.is_open
    for part in outcome.parts:
        # Replaces what was regathered in the meantime: the child's records of all its parts
        # are merged and can only be used together.
        record.runs.pop(part.shard, None)
        record.return_attempts(child=child, shard=part.shard, count=part.attempts_left)
        record.drop_shard_state(shard=part.shard)
        record.missing.pop(part.shard, None)
        record.parts[part.shard] = part
    for missing in outcome.missing:
        record.return_attempts(child=child, shard=missing.shard, count=missing.attempts_left)
        is_in_subtree = missing.shard in child.subtree.all_shards()
        if is_in_subtree and missing.shard not in record.parts:
            record.missing[missing.shard] = (missing.cause, missing.detail)
    record.runs[child.slot] = records


def _is_valid_reply(*, reply: Gathered, child: Child, record: RequestState) -> bool:
    """True if the reply names each of the child's shards once, under this request's version and
    cut. The second reply of a child may name more shards than were requested: all that it had
    left out."""
    if reply.version != record.version:
        return False
    named = [p.shard for p in reply.parts] + [m.shard for m in reply.missing]
    wanted = set(child.subtree.all_shards())
    allowed = wanted
    if child.is_resumed:
        first = next(
            c for c in record.children if c.query_id == child.query_id and not c.is_resumed
        )
        allowed = set(first.subtree.all_shards())
    if len(set(named)) != len(named) or not wanted <= set(named) <= allowed:
        return False
    shards = record.configuration.collections[record.collection].shards
    return all(part.cut == shards[part.shard].cut for part in reply.parts)


def _on_stale_child(
    *, reply: Gathered, child: Child, record: RequestState, context: GatherContext
) -> None:
    """Handle a child under another configuration; the search restarts if the child's is newer."""
    if reply.has_sent_nothing:
        _note_sent_nothing(child=child, record=record)
        record.sent_shards -= set(child.subtree.all_shards()) - set(record.shard_states)
    if reply.version <= record.version:
        _child_lost(child=child, why="behind", record=record, context=context)
        return
    if record.kind is CHILD:
        stale = Gathered(is_stale=True, version=reply.version)
        settle_record(record=record, outcome=SubtreeReply(message=stale))
        return
    note_restart(record=record, context=context, why="a peer has a newer configuration")
    if context.lease_holder.configuration.version >= reply.version:
        record.restart()
        return
    record.phase = AWAITING
    record.awaited_version = reply.version
    context.emit(FetchConfiguration(version=reply.version, source=child.subtree.node))


def _note_sent_nothing(*, child: Child, record: RequestState) -> None:
    """Take back the attempts of a child that was not reached or reports that it sent nothing."""
    if child.has_sent_nothing or child.is_resumed:
        return
    child.has_sent_nothing = True
    for shard in child.subtree.all_shards():
        record.return_attempts(child=child, shard=shard, count=child.attempts)


def _child_lost(
    *, child: Child, why: str, record: RequestState, context: GatherContext, is_sent: bool = True
) -> None:
    """Mark a child as lost: the root regathers its shards, a child reports them as missing."""
    child.state = MISSING
    context.note_late(name=child.subtree.node)
    if not is_sent:
        _note_sent_nothing(child=child, record=record)
    if record.kind is ROOT:
        regather(child=child, record=record, cause="partner_lost", why=why, is_extra=is_sent)
        return
    for shard in child.subtree.all_shards():
        record.missing[shard] = ("partner_lost", why)


def regather(
    *, child: Child, record: RequestState, cause: str, why: str, is_extra: bool = True
) -> None:
    """Request a child's shards from this node: as extra attempts, or as first attempts if the
    child was never reached and so sent nothing."""
    if child.is_regathered:
        return
    child.is_regathered = True
    for shard in child.subtree.all_shards():
        if shard in record.parts or shard in record.shard_states:
            continue
        if record.remaining_attempts(shard=shard) <= 0:  # all may have been used
            if child.state is MISSING:
                record.missing[shard] = (cause, why)
            continue
        record.shard_states[shard] = ShardState(
            shard=shard,
            is_extra=is_extra or record.was_sent_before(shard=shard),
            cause=cause,
            detail=why,
        )
