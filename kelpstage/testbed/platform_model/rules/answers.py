"""MIXED: a client receives the complete answer to its own request, as the headers state."""

from __future__ import annotations

import math

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.history import History, Order, Request, RouteSpec, Stamped

RECORD_BYTES = 16


def mixed(history: History) -> list[Violation]:
    """A success without its backend's seal or with an incomplete body, an answer to another
    request, a failure relayed as a success or with another status than its backend's, bytes
    that are not a valid answer, or a gathered answer whose parts, omissions or body do not
    match its headers."""
    out = []
    for request in history.requests:
        why = _find_mismatch(history=history, request=request)
        if why:
            out.append(
                Violation(rule="MIXED", why=f"{request.attempt}: {why}", at_us=request.done_us)
            )
    return out


def _find_mismatch(*, history: History, request: Request) -> str:
    if request.is_stray:
        return "a success on a connection without an outstanding request"
    if request.is_garbled and not any(
        a.broke_off for a in history.arrivals if a.attempt == request.attempt
    ):
        return "bytes that are not a valid answer"
    if request.end != "answered":
        return ""
    if request.reply_attempt and request.reply_attempt != request.attempt:
        return f"the answer to {request.reply_attempt}"
    stamp = history.stamped.get(request.seal)
    if stamp is not None and stamp.attempt != request.attempt:
        return f"an answer sealed for {stamp.attempt}"
    if not request.is_success:
        if stamp is not None and request.status != stamp.status:
            return f"a backend's failure relayed as {request.status} instead of {stamp.status}"
        return ""
    if request.part_seals or _is_gathered(history=history, request=request):
        return _gathered_mismatch(history=history, request=request)
    if not request.seal:
        return "a success without a seal"
    if stamp is None:
        return "a seal that no backend issued"
    return _body_mismatch(request=request, stamp=stamp)


def _body_mismatch(*, request: Request, stamp: Stamped) -> str:
    if not 200 <= stamp.status < 300:
        return f"a success although the backend answered {stamp.status}"
    if request.status != stamp.status:
        return f"status {request.status} instead of the backend's {stamp.status}"
    if request.reply_body != stamp.body:
        return f"{len(request.reply_body)} bytes that differ from the backend's {len(stamp.body)}"
    return ""


def _routes_of(*, history: History, request: Request) -> list[tuple[Order, RouteSpec]]:
    found = (
        (o, o.route_for(host=request.host, target=request.target))
        for o in history.orders
        if o.sent_us <= request.done_us
    )
    return [(order, route) for order, route in found if route is not None]


def _is_gathered(*, history: History, request: Request) -> bool:
    routes = [route for _, route in _routes_of(history=history, request=request)]
    return bool(routes) and all(route.fan_out for route in routes)


def _gathered_mismatch(*, history: History, request: Request) -> str:
    if not request.part_seals:
        return "a gathered success without parts"
    parts: list[Stamped] = []
    for seal in request.part_seals:
        stamp = history.stamped.get(seal)
        if stamp is None:
            return f"part {seal!r} is not a known seal"
        if stamp.attempt != request.attempt:
            return f"part {seal} answers {stamp.attempt}"
        if not 200 <= stamp.status < 300:
            return f"part {seal} is a failure, {stamp.status}"
        parts.append(stamp)
    services = {part.service for part in parts}
    if len(services) != len(parts) or len(set(request.part_seals)) != len(parts):
        return "two parts of one service"
    mismatches = [
        _route_mismatch(route=route, services=services, parts=parts, request=request)
        for _, route in _routes_of(history=history, request=request)
        if route.fan_out
    ]
    if not mismatches:
        return "no configuration has a gathering route for this request"
    if "" in mismatches:
        return ""
    return mismatches[-1]


def _route_mismatch(
    *, route: RouteSpec, services: set[str], parts: list[Stamped], request: Request
) -> str:
    named = set(route.fan_out)
    if not services <= named or len(parts) + request.missing != len(named):
        return f"{len(parts)} parts and {request.missing} missing match no configuration's fan-out"
    if len(parts) < math.ceil(route.quorum * len(named) - 1e-9):
        return f"{len(parts)} of {len(named)} are below the quorum {route.quorum}"
    best = best_records(bodies=[part.body for part in parts], limit=route.limit)
    return "" if request.reply_body == best else "not its parts' greatest records, descending"


def best_records(*, bodies: list[bytes], limit: int) -> bytes:
    """Return the `limit` greatest 16-byte records in descending order; a partial one is dropped.

    >>> best_records(bodies=[b"a" * 16 + b"c" * 16, b"b" * 20], limit=2) == b"c" * 16 + b"b" * 16
    True
    """
    records = [
        body[at : at + RECORD_BYTES]
        for body in bodies
        for at in range(0, len(body) - len(body) % RECORD_BYTES, RECORD_BYTES)
    ]
    return b"".join(sorted(records, reverse=True)[:limit])
