"""Checkers of availability: dropped, refused or late calls, slow recovery after faults."""

from __future__ import annotations

from collections import defaultdict

from kelpstage.testbed.checkers.base import (
    Excuse,
    Put,
    Violation,
    acknowledged,
    excuses,
    is_excused,
    max_round_trip_us,
    no_rows_violation,
    possibly_in_force,
    rows_of,
    unresolved_writes,
)

DROPPED_ENDS = ("line_lost", "wait_over", "connect_refused")
IMMEDIATE_ENDS = (
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
BACKEND_ENDS = ("quorum_not_met", "backend_lost", "bad_reply")
UNSERVED_ENDS = ("quorum_not_met", "time_left_spent", "no_backend", "backend_lost", "bad_reply")
MAX_REFUSAL_DELAY_US = 300_000
RECOVERY_LIMIT_US = 12_000_000
RATE_WINDOW_US = 3_000_000


def dropped(history: list[dict]) -> list[Violation]:
    """A request gets no answer or an incomplete one although its node was not killed, frozen
    or partitioned; or a planned stop takes over 6 s."""
    rule = "dropped request"
    calls = rows_of(history=history, event="call")
    if not calls:
        return no_rows_violation(rule=rule, what="calls")
    spans = excuses(history=history, kinds=("edge", "machine"))
    out = [
        Violation(
            rule=rule, why=f"{row['call']} at {row['node']}: {row['end']}", at_us=row["done_us"]
        )
        for row in calls
        if row["end"] in DROPPED_ENDS and not is_excused(row=row, spans=spans)
    ]
    out += [
        Violation(rule=rule, why=f"{row['edge']} took over 6 s to stop", at_us=row["at_us"])
        for row in rows_of(history=history, event="ended")
        if row.get("in_time") is False
    ]
    return out


# --- refused ------------------------------------------------------------------------


def own_refusal(history: list[dict]) -> list[Violation]:
    """A proper request is refused by a node, or fails without a fault that excuses it.

    A fault of backends excuses only calls that need them: a search whose quorum can't be met
    without them, or a fetch of a single record from a shard that one of them serves. A recut
    excuses a call that names a shard of another cut.
    """
    rule = "own refusal"
    calls = rows_of(history=history, event="call")
    if not calls:
        return no_rows_violation(rule=rule, what="calls")
    at_node = excuses(history=history, kinds=("edge", "machine"))
    bad = excuses(history=history, kinds=("backend",))
    puts = acknowledged(history=history)
    unresolved = unresolved_writes(history=history)
    out = []
    for row in calls:
        if row["end"] == "ok" or row["end"] in DROPPED_ENDS or is_excused(row=row, spans=at_node):
            continue
        if row["end"] == "unknown_shard" and _is_of_other_cut(
            row=row, puts=puts, unresolved=unresolved
        ):
            continue
        if row["end"] in UNSERVED_ENDS and _is_unservable(row=row, bad=bad, puts=puts):
            continue
        out.append(
            Violation(
                rule=rule,
                why=f"{row['call']} at {row['node']}: {row['end']} {row.get('detail', '')[:160]}",
                at_us=row["done_us"],
            )
        )
    return out


def _is_of_other_cut(*, row: dict, puts: list[Put], unresolved: list[dict]) -> bool:
    """True if the cut that the caller named may have been replaced when the call was handled."""
    asked_cut = row.get("asked_cut")
    if asked_cut is None:
        return False
    candidates = possibly_in_force(puts=puts, begin_us=row["sent_us"], end_us=row["done_us"])
    cuts = {put.cut for put in candidates}
    cuts |= {put.get("cut") for put in unresolved if put["sent_us"] <= row["done_us"]}
    return bool(cuts - {asked_cut})


def _is_unservable(*, row: dict, bad: list[Excuse], puts: list[Put]) -> bool:
    """True if the remaining backends may be unable to serve this call."""
    down: set = set()
    for span in bad:
        if span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"]):
            down |= span.backends
    if not down:
        return False
    for put in possibly_in_force(puts=puts, begin_us=row["sent_us"], end_us=row["done_us"]):
        if row.get("single"):
            if down & set(put.serves.get(row["shard"], ())):
                return True
            continue
        dark = sum(not set(names) - down for names in put.serves.values())
        if len(put.serves) - dark < put.quorum:
            return True
    return False


# --- delayed refusals ------------------------------------------------------------------------


def held_back(history: list[dict]) -> list[Violation]:
    """A refusal has no Retry-After, a refusal is sent long after it was certain, or a reply
    comes after the call's time left.

    A refusal that needs no backend is certain immediately. A refusal for lack of answers is
    certain once the last queried backend has answered, as recorded by the stand-ins, unless
    a fault may have delayed or lost an answer.
    """
    rule = "no final answer at once"
    calls = rows_of(history=history, event="call")
    if not calls:
        return no_rows_violation(rule=rule, what="calls")
    round_trip_us = max_round_trip_us(history=history)
    upset = excuses(history=history, kinds=("edge", "line", "machine"))
    silent = [e for e in excuses(history=history, kinds=("backend",)) if e.what in SILENT_FAULTS]
    answers: dict[str, list[int]] = defaultdict(list)
    for row in rows_of(history=history, event="receipt"):
        answers[row["call"]].append(row.get("replied_us", 0))
    out = []

    def report(row: dict, why: str) -> None:
        out.append(
            Violation(rule=rule, why=f"{row['call']}: {row['end']} {why}", at_us=row["done_us"])
        )

    for row in calls:
        took_us = row["done_us"] - row["sent_us"]
        if row.get("status") in (502, 503, 504) and not row.get("retry_after"):
            report(row, "without Retry-After")
        at_node = is_excused(row=row, spans=upset)
        if row["end"] in DROPPED_ENDS or at_node:
            continue
        if took_us > row.get("time_left_us", took_us) + round_trip_us:
            report(row, f"{took_us} us after it was sent, past its time left")
            continue
        if row["end"] in IMMEDIATE_ENDS and took_us > MAX_REFUSAL_DELAY_US + round_trip_us:
            report(row, f"{took_us} us after it was sent")
            continue
        if row["end"] not in BACKEND_ENDS or row["call"] not in answers:
            continue
        replied = answers[row["call"]]
        is_open = any(not at or at > row["done_us"] for at in replied)
        is_unclear = any(
            span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"]) for span in upset + silent
        )
        late_us = row["done_us"] - max(replied)
        if not is_open and not is_unclear and late_us > MAX_REFUSAL_DELAY_US + 2 * round_trip_us:
            report(row, f"{late_us} us after the last backend had answered")
    return out


SILENT_FAULTS = ("backend_vanish", "zone_lost", "zone_cut")


# --- recovery after a fault -----------------------------------------------------------------


def slow_return(history: list[dict]) -> list[Violation]:
    """The rate of served calls is below a quarter of normal more than 12 s after machines
    return.

    The 12 s begin when all machines and backends with overlapping outages are back. A
    history without a measurable return is a violation.
    """
    rule = "slow return"
    calls = rows_of(history=history, event="call")
    if not calls:
        return no_rows_violation(rule=rule, what="calls")
    good = sorted(row["done_us"] for row in calls if row["end"] == "ok")
    begin_us = min(row["sent_us"] for row in calls)
    end_us = max(row["sent_us"] for row in calls)
    faults = [
        row["at_us"]
        for row in rows_of(history=history, event="fault")
        if not row["what"].startswith("machine")
    ]
    quiet_end = min(faults, default=end_us)
    if quiet_end - begin_us < RATE_WINDOW_US or not good:
        return no_rows_violation(rule=rule, what="fault-free time before the first fault")
    normal = _rate_per_s(times_us=good, begin_us=begin_us, end_us=quiet_end)
    outages = [
        span
        for span in excuses(history=history, kinds=("away",))
        if span.end_us < end_us  # a fault without an end excuses nothing
    ]
    measured = 0
    out = []
    for row in rows_of(history=history, event="returned"):
        start_us = row["at_us"]
        for span in sorted(outages, key=lambda span: span.begin_us):
            if (
                span.begin_us <= start_us + RECOVERY_LIMIT_US + RATE_WINDOW_US
                and span.end_us > start_us
            ):
                start_us = span.end_us
        start_us += RECOVERY_LIMIT_US
        if start_us + RATE_WINDOW_US > end_us:
            continue
        measured += 1
        rate = _rate_per_s(times_us=good, begin_us=start_us, end_us=start_us + RATE_WINDOW_US)
        if rate < normal / 4:
            out.append(
                Violation(rule=rule, why=f"{rate:.2f}/s, normal {normal:.2f}/s", at_us=start_us)
            )
    return out if measured else no_rows_violation(rule=rule, what="return that could be measured")


def _rate_per_s(*, times_us: list[int], begin_us: int, end_us: int) -> float:
    return sum(begin_us <= at < end_us for at in times_us) * 1_000_000 / max(1, end_us - begin_us)
