"""UNASKED, TWICE, REFUSED, DENIED, ROUTE: which requests run, how often and where."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import NOT_RUN_STATUSES, History, Request
from kelpstage.testbed.platform_model.rules.writes import Orders, is_own_answer

DENIED_SLACK, DENIED_SHARE = 5, 500
MAX_DENIED_OUT_OF_TOUCH = 10
DENIAL_STATUSES = frozenset((401, 403, 404))


def unasked(history: History) -> list[Violation]:
    """A backend runs a request that no client sent, or with another method, target or body."""
    requests = history.requests_by_attempt()
    out = []
    for arrival in history.arrivals:
        if not arrival.ran or arrival.is_health:
            continue
        request = requests.get(arrival.attempt)
        if request is None:
            why = f"{arrival.instance_id} ran {arrival.attempt!r}, which no client sent"
        elif (arrival.method, arrival.target, arrival.body) != (
            request.method,
            request.target,
            request.body,
        ):
            why = (
                f"{arrival.instance_id} ran {arrival.attempt} as {arrival.method} {arrival.target}"
            )
        else:
            continue
        out.append(Violation(rule="UNASKED", why=why, at_us=arrival.at_us))
    return out


def twice(history: History) -> list[Violation]:
    """A request that is not repeatable runs more than once."""
    arrivals = history.arrivals_of()
    out = []
    for request in history.requests:
        ran = [a for a in arrivals.get(request.attempt, ()) if a.ran]
        if not request.is_repeatable and len(ran) > 1:
            where = ", ".join(a.instance_id for a in ran)
            out.append(
                Violation(rule="TWICE", why=f"{request.attempt} ran at {where}", at_us=ran[1].at_us)
            )
    return out


def refused(history: History) -> list[Violation]:
    """A request runs although its status promised that it has not run and never will."""
    arrivals = history.arrivals_of()
    out = []
    for request in history.requests:
        if (
            request.is_repeatable
            or request.end != "answered"
            or request.status not in NOT_RUN_STATUSES
        ):
            continue
        ran = [a for a in arrivals.get(request.attempt, ()) if a.ran]
        if ran:
            out.append(
                Violation(
                    rule="REFUSED",
                    why=f"{request.attempt} got {request.status} and ran at {ran[0].instance_id}",
                    at_us=request.done_us,
                )
            )
    return out


def denied(history: History) -> list[Violation]:
    """More than 5 plus one in 500 of all requests end with a 3xx or 4xx that no backend sent."""
    orders, touch, arrivals = (
        Orders(history=history),
        CoreContact(history=history),
        history.arrivals_of(),
    )
    found = [
        request
        for request in history.requests
        if _is_denied(
            request=request,
            orders=orders,
            touch=touch,
            history=history,
            is_own=is_own_answer(request=request, arrivals=arrivals.get(request.attempt, [])),
        )
    ]
    if len(found) <= DENIED_SLACK + len(history.requests) / DENIED_SHARE:
        return []
    last = found[-1]
    return [
        Violation(
            rule="DENIED",
            why=f"{len(found)} of {len(history.requests)}, the last one {last.attempt} "
            f"with {last.status} at {last.node}",
            at_us=last.done_us,
        )
    ]


def denied_out_of_touch(history: History) -> list[Violation]:
    """More than ten requests that every configuration of the scenario allows get 401, 403 or
    404 from machines out of touch. A machine without a configuration has to answer 503."""
    arrivals, touch = history.arrivals_of(), CoreContact(history=history)
    possible = [o for o in history.orders if o.is_valid and not o.refused_us]
    found = [
        request
        for request in history.requests
        if request.end == "answered"
        and request.status in DENIAL_STATUSES
        and request.is_proper
        and is_own_answer(request=request, arrivals=arrivals.get(request.attempt, []))
        and all(o.route_for(host=request.host, target=request.target) for o in possible)
        and not touch.is_in_touch(
            node=request.node, at_us=request.done_us, since_us=request.sent_us
        )
    ]
    if len(found) <= MAX_DENIED_OUT_OF_TOUCH:
        return []
    why = f"{len(found)} out of touch, the last one {found[-1].attempt} at {found[-1].node}"
    return [Violation(rule="DENIED far", why=why, at_us=found[-1].done_us)]


def _is_denied(
    *, request: Request, orders: Orders, touch: CoreContact, history: History, is_own: bool
) -> bool:
    is_refusal = request.end == "answered" and 300 <= request.status < 500
    if not is_refusal or request.status in NOT_RUN_STATUSES or not request.is_proper or not is_own:
        return False
    floor = orders.newest_acknowledged(at_us=request.sent_us - history.bounds.apply_us)
    candidates = orders.may_be_in_force(floor=floor, until_us=request.done_us)
    if not floor or not all(
        order.route_for(host=request.host, target=request.target) for order in candidates
    ):
        return False
    return touch.is_in_touch(node=request.node, at_us=request.done_us, since_us=request.sent_us)


def route(history: History) -> list[Violation]:
    """A service runs a request that no configuration sent so far routes to it."""
    requests = history.requests_by_attempt()
    out = []
    for arrival in history.arrivals:
        request = requests.get(arrival.attempt)
        if not arrival.ran or arrival.is_health or request is None:
            continue
        if not any(
            order.allows(host=request.host, target=request.target, service=arrival.service)
            for order in history.orders
            if order.sent_us <= arrival.at_us
        ):
            out.append(
                Violation(
                    rule="ROUTE",
                    why=f"{arrival.service} ({arrival.instance_id}) ran {arrival.attempt} "
                    f"{request.host}{request.target}",
                    at_us=arrival.at_us,
                )
            )
    return out
