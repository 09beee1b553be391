"""GONE: what still reaches backends, or occupies them, for clients that have left."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import Touch
from kelpstage.testbed.platform_model.history import LEFT, Arrival, History, Request

AFTER_US = 500_000
FEW = 3
QUARTER = 4
LEAST_LASTING = 4  # fewer prove nothing


def gone(history: History) -> list[Violation]:
    """More than a few requests reach a backend over half a second after their client has
    left, or backends still work half a second later on more than a quarter of the
    repeatable ones that would have lasted so long. Machines in touch only."""
    touch, arrivals = Touch(history=history), history.arrivals_of()
    late: list[Arrival] = []
    lasting, still = 0, 0
    for request in history.requests:
        if request.end != LEFT:
            continue
        for arrival in arrivals.get(request.attempt, []):
            if not _is_bound(touch=touch, request=request, arrival=arrival):
                continue
            limit_us = request.done_us + AFTER_US
            if arrival.at_us > limit_us:
                late.append(arrival)
            elif request.is_repeatable and arrival.ran and arrival.until_us > limit_us:
                lasting += 1
                still += not 0 < arrival.released_us <= limit_us
    out = []
    if len(late) > FEW:
        why = f"{len(late)} arrivals, lately {late[-1].attempt}, over half a second too late"
        out.append(Violation(rule="GONE", why=why, at_us=late[-1].at_us))
    if lasting >= LEAST_LASTING and QUARTER * still > lasting:
        why = f"backends still worked on {still} of {lasting} that nobody waited for"
        out.append(Violation(rule="GONE", why=why, at_us=history.end_us))
    return out


def _is_bound(*, touch: Touch, request: Request, arrival: Arrival) -> bool:
    return all(
        touch.is_in_touch(node=node, at_us=request.done_us, since_us=request.sent_us)
        for node in {request.node, arrival.node}
    )
