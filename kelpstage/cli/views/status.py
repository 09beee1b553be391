"""Formats the status and the membership of cores and edges."""

from __future__ import annotations

from typing import Any

from kelpstage.cli.output import table

CONTROL_PROGRAMS = ("kelpstage-control", "kelpc")  # the second is its name up to version 0.1.0


def membership_text(*, view: dict[str, Any]) -> str:
    """Formats the membership as a table.

    >>> membership_text(view={"epoch": 1, "version": 2, "is_settled": False, "edges": []})
    'version 2, epoch 1, not settled\\nedge  zone  votes  epoch  behind  heard ago (us)'
    """
    rows = [_membership_row(row=row) for row in view["edges"]]
    head = f"version {view['version']}, epoch {view['epoch']}"
    if not view.get("is_settled", True):  # older versions do not send this key
        head += ", not settled"
    heads = ["edge", "zone", "votes", "epoch", "behind", "heard ago (us)"]
    return f"{head}\n" + table(rows=rows, heads=heads)


def _membership_row(*, row: dict[str, Any]) -> list[Any]:
    behind = "yes" if row["is_behind"] else "no"
    return [
        row["edge"],
        row["domain"],
        "yes" if row.get("is_voting", True) else "no",
        row["epoch"],
        "left" if row.get("has_left") else behind,
        row["heard_us_ago"],
    ]


def status_text(*, view: dict[str, Any]) -> str:
    """Formats the status of a core or an edge."""
    is_core = view["program"] in CONTROL_PROGRAMS
    return _core_text(view=view) if is_core else _edge_text(view=view)


def _core_text(*, view: dict[str, Any]) -> str:
    lines = [f"kelpstage-control {view['address']} ({view['domain']}), replica {view['replica']}"]
    if view["waits_for"]:
        lines.append(f"  waits for: {view['waits_for']}")
    if "role" not in view:
        return "\n".join(lines)
    lines += _log_lines(view=view)
    lines += [_member_line(member=member) for member in view["members"]]
    margin = view.get("margin")
    if margin is not None and margin["losses_borne"] < margin["losses_wanted"]:
        lines.append(
            f"  tolerates the loss of {max(0, margin['losses_borne'])} more voters,"
            f" {margin['losses_wanted']} are required, for the last {margin['since_us_ago']} us"
        )
    if "roster" in view:
        body = view | {"edges": view["roster"]}
        if not view.get("is_settled", True):
            lines.append(f"  epoch {view['epoch']} is not settled")
        lines += ["  " + line for line in membership_text(view=body).splitlines()[1:]]
    return "\n".join(lines)


def _log_lines(*, view: dict[str, Any]) -> list[str]:
    log = view["log"]
    return [
        f"  {view['role']} in term {view['term']}, leader {view['leader'] or 'unknown'}; "
        f"configuration {view['version']}, epoch {view['epoch']}",
        f"  log {log['first']}..{log['last']}, durable {log['durable']}, "
        f"committed {log['commit']}, applied {log['applied']}",
    ]


def _member_line(*, member: dict[str, Any]) -> str:
    kind = "voter" if member["is_voter"] else "learner"
    line = f"  {kind} {member['address']}"
    if "match" in member:
        line += f", has {member['match']}, last contact {member['heard_us_ago']} us ago"
    return line


def _edge_text(*, view: dict[str, Any]) -> str:
    lease = view["lease"]
    lines = [
        f"kelpstage-edge {view['name']} {view['address']} ({view['domain']}): "
        + ("ready" if view["is_ready"] else f"not ready: {view['why_not']}"),
        f"  configuration {view['version']}, epoch {view['epoch']} (newest known "
        f"{view['newest_epoch']}); lease "
        + (f"held for {lease['left_us']} us" if lease["is_held"] else "not held")
        + f", leader {lease['leader'] or 'unknown'}, {len(lease['vouchers'])} of "
        f"{len(lease['roster'])} edges confirm it",
    ]
    lines += [
        f"  peer {row['name']}: {row['status']}"
        for row in view["partners"]
        if row["status"] != "alive"
    ]
    lines += _backend_lines(view=view)
    lines += _search_lines(view=view)
    return "\n".join(lines)


def _backend_lines(*, view: dict[str, Any]) -> list[str]:
    """Formats the backends that are not up."""
    lines = []
    for row in view["backends"]:
        if row["state"] != "up" or row["is_dark"]:
            state = "dark" if row["is_dark"] else row["state"]
            lines.append(f"  backend {row['name']}: {state} ({row['why']})")
    return lines


def _search_lines(*, view: dict[str, Any]) -> list[str]:
    """Formats the outcomes of searches, and the extra attempts of each service."""
    lines = []
    for collection, row in view["searches"].items():
        outcomes = ", ".join(f"{count} {end}" for end, count in row["ends"].items())
        times = f"50 % within {row['p50_us']} us, 99 % within {row['p99_us']} us"
        lines.append(f"  {collection}: {outcomes}; {times}")
    for service, row in view["budget"].items():
        lines.append(
            f"  {service}, last 10 s: {row['first']} first attempts, {row['extra']} extra; "
            f"{row['refused']} extra rejected in total"
        )
    return lines
