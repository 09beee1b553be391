"""What a child hands up: the parts that are in, and the causes of those that are not."""

from __future__ import annotations

from kelpstage.common.transport.messages import Gathered, MissingMsg, PartMsg
from kelpstage.edge.gather.record_order import lowest_limit
from kelpstage.edge.gather.request_state import WAITING, RequestState


def child_reply(*, record: RequestState) -> Gathered:
    """What a child has and has not handed up yet."""
    missing = missing_of(record=record)
    waiting = record.waiting_shards()
    # Each run was truncated where it came in; what is handed up is so again, and across regions
    # at the limit itself: nothing beyond it can be in the answer, and bytes are dear there.
    limit = record.limit if record.is_far else lowest_limit(limit=record.limit)
    runs = record.order.merge(runs=list(record.runs.values()), limit=limit)
    return Gathered(
        version=record.version,
        parts=[
            _part_for_above(record=record, shard=shard)
            for shard in sorted(record.parts)
            if shard not in record.handed
        ],
        missing=[
            MissingMsg(
                shard=shard,
                cause=cause,
                detail=detail,
                attempts_left=0 if shard in waiting else record.surely_left(shard=shard),
            )
            for shard, cause, detail in missing
        ],
        records=record.order.pack(records=runs),
    )


def _part_for_above(*, record: RequestState, shard: str) -> PartMsg:
    part = record.parts[shard]
    part.attempts_left = record.surely_left(shard=shard)
    return part


def missing_of(
    *, record: RequestState, still_waiting: str = "window"
) -> list[tuple[str, str, str]]:
    """Every shard of the subtree that is not in, with its cause."""
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
