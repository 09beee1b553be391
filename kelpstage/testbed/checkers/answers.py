"""Checkers of reply content: omissions, bodies, configuration versions and quorum."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import (
    Violation,
    acknowledged,
    no_rows_violation,
    rows_of,
    successful_calls,
    unresolved_writes,
)


def silent_omission(history: list[dict]) -> list[Violation]:
    """A success omits a shard without reporting it, or names a shard twice."""
    rule = "silent omission"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
    cuts = {row["cut"]: row["shards"] for row in rows_of(history=history, event="cut")}
    out = []
    for row in calls:
        named = [part[0] for part in row["parts"]]
        if len(set(named)) < len(named) or set(named) & set(row["missing"]):
            out.append(
                _call_violation(rule=rule, row=row, why=f"a shard is named twice: {sorted(named)}")
            )
        if row.get("single"):
            continue
        expected = cuts.get(row.get("cut"), [])
        unreported = set(expected) - set(named) - set(row["missing"])
        if unreported:
            out.append(
                _call_violation(
                    rule=rule,
                    row=row,
                    why=f"shards neither included nor reported as missing: {sorted(unreported)}",
                )
            )
        share = len(named) / len(expected) if expected else 0
        if abs(share - row["coverage"]) > 1e-6:
            out.append(
                _call_violation(rule=rule, row=row, why=f"coverage {row['coverage']}, not {share}")
            )
        if share <= 0.995 and not row["warning"]:
            out.append(_call_violation(rule=rule, row=row, why=f"no warning at coverage {share}"))
    return out


def _call_violation(*, rule: str, row: dict, why: str) -> Violation:
    return Violation(
        rule=rule, why=f"{row['call']} at {row.get('node')}: {why}", at_us=row["done_us"]
    )


def wrong_body(history: list[dict]) -> list[Violation]:
    """A merged answer differs from the best records of the parts that it names."""
    rule = "wrong body"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
    return [
        _call_violation(rule=rule, row=row, why=row["wrong"]) for row in calls if row.get("wrong")
    ]


def mixed_configurations(history: list[dict]) -> list[Violation]:
    """One answer holds parts of two configurations: from two cuts, from a cut that is not the
    named version's, or from a backend that does not serve the shard under that version."""
    rule = "mixed configurations"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
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
                out.append(_call_violation(rule=rule, row=row, why=why))
        cuts = sorted({part[2] for part in row["parts"]})
        if len(cuts) > 1:
            out.append(_call_violation(rule=rule, row=row, why=f"cuts {cuts}"))
        elif row["version"] in cut_of and cuts and cuts[0] != cut_of[row["version"]]:
            out.append(
                _call_violation(
                    rule=rule, row=row, why=f"cut {cuts[0]} under version {row['version']}"
                )
            )
    return out


def below_quorum(history: list[dict]) -> list[Violation]:
    """A success includes fewer shards than its route's quorum."""
    rule = "below quorum"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
    quorum_of = {
        row["body"]["version"]: row["quorum"]
        for row in rows_of(history=history, event="put")
        if row.get("status") == 200 and row.get("quorum")
    }
    # A write without a final reply may be in force under an unknown version; its cut
    # identifies the quorum that it requires.
    unresolved = {row.get("cut"): row.get("quorum") for row in unresolved_writes(history=history)}
    return [
        _call_violation(rule=rule, row=row, why=f"{len(row['parts'])} shards")
        for row in calls
        if not row.get("single")
        and len(row["parts"])
        < quorum_of.get(row["version"], unresolved.get(row.get("cut")) or row["quorum"])
    ]


def garbled_part(history: list[dict]) -> list[Violation]:
    """A success includes a part of a backend that sent invalid replies during the whole call."""
    rule = "garbled part"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
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
                out.append(
                    _call_violation(rule=rule, row=row, why=f"{part[1]} sent invalid replies")
                )
    return out
