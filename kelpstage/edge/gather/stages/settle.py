"""Stage five: settles requests whose outcome is certain or due."""

from __future__ import annotations

import json

from kelpstage.common.errors.backends import BackendConnectionError, InvalidReplyError
from kelpstage.common.errors.requests import RecordNotFoundError
from kelpstage.common.errors.serving import (
    CallerGoneError,
    DeadlineExceededError,
    NoBackendError,
    NotReadyError,
    QuorumNotMetError,
)
from kelpstage.edge.events import SearchEnded
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import GatherResult, PartialReplyReady, SubtreeReply
from kelpstage.edge.gather.request_state import (
    CHILD,
    DONE,
    GATHERING,
    RECEIVED,
    SINGLE,
    WAITING,
    RequestState,
)
from kelpstage.edge.gather.stages.admit import settle_record
from kelpstage.edge.gather.stages.child_reply import child_reply, missing_shards

WARNING_COVERAGE = 0.995  # answers of this coverage or less carry a warning


def settle(*, record: RequestState, context: GatherContext) -> None:
    """Settle a request as soon as its outcome is certain, at its deadline at the latest."""
    if record.phase is not DONE and record.is_droppable():
        settle_record(record=record, outcome=CallerGoneError())
        return
    if record.phase is not GATHERING:
        return
    if record.kind is SINGLE:
        _settle_single(record=record, context=context)
    elif record.kind is CHILD:
        _settle_child(record=record, context=context)
    else:
        _settle_root(record=record, context=context)


# --- children ------------------------------------------------------------------------


def _settle_child(*, record: RequestState, context: GatherContext) -> None:
    is_complete = record.is_settled() or context.now_us >= record.due_us
    if record.is_partly_settled:
        if is_complete and (record.is_resumed or context.now_us >= record.due_us):
            settle_record(record=record, outcome=SubtreeReply(message=child_reply(record=record)))
        return
    if is_complete:
        settle_record(record=record, outcome=SubtreeReply(message=child_reply(record=record)))
        return
    if context.now_us < record.omit_at_us:
        return
    reply = child_reply(record=record)
    reply.is_open = True
    record.is_partly_settled = True
    record.replied_shards = frozenset(record.parts)
    record.runs = {}
    context.emit(PartialReplyReady(record=record, outcome=SubtreeReply(message=reply)))


# --- the root --------------------------------------------------------------------------


def _settle_root(*, record: RequestState, context: GatherContext) -> None:
    quorum = record.route.quorum
    shards_in = len(record.parts)
    waiting = record.waiting_shards()
    if shards_in + len(waiting) < quorum:
        _fail(record=record, context=context)
        return
    is_omission_due = context.now_us >= record.omit_at_us and shards_in >= quorum
    if waiting and not is_omission_due and context.now_us < record.due_us:
        return
    if shards_in < quorum:
        _fail(record=record, context=context)
        return
    _succeed(record=record, context=context)


def _fail(*, record: RequestState, context: GatherContext) -> None:
    _journal_search_ended(record=record, context=context, outcome="quorum_not_met")
    settle_record(
        record=record,
        outcome=QuorumNotMetError(
            collection=record.collection,
            configuration=record.version,
            shards_in=len(record.parts),
            quorum=record.route.quorum,
            missing=_missing_json(
                record=record,
                still_waiting="window" if context.now_us >= record.due_us else "given_up",
            ),
        ),
    )


def _missing_json(*, record: RequestState, still_waiting: str = "window") -> list[dict]:
    return [
        {"shard": shard, "cause": cause, "detail": detail}
        for shard, cause, detail in missing_shards(record=record, still_waiting=still_waiting)
    ]


def _journal_search_ended(*, record: RequestState, context: GatherContext, outcome: str) -> None:
    context.journal.add(
        SearchEnded(
            collection=record.collection,
            version=record.version,
            outcome=outcome,
            shards_in=len(record.parts),
            shards=len(record.route.fan_out),
            took_us=context.now_us - record.arrived_us,
        )
    )


def _may_still_serve(*, record: RequestState, context: GatherContext) -> bool:
    """True if the lease is still held: the process may have been suspended past its end.

    Without it, the request is settled with `NotReadyError`.
    """
    refusal = context.lease_holder.refusal(now_us=context.now_us)
    if refusal:
        settle_record(record=record, outcome=NotReadyError(why=refusal))
        return False
    return True


def _succeed(*, record: RequestState, context: GatherContext) -> None:
    if not _may_still_serve(record=record, context=context):
        return
    records = record.order.merge(runs=list(record.runs.values()), limit=record.limit)
    coverage = len(record.parts) / len(record.route.fan_out)
    _journal_search_ended(
        record=record, context=context, outcome="complete" if coverage == 1 else "partial"
    )
    seals: tuple[str, ...] = ()
    if record.request is not None:
        body = record.order.pack(records=records)
        seals = tuple(record.parts[s].stamp for s in record.route.fan_out if s in record.parts)
    else:
        body = result_body(record=record, coverage=coverage, records=[data for _, data in records])
    settle_record(
        record=record,
        outcome=GatherResult(
            version=record.version,
            coverage=coverage,
            shards=len(record.parts),
            body=body,
            seals=seals,
            missing=len(record.route.fan_out) - len(record.parts),
        ),
    )


def result_body(*, record: RequestState, coverage: float, records: list[bytes]) -> bytes:
    """Return the result as JSON, with the records byte for byte as received."""
    head = {
        "search": record.search,
        "collection": record.collection,
        "configuration": record.version,
        "coverage": coverage,
        "warning": coverage_warning(coverage=coverage),
        "parts": [
            {
                "shard": part.shard,
                "backend": part.backend,
                "cut": part.cut,
                "stamp": part.stamp,
                "count": part.count,
            }
            for part in (record.parts[s] for s in record.route.fan_out if s in record.parts)
        ],
        "missing": _missing_json(record=record) if record.subtree else [],
    }
    text = json.dumps(head, separators=(",", ":"), ensure_ascii=False).encode()
    return text[:-1] + b',"records":[' + b",".join(records) + b"]}"


def coverage_warning(*, coverage: float) -> str | None:
    """Return Scuba's warning for a coverage of 99.5 % or less.

    >>> coverage_warning(coverage=1.0) is None, coverage_warning(coverage=0.995)
    (True, '99.5 % of the shards are in')
    """
    if coverage > WARNING_COVERAGE:
        return None
    return f"{coverage * 100:.1f} % of the shards are in"


# --- single backends ----------------------------------------------------------------------


def _settle_single(*, record: RequestState, context: GatherContext) -> None:
    shard_state = record.shard_states[record.shard]
    if shard_state.state is WAITING:
        if context.now_us >= record.due_us:
            settle_record(record=record, outcome=DeadlineExceededError(where="at the backend"))
        return
    if (
        shard_state.state is RECEIVED
        or shard_state.state is not WAITING
        and record.backend_reply is not None
    ):
        _succeed_single(record=record, context=context)
        return
    if not shard_state.attempts:
        settle_record(
            record=record, outcome=NoBackendError(shard=shard_state.shard, why=shard_state.detail)
        )
        return
    backend = shard_state.attempts[-1].backend
    if shard_state.cause == "bad_reply":
        part, _, why = shard_state.detail.partition(": ")
        settle_record(record=record, outcome=InvalidReplyError(backend=backend, part=part, why=why))
        return
    if shard_state.cause == "window":
        settle_record(record=record, outcome=DeadlineExceededError(where="at the backend"))
        return
    settle_record(
        record=record,
        outcome=BackendConnectionError(
            backend=backend, cause=shard_state.detail or shard_state.cause
        ),
    )


def _succeed_single(*, record: RequestState, context: GatherContext) -> None:
    if not _may_still_serve(record=record, context=context):
        return
    if record.backend_reply is not None:
        settle_record(
            record=record,
            outcome=GatherResult(
                version=record.version,
                coverage=1.0,
                shards=1,
                body=b"",
                backend_reply=record.backend_reply,
            ),
        )
        return
    records = [data for run in record.runs.values() for _, data in run]
    if not records:
        settle_record(
            record=record,
            outcome=RecordNotFoundError(
                collection=record.collection, shard=record.shard, record=record.record_name
            ),
        )
        return
    settle_record(
        record=record,
        outcome=GatherResult(
            version=record.version,
            coverage=1.0,
            shards=1,
            body=result_body(record=record, coverage=1.0, records=records),
        ),
    )
