"""Checkers of the content of replies: omissions, bodies, versions and quorum."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import (
    Violation,
    acknowledged,
    empty,
    good_calls,
    rows_of,
    unsettled_puts,
)


def silent_omission(history: list[dict]) -> list[Violation]:
    """A success that leaves out a shard without saying so, or names a part twice."""
    rule = "silent omission"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    cuts = {row["cut"]: row["shards"] for row in rows_of(history=history, event="cut")}
    out = []
    for row in calls:
        named = [part[0] for part in row["parts"]]
        if len(set(named)) < len(named) or set(named) & set(row["missing"]):
            out.append(_of(rule=rule, row=row, why=f"a shard stands twice: {sorted(named)}"))
        if row.get("single"):
            continue
        wanted = cuts.get(row.get("cut"), [])
        unsaid = set(wanted) - set(named) - set(row["missing"])
        if unsaid:
            out.append(_of(rule=rule, row=row, why=f"not named at all: {sorted(unsaid)}"))
        share = len(named) / len(wanted) if wanted else 0
        if abs(share - row["coverage"]) > 1e-6:
            out.append(_of(rule=rule, row=row, why=f"coverage {row['coverage']}, not {share}"))
        if share <= 0.995 and not row["warning"]:
            out.append(_of(rule=rule, row=row, why=f"no warning at {share}"))
    return out


def _of(*, rule: str, row: dict, why: str) -> Violation:
    return Violation(
        rule=rule, why=f"{row['call']} at {row.get('node')}: {why}", at_us=row["done_us"]
    )


def wrong_body(history: list[dict]) -> list[Violation]:
    """A merged answer that is not exactly the best records of the parts it names."""
    rule = "wrong body"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    return [_of(rule=rule, row=row, why=row["wrong"]) for row in calls if row.get("wrong")]


def mixed_configurations(history: list[dict]) -> list[Violation]:
    """Parts from two configurations in one answer: of two cuts, of a cut that is not
    the named version's, or of a backend that the named version gives to another shard."""
    rule = "mixed configurations"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    cut_of = {
        row["body"]["version"]: row["cut"]
        for row in rows_of(history=history, event="put")
        if row.get("status") == 200 and row.get("cut")
    }
    serves_of = {put.version: put.serves for put in acknowledged(history=history)}
    out = []
    for row in calls:
        serves = serves_of.get(row["version"])
        for shard, backend, *_ in row["parts"] if serves else ():
            if backend not in serves.get(shard, ()):
                why = f"{backend} does not serve {shard} under version {row['version']}"
                out.append(_of(rule=rule, row=row, why=why))
        cuts = sorted({part[2] for part in row["parts"]})
        if len(cuts) > 1:
            out.append(_of(rule=rule, row=row, why=f"cuts {cuts}"))
        elif row["version"] in cut_of and cuts and cuts[0] != cut_of[row["version"]]:
            out.append(_of(rule=rule, row=row, why=f"cut {cuts[0]} under version {row['version']}"))
    return out


def below_quorum(history: list[dict]) -> list[Violation]:
    """A success with fewer shards in than the route demands."""
    rule = "below quorum"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    quorum_of = {
        row["body"]["version"]: row["quorum"]
        for row in rows_of(history=history, event="put")
        if row.get("status") == 200 and row.get("quorum")
    }
    # A put whose operator got no final reply may be in force under an unknown version;
    # its cut identifies the quorum that it demands.
    unsettled = {row.get("cut"): row.get("quorum") for row in unsettled_puts(history=history)}
    return [
        _of(rule=rule, row=row, why=f"{len(row['parts'])} shards")
        for row in calls
        if not row.get("single")
        and len(row["parts"])
        < quorum_of.get(row["version"], unsettled.get(row.get("cut")) or row["quorum"])
    ]


def garbled_part(history: list[dict]) -> list[Violation]:
    """A part of a backend that sent invalid replies during the whole call."""
    rule = "garbled part"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    spans: dict[str, list[list[int]]] = {}
    for row in rows_of(history=history, event="lie"):
        if row["backend"] in spans:
            spans[row["backend"]][-1][1] = min(spans[row["backend"]][-1][1], row["at_us"])
        if row["lie"]:
            spans.setdefault(row["backend"], []).append([row["at_us"], 10**15])
    out = []
    for row in calls:
        for part in row["parts"]:
            if any(a <= row["sent_us"] and row["done_us"] <= b for a, b in spans.get(part[1], [])):
                out.append(_of(rule=rule, row=row, why=f"{part[1]} was lying"))
    return out
