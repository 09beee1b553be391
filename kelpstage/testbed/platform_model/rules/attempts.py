"""BUDGET: arrivals beyond the first of each request, and backends beyond a route's tries."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.history import Arrival, Bounds, History, Request
from kelpstage.testbed.platform_model.rules.writes import Orders

MOST_BEYOND_TRIES = 3


def budget(history: History) -> list[Violation]:
    """Extra arrivals beyond the budget, or requests that ran on more backends in one try
    than their route allows."""
    return _extra_arrivals(history=history) + _beyond_tries(history=history)


def _beyond_tries(*, history: History) -> list[Violation]:
    """More than three requests run, in one try, on more backends than their route's tries;
    those that crashed meanwhile don't count. A gathered request has its tries in each
    service."""
    orders, arrivals = Orders(history=history), history.arrivals_of()
    found = [
        request
        for request in history.requests
        if len(arrivals.get(request.attempt, ())) > 1
        and _is_beyond(
            history=history, orders=orders, request=request, arrivals=arrivals[request.attempt]
        )
    ]
    if len(found) <= MOST_BEYOND_TRIES:
        return []
    why = f"{len(found)} requests ran on more backends than their tries, {found[-1].attempt} lately"
    return [Violation(rule="BUDGET", why=why, at_us=found[-1].done_us)]


def _is_beyond(
    *, history: History, orders: Orders, request: Request, arrivals: list[Arrival]
) -> bool:
    maybe = orders.may_be_in_force(floor=0, until_us=request.done_us)
    found = (order.route_for(host=request.host, target=request.target) for order in maybe)
    routes = [route for route in found if route is not None]
    if not routes:
        return False
    most = max(route.tries for route in routes)
    is_gathered = any(route.fan_out for route in routes)
    ran: dict[str, set[str]] = defaultdict(set)
    for arrival in arrivals:
        crashed_us = history.crashes.get(arrival.instance_id, 0)
        is_crashed = arrival.at_us <= crashed_us <= request.done_us
        if arrival.ran and not is_crashed:
            ran[arrival.service if is_gathered else ""].add(arrival.instance_id)
    return any(len(instances) > most for instances in ran.values())


def _extra_arrivals(*, history: History) -> list[Violation]:
    """In some window a service gets more extra arrivals than the ratio times the requests
    for it, counted in that window, the one before or the one half a window before, plus
    the slack."""
    bounds = history.bounds
    wanted: dict[str, list[int]] = defaultdict(list)
    orders = Orders(history=history)
    routes: dict[tuple[str, str, tuple[str, ...]], frozenset[str]] = {}
    for request in sorted(history.requests, key=lambda row: row.sent_us):
        floor = orders.floor(at_us=request.sent_us - history.bounds.apply_us)
        maybe = orders.may_be_in_force(floor=floor, until_us=request.sent_us)
        target = request.target.partition("?")[0]
        key = (request.host, target, tuple(order.key for order in maybe))
        if key not in routes:
            found = (order.route_for(host=request.host, target=target) for order in maybe)
            routes[key] = frozenset().union(
                *(route.services | set(route.fan_out) for route in found if route is not None)
            )
        for service in routes[key]:
            wanted[service].append(request.sent_us)
    extras: dict[str, list[int]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for arrival in sorted(history.arrivals, key=lambda row: row.at_us):
        if arrival.is_health:
            continue
        sent = (arrival.service, arrival.attempt)
        if sent in seen:
            extras[arrival.service].append(arrival.at_us)
        seen.add(sent)
    out = []
    for service, times in sorted(extras.items()):
        worst = _worst(times=times, asked=wanted[service], bounds=bounds)
        if worst is not None:
            out.append(Violation(rule="BUDGET", why=f"{service}: {worst[1]}", at_us=worst[0]))
    return out


def _worst(*, times: list[int], asked: list[int], bounds: Bounds) -> tuple[int, str] | None:
    span_us = bounds.retry_window_us
    first, worst, over = 0, None, 0.0
    for place, at_us in enumerate(times):
        while times[first] <= at_us - span_us:
            first += 1
        count = place - first + 1
        most = max(
            bisect_right(asked, end_us) - bisect_left(asked, end_us - span_us)
            for end_us in (at_us, at_us - span_us // 2, at_us - span_us)
        )
        allowed = bounds.retry_ratio * most + bounds.retry_slack
        if count - allowed > over:
            over = count - allowed
            worst = (at_us, f"{count} extra to {most} requests, {allowed:.1f} allowed")
    return worst
