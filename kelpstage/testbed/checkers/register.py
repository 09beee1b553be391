"""The table of all checkers, one for each rule."""

from __future__ import annotations

from kelpstage.testbed.checkers.answers import (
    below_quorum,
    garbled_part,
    mixed_configurations,
    silent_omission,
    wrong_body,
)
from kelpstage.testbed.checkers.base import Checker, Violation
from kelpstage.testbed.checkers.configurations import lost_or_undead, old_configuration, slide_back
from kelpstage.testbed.checkers.sends import after_known, extra_tries
from kelpstage.testbed.checkers.serving import dropped, held_back, own_refusal, slow_return
from kelpstage.testbed.checkers.writes import linearizable

CHECKERS: dict[str, Checker] = {
    "silent_omission": silent_omission,
    "wrong_body": wrong_body,
    "mixed_configurations": mixed_configurations,
    "below_quorum": below_quorum,
    "garbled_part": garbled_part,
    "after_known": after_known,
    "old_configuration": old_configuration,
    "slide_back": slide_back,
    "lost_or_undead": lost_or_undead,
    "linearizable": linearizable,
    "extra_tries": extra_tries,
    "dropped": dropped,
    "own_refusal": own_refusal,
    "held_back": held_back,
    "slow_return": slow_return,
}


def find_violations(*, history: list[dict]) -> list[Violation]:
    """Run every checker on a history and return all violations.

    >>> len(find_violations(history=[])) >= len(CHECKERS) - 1
    True
    """
    return [violation for check in CHECKERS.values() for violation in check(history)]
