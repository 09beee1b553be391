"""The HTTP interface for callers: searches, single records, readiness, plan, status."""

from __future__ import annotations

import base64
import re
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import (
    BadRequestError,
    InvalidDeadlineError,
    InvalidLimitError,
    MethodNotAllowedError,
    MissingDeadlineError,
    UnknownCollectionError,
    UnknownResourceError,
    UnknownSearchError,
)
from kelpstage.common.errors.serving import NotReadyError, OverloadedError
from kelpstage.common.http.replies import JSON_TYPE, error_reply, json_reply
from kelpstage.common.metrics.web import METRICS_PATH, metrics_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.edge.gather.messages import GatherResult
from kelpstage.edge.gather.request_state import ROOT, SINGLE, RequestState
from kelpstage.edge.metrics import edge_families
from kelpstage.edge.web.explain import plan_view, search_view, status_view
from kelpstage.edge.web.interfaces import CallerEdge

TIME_LEFT_HEADER = "Kelp-Time-Left-Us"
MAX_TIME_LEFT_US = 120_000_000
MAX_LIMIT = 100_000
MAX_IN_FLIGHT = 512
NAME = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
SEARCH_PATH = re.compile(rf"/v1/collections/({NAME})/search")
RECORD_PATH = re.compile(
    rf"/v1/collections/({NAME})/shards/({NAME})/records/([A-Za-z0-9._~%-]{{1,256}})"
)
PLAN_PATH = re.compile(rf"/v1/plan/({NAME})")
SEARCHES_PATH = re.compile(r"/v1/searches")
ONE_SEARCH_PATH = re.compile(r"/v1/searches/([A-Za-z0-9._-]{1,160})")
SEARCH_ID_HEADER = "Kelp-Search"


def read_deadline(*, headers: dict[str, str]) -> int | KelpstageError:
    """Read the time that is left for the request, in whole microseconds.

    >>> read_deadline(headers={"kelp-time-left-us": "250000"})
    250000
    >>> read_deadline(headers={}).kind, read_deadline(headers={"kelp-time-left-us": "0"}).kind
    ('missing_time_left', 'bad_time_left')
    """
    given = headers.get(TIME_LEFT_HEADER.lower())
    if given is None:
        return MissingDeadlineError(header=TIME_LEFT_HEADER)
    if not given.isascii() or not given.isdigit() or len(given) > 18:
        return InvalidDeadlineError(
            header=TIME_LEFT_HEADER, given=given[:40], why="not a whole number of microseconds"
        )
    if not 0 < int(given) <= MAX_TIME_LEFT_US:
        return InvalidDeadlineError(
            header=TIME_LEFT_HEADER, given=given, why=f"not from 1 to {MAX_TIME_LEFT_US}"
        )
    return int(given)


def read_limit(*, query: str) -> int | None | KelpstageError:
    """Read the limit of a search from its query string; None means all records.

    >>> read_limit(query="limit=5"), read_limit(query="")
    (5, None)
    >>> read_limit(query="limit=0").kind, read_limit(query="limt=5").kind
    ('bad_limit', 'bad_request')
    """
    pairs = parse_qsl(query, keep_blank_values=True)
    unknown = [name for name, _ in pairs if name != "limit"]
    if unknown:
        return BadRequestError(part="query string", why=f"unknown parameter {unknown[0][:40]!r}")
    if not pairs:
        return None
    given = pairs[0][1]
    if len(pairs) > 1:
        return InvalidLimitError(given=given[:40], why="given more than once")
    if not given.isascii() or not given.isdigit() or len(given) > 9:
        return InvalidLimitError(given=given[:40], why="not a whole number")
    if not 0 < int(given) <= MAX_LIMIT:
        return InvalidLimitError(given=given, why=f"not from 1 to {MAX_LIMIT}")
    return int(given)


def reserve_us(*, time_left_us: int) -> int:
    """The share of the caller's time reserved for sending the reply (microseconds).

    >>> reserve_us(time_left_us=1_000_000), reserve_us(time_left_us=10_000)
    (50000, 1000)
    """
    return min(50_000, time_left_us // 10)


async def serve_callers(*, edge: CallerEdge, call: HttpCall) -> HttpReply:
    """Answer one caller's request."""
    url = urlsplit(call.url)
    fixed_path_handler = {"/ready": _ready, "/health": _health, "/v1/status": _status}.get(url.path)
    if fixed_path_handler is not None:
        if call.method != "GET":
            return error_reply(error=MethodNotAllowedError(method=call.method, allowed="GET"))
        return fixed_path_handler(edge)
    if url.path == METRICS_PATH and call.method == "GET":
        return await metrics_reply(clock=edge.ports.clock, collect=lambda: edge_families(edge=edge))
    for pattern, method, handler in (
        (SEARCH_PATH, "POST", _search),
        (RECORD_PATH, "GET", _record),
        (PLAN_PATH, "GET", _plan),
        (SEARCHES_PATH, "GET", _searches),
        (ONE_SEARCH_PATH, "GET", _one_search),
    ):
        match = pattern.fullmatch(url.path)
        if match is None:
            continue
        if call.method != method:
            return error_reply(
                error=MethodNotAllowedError(method=call.method, allowed=method),
                headers={"Allow": method},
            )
        return await handler(edge, call, url.query, *match.groups())
    return error_reply(error=UnknownResourceError(path=url.path[:200]))


async def _search(edge: CallerEdge, call: HttpCall, query: str, collection: str) -> HttpReply:
    limit = read_limit(query=query)
    if isinstance(limit, KelpstageError):
        return error_reply(error=limit)
    return await _gather(
        edge=edge,
        call=call,
        kind=ROOT,
        collection=collection,
        query=call.body,
        content_type=call.headers.get("content-type", ""),
        limit=limit,
    )


async def _record(
    edge: CallerEdge, call: HttpCall, query: str, collection: str, shard: str, record: str
) -> HttpReply:
    return await _gather(
        edge=edge,
        call=call,
        kind=SINGLE,
        collection=collection,
        shard=shard,
        record_name=record,
    )


async def _gather(*, edge: CallerEdge, call: HttpCall, **fields: Any) -> HttpReply:
    time_left_us = read_deadline(headers=call.headers)
    if isinstance(time_left_us, KelpstageError):
        return error_reply(error=time_left_us)
    in_flight = len(edge.gather.table)
    if in_flight >= MAX_IN_FLIGHT:
        return error_reply(error=OverloadedError(in_flight=in_flight))
    if edge.recording_writer is not None:
        edge.recording_writer.add(row=recording_row(call=call, time_left_us=time_left_us))
    now_us = edge.ports.clock.now_us()
    key = edge.gather.next_key()
    search = f"{edge.name}-{edge.incarnation:x}-{key}"
    record = RequestState(
        key=key,
        search=search,
        arrived_us=now_us,
        due_us=now_us + time_left_us - reserve_us(time_left_us=time_left_us),
        **fields,
    )
    outcome = await edge.gather.settle(record=record)
    edge.ports.failpoint("edge.before_verdict")
    # While this edge leaves, callers must close their persistent connections.
    headers = {SEARCH_ID_HEADER: search} | ({"Connection": "close"} if edge.is_leaving else {})
    if not isinstance(outcome, GatherResult):
        return error_reply(error=outcome, headers=headers, search=search)
    return HttpReply(
        status=200,
        headers={
            **headers,
            "Content-Type": JSON_TYPE,
            "Kelp-Configuration": str(outcome.version),
            "Kelp-Coverage": f"{outcome.coverage:.4f}",
        },
        body=outcome.body,
    )


def recording_row(*, call: HttpCall, time_left_us: int) -> dict[str, Any]:
    """The row of a call in a recording.

    >>> recording_row(call=HttpCall(method="GET", url="/p"), time_left_us=4)["path"]
    '/p'
    """
    return {
        "what": "call",
        "method": call.method,
        "path": call.url,
        "time_left_us": time_left_us,
        "content_type": call.headers.get("content-type", ""),
        "body": base64.b64encode(call.body).decode(),
    }


async def _plan(edge: CallerEdge, call: HttpCall, query: str, collection: str) -> HttpReply:
    view = plan_view(edge=edge, collection=collection)
    if view is None:
        return error_reply(error=UnknownCollectionError(collection=collection))
    return json_reply(body=view)


async def _searches(edge: CallerEdge, call: HttpCall, query: str) -> HttpReply:
    filters = read_filters(query=query)
    if isinstance(filters, KelpstageError):
        return error_reply(error=filters)
    return json_reply(body={"node": edge.name, "searches": edge.timelines.rows(**filters)})


def read_filters(*, query: str) -> dict[str, Any] | KelpstageError:
    """Read the filters of the list of searches from a query string.

    >>> read_filters(query="only=failed&limit=5")
    {'only': 'failed', 'limit': 5}
    >>> read_filters(query="only=odd").kind, read_filters(query="x=1").kind
    ('bad_request', 'bad_request')
    """
    out: dict[str, Any] = {}
    for name, given in parse_qsl(query, keep_blank_values=True):
        if (
            name == "only"
            and given in ("failed", "partial")
            or name == "collection"
            and re.fullmatch(NAME, given)
        ):
            out[name] = given
        elif name in ("limit", "slower_than_us") and re.fullmatch(r"[1-9][0-9]{0,8}", given):
            out[name] = int(given)
        else:
            return BadRequestError(part="query string", why=f"{name[:40]}={given[:40]!r}")
    return out


async def _one_search(edge: CallerEdge, call: HttpCall, query: str, search: str) -> HttpReply:
    view = await search_view(edge=edge, search=search)
    if view is None:
        return error_reply(error=UnknownSearchError(search=search))
    return json_reply(body=view)


def _ready(edge: CallerEdge) -> HttpReply:
    refusal = edge.not_ready_reason()
    if refusal:
        return error_reply(error=NotReadyError(why=refusal))
    return json_reply(body={"is_ready": True, "version": edge.lease_holder.configuration.version})


def _health(edge: CallerEdge) -> HttpReply:
    return json_reply(body={"is_up": True})


def _status(edge: CallerEdge) -> HttpReply:
    return json_reply(body=status_view(edge=edge))
