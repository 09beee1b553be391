"""BUDGET: extra arrivals of a request, and more backends than its route's tries allow."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.history import Arrival, Bounds, History, Request
from kelpstage.testbed.platform_model.rules.writes import Orders

MAX_REQUESTS_OVER_TRIES = 3


def budget(history: History) -> list[Violation]:
    """More extra arrivals than the retry budget allows, or requests that ran, in one client
    attempt, on more backends than their route allows."""
    return _extra_arrivals(history=history) + _requests_over_tries(history=history)


def _requests_over_tries(*, history: History) -> list[Violation]:
    """More than three requests run, in one client attempt, on more backends than their route's
    tries. Backends that crashed meanwhile are not counted. A gathered request has its tries
    separately in each service."""
    orders, arrivals = Orders(history=history), history.arrivals_of()
    found = [
        request
        for request in history.requests
        if len(arrivals.get(request.attempt, ())) > 1
        and _exceeds_tries(
            history=history, orders=orders, request=request, arrivals=arrivals[request.attempt]
        )
    ]
    if len(found) <= MAX_REQUESTS_OVER_TRIES:
        return []
    why = f"{len(found)} requests exceeded their tries, {found[-1].attempt} was the last"
    return [Violation(rule="BUDGET", why=why, at_us=found[-1].done_us)]


def _exceeds_tries(
    *, history: History, orders: Orders, request: Request, arrivals: list[Arrival]
) -> bool:
    candidates = orders.may_be_in_force(floor=0, until_us=request.done_us)
    found = (order.route_for(host=request.host, target=request.target) for order in candidates)
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
    """In some window, a service receives more extra arrivals than the retry ratio times its
    requests plus the slack. Requests are counted in that window, in the window before it and
    in the window that begins half a window earlier; the greatest count applies."""
    bounds = history.bounds
    request_times: dict[str, list[int]] = defaultdict(list)
    orders = Orders(history=history)
    routes: dict[tuple[str, str, tuple[str, ...]], frozenset[str]] = {}
    for request in sorted(history.requests, key=lambda row: row.sent_us):
        floor = orders.newest_acknowledged(at_us=request.sent_us - history.bounds.apply_us)
        candidates = orders.may_be_in_force(floor=floor, until_us=request.sent_us)
        target = request.target.partition("?")[0]
        key = (request.host, target, tuple(order.key for order in candidates))
        if key not in routes:
            found = (order.route_for(host=request.host, target=target) for order in candidates)
            routes[key] = frozenset().union(
                *(route.services | set(route.fan_out) for route in found if route is not None)
            )
        for service in routes[key]:
            request_times[service].append(request.sent_us)
    extra_times: dict[str, list[int]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for arrival in sorted(history.arrivals, key=lambda row: row.at_us):
        if arrival.is_health:
            continue
        service_attempt = (arrival.service, arrival.attempt)
        if service_attempt in seen:
            extra_times[arrival.service].append(arrival.at_us)
        seen.add(service_attempt)
    out = []
    for service, times in sorted(extra_times.items()):
        worst = _worst_window(times=times, request_times=request_times[service], bounds=bounds)
        if worst is not None:
            out.append(Violation(rule="BUDGET", why=f"{service}: {worst[1]}", at_us=worst[0]))
    return out


def _worst_window(
    *, times: list[int], request_times: list[int], bounds: Bounds
) -> tuple[int, str] | None:
    span_us = bounds.retry_window_us
    first, worst, over = 0, None, 0.0
    for index, at_us in enumerate(times):
        while times[first] <= at_us - span_us:
            first += 1
        count = index - first + 1
        most = max(
            bisect_right(request_times, end_us) - bisect_left(request_times, end_us - span_us)
            for end_us in (at_us, at_us - span_us // 2, at_us - span_us)
        )
        allowed = bounds.retry_ratio * most + bounds.retry_slack
        if count - allowed > over:
            over = count - allowed
            worst = (at_us, f"{count} extra arrivals for {most} requests, {allowed:.1f} allowed")
    return worst
