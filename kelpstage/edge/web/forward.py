"""Routes client requests by host and path: to one backend, or gathered from shards."""

from __future__ import annotations

from kelpstage.common.configuration.types import ForwardRoute
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import MissingRequestIdError, UnknownRouteError
from kelpstage.common.errors.serving import NotReadyError, OverloadedError
from kelpstage.common.http.error_status import status_of
from kelpstage.common.http.replies import json_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.request import read_request
from kelpstage.edge.gather.messages import GatherResult
from kelpstage.edge.gather.request_state import ROOT, SINGLE, RequestState
from kelpstage.edge.retries.load_shedding import is_admitted
from kelpstage.edge.web.interfaces import GatheringEdge, ReplyingEdge

BODY_TYPE = "application/octet-stream"
BAD_GATEWAY, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
RETRY_AFTER_S = "0.01"  # another edge may serve the request: retry at once
OVERLOAD_RETRY_AFTER_S = "0.08"  # this edge is overloaded: retry later


def deadline_us(*, headers: dict[str, str], names: HeaderNames, route: ForwardRoute) -> int:
    """The time limit of a request: the client's deadline, at most the route's.

    >>> route = ForwardRoute(name="r", host="h", prefix="/", is_repeatable=True, attempts=1,
    ...     deadline_us=500_000, aim_us=1, rank=0)
    >>> deadline_us(headers={"kelp-deadline-ms": "200"}, names=HeaderNames(), route=route)
    200000
    >>> deadline_us(headers={"kelp-deadline-ms": "soon"}, names=HeaderNames(), route=route)
    500000
    """
    given = headers.get(names.deadline_ms.lower(), "").strip()
    try:
        wanted_us = int(float(given) * 1000) if len(given) <= 18 else 0
    except (ValueError, OverflowError):
        wanted_us = 0
    return min(wanted_us, route.deadline_us) if wanted_us > 0 else route.deadline_us


def reserve_us(*, left_us: int) -> int:
    """The part of the deadline reserved for sending the reply.

    >>> reserve_us(left_us=1_000_000), reserve_us(left_us=100_000)
    (15000, 5000)
    """
    return min(15_000, left_us // 20)


async def serve_forwarded(*, edge: GatheringEdge, call: HttpCall) -> HttpReply:
    """Answer a client's request under the current routes."""
    now_us = edge.ports.clock.now_us()
    arrived_us = now_us - call.queued_us
    refusal = edge.lease_holder.refusal(now_us=now_us)
    if refusal:
        return failure_reply(failure=NotReadyError(why=refusal), has_run=False, edge=edge)
    path = call.url.partition("?")[0]
    host = call.headers.get("host", "")
    route = edge.lease_holder.configuration.forward_for(host=host, path=path)
    failure: KelpstageError
    if route is None:
        failure = UnknownRouteError(host=host[:200], path=path[:200])
        return failure_reply(failure=failure, has_run=False, edge=edge)
    request = read_request(call=call, names=edge.header_names)
    if not request.request_id:
        failure = MissingRequestIdError(header=edge.header_names.request_id)
        return failure_reply(failure=failure, has_run=False, edge=edge)
    in_flight = len(edge.gather.table)
    if not is_admitted(in_flight=in_flight, rank=route.rank):
        failure = OverloadedError(in_flight=in_flight)
        return failure_reply(failure=failure, has_run=False, edge=edge)
    left_us = deadline_us(headers=call.headers, names=edge.header_names, route=route)
    key = edge.gather.next_key()
    record = RequestState(
        key=key,
        search=f"{edge.name}-{edge.incarnation:x}-{key}",
        kind=ROOT if route.fan_out else SINGLE,
        collection=route.name,
        arrived_us=arrived_us,
        due_us=arrived_us + left_us - reserve_us(left_us=left_us),
        request=request,
    )
    outcome = await edge.gather.settle(record=record)
    edge.ports.failpoint("edge.before_verdict")
    if isinstance(outcome, GatherResult):
        return success_reply(result=outcome, edge=edge)
    return failure_reply(failure=outcome, has_run=record.may_have_run(), edge=edge)


def success_reply(*, result: GatherResult, edge: ReplyingEdge) -> HttpReply:
    """A backend's reply unchanged, or the records of the parts whose seals a header lists."""
    close_header = {"Connection": "close"} if edge.is_leaving else {}
    if result.backend_reply is not None:
        reply = result.backend_reply
        return HttpReply(
            status=reply.status, headers={**dict(reply.headers), **close_header}, body=reply.body
        )
    headers = {
        "Content-Type": BODY_TYPE,
        edge.header_names.part_seals: ", ".join(result.seals),
        **close_header,
    }
    if result.missing:
        headers[edge.header_names.missing_parts] = str(result.missing)
    return HttpReply(status=200, headers=headers, body=result.body)


def failure_reply(*, failure: KelpstageError, has_run: bool, edge: ReplyingEdge) -> HttpReply:
    """The final reply to a request that failed.

    503 promises that the request has not run and never will, and gives a Retry-After; a
    request that may have run gets 502 or 504. The reply never has a backend's seal.
    """
    status = status_of(error=failure).code
    headers: dict[str, str] = {"Connection": "close"} if edge.is_leaving else {}
    if status == SERVICE_UNAVAILABLE and has_run:
        status = BAD_GATEWAY
    if status in (BAD_GATEWAY, GATEWAY_TIMEOUT) and not has_run:
        status = SERVICE_UNAVAILABLE
    if status == SERVICE_UNAVAILABLE:
        headers["Retry-After"] = (
            OVERLOAD_RETRY_AFTER_S if isinstance(failure, OverloadedError) else RETRY_AFTER_S
        )
    edge.counts[f"refused_{failure.kind}"] += 1
    return json_reply(status=status, body={"defect": failure.as_json()}, headers=headers)
