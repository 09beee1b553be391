"""CONFIG: outdated, partly applied, reverted, rejected or lost configurations in use."""

from __future__ import annotations

from collections import defaultdict

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import Arrival, History, Request
from kelpstage.testbed.platform_model.rules.writes import Orders, is_own_answer

MIN_LATE_ROUTE_REQUESTS, QUARTER = 20, 4
SLOW_FAULT_FACTOR = 8


def late(history: History) -> list[Violation]:
    """More than `ConfigApplyMs` after a version was acknowledged, a request is handled in a
    way that only an older version allows."""
    orders, touch, arrivals = (
        Orders(history=history),
        CoreContact(history=history),
        history.arrivals_of(),
    )
    out = []
    for request in history.requests:
        for floor, at_us, nodes, what in _outdated_handlings(
            history=history,
            orders=orders,
            request=request,
            arrivals=arrivals.get(request.attempt, []),
        ):
            if _rule_applies(
                history=history,
                orders=orders,
                touch=touch,
                request=request,
                nodes=nodes,
                floor=floor,
                at_us=at_us,
            ):
                out.append(
                    Violation(
                        rule="CONFIG late",
                        why=f"{request.attempt} at {request.node} {what}, version {floor} is due",
                        at_us=at_us,
                    )
                )
                break
    return out


def _outdated_handlings(
    *, history: History, orders: Orders, request: Request, arrivals: list[Arrival]
) -> list[tuple[int, int, set[str], str]]:
    """Return what was done with a request that no version from the floor on allows, as tuples
    of the floor, the time, the machines and a description. The floor is the newest version
    that every machine has to apply by then."""
    floor = orders.newest_acknowledged(at_us=request.sent_us - history.bounds.apply_us)
    if not floor:
        return []
    out = []
    where = {"host": request.host, "target": request.target}
    for arrival in arrivals:
        if not arrival.ran:
            continue
        found = orders.allowing(**where, service=arrival.service, until_us=arrival.at_us)
        if found and max(found) < floor:
            nodes = {arrival.node, request.node}
            out.append((floor, arrival.at_us, nodes, f"ran at the outdated {arrival.service}"))
    if (
        request.end == "answered"
        and request.status == 404
        and is_own_answer(request=request, arrivals=arrivals)
    ) and max(orders.without_route(**where, until_us=request.done_us)) < floor:
        out.append((floor, request.done_us, {request.node}, "got 404"))
    return out


def _rule_applies(
    *,
    history: History,
    orders: Orders,
    touch: CoreContact,
    request: Request,
    nodes: set[str],
    floor: int,
    at_us: int,
) -> bool:
    since_us = request.sent_us
    if all(touch.is_in_touch(node=node, at_us=at_us, since_us=since_us) for node in nodes):
        return True
    acked_us = max(o.acked_us for o in orders.possible if o.revision == floor)
    if since_us <= acked_us + history.bounds.apply_us + history.bounds.stretch_us:
        return False
    return all(
        touch.has_extended_bound(node=node, at_us=at_us, since_us=since_us) for node in nodes
    )


def read_older(history: History) -> list[Violation]:
    """A read that is sent more than `ConfigApplyMs` after an acknowledgement returns an older
    version, from any machine, in touch or not."""
    orders, out = Orders(history=history), []
    for read in (*history.reads, *history.read_backs):
        if not read.sent_us or not read.revision:
            continue
        floor = orders.newest_acknowledged(at_us=read.sent_us - history.bounds.apply_us)
        if read.revision < floor:
            why = f"a read sent at {read.sent_us} us returned {read.revision}, {floor} is due"
            out.append(Violation(rule="CONFIG read", why=why, at_us=read.at_us))
    return out


def narrow(history: History) -> list[Violation]:
    """Without active faults, 20 or more requests arrive on routes that were added later, and
    the share of them that is served is less than a quarter of the share on the initial
    routes."""
    touch = CoreContact(history=history)
    counts = {True: [0, 0], False: [0, 0]}
    for request in history.requests:
        begin_us = request.sent_us - history.bounds.touch_us
        if request.is_direct or not touch.is_calm_day(begin_us=begin_us, end_us=request.done_us):
            continue
        counts[request.is_late_route][0] += 1
        counts[request.is_late_route][1] += request.is_success
    (late_sent, late_served), (sent, served) = counts[True], counts[False]
    if late_sent < MIN_LATE_ROUTE_REQUESTS or not sent:
        return []
    if QUARTER * late_served * sent >= served * late_sent:
        return []
    return [
        Violation(
            rule="CONFIG narrow",
            why=f"{late_served} of {late_sent} on later routes, {served} of {sent} on initial ones",
            at_us=history.end_us,
        )
    ]


def slid_back(history: History) -> list[Violation]:
    """Within one incarnation, a machine handles a request as only an older version allows,
    after a backend observed it applying a newer one."""
    orders, arrivals = Orders(history=history), history.arrivals_of()
    shown: dict[tuple[str, int], list[tuple[int, int]]] = defaultdict(list)
    acts: dict[tuple[str, int], list[tuple[Request, int, int]]] = defaultdict(list)
    for request in history.requests:
        instance = (request.node, request.node_incarnation)
        where = {"host": request.host, "target": request.target}
        request_arrivals = arrivals.get(request.attempt, [])
        for arrival in request_arrivals:
            found = orders.allowing(**where, service=arrival.service, until_us=arrival.at_us)
            if arrival.ran and found:
                shown[instance].append((arrival.at_us, min(found)))
                acts[instance].append((request, max(found), arrival.at_us))
        if (
            request.end == "answered"
            and request.status == 404
            and is_own_answer(request=request, arrivals=request_arrivals)
        ):
            newest = max(orders.without_route(**where, until_us=request.done_us))
            acts[instance].append((request, newest, request.done_us))
    out = []
    for instance, rows in acts.items():
        out += _regressions(history=history, instance=instance, rows=rows, shown=shown[instance])
    return out


def _regressions(
    *,
    history: History,
    instance: tuple[str, int],
    rows: list[tuple[Request, int, int]],
    shown: list[tuple[int, int]],
) -> list[Violation]:
    shown = sorted(shown)
    out, newest_seen, index = [], 0, 0
    for request, newest, at_us in sorted(rows, key=lambda row: row[0].sent_us):
        slack_us = history.bounds.revert_us * (
            SLOW_FAULT_FACTOR if _is_slowed(history=history, node=instance[0], at_us=at_us) else 1
        )
        while index < len(shown) and shown[index][0] < request.sent_us - slack_us:
            newest_seen = max(newest_seen, shown[index][1])
            index += 1
        if newest < newest_seen:
            out.append(
                Violation(
                    rule="CONFIG slid back",
                    why=f"{instance[0]} handled {request.attempt} under version {newest} or older, "
                    f"after it had applied {newest_seen}",
                    at_us=at_us,
                )
            )
    return out


def _is_slowed(*, history: History, node: str, at_us: int) -> bool:
    return any(
        t.machine == node and t.what == "slow" and t.begin_us <= at_us <= t.end_us
        for t in history.faults
    )


def undead(history: History) -> list[Violation]:
    """A rejected or invalid configuration is in force, an invalid one is acknowledged, or two
    are acknowledged on the same base version or under the same version number."""
    out = []
    by_base: dict[int, str] = {}
    by_number: dict[int, str] = {}
    for order in sorted(history.orders, key=lambda order: order.acked_us):
        if not order.acked_us:
            continue
        if not order.is_valid:
            why = f"the invalid configuration {order.key} was acknowledged"
            out.append(Violation(rule="CONFIG undead", why=why, at_us=order.acked_us))
        other = by_base.setdefault(order.base, order.key)
        if other != order.key:
            why = f"{other} and {order.key} were both acknowledged on base version {order.base}"
            out.append(Violation(rule="CONFIG undead", why=why, at_us=order.acked_us))
        other = by_number.setdefault(order.revision, order.key)
        if other != order.key:
            why = f"{other} and {order.key} were both acknowledged as version {order.revision}"
            out.append(Violation(rule="CONFIG undead", why=why, at_us=order.acked_us))
    requests = history.requests_by_attempt()
    bad = [o for o in history.orders if o.refused_us or not o.is_valid]
    good = [o for o in history.orders if o.is_valid and not o.refused_us]
    for arrival in history.arrivals if bad else ():
        request = requests.get(arrival.attempt)
        if request is None or not arrival.ran:
            continue
        query = {"host": request.host, "target": request.target, "service": arrival.service}
        if any(o.sent_us <= arrival.at_us and o.allows(**query) for o in good):
            continue
        names = [o.key for o in bad if o.sent_us <= arrival.at_us and o.allows(**query)]
        if names:
            why = f"{arrival.service} ran {arrival.attempt} under {names[0]}"
            out.append(Violation(rule="CONFIG undead", why=why, at_us=arrival.at_us))
    return out


def lost(history: History) -> list[Violation]:
    """The final read returns an older version than the newest acknowledged one or other bytes
    than were sent under its version, or there is none. After a closing fault, an older
    version violates LOST instead of CONFIG lost."""
    rule = "LOST" if history.closing_us else "CONFIG lost"
    last = [row for row in history.read_backs if row.is_last]
    newest = max((o.revision for o in history.orders if o.acked_us), default=0)
    if not last:
        if not newest:
            return []
        return [Violation(rule="CONFIG lost", why="nothing was read back", at_us=history.end_us)]
    out = []
    for row in last:
        if row.revision < newest:
            why = f"version {row.revision} was read back, {newest} had been acknowledged"
            out.append(Violation(rule=rule, why=why, at_us=row.at_us))
        bodies = [o.body for o in history.orders if o.revision == row.revision and not o.refused_us]
        if row.revision and row.body not in bodies:
            why = f"the bytes read back as version {row.revision} were not sent, or were refused"
            out.append(Violation(rule="CONFIG lost", why=why, at_us=row.at_us))
    return out
