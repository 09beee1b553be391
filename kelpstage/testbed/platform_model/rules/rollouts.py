"""EXPOSURE, LOST, ACKS and the duty of rollouts, and requests that their end cuts off."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import Arrival, History, RolloutOrder
from kelpstage.testbed.platform_model.rules.recovery import first_undisturbed_span

FINAL_CONDITIONS = frozenset(("complete", "reverted"))
BAD_ANSWERS = 50  # after this many, the time to the last request runs
END_SLACK_US = 20_000_000  # after the term: four steps, each held for five seconds at most
REFERENCE_S = 4  # before an order, to count the requests that its service gets
MIN_REQUESTS = 20
OUTAGE_US = 2_000_000


def exposure(history: History) -> list[Violation]:
    """A bad version receives too large a share of its service's requests between the order and
    its term, or a request later than `RollbackMs` after its 50th bad answer."""
    touch = CoreContact(history=history)
    out = []
    for order in history.rollouts:
        if order.is_bad:
            out += _excess(history=history, touch=touch, order=order)
            out += _late_requests(history=history, touch=touch, order=order)
    return out


def _arrivals_at_target(*, history: History, order: RolloutOrder) -> list[Arrival]:
    """The arrivals at the target from this order on, until the target is ordered again."""
    again = [
        other.sent_us
        for other in history.rollouts
        if (other.service, other.target) == (order.service, order.target)
        and other.sent_us > order.sent_us
    ]
    until_us = min(again, default=history.end_us + 1)
    return [
        arrival
        for arrival in history.arrivals
        if arrival.service == order.service
        and arrival.revision == order.target
        and order.sent_us <= arrival.at_us < until_us
    ]


def _excess(*, history: History, touch: CoreContact, order: RolloutOrder) -> list[Violation]:
    span = range(order.sent_us, order.term_us)
    total = sum(a.service == order.service and a.at_us in span for a in history.arrivals)
    received = [
        arrival
        for arrival in _arrivals_at_target(history=history, order=order)
        if arrival.at_us in span and touch.is_in_touch(node=arrival.node, at_us=arrival.at_us)
    ]
    bounds = history.bounds
    allowed = total * bounds.bad_traffic_share + bounds.bad_traffic_slack
    if len(received) <= allowed:
        return []
    why = f"{order.target} of {order.service} received {len(received)} of {total} requests"
    return [Violation(rule="EXPOSURE", why=why, at_us=received[-1].at_us)]


def _late_requests(*, history: History, touch: CoreContact, order: RolloutOrder) -> list[Violation]:
    arrivals = _arrivals_at_target(history=history, order=order)
    bad = sorted(a.ended_us for a in arrivals if a.is_bad_answer and a.ended_us)
    if len(bad) < BAD_ANSWERS:
        return []
    until_us = bad[BAD_ANSWERS - 1] + history.bounds.rollback_us
    late = [
        arrival
        for arrival in arrivals
        if arrival.at_us > until_us
        and touch.is_in_touch(node=arrival.node, at_us=arrival.at_us, since_us=bad[BAD_ANSWERS - 1])
    ]
    if not late:
        return []
    why = f"{order.target} of {order.service} received {len(late)} after the time to roll back"
    return [Violation(rule="EXPOSURE", why=why, at_us=late[0].at_us)]


def lost(history: History) -> list[Violation]:
    """The last read does not name the newest acknowledged rollout of a service, an earlier one
    names another target, or a final condition was read and another one after it."""
    newest = {order.service: order for order in history.rollouts if order.acked_us}
    returned = [
        Violation(
            rule="LOST rollout",
            why=f"{order.key} of {order.service} was read as {', '.join(order.conditions)}",
            at_us=order.complete_us or order.reverted_us,
        )
        for order in history.rollouts
        if set(order.conditions[:-1]) & FINAL_CONDITIONS
    ]
    replaced = [
        Violation(
            rule="LOST rollout",
            why=f"{order.key} of {order.service} to {order.target}: {order.other_targets[0]} read",
            at_us=order.acked_us,
        )
        for order in history.rollouts
        if order.other_targets
    ]
    return [*returned, *replaced] + [
        Violation(
            rule="LOST rollout",
            why=f"{order.service} was ordered to {order.target}, the last read: {order.read_back}",
            at_us=history.end_us,
        )
        for order in newest.values()
        if order.read_back != order.target
    ]


def cut_by_completion(history: History) -> list[Violation]:
    """A rollout is read as complete while an old backend, which then stops, has a request."""
    return [
        Violation(rule="LOST version", why=f"{attempt} was at an old backend", at_us=at_us)
        for at_us, attempt in history.stopped_requests
    ]


def acks(history: History) -> list[Violation]:
    """A rollout is not acknowledged within `AckWithinMs` in one undisturbed span."""
    touch, out = CoreContact(history=history), []
    for order in history.rollouts:
        begin_us = first_undisturbed_span(
            history=history,
            touch=touch,
            sent_us=order.sent_us,
            until_us=order.acked_us or history.end_us,
            lost_us=order.lost_us,
            span_us=history.bounds.ack_within_us,
        )
        if begin_us is not None:
            at_us = begin_us + history.bounds.ack_within_us
            why = f"{order.key} of {order.service} had no acknowledgement, replies {order.statuses}"
            out.append(Violation(rule="ACKS rollout", why=why, at_us=at_us))
    return out


def duty(history: History) -> list[Violation]:
    """A good version is not complete by its term, or a bad one not reverted, although no machine
    and no path had a fault meanwhile."""
    touch = CoreContact(history=history)
    out = []
    for order in history.rollouts:
        if order.has_fewer_instances:
            continue
        if order.term_us > history.end_us or not touch.is_calm_day(
            begin_us=order.sent_us, end_us=order.term_us
        ):
            continue
        reached_us = order.reverted_us if order.is_bad else order.complete_us
        if not 0 < reached_us <= order.term_us:
            wanted = "reverted" if order.is_bad else "complete"
            why = f"{order.key} of {order.service} was not {wanted} by its term"
            out.append(Violation(rule="DUTY rollout", why=why, at_us=order.term_us))
    return out


def ends(history: History) -> list[Violation]:
    """An acknowledged rollout has no final condition after its term and `END_SLACK_US`, within
    one undisturbed span."""
    touch, out = CoreContact(history=history), []
    for order in history.rollouts:
        if not order.acked_us:
            continue
        span_us = order.over_us + END_SLACK_US + history.bounds.drain_us
        begin_us = first_undisturbed_span(
            history=history,
            touch=touch,
            sent_us=order.acked_us,
            until_us=order.final_us or history.end_us,
            lost_us=[],
            span_us=span_us,
        )
        if begin_us is not None:
            why = f"{order.key} of {order.service} was {order.condition} after {span_us} us"
            out.append(Violation(rule="ENDS rollout", why=why, at_us=begin_us + span_us))
    return out


def served(history: History) -> list[Violation]:
    """A service gets less than a quarter of its requests for `OUTAGE_US` while a rollout of it
    is under way, although no other fault disturbs it."""
    out = []
    for order in history.rollouts:
        if not (order.is_alone and order.acked_us) or order.has_fewer_instances:
            continue
        times = sorted(a.at_us for a in history.arrivals if a.service == order.service)
        earlier_us = order.sent_us - REFERENCE_S * 1_000_000
        before = sum(earlier_us <= at_us < order.sent_us for at_us in times)
        if before < MIN_REQUESTS:
            continue
        wanted = before * OUTAGE_US / (REFERENCE_S * 1_000_000) / 4
        end_us = order.final_us or order.term_us
        for begin_us in range(order.acked_us, end_us - OUTAGE_US, OUTAGE_US // 2):
            found = sum(begin_us <= at_us < begin_us + OUTAGE_US for at_us in times)
            if found < wanted:
                why = f"{order.key} of {order.service}: {found} requests in {OUTAGE_US} us"
                out.append(Violation(rule="SERVED rollout", why=why, at_us=begin_us))
                break
    return out
