"""MIXED: what a client gets is its own answer, whole, and what the headers say it is."""

from __future__ import annotations

import math

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.history import History, Order, Request, RouteSpec, Stamped

RECORD = 16


def mixed(history: History) -> list[Violation]:
    """A success without the seal or the whole body of its backend, an answer of another
    request, a failure passed off as a success or under another status than its backend
    gave, bytes that are no answer, a gathered answer whose parts, omissions or body are
    not what they are said to be."""
    out = []
    for request in history.requests:
        why = _wrong(history=history, request=request)
        if why:
            out.append(
                Violation(rule="MIXED", why=f"{request.attempt}: {why}", at_us=request.done_us)
            )
    return out


def _wrong(*, history: History, request: Request) -> str:
    if request.is_stray:
        return "a success where no request was waiting"
    if request.is_garbled and not any(
        a.broke_off for a in history.arrivals if a.attempt == request.attempt
    ):
        return "bytes that are no answer"
    if request.end != "answered":
        return ""
    if request.reply_attempt and request.reply_attempt != request.attempt:
        return f"the answer to {request.reply_attempt}"
    stamp = history.stamped.get(request.seal)
    if stamp is not None and stamp.attempt != request.attempt:
        return f"an answer sealed for {stamp.attempt}"
    if not request.is_success:
        if stamp is not None and request.status != stamp.status:
            return f"a failure sealed by a backend, {request.status} for its {stamp.status}"
        return ""
    if request.part_seals or _is_gathered(history=history, request=request):
        return _wrong_gathered(history=history, request=request)
    if not request.seal:
        return "a success without a seal"
    if stamp is None:
        return "a seal that no backend gave"
    return _wrong_body(request=request, stamp=stamp)


def _wrong_body(*, request: Request, stamp: Stamped) -> str:
    if not 200 <= stamp.status < 300:
        return f"a success where the backend said {stamp.status}"
    if request.status != stamp.status:
        return f"status {request.status} for the backend's {stamp.status}"
    if request.reply_body != stamp.body:
        return f"{len(request.reply_body)} bytes are not the backend's {len(stamp.body)}"
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


def _wrong_gathered(*, history: History, request: Request) -> str:
    if not request.part_seals:
        return "a gathered success without parts"
    parts: list[Stamped] = []
    for seal in request.part_seals:
        stamp = history.stamped.get(seal)
        if stamp is None:
            return f"part {seal!r} is no seal"
        if stamp.attempt != request.attempt:
            return f"part {seal} answers {stamp.attempt}"
        if not 200 <= stamp.status < 300:
            return f"part {seal} is a failure, {stamp.status}"
        parts.append(stamp)
    services = {part.service for part in parts}
    if len(services) != len(parts) or len(set(request.part_seals)) != len(parts):
        return "two parts of one service"
    faults = [
        _unfit(route=route, services=services, parts=parts, request=request)
        for _, route in _routes_of(history=history, request=request)
        if route.fan_out
    ]
    if not faults:
        return "no configuration gathers this"
    if "" in faults:
        return ""
    return faults[-1]


def _unfit(*, route: RouteSpec, services: set[str], parts: list[Stamped], request: Request) -> str:
    named = set(route.fan_out)
    if not services <= named or len(parts) + request.missing != len(named):
        return f"{len(parts)} parts and {request.missing} missing are no set of a configuration"
    if len(parts) < math.ceil(route.quorum * len(named) - 1e-9):
        return f"{len(parts)} of {len(named)} are below the quorum {route.quorum}"
    best = best_records(bodies=[part.body for part in parts], limit=route.limit)
    return "" if request.reply_body == best else "not the greatest records of its parts, falling"


def best_records(*, bodies: list[bytes], limit: int) -> bytes:
    """The greatest records of 16 bytes, falling; a remainder is no record.

    >>> best_records(bodies=[b"a" * 16 + b"c" * 16, b"b" * 20], limit=2) == b"c" * 16 + b"b" * 16
    True
    """
    records = [
        body[at : at + RECORD]
        for body in bodies
        for at in range(0, len(body) - len(body) % RECORD, RECORD)
    ]
    return b"".join(sorted(records, reverse=True)[:limit])
