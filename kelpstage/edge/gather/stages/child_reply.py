"""Builds a child's reply: the received parts, and the causes of the missing ones."""

from __future__ import annotations

from kelpstage.common.transport.messages import Gathered, MissingMsg, PartMsg
from kelpstage.edge.gather.record_order import leaf_limit
from kelpstage.edge.gather.request_state import WAITING, RequestState


def child_reply(*, record: RequestState) -> Gathered:
    """Return a reply with all results that were not sent to the parent before."""
    missing = missing_shards(record=record)
    waiting = record.waiting_shards()
    # Each run was truncated on receipt; the merged run is truncated again. Across regions, where
    # bytes are expensive, it is truncated to the search's limit: records beyond it cannot be in
    # the answer.
    limit = record.limit if record.is_far else leaf_limit(limit=record.limit)
    runs = record.order.merge(runs=list(record.runs.values()), limit=limit)
    return Gathered(
        version=record.version,
        parts=[
            _part_for_parent(record=record, shard=shard)
            for shard in sorted(record.parts)
            if shard not in record.replied_shards
        ],
        missing=[
            MissingMsg(
                shard=shard,
                cause=cause,
                detail=detail,
                attempts_left=0 if shard in waiting else record.unused_attempts(shard=shard),
            )
            for shard, cause, detail in missing
        ],
        records=record.order.pack(records=runs),
    )


def _part_for_parent(*, record: RequestState, shard: str) -> PartMsg:
    part = record.parts[shard]
    part.attempts_left = record.unused_attempts(shard=shard)
    return part


def missing_shards(
    *, record: RequestState, still_waiting: str = "window"
) -> list[tuple[str, str, str]]:
    """Return every shard of the subtree without a result as (shard, cause, detail)."""
    out = []
    for shard in sorted(record.subtree.all_shards()):
        if shard in record.parts:
            continue
        shard_state = record.shard_states.get(shard)
        if shard_state is not None and shard_state.state is not WAITING:
            out.append((shard, shard_state.cause or still_waiting, shard_state.detail))
        elif shard_state is not None and shard_state.cause:
            out.append((shard, shard_state.cause, shard_state.detail))
        else:
            cause, detail = record.missing.get(shard, (still_waiting, ""))
            out.append((shard, cause, detail))
    return out
