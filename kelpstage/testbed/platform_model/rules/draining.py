"""DRAIN and LOST: sends to draining backends, and requests dropped during planned work."""

from __future__ import annotations

from collections import Counter

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import Arrival, History, Readiness, Request
from kelpstage.testbed.platform_model.rules.writes import Orders

SECOND_US = 1_000_000
DROPPED_ENDS = frozenset(("cut", "closed", "reset"))
MAX_DROP_RATIO = 3
MAX_KEPT_CLOSED = 3
READY_AFTER_STOP_US = 4 * SECOND_US  # after a SIGTERM
EARLY_DROP_SHARE = 0.7  # of the deadline; a later drop is not attributed to a configuration write


def drain(history: History) -> list[Violation]:
    """A request reaches a backend over `DrainMs` after the list showed that it drains or
    is gone. The time also runs while the core is not settled; the limit applies to each
    machine as soon as it is in touch."""
    touch = CoreContact(history=history)
    listed_at_us = {leaver.instance_id: leaver.listed_us for leaver in history.leavers}
    for shown in history.shown:
        listed_at_us[shown.instance_id] = min(
            shown.at_us, listed_at_us.get(shown.instance_id, shown.at_us)
        )
    receiving_node = {request.attempt: request.node for request in history.requests}
    out = []
    for arrival in history.arrivals:
        since_us = listed_at_us.get(arrival.instance_id)
        if since_us is None or arrival.is_health or arrival.status == 421:
            continue
        late_us = (
            arrival.at_us
            - since_us
            - _outage_us(history=history, begin_us=since_us, end_us=arrival.at_us)
        )
        if late_us <= history.bounds.drain_us:
            continue
        nodes = {arrival.node, receiving_node.get(arrival.attempt, arrival.node)}
        if not all(touch.is_in_touch(node=n, at_us=arrival.at_us) for n in nodes):
            continue
        if touch.was_recently_partitioned(
            a=arrival.node, b=arrival.instance_id, at_us=arrival.at_us
        ):
            continue
        out.append(
            Violation(
                rule="DRAIN",
                why=f"{arrival.attempt} by {arrival.node} reached {arrival.instance_id} "
                f"{late_us} us "
                "after the list showed that it drains",
                at_us=arrival.at_us,
            )
        )
    return out


def _outage_us(*, history: History, begin_us: int, end_us: int) -> int:
    return sum(max(0, min(b, end_us) - max(a, begin_us)) for a, b in history.outages)


def kept_closed(history: History) -> list[Violation]:
    """More than three times, machines in touch forward a request from a kept-alive connection
    to backends that neither crash nor break off, and close the connection without an answer.
    This applies outside planned work, too."""
    touch, arrivals = CoreContact(history=history), history.arrivals_of()
    found = []
    for request in history.requests:
        if not request.is_kept or request.end not in DROPPED_ENDS:
            continue
        passed_on = [a for a in arrivals.get(request.attempt, []) if a.ran and not a.broke_off]
        if any(a.instance_id in history.crashes for a in passed_on) or not passed_on:
            continue
        if touch.is_in_touch(node=request.node, at_us=request.done_us, since_us=request.sent_us):
            found.append(request)
    if len(found) <= MAX_KEPT_CLOSED:
        return []
    why = f"{len(found)} dropped, the last one {found[-1].attempt} at {found[-1].node}"
    return [Violation(rule="LOST kept", why=why, at_us=found[-1].done_us)]


def ready_after_stop(history: History) -> list[Violation]:
    """Two or more machines, and over a quarter of those that were ready at SIGTERM, still run
    and count as ready four seconds later. Two failed readiness checks in a row make a
    machine count as not ready."""
    ready, still = [], []
    for fault in history.faults:
        if fault.what != "stop":
            continue
        checks = [row for row in history.readiness if row.machine == fault.machine]
        if not _counts_as_ready(rows=[row for row in checks if row.at_us <= fault.begin_us]):
            continue
        ready.append(fault.machine)
        later_us = fault.begin_us + READY_AFTER_STOP_US
        rows = [row for row in checks if row.at_us <= later_us]
        if fault.end_us > later_us and _counts_as_ready(rows=rows):
            still.append(fault.machine)
    if len(still) < 2 or 4 * len(still) <= len(ready):
        return []
    why = f"{', '.join(still)} of {len(ready)} still count as ready after SIGTERM"
    return [Violation(rule="DRAIN ready", why=why, at_us=history.end_us)]


def _counts_as_ready(*, rows: list[Readiness]) -> bool:
    return bool(rows) and any(row.is_ready for row in rows[-2:])


def lost(history: History) -> list[Violation]:
    """A completely read request ends without an answer during a planned stop or reload of the
    settings, or a machine drops requests over three times as often near configuration writes
    as at other times."""
    touch, arrivals, orders = (
        CoreContact(history=history),
        history.arrivals_of(),
        Orders(history=history),
    )
    out = []
    drops_near_writes: Counter[str] = Counter()
    other_drops: Counter[str] = Counter()
    requests_near_writes: Counter[str] = Counter()
    other_requests: Counter[str] = Counter()
    first: dict[str, Request] = {}
    for request in history.requests:
        is_near_write = _is_near_write(history=history, request=request)
        (requests_near_writes if is_near_write else other_requests)[request.node] += 1
        request_arrivals = arrivals.get(request.attempt, [])
        if not _is_dropped(
            history=history, touch=touch, request=request, arrivals=request_arrivals
        ):
            continue
        if _is_timed_out(orders=orders, request=request):
            continue
        why = _planned_work(history=history, request=request, arrivals=request_arrivals)
        if why:
            out.append(
                Violation(
                    rule="LOST",
                    why=f"{request.attempt} at {request.node}, {why}",
                    at_us=request.done_us,
                )
            )
        if not is_near_write:
            other_drops[request.node] += 1
        elif request.done_us - request.sent_us < EARLY_DROP_SHARE * request.deadline_us:
            drops_near_writes[request.node] += 1
            first.setdefault(request.node, request)
    for node, count in sorted(drops_near_writes.items()):
        others, request_count, other_count = (
            other_drops[node],
            requests_near_writes[node],
            other_requests[node],
        )
        if count * max(1, other_count) > MAX_DROP_RATIO * others * request_count:
            why = f"{node} dropped {count} of {request_count} near configuration writes, "
            why += f"{others} of {other_count} at other times"
            out.append(Violation(rule="LOST", why=why, at_us=first[node].done_us))
    return out


def _is_timed_out(*, orders: Orders, request: Request) -> bool:
    """True if the request lasted as long as the deadline of a route that may have been in force."""
    candidates = orders.may_be_in_force(floor=0, until_us=request.done_us)
    found = (order.route_for(host=request.host, target=request.target) for order in candidates)
    used_us = request.done_us - request.sent_us
    return any(route is not None and used_us >= route.deadline_us for route in found)


def _is_dropped(
    *, history: History, touch: CoreContact, request: Request, arrivals: list[Arrival]
) -> bool:
    if request.end not in DROPPED_ENDS or not request.read_us:
        return False
    is_late = request.done_us > request.whole_us + history.bounds.loss_slack_us
    if not any(a.at_us <= request.done_us for a in arrivals) and not is_late:
        return False
    if any(a.broke_off for a in arrivals):
        return False
    if request.done_us >= request.sent_us + request.deadline_us:
        return False
    return touch.is_calm_day(
        begin_us=request.sent_us - history.bounds.touch_us,
        end_us=request.done_us,
        is_planned_fine=True,
    )


def _planned_work(*, history: History, request: Request, arrivals: list[Arrival]) -> str:
    for fault in history.faults:
        if fault.machine != request.node or not fault.is_planned:
            continue
        if fault.what == "stop":
            begin_us, grace_us = fault.begin_us, history.bounds.grace_us
            if not begin_us <= request.done_us <= begin_us + grace_us + SECOND_US:
                continue
            half_us = begin_us + grace_us // 2
            if any(not a.ended_us or a.ended_us > half_us for a in arrivals if a.ran):
                continue
            return "which was stopping"
        is_before = request.sent_us < fault.begin_us + history.bounds.apply_us
        if fault.what == "reread" and is_before and request.done_us >= fault.begin_us:
            return "which was reloading its settings"
    return ""


def _is_near_write(*, history: History, request: Request) -> bool:
    apply_us = history.bounds.apply_us + SECOND_US
    return any(
        order.sent_us <= request.done_us <= (order.acked_us or order.ended_us) + apply_us
        for order in history.orders
        if order.is_valid and not order.refused_us
    )
