"""RECOVER after a closing fault; ACKS for writes and drains; FAULT for failing processes."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.eligibility import CoreContact
from kelpstage.testbed.platform_model.history import History

QUARTER = 4
ACK_US_PER_ROUTE = 3_000
MIN_REQUESTS = 20


def recover(history: History) -> list[Violation]:
    """Less than a quarter of the requests sent later than `RecoveryS` after the machines are
    back is served. Not checked if less than a quarter was served before the closing fault."""
    if not history.closing_us:
        return []
    since_us = (history.back_us or history.closing_us) + history.bounds.recovery_us
    before = [r for r in history.requests if not r.is_direct and r.sent_us < history.closing_us]
    after = [r for r in history.requests if not r.is_direct and r.sent_us > since_us]
    if len(after) < MIN_REQUESTS or len(before) < MIN_REQUESTS:
        return []
    if QUARTER * sum(r.is_success for r in before) < len(before):
        return []
    served = sum(r.is_success for r in after)
    if QUARTER * served >= len(after):
        return []
    why = f"{served} of {len(after)} served after the closing fault"
    return [Violation(rule="RECOVER", why=why, at_us=since_us)]


def acks(history: History) -> list[Violation]:
    """A valid write is not acknowledged within `AckWithinMs` plus a time per route, although
    no fault was active and none of its answers was lost in that span; or the list shows no
    machine within `AckWithinMs` that backends drain, for at least three and over a fifth of
    the draining backends."""
    touch, out = CoreContact(history=history), []
    for order in history.orders:
        if not order.is_valid or order.refused_us:
            continue
        span_us = history.bounds.ack_within_us + ACK_US_PER_ROUTE * len(order.routes)
        begin_us = first_undisturbed_span(
            history=history,
            touch=touch,
            sent_us=order.sent_us,
            until_us=order.acked_us or order.ended_us or history.end_us,
            lost_us=order.lost_us,
            span_us=span_us,
        )
        if begin_us is not None:
            why = f"{order.key} ({order.revision}) was not acknowledged within {span_us} us"
            out.append(Violation(rule="ACKS", why=why, at_us=begin_us + span_us))
    return out + _undisclosed_drains(history=history, touch=touch)


def first_undisturbed_span(
    *,
    history: History,
    touch: CoreContact,
    sent_us: int,
    until_us: int,
    lost_us: list[int],
    span_us: int,
) -> int | None:
    """The begin of the first span of `span_us` between the sending of an order and `until_us` in
    which no fault was active and no reply to the order was lost; `None` if there is none."""
    ends = [fault.end_us for fault in history.faults] + [cut.end_us for cut in history.cuts]
    starts = [e + history.bounds.touch_us + 1 for e in ends if e <= history.end_us]
    begins = {sent_us, *(s for s in starts if s > sent_us), *(at_us + 1 for at_us in lost_us)}
    for begin_us in sorted(begins):
        end_us = begin_us + span_us
        if end_us >= until_us or any(begin_us <= at_us <= end_us for at_us in lost_us):
            continue
        if _is_undisturbed(history=history, touch=touch, begin_us=begin_us, end_us=end_us):
            return begin_us
    return None


def _undisclosed_drains(*, history: History, touch: CoreContact) -> list[Violation]:
    """A violation if the list shows no machine in time that several backends drain."""
    shown_at_us: dict[str, int] = {}
    for shown in history.shown:
        shown_at_us[shown.instance_id] = min(
            shown.at_us, shown_at_us.get(shown.instance_id, shown.at_us)
        )
    missed = []
    for leaver in history.leavers:
        end_us = leaver.listed_us + history.bounds.ack_within_us
        is_due = end_us < min(leaver.ended_us, history.end_us)
        if (
            is_due
            and shown_at_us.get(leaver.instance_id, end_us + 1) > end_us
            and _is_undisturbed(
                history=history, touch=touch, begin_us=leaver.listed_us, end_us=end_us
            )
        ):
            missed.append(leaver.instance_id)
    if len(missed) < 3 or 5 * len(missed) <= len(history.leavers):
        return []
    why = f"no machine learned that {', '.join(missed[:4])} drain"
    return [Violation(rule="ACKS", why=why, at_us=history.end_us)]


def _is_undisturbed(*, history: History, touch: CoreContact, begin_us: int, end_us: int) -> bool:
    if any(cut.begin_us <= end_us and cut.end_us >= begin_us for cut in history.cuts):
        return False
    return touch.is_settled(begin_us=begin_us - history.bounds.touch_us, end_us=end_us)


def fault(history: History) -> list[Violation]:
    """A process ends, or a task fails, without an injected fault, or no request is served."""
    out = [
        Violation(rule="FAULT", why=f"{name}: {why}", at_us=at_us)
        for at_us, name, why in history.own_ends
    ]
    requests = [r for r in history.requests if not r.is_direct]
    if requests and not any(r.is_success for r in requests):
        out.append(Violation(rule="FAULT", why="no request is served", at_us=history.end_us))
    return out
