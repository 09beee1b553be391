"""Checkers of requests sent to backends: late sends and extra attempts."""

from __future__ import annotations

from collections import Counter, defaultdict

from kelpstage.testbed.checkers.base import (
    NEVER_US,
    Violation,
    acknowledged,
    excuses,
    no_rows_violation,
    rows_of,
)

MAX_SEND_AFTER_KNOWN_US = 3_000_000
WINDOW_US = 10_000_000
FIRST_SENDS_PER_EXTRA = 6
EXTRA_SLACK = 15


def after_known(history: list[dict]) -> list[Violation]:
    """A request or a health check is sent to a backend more than 3 s after it is known that
    the backend is draining or gone.

    Draining is known once the backend signals it, the platform's list says that it is
    stopping, or a write that labels it as draining is acknowledged. A backend is known to be
    gone once a node's connection was refused, or two calls to it timed out.
    """
    rule = "request after known draining or gone"
    receipts = rows_of(history=history, event="receipt")
    if not receipts:
        return no_rows_violation(rule=rule, what="receipts")
    cuts = excuses(history=history, kinds=("line",))
    stopping = _stopping_spans(history=history)
    drained = _drain_label_spans(history=history)
    out = []
    for row in receipts + rows_of(history=history, event="probe"):
        known_times = [row["signed_us"]] if row["is_draining"] and row["signed_us"] else []
        for spans in (stopping, drained):
            known_times += [a for a, b in spans[row["backend"]] if a <= row["at_us"] < b]
        if not known_times:
            continue
        late_us = row["at_us"] - min(known_times)
        if late_us > MAX_SEND_AFTER_KNOWN_US and not _may_have_missed_update(
            row=row, cuts=cuts, since_us=min(known_times)
        ):
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
            and late_us > MAX_SEND_AFTER_KNOWN_US
            and not _may_have_missed_update(row=row, cuts=cuts, since_us=row["known_us"])
        ):
            out.append(
                Violation(
                    rule=rule,
                    why=f"{row['by']} to gone {row['backend']} after {late_us} us",
                    at_us=row["at_us"],
                )
            )
    return out


def _may_have_missed_update(*, row: dict, cuts: list, since_us: int) -> bool:
    """True if a network partition may have kept the update from the sender.

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
    """Return, by backend, the spans in which the platform's list shows it as stopping, until
    the list shows otherwise or the backend is no longer draining."""
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


def _drain_label_spans(*, history: list[dict]) -> dict[str, list[tuple[int, int]]]:
    """Return, by backend, the spans in which it has the drain label by an acknowledged write,
    until the next write that may have removed the label is sent."""
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
    """Extra attempts exceed one for each six first sends plus a slack of 15 in some 10 s, for
    the whole index or for one of its shards. Requests that a call sends under a second cut
    are extra as well, since the call was restarted."""
    rule = "extra tries"
    receipts = rows_of(history=history, event="receipt")
    if not receipts:
        return no_rows_violation(rule=rule, what="receipts")
    seen: set = set()
    cut_of: dict[str, str] = {}
    sends: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    for row in sorted(receipts, key=lambda row: row["at_us"]):
        key = (row["call"], row["shard"])
        is_again = cut_of.setdefault(row["call"], row["cut"]) != row["cut"]
        mark = (row["at_us"], is_again or key in seen)
        seen.add(key)
        sends["the index"].append(mark)
        sends[f"{row['cut']}/{row['shard']}"].append(mark)
    out: list[Violation] = []
    for service, times in sends.items():
        out += _over_budget(rule=rule, service=service, sends=times)[:2]
    return out


def _over_budget(*, rule: str, service: str, sends: list[tuple[int, bool]]) -> list[Violation]:
    out = []
    count: Counter = Counter()
    first = 0
    for at_us, is_extra in sends:
        count[is_extra] += 1
        while sends[first][0] <= at_us - WINDOW_US:
            count[sends[first][1]] -= 1
            first += 1
        if is_extra and count[True] > count[False] / FIRST_SENDS_PER_EXTRA + EXTRA_SLACK:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{service}: {count[True]} extra to {count[False]} first sends in 10 s",
                    at_us=at_us,
                )
            )
    return out
