"""What a soak is judged by: what callers, backends and the operator saw, and the logs."""

from __future__ import annotations

from typing import Any

from kelpstage.testbed.checkers.base import Violation, excuses, is_excused
from kelpstage.testbed.checkers.register import CHECKERS

# The rules that hold at any moment, whatever the machine is busy with.
JUDGED = (
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
    """Every violation, as text."""
    found = [violation for name in JUDGED for violation in CHECKERS[name](history)]
    found += lost_on_kept_connections(history=history)
    out = [f"{v.rule} at {v.at_us / 1_000_000:.3f} s: {v.why}" for v in found]
    for name, text in logs.items():
        if TRACEBACK in text:
            place = text.index(TRACEBACK)
            out.append(f"{name}: {text[place : place + LOG_CHARACTERS]}")
    return out


def lost_on_kept_connections(*, history: list[dict[str, Any]]) -> list[Violation]:
    """A call on a kept connection that reached a backend and got no complete answer, or one
    that was cut off in its answer, garbled, or never answered.

    A fault of the node excuses it, but for a planned stop: what was read is answered then. A
    call that crosses the node's close and reaches no backend is no violation.
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
