"""What operators were answered over all their tries: repeats, and one order of it all."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.checkers.linearizable import Answer, Read, Write, find_anomalies
from kelpstage.testbed.platform_model.history import History

REFUSALS = (Answer.CONFLICT, Answer.INVALID)


def repeated(history: History) -> list[Violation]:
    """A change that was acknowledged is sent again and refused; whether another change
    was made since or not, one that was taken is acknowledged again or left unclear."""
    out = []
    for order in history.orders:
        tries = order.all_tries()
        if not any(one.answer is Answer.ACKNOWLEDGED for one in tries):
            continue
        refused = [one for one in tries if one.answer in REFUSALS]
        if refused:
            why = f"{order.key} ({order.revision}) was acknowledged, and refused when sent again"
            out.append(Violation(rule="CONFIG repeat", why=why, at_us=refused[0].done_us))
    return out


def linearizable(history: History) -> list[Violation]:
    """No one order of all changes and reads explains what the operators were answered."""
    found = find_anomalies(writes=_writes(history=history), reads=_reads(history=history))
    return [Violation(rule="CONFIG order", why=one.why, at_us=one.at_us) for one in found]


def _writes(*, history: History) -> list[Write]:
    """The orders that may have been taken; an invalid one only if it was acknowledged."""
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
