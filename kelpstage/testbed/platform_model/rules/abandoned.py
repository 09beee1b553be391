"""GONE: requests that reach or occupy backends after their clients have disconnected."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import CLIENT_DISCONNECTED, Arrival, History, Request

CANCEL_GRACE_US = 500_000
MAX_LATE_ARRIVALS = 3
QUARTER = 4
MIN_LONG_RUNNING = 4  # fewer requests are not enough evidence


def gone(history: History) -> list[Violation]:
    """More than three requests reach a backend over half a second after their client
    disconnected, or backends still work, half a second after the disconnect, on more than a
    quarter of the repeatable requests that run that long. Only machines in touch count."""
    touch, arrivals = CoreContact(history=history), history.arrivals_of()
    late: list[Arrival] = []
    long_running, still_running = 0, 0
    for request in history.requests:
        if request.end != CLIENT_DISCONNECTED:
            continue
        for arrival in arrivals.get(request.attempt, []):
            if not _rule_applies(touch=touch, request=request, arrival=arrival):
                continue
            limit_us = request.done_us + CANCEL_GRACE_US
            if arrival.at_us > limit_us:
                late.append(arrival)
            elif request.is_repeatable and arrival.ran and arrival.until_us > limit_us:
                long_running += 1
                still_running += not 0 < arrival.released_us <= limit_us
    out = []
    if len(late) > MAX_LATE_ARRIVALS:
        why = f"{len(late)} arrivals, the last one of {late[-1].attempt}, over half a second late"
        out.append(Violation(rule="GONE", why=why, at_us=late[-1].at_us))
    if long_running >= MIN_LONG_RUNNING and QUARTER * still_running > long_running:
        why = f"backends still worked on {still_running} of {long_running} abandoned requests"
        out.append(Violation(rule="GONE", why=why, at_us=history.end_us))
    return out


def _rule_applies(*, touch: CoreContact, request: Request, arrival: Arrival) -> bool:
    return all(
        touch.is_in_touch(node=node, at_us=request.done_us, since_us=request.sent_us)
        for node in {request.node, arrival.node}
    )
