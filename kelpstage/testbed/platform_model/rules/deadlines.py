"""CONFIG held and BUDGET time: a route's deadline is kept, and a client's is propagated."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import History, Request
from kelpstage.testbed.platform_model.rules.writes import Orders

GRACE_US = 500_000
MIN_OVERDUE = 8
QUARTER = 4
MAX_WRONG_DEADLINES = 20
FIFTH = 5


def held(history: History) -> list[Violation]:
    """Of the requests at machines in touch that last longer than their route's deadline,
    at least eight, and over a quarter, have no final answer half a second after it."""
    touch, orders = CoreContact(history=history), Orders(history=history)
    long_running: list[Request] = []
    overdue: list[Request] = []
    for request in history.requests:
        candidates = orders.may_be_in_force(floor=0, until_us=request.done_us)
        found = [order.route_for(host=request.host, target=request.target) for order in candidates]
        due_us = max((route.deadline_us for route in found if route is not None), default=0)
        took_us = request.done_us - request.sent_us
        if not due_us or took_us <= due_us:
            continue
        if not touch.is_in_touch(
            node=request.node, at_us=request.sent_us + due_us, since_us=request.sent_us
        ):
            continue
        long_running.append(request)
        if took_us > due_us + GRACE_US:
            overdue.append(request)
    if len(overdue) < MIN_OVERDUE or QUARTER * len(overdue) <= len(long_running):
        return []
    why = f"{len(overdue)} of {len(long_running)} lasted half a second past their deadline"
    return [Violation(rule="CONFIG held", why=why, at_us=overdue[-1].done_us)]


def time_handed_on(history: History) -> list[Violation]:
    """More than 20, and more than a fifth, of the requests that machines in touch forward carry
    no deadline, or one over half a second later than the client's."""
    touch, requests = CoreContact(history=history), history.requests_by_attempt()
    forwarded, wrong = 0, []
    for arrival in history.arrivals:
        request = requests.get(arrival.attempt)
        if request is None or arrival.is_health:
            continue
        if not touch.is_in_touch(node=arrival.node, at_us=arrival.at_us):
            continue
        forwarded += 1
        end_us = request.sent_us + request.deadline_us + GRACE_US
        if not arrival.given_us or arrival.at_us + arrival.given_us > end_us:
            wrong.append(arrival)
    if len(wrong) <= MAX_WRONG_DEADLINES or FIFTH * len(wrong) <= forwarded:
        return []
    why = f"{len(wrong)} of {forwarded} carry a deadline that is too late, or none"
    return [Violation(rule="BUDGET time", why=why, at_us=wrong[-1].at_us)]
