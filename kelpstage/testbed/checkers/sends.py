"""Checkers of what is sent to backends: late sends and extra tries."""

from __future__ import annotations

from collections import Counter, defaultdict

from kelpstage.testbed.checkers.base import (
    NEVER_US,
    Violation,
    acknowledged,
    empty,
    excuses,
    rows_of,
)

KNOWN_US = 3_000_000
SPAN_US = 10_000_000
SHARE = 6
SLACK = 15


def after_known(history: list[dict]) -> list[Violation]:
    """A request of any sort, a probe too, to a backend more than 3 s after its
    draining or end is known.

    Draining is known from the first sign that the backend gave, from when the
    platform's list says that it is stopping, and from when a put that labels it is
    acknowledged. An end is known from the first refusal that one of our nodes met,
    or from when two calls to it ran out.
    """
    rule = "request after known draining or gone"
    receipts = rows_of(history=history, event="receipt")
    if not receipts:
        return empty(rule=rule, what="receipts")
    cuts = excuses(history=history, kinds=("line",))
    stopping = _stopping_spans(history=history)
    drained = _label_spans(history=history)
    out = []
    for row in receipts + rows_of(history=history, event="probe"):
        known = [row["signed_us"]] if row["is_draining"] and row["signed_us"] else []
        for spans in (stopping, drained):
            known += [a for a, b in spans[row["backend"]] if a <= row["at_us"] < b]
        if not known:
            continue
        late_us = row["at_us"] - min(known)
        if late_us > KNOWN_US and not _is_cut_off(row=row, cuts=cuts, since_us=min(known)):
            out.append(
                Violation(
                    rule=rule,
                    why=f"{row.get('call') or 'a probe'} by {row.get('by')} to draining "
                    f"{row['backend']} after {late_us} us",
                    at_us=row["at_us"],
                )
            )
    for row in rows_of(history=history, event="dead_send"):
        late_us = row["at_us"] - row["known_us"]
        if (
            row["known_us"]
            and late_us > KNOWN_US
            and not _is_cut_off(row=row, cuts=cuts, since_us=row["known_us"])
        ):
            out.append(
                Violation(
                    rule=rule,
                    why=f"{row['by']} to gone {row['backend']} after {late_us} us",
                    at_us=row["at_us"],
                )
            )
    return out


def _is_cut_off(*, row: dict, cuts: list, since_us: int) -> bool:
    """Could a cut have kept the update from the sender?

    An unnamed sender may be any node: the stand-ins of a live test can't distinguish
    their callers.
    """
    sender = row.get("by", "").rpartition("/")[2]
    return any(
        cut.covers(node=sender, begin_us=since_us, end_us=row["at_us"])
        or not sender
        and cut.overlaps(begin_us=since_us, end_us=row["at_us"])
        for cut in cuts
    )


def _stopping_spans(*, history: list[dict]) -> dict[str, list[tuple[int, int]]]:
    """When the platform's list said of a backend that it stops, until it said
    otherwise or the backend was truly back."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    for row in sorted(history, key=lambda row: row.get("at_us", 0)):
        name = row.get("backend", "")
        if row["event"] == "listed" and row["state"] == "stopping":
            since.setdefault(name, row["at_us"])
            continue
        is_back = row["event"] == "backend" and row.get("is_draining") is False
        if (row["event"] == "listed" or is_back) and name in since:
            spans[name].append((since.pop(name), row["at_us"]))
    for name, since_us in since.items():
        spans[name].append((since_us, NEVER_US))
    return spans


def _label_spans(*, history: list[dict]) -> dict[str, list[tuple[int, int]]]:
    """When a backend bore the drain label by an acknowledged put, until the next one
    that may have taken it off was sent."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    puts = acknowledged(history=history)
    others = [row for row in rows_of(history=history, event="put") if row.get("status") != 200]
    for put in puts:
        for name in put.drained:
            ends = [p.sent_us for p in puts if p.version > put.version and name not in p.drained]
            ends += [
                row["sent_us"]
                for row in others
                if row["sent_us"] > put.acked_us and name not in row.get("drained", ())
            ]
            spans[name].append((put.acked_us, min(ends, default=NEVER_US)))
    return spans


def extra_tries(history: list[dict]) -> list[Violation]:
    """Extra tries to a service beyond one in six plus a small slack in any 10 s: to
    the whole index, and to each of its shards. What a call sends under a second cut
    is extra as well: it began again."""
    rule = "extra tries"
    receipts = rows_of(history=history, event="receipt")
    if not receipts:
        return empty(rule=rule, what="receipts")
    seen: set = set()
    cut_of: dict[str, str] = {}
    marks: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    for row in sorted(receipts, key=lambda row: row["at_us"]):
        key = (row["call"], row["shard"])
        is_again = cut_of.setdefault(row["call"], row["cut"]) != row["cut"]
        mark = (row["at_us"], is_again or key in seen)
        seen.add(key)
        marks["the index"].append(mark)
        marks[f"{row['cut']}/{row['shard']}"].append(mark)
    out: list[Violation] = []
    for service, times in marks.items():
        out += _over_budget(rule=rule, service=service, marks=times)[:2]
    return out


def _over_budget(*, rule: str, service: str, marks: list[tuple[int, bool]]) -> list[Violation]:
    out = []
    count: Counter = Counter()
    first = 0
    for at_us, is_extra in marks:
        count[is_extra] += 1
        while marks[first][0] <= at_us - SPAN_US:
            count[marks[first][1]] -= 1
            first += 1
        if is_extra and count[True] > count[False] / SHARE + SLACK:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{service}: {count[True]} extra to {count[False]} first sends in 10 s",
                    at_us=at_us,
                )
            )
    return out
