"""Checkers of configurations: old ones, lost ones, refused ones."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import (
    Put,
    Violation,
    acknowledged,
    empty,
    good_calls,
    in_force,
    line_us,
    rows_of,
    unsettled_puts,
)

OLD_US = 3_000_000
SLIDE_US = 250_000
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
    """A request handled by an old configuration more than 3 s after the new one was
    acknowledged: a reply or an error that names it, or a send to a backend under
    its cut. A single fetch ends under the version that it began with."""
    rule = "old configuration"
    puts, calls = acknowledged(history=history), good_calls(history=history)
    if not puts or not calls:
        return empty(rule=rule, what="acknowledged puts or good calls")
    way_us = line_us(history=history)
    out = []
    for row in rows_of(history=history, event="call"):
        version = row.get("version") or row.get("defect_version")
        newer = [put.acked_us for put in puts if version and put.version > version]
        if not newer:
            continue
        mark_us = row["sent_us"] if row.get("single") else row["done_us"]
        late_us = mark_us - min(newer)
        if late_us > OLD_US + way_us:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{row['call']} at {row['node']} under {version}, {late_us} us late",
                    at_us=row["done_us"],
                )
            )
    return out + _old_sends(history=history, puts=puts, way_us=way_us)


def _old_sends(*, history: list[dict], puts: list[Put], way_us: int) -> list[Violation]:
    unsettled = unsettled_puts(history=history)
    out = []
    for row in rows_of(history=history, event="receipt"):
        at_us = row["at_us"]
        around = in_force(puts=puts, begin_us=at_us, end_us=at_us, late_us=OLD_US + way_us)
        cuts = {put.cut for put in around}
        cuts |= {put.get("cut") for put in unsettled if put["sent_us"] <= at_us}
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
    """A node back at an older configuration more than 250 ms after it moved on; a restart
    in between changes nothing."""
    rule = "slide back"
    calls = good_calls(history=history)
    if not calls:
        return empty(rule=rule, what="good calls")
    way_us = line_us(history=history)
    moved: dict[str, tuple[int, int]] = {}
    out = []
    for row in sorted(calls, key=lambda row: row["done_us"]):
        node = row["node"]
        version, since_us = moved.get(node, (0, 0))
        if row["version"] > version:
            moved[node] = (row["version"], row["done_us"])
            continue
        mark_us = row["sent_us"] if row.get("single") else row["done_us"]
        if row["version"] < version and mark_us - since_us > SLIDE_US + way_us:
            out.append(
                Violation(
                    rule=rule,
                    why=f"{node} answered {row['call']} under {row['version']} after {version}",
                    at_us=row["done_us"],
                )
            )
    return out


def lost_or_undead(history: list[dict]) -> list[Violation]:
    """An acknowledged configuration that is lost, or a refused one that is in force: read
    back, or served under a version that no put accounts for."""
    rule = "lost or undead configuration"
    reads = [row for row in rows_of(history=history, event="read_back") if row["status"] == 200]
    puts = acknowledged(history=history)
    if not reads or not puts:
        return empty(rule=rule, what="acknowledged puts or configurations read back")
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
    if not unsettled_puts(history=history):
        out += [
            Violation(
                rule=rule,
                why=f"{row['call']} was served under {row['version']}, which nobody put",
                at_us=row["done_us"],
            )
            for row in good_calls(history=history)
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
        known = by_version.get(read["version"])
        if known is not None and known != read["digest"]:
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
                    why=f"a refused put is in force as version {read['version']}",
                    at_us=read["at_us"],
                )
            )
    return out
