"""Checkers of serving: dropped, refused or late calls, slow recovery after faults."""

from __future__ import annotations

from collections import defaultdict

from kelpstage.testbed.checkers.base import (
    Excuse,
    Put,
    Violation,
    acknowledged,
    empty,
    excuses,
    in_force,
    is_excused,
    line_us,
    rows_of,
    unsettled_puts,
)

DROPPED = ("line_lost", "wait_over", "connect_refused")
AT_ONCE = (
    "not_ready",
    "overloaded",
    "unknown_shard",
    "unknown_collection",
    "bad_request",
    "bad_limit",
    "bad_time_left",
    "missing_time_left",
    "no_backend",
)
FROM_BACKENDS = ("quorum_not_met", "backend_lost", "bad_reply")
SPENT = ("quorum_not_met", "time_left_spent", "no_backend", "backend_lost", "bad_reply")
HELD_US = 300_000
RETURN_US = 12_000_000
LOOK_US = 3_000_000


def dropped(history: list[dict]) -> list[Violation]:
    """A request dropped mid-answer, or left without any, outside of kills,
    freezes and cuts of the node that had it; a planned stop of over 6 s."""
    rule = "dropped request"
    calls = rows_of(history=history, event="call")
    if not calls:
        return empty(rule=rule, what="calls")
    spans = excuses(history=history, kinds=("edge", "machine"))
    out = [
        Violation(
            rule=rule, why=f"{row['call']} at {row['node']}: {row['end']}", at_us=row["done_us"]
        )
        for row in calls
        if row["end"] in DROPPED and not is_excused(row=row, spans=spans)
    ]
    out += [
        Violation(rule=rule, why=f"{row['edge']} took over 6 s to stop", at_us=row["at_us"])
        for row in rows_of(history=history, event="ended")
        if row.get("in_time") is False
    ]
    return out


# --- refused ------------------------------------------------------------------------


def own_refusal(history: list[dict]) -> list[Violation]:
    """A proper request refused by our own nodes, or failed with no fault to blame.

    A fault of backends excuses only what they alone could have served: a search if
    without them its route's quorum can't be met, a single record if one of them
    serves its shard. A recut excuses a call that names a shard of another cut.
    """
    rule = "own refusal"
    calls = rows_of(history=history, event="call")
    if not calls:
        return empty(rule=rule, what="calls")
    at_node = excuses(history=history, kinds=("edge", "machine"))
    bad = excuses(history=history, kinds=("backend",))
    puts = acknowledged(history=history)
    unsettled = unsettled_puts(history=history)
    out = []
    for row in calls:
        if row["end"] == "ok" or row["end"] in DROPPED or is_excused(row=row, spans=at_node):
            continue
        if row["end"] == "unknown_shard" and _is_of_other_cut(
            row=row, puts=puts, unsettled=unsettled
        ):
            continue
        if row["end"] in SPENT and _is_beyond_backends(row=row, bad=bad, puts=puts):
            continue
        out.append(
            Violation(
                rule=rule,
                why=f"{row['call']} at {row['node']}: {row['end']} {row.get('detail', '')[:160]}",
                at_us=row["done_us"],
            )
        )
    return out


def _is_of_other_cut(*, row: dict, puts: list[Put], unsettled: list[dict]) -> bool:
    """Might the cut that the caller named have been replaced when the call was handled?"""
    asked = row.get("asked_cut")
    if asked is None:
        return False
    around = in_force(puts=puts, begin_us=row["sent_us"], end_us=row["done_us"])
    cuts = {put.cut for put in around}
    cuts |= {put.get("cut") for put in unsettled if put["sent_us"] <= row["done_us"]}
    return bool(cuts - {asked})


def _is_beyond_backends(*, row: dict, bad: list[Excuse], puts: list[Put]) -> bool:
    """Could the backends that are left not have served this call?"""
    down: set = set()
    for span in bad:
        if span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"]):
            down |= span.backends
    if not down:
        return False
    for put in in_force(puts=puts, begin_us=row["sent_us"], end_us=row["done_us"]):
        if row.get("single"):
            if down & set(put.serves.get(row["shard"], ())):
                return True
            continue
        dark = sum(not set(names) - down for names in put.serves.values())
        if len(put.serves) - dark < put.quorum:
            return True
    return False


# --- held back ------------------------------------------------------------------------


def held_back(history: list[dict]) -> list[Violation]:
    """A refusal without a time to come back, one that came well after it was
    certain, and any reply that came past the time left.

    A refusal that needs no backend is certain at once. One for want of answers is
    certain when the last backend that was asked has answered, as the stand-ins saw
    it, unless a node or connection that may still have brought an answer was gone.
    """
    rule = "no final answer at once"
    calls = rows_of(history=history, event="call")
    if not calls:
        return empty(rule=rule, what="calls")
    way_us = line_us(history=history)
    upset = excuses(history=history, kinds=("edge", "line", "machine"))
    silent = [e for e in excuses(history=history, kinds=("backend",)) if e.what in SILENT]
    answers: dict[str, list[int]] = defaultdict(list)
    for row in rows_of(history=history, event="receipt"):
        answers[row["call"]].append(row.get("replied_us", 0))
    out = []

    def blame(row: dict, why: str) -> None:
        out.append(
            Violation(rule=rule, why=f"{row['call']}: {row['end']} {why}", at_us=row["done_us"])
        )

    for row in calls:
        took_us = row["done_us"] - row["sent_us"]
        if row.get("status") in (502, 503, 504) and not row.get("retry_after"):
            blame(row, "without Retry-After")
        at_node = is_excused(row=row, spans=upset)
        if row["end"] in DROPPED or at_node:
            continue
        if took_us > row.get("time_left_us", took_us) + way_us:
            blame(row, f"{took_us} us after it was sent, past its time left")
            continue
        if row["end"] in AT_ONCE and took_us > HELD_US + way_us:
            blame(row, f"{took_us} us after it was sent")
            continue
        if row["end"] not in FROM_BACKENDS or row["call"] not in answers:
            continue
        replied = answers[row["call"]]
        is_open = any(not at or at > row["done_us"] for at in replied)
        is_unclear = any(
            span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"]) for span in upset + silent
        )
        late_us = row["done_us"] - max(replied)
        if not is_open and not is_unclear and late_us > HELD_US + 2 * way_us:
            blame(row, f"{late_us} us after the last backend had answered")
    return out


SILENT = ("backend_vanish", "zone_lost", "zone_cut")


# --- back after a fault -----------------------------------------------------------------


def slow_return(history: list[dict]) -> list[Violation]:
    """Serving below a quarter of normal more than 12 s after machines return.

    A return is measured from the last moment at which machines or backends that were
    away with it came back; a history none of whose returns could be measured proves
    nothing, and fails.
    """
    rule = "slow return"
    calls = rows_of(history=history, event="call")
    if not calls:
        return empty(rule=rule, what="calls")
    good = sorted(row["done_us"] for row in calls if row["end"] == "ok")
    begin_us = min(row["sent_us"] for row in calls)
    end_us = max(row["sent_us"] for row in calls)
    faults = [
        row["at_us"]
        for row in rows_of(history=history, event="fault")
        if not row["what"].startswith("machine")
    ]
    quiet_end = min(faults, default=end_us)
    if quiet_end - begin_us < LOOK_US or not good:
        return empty(rule=rule, what="quiet time before the first fault")
    normal = _rate(marks=good, begin_us=begin_us, end_us=quiet_end)
    heavy = [
        span
        for span in excuses(history=history, kinds=("away",))
        if span.end_us < end_us  # what never returns excuses nothing
    ]
    judged = 0
    out = []
    for row in rows_of(history=history, event="returned"):
        start_us = row["at_us"]
        for span in sorted(heavy, key=lambda span: span.begin_us):
            if span.begin_us <= start_us + RETURN_US + LOOK_US and span.end_us > start_us:
                start_us = span.end_us
        start_us += RETURN_US
        if start_us + LOOK_US > end_us:
            continue
        judged += 1
        rate = _rate(marks=good, begin_us=start_us, end_us=start_us + LOOK_US)
        if rate < normal / 4:
            out.append(
                Violation(rule=rule, why=f"{rate:.2f}/s, normal {normal:.2f}/s", at_us=start_us)
            )
    return out if judged else empty(rule=rule, what="return that could be judged")


def _rate(*, marks: list[int], begin_us: int, end_us: int) -> float:
    return sum(begin_us <= at < end_us for at in marks) * 1_000_000 / max(1, end_us - begin_us)
