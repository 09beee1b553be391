"""CONFIG repeat and CONFIG order: answers to repeated writes, and linearizability."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.checkers.linearizable import Answer, Read, Write, find_anomalies
from kelpstage.testbed.platform_model.history import History

REFUSALS = (Answer.CONFLICT, Answer.INVALID)


def repeated(history: History) -> list[Violation]:
    """An acknowledged configuration write is refused when it is sent again. A repeat of an
    applied write has to be acknowledged or left without a clear answer, even after later
    writes."""
    out = []
    for order in history.orders:
        tries = order.all_tries()
        if not any(attempt.answer is Answer.ACKNOWLEDGED for attempt in tries):
            continue
        refused = [attempt for attempt in tries if attempt.answer in REFUSALS]
        if refused:
            why = f"{order.key} ({order.revision}) was acknowledged, and refused when sent again"
            out.append(Violation(rule="CONFIG repeat", why=why, at_us=refused[0].done_us))
    return out


def linearizable(history: History) -> list[Violation]:
    """No sequential order of all writes and reads explains the answers that operators got."""
    found = find_anomalies(writes=_writes(history=history), reads=_reads(history=history))
    return [
        Violation(rule="CONFIG order", why=anomaly.why, at_us=anomaly.at_us) for anomaly in found
    ]


def _writes(*, history: History) -> list[Write]:
    """Return the writes that may have been applied; an invalid one only if acknowledged."""
    return [
        Write(
            key=order.key,
            base=order.base,
            version=order.revision,
            content=order.body.hex(),
            tries=order.all_tries(),
        )
        for order in history.orders
        if order.is_valid or order.acked_us
    ]


def _reads(*, history: History) -> list[Read]:
    return [
        Read(
            sent_us=row.sent_us or row.at_us,
            done_us=row.at_us,
            version=row.revision,
            content=row.body.hex(),
        )
        for row in (*history.reads, *history.read_backs)
    ]
