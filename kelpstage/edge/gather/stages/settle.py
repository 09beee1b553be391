"""Pass five: is the request at its end, and how?"""

from __future__ import annotations

import json

from kelpstage.common.errors.backends import BackendConnectionError, InvalidReplyError
from kelpstage.common.errors.requests import RecordNotFoundError
from kelpstage.common.errors.serving import (
    DeadlineExceededError,
    NoBackendError,
    NotReadyError,
    QuorumNotMetError,
)
from kelpstage.common.transport.messages import Gathered, MissingMsg, PartMsg
from kelpstage.edge.events import SearchEnded
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.messages import ChildReply, PartlySettled, Verdict
from kelpstage.edge.gather.record_order import lowest_cut
from kelpstage.edge.gather.request_state import CHILD, GATHERS, IN, SINGLE, WAITING, Gathering
from kelpstage.edge.gather.stages.admit import end

FLAG_AT = 0.995


def settle(*, record: Gathering, world: World) -> None:
    """Give the outcome as soon as it is certain, and never later than due."""
    if record.stage != GATHERS:
        return
    if record.kind == SINGLE:
        _settle_single(record=record, world=world)
    elif record.kind == CHILD:
        _settle_child(record=record, world=world)
    else:
        _settle_root(record=record, world=world)


# --- children ------------------------------------------------------------------------


def _settle_child(*, record: Gathering, world: World) -> None:
    is_whole = record.is_settled() or world.now_us >= record.due_us
    if record.is_partly_settled:
        if is_whole and (record.is_resumed or world.now_us >= record.due_us):
            end(record=record, outcome=ChildReply(message=_child_reply(record=record)))
        return
    if is_whole:
        end(record=record, outcome=ChildReply(message=_child_reply(record=record)))
        return
    if world.now_us < record.omit_us:
        return
    reply = _child_reply(record=record)
    reply.is_open = True
    record.is_partly_settled = True
    record.handed = frozenset(record.parts)
    record.runs = {}
    world.emit(PartlySettled(record=record, outcome=ChildReply(message=reply)))


def _child_reply(*, record: Gathering) -> Gathered:
    """What a child has and has not handed up yet."""
    missing = missing_of(record=record)
    waiting = record.waiting_shards()
    # Each run was cut where it came in; what is handed up is cut again, and across regions
    # at the limit itself: nothing beyond it can be in the answer, and bytes are dear there.
    cut = record.limit if record.is_far else lowest_cut(limit=record.limit)
    runs = record.order.merge(runs=list(record.runs.values()), limit=cut)
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


def _part_for_above(*, record: Gathering, shard: str) -> PartMsg:
    part = record.parts[shard]
    part.attempts_left = record.surely_left(shard=shard)
    return part


def missing_of(*, record: Gathering, still_waiting: str = "window") -> list[tuple[str, str, str]]:
    """Every shard of the branch that is not in, with its cause."""
    out = []
    for shard in sorted(record.subtree.all_shards()):
        if shard in record.parts:
            continue
        cell = record.cells.get(shard)
        if cell is not None and cell.state != WAITING:
            out.append((shard, cell.cause or still_waiting, cell.detail))
        elif cell is not None and cell.cause:
            out.append((shard, cell.cause, cell.detail))
        else:
            cause, detail = record.missing.get(shard, (still_waiting, ""))
            out.append((shard, cause, detail))
    return out


# --- the root --------------------------------------------------------------------------


def _settle_root(*, record: Gathering, world: World) -> None:
    quorum = record.route.quorum
    shards_in = len(record.parts)
    waiting = record.waiting_shards()
    if shards_in + len(waiting) < quorum:
        _fail(record=record, world=world)
        return
    is_past = world.now_us >= record.omit_us and shards_in >= quorum
    if waiting and not is_past and world.now_us < record.due_us:
        return
    if shards_in < quorum:
        _fail(record=record, world=world)
        return
    _succeed(record=record, world=world)


def _fail(*, record: Gathering, world: World) -> None:
    _note(record=record, world=world, outcome="quorum_not_met")
    end(
        record=record,
        outcome=QuorumNotMetError(
            collection=record.collection,
            configuration=record.version,
            shards_in=len(record.parts),
            quorum=record.route.quorum,
            missing=_missing_json(
                record=record,
                still_waiting="window" if world.now_us >= record.due_us else "given_up",
            ),
        ),
    )


def _missing_json(*, record: Gathering, still_waiting: str = "window") -> list[dict]:
    return [
        {"shard": shard, "cause": cause, "detail": detail}
        for shard, cause, detail in missing_of(record=record, still_waiting=still_waiting)
    ]


def _note(*, record: Gathering, world: World, outcome: str) -> None:
    world.journal.add(
        SearchEnded(
            collection=record.collection,
            version=record.version,
            outcome=outcome,
            shards_in=len(record.parts),
            shards=len(record.route.fan_out),
            took_us=world.now_us - record.arrived_us,
        )
    )


def _may_still_serve(*, record: Gathering, world: World) -> bool:
    """A process that slept past its lease must not speak as if it had it."""
    refusal = world.lease_holder.refusal(now_us=world.now_us)
    if refusal:
        end(record=record, outcome=NotReadyError(why=refusal))
        return False
    return True


def _succeed(*, record: Gathering, world: World) -> None:
    if not _may_still_serve(record=record, world=world):
        return
    records = record.order.merge(runs=list(record.runs.values()), limit=record.limit)
    coverage = len(record.parts) / len(record.route.fan_out)
    _note(record=record, world=world, outcome="complete" if coverage == 1 else "partial")
    seals: tuple[str, ...] = ()
    if record.request is not None:
        body = record.order.pack(records=records)
        seals = tuple(record.parts[s].stamp for s in record.route.fan_out if s in record.parts)
    else:
        body = verdict_body(record=record, coverage=coverage, records=[data for _, data in records])
    end(
        record=record,
        outcome=Verdict(
            version=record.version,
            coverage=coverage,
            shards=len(record.parts),
            body=body,
            seals=seals,
            missing=len(record.route.fan_out) - len(record.parts),
        ),
    )


def verdict_body(*, record: Gathering, coverage: float, records: list[bytes]) -> bytes:
    """The verdict's JSON; records stand in it byte for byte as they came."""
    head = {
        "search": record.search,
        "collection": record.collection,
        "configuration": record.version,
        "coverage": coverage,
        "warning": flag(coverage=coverage),
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


def flag(*, coverage: float) -> str | None:
    """Scuba's warning: at 99.5 % or less.

    >>> flag(coverage=1.0) is None, flag(coverage=0.995)
    (True, '99.5 % of the shards are in')
    """
    if coverage > FLAG_AT:
        return None
    return f"{coverage * 100:.1f} % of the shards are in"


# --- single records ------------------------------------------------------------------------


def _settle_single(*, record: Gathering, world: World) -> None:
    cell = record.cells[record.shard]
    if cell.state == WAITING:
        if world.now_us >= record.due_us:
            end(record=record, outcome=DeadlineExceededError(where="at the backend"))
        return
    if cell.state == IN or cell.state != WAITING and record.whole is not None:
        _give_single(record=record, world=world)
        return
    if not cell.rounds:
        end(record=record, outcome=NoBackendError(shard=cell.shard, why=cell.detail))
        return
    backend = cell.rounds[-1].backend
    if cell.cause == "bad_reply":
        part, _, why = cell.detail.partition(": ")
        end(record=record, outcome=InvalidReplyError(backend=backend, part=part, why=why))
        return
    if cell.cause == "window":
        end(record=record, outcome=DeadlineExceededError(where="at the backend"))
        return
    end(
        record=record,
        outcome=BackendConnectionError(backend=backend, cause=cell.detail or cell.cause),
    )


def _give_single(*, record: Gathering, world: World) -> None:
    if not _may_still_serve(record=record, world=world):
        return
    if record.whole is not None:
        end(
            record=record,
            outcome=Verdict(
                version=record.version, coverage=1.0, shards=1, body=b"", whole=record.whole
            ),
        )
        return
    records = [data for run in record.runs.values() for _, data in run]
    if not records:
        end(
            record=record,
            outcome=RecordNotFoundError(
                collection=record.collection, shard=record.shard, record=record.record_name
            ),
        )
        return
    end(
        record=record,
        outcome=Verdict(
            version=record.version,
            coverage=1.0,
            shards=1,
            body=verdict_body(record=record, coverage=1.0, records=records),
        ),
    )
