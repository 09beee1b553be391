"""Checkers for outdated, reverted, lost and refused configurations."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import (
    Put,
    Violation,
    acknowledged,
    max_round_trip_us,
    no_rows_violation,
    possibly_in_force,
    rows_of,
    successful_calls,
    unresolved_writes,
)

MAX_OUTDATED_US = 3_000_000
MAX_REGRESSION_US = 250_000
REFUSED_ENDS = (
    "version_mismatch",
    "configuration_refused",
    "no_edge_majority",
    "put_id_reused",
    "missing_if_match",
    "bad_request",
    "oversized_body",
)


def old_configuration(history: list[dict]) -> list[Violation]:
    """A request is handled by an old configuration more than 3 s after a newer one was
    acknowledged: a reply or an error names it, or a request is sent to a backend under its
    cut. A single fetch is judged by its start, since it keeps the version it began with."""
    rule = "old configuration"
    puts, calls = acknowledged(history=history), successful_calls(history=history)
    if not puts or not calls:
        return no_rows_violation(rule=rule, what="acknowledged writes or successful calls")
    round_trip_us = max_round_trip_us(history=history)
    out = []
    for row in rows_of(history=history, event="call"):
        version = row.get("version") or row.get("defect_version")
        newer = [put.acked_us for put in puts if version and put.version > version]
        if not newer:
            continue
        handled_us = row["sent_us"] if row.get("single") else row["done_us"]
        late_us = handled_us - min(newer)
        if late_us > MAX_OUTDATED_US + round_trip_us:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{row['call']} at {row['node']} under {version}, {late_us} us late",
                    at_us=row["done_us"],
                )
            )
    return out + _outdated_sends(history=history, puts=puts, round_trip_us=round_trip_us)


def _outdated_sends(*, history: list[dict], puts: list[Put], round_trip_us: int) -> list[Violation]:
    unresolved = unresolved_writes(history=history)
    out = []
    for row in rows_of(history=history, event="receipt"):
        at_us = row["at_us"]
        candidates = possibly_in_force(
            puts=puts, begin_us=at_us, end_us=at_us, late_us=MAX_OUTDATED_US + round_trip_us
        )
        cuts = {put.cut for put in candidates}
        cuts |= {put.get("cut") for put in unresolved if put["sent_us"] <= at_us}
        if cuts and row["cut"] not in cuts:
            out.append(
                Violation(
                    rule="old configuration",
                    why=f"{row['call']} sent to {row['backend']} under cut {row['cut']}",
                    at_us=at_us,
                )
            )
    return out


def slide_back(history: list[dict]) -> list[Violation]:
    """A node uses an older configuration more than 250 ms after it used a newer one, even
    if it restarted in between."""
    rule = "slide back"
    calls = successful_calls(history=history)
    if not calls:
        return no_rows_violation(rule=rule, what="successful calls")
    round_trip_us = max_round_trip_us(history=history)
    moved: dict[str, tuple[int, int]] = {}
    out = []
    for row in sorted(calls, key=lambda row: row["done_us"]):
        node = row["node"]
        version, since_us = moved.get(node, (0, 0))
        if row["version"] > version:
            moved[node] = (row["version"], row["done_us"])
            continue
        handled_us = row["sent_us"] if row.get("single") else row["done_us"]
        if row["version"] < version and handled_us - since_us > MAX_REGRESSION_US + round_trip_us:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{node} answered {row['call']} under {row['version']} after {version}",
                    at_us=row["done_us"],
                )
            )
    return out


def lost_or_undead(history: list[dict]) -> list[Violation]:
    """An acknowledged configuration is lost, or a refused one is in force: it is read back, or
    calls are served under a version that no write accounts for."""
    rule = "lost or undead configuration"
    reads = [row for row in rows_of(history=history, event="read_back") if row["status"] == 200]
    puts = acknowledged(history=history)
    if not reads or not puts:
        return no_rows_violation(rule=rule, what="acknowledged writes or configurations read back")
    out = []
    by_version: dict[int, str] = {}
    for put in puts:
        if by_version.setdefault(put.version, put.document) != put.document:
            out.append(
                Violation(
                    rule=rule, why=f"version {put.version} acknowledged twice", at_us=put.acked_us
                )
            )
    refused = {
        row["digest"]
        for row in rows_of(history=history, event="put")
        if row.get("end") in REFUSED_ENDS and "digest" in row
    } - set(by_version.values())
    if not unresolved_writes(history=history):
        out += [
            Violation(
                rule=rule,
                why=f"{row['call']} was served under {row['version']}, which no write created",
                at_us=row["done_us"],
            )
            for row in successful_calls(history=history)
            if row["version"] not in by_version
        ]
    for read in reads:
        before = [put for put in puts if put.acked_us <= read.get("sent_us", read["at_us"])]
        newest = max((put.version for put in before), default=0)
        if read["version"] < newest:
            out.append(
                Violation(
                    rule=rule,
                    why=f"version {newest} was acknowledged, {read['version']} is read back",
                    at_us=read["at_us"],
                )
            )
        acknowledged_digest = by_version.get(read["version"])
        if acknowledged_digest is not None and acknowledged_digest != read["digest"]:
            out.append(
                Violation(
                    rule=rule,
                    why=f"version {read['version']} is read back with other bytes",
                    at_us=read["at_us"],
                )
            )
        if read["digest"] in refused:
            out.append(
                Violation(
                    rule=rule,
                    why=f"a refused write is in force as version {read['version']}",
                    at_us=read["at_us"],
                )
            )
    return out
