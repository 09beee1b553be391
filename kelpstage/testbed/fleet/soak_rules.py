"""Checks the history and the logs of a soak for violations."""

from __future__ import annotations

from typing import Any

from kelpstage.testbed.checkers.base import Violation, excuses, is_excused
from kelpstage.testbed.checkers.register import CHECKERS

# Checkers of rules that hold at any load of the machine.
SOAK_CHECKERS = (
    "silent_omission",
    "wrong_body",
    "mixed_configurations",
    "below_quorum",
    "garbled_part",
    "old_configuration",
    "slide_back",
    "lost_or_undead",
    "linearizable",
)
TRACEBACK = "Traceback (most recent call last)"
LOG_CHARACTERS = 600


def find_violations(*, history: list[dict[str, Any]], logs: dict[str, str]) -> list[str]:
    """Returns every violation of a soak as text."""
    found = [violation for name in SOAK_CHECKERS for violation in CHECKERS[name](history)]
    found += lost_on_kept_connections(history=history)
    out = [f"{v.rule} at {v.at_us / 1_000_000:.3f} s: {v.why}" for v in found]
    for name, text in logs.items():
        if TRACEBACK in text:
            start = text.index(TRACEBACK)
            out.append(f"{name}: {text[start : start + LOG_CHARACTERS]}")
    return out


def lost_on_kept_connections(*, history: list[dict[str, Any]]) -> list[Violation]:
    """Returns a violation for each call on a persistent connection that was lost.

    A call is lost if it reached a backend and got no complete reply, or if its reply was cut
    off, invalid or missing. A fault of the node excuses it, except for a planned stop, because
    a stopping node answers the requests that it has read. A call that the node's close of the
    connection crossed, and that reached no backend, is no violation.
    """
    rule = "lost on a kept connection"
    reached = {row["call"] for row in history if row["event"] == "receipt"}
    spans = [
        span for span in excuses(history=history, kinds=("edge",)) if not _is_planned(span.what)
    ]
    out = []
    for row in history:
        if row["event"] != "kept_call" or is_excused(row=row, spans=spans):
            continue
        if row["end"] == "closed" and row["call"] not in reached:
            continue
        why = f"{row['call']} at {row['node']}: {row['end']}"
        out.append(Violation(rule=rule, why=why, at_us=row["done_us"]))
    return out


def _is_planned(what: str) -> bool:
    return what.startswith(("restart", "hang_up", "leave"))
