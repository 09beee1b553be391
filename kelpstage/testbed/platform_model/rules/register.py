"""The table of all rules and their checkers."""

from __future__ import annotations

from typing import Callable

from kelpstage.testbed.checkers.base import Violation
from kelpstage.testbed.platform_model.history import History
from kelpstage.testbed.platform_model.rules import (
    abandoned,
    answers,
    attempts,
    configuration,
    deadlines,
    draining,
    operators,
    recovery,
    rollouts,
    runs,
)

RULES: dict[str, Callable[[History], list[Violation]]] = {
    "MIXED": answers.mixed,
    "UNASKED": runs.unasked,
    "TWICE": runs.twice,
    "REFUSED": runs.refused,
    "DENIED": runs.denied,
    "DENIED far": runs.denied_out_of_touch,
    "ROUTE": runs.route,
    "GONE": abandoned.gone,
    "DRAIN": draining.drain,
    "DRAIN ready": draining.ready_after_stop,
    "LOST": draining.lost,
    "LOST kept": draining.kept_closed,
    "CONFIG late": configuration.late,
    "CONFIG read": configuration.read_older,
    "CONFIG held": deadlines.held,
    "CONFIG narrow": configuration.narrow,
    "CONFIG slid back": configuration.slid_back,
    "CONFIG undead": configuration.undead,
    "CONFIG lost": configuration.lost,
    "CONFIG repeat": operators.repeated,
    "CONFIG order": operators.linearizable,
    "BUDGET": attempts.budget,
    "BUDGET time": deadlines.time_handed_on,
    "RECOVER": recovery.recover,
    "ACKS": recovery.acks,
    "FAULT": recovery.fault,
    "EXPOSURE": rollouts.exposure,
    "LOST rollout": rollouts.lost,
    "LOST version": rollouts.cut_by_completion,
    "ACKS rollout": rollouts.acks,
    "DUTY rollout": rollouts.duty,
    "ENDS rollout": rollouts.ends,
    "SERVED rollout": rollouts.served,
}


def find_violations(*, history: History) -> list[Violation]:
    """Return all violations of a scenario; one without requests or writes is a FAULT.

    >>> [v.rule for v in find_violations(history=History())]
    ['FAULT']
    """
    if not history.requests or not history.orders:
        return [Violation(rule="FAULT", why="no requests or no writes", at_us=history.end_us)]
    return [violation for rule in RULES.values() for violation in rule(history)]
