"""Formats the results and the timelines of searches."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.cli.output import table

Row = dict[str, Any]  # an event of the JSON timeline


def searches_text(*, view: dict[str, Any]) -> str:
    """Formats the newest searches as a table.

    >>> searches_text(view={"node": "n1", "searches": []})
    'search  collection  part  outcome  shards  took (us)'
    """
    rows = [
        [
            row["search"],
            row["collection"],
            row["part"],
            row["outcome"],
            f"{row['shards_in']} of {row['shards']}",
            row["took_us"],
        ]
        for row in view["searches"]
    ]
    return table(
        rows=rows, heads=["search", "collection", "part", "outcome", "shards", "took (us)"]
    )


def search_text(*, view: dict[str, Any]) -> str:
    """Formats one search: its result and the timeline of each node."""
    lines = [
        f"{view['search']}: {view['outcome']}, {view['shards_in']} of {view['shards']} shards in "
        f"{view['took_us']} us of {view['time_left_us']} us, root {view['node']}"
    ]
    if view["detail"]:
        lines.append(f"  {view['detail']}")
    _node(view=view, name=view["node"], indent="  ", lines=lines)
    for name, part in view["partners"].items():
        if "why_not" in part:
            lines.append(f"    {name}: no timeline ({part['why_not']})")
            continue
        _node(view=part, name=name, indent="    ", lines=lines)
    return "\n".join(lines)


def _node(*, view: dict[str, Any], name: str, indent: str, lines: list[str]) -> None:
    lines.append(f"{indent}{name}: {view['outcome']}, {view['shards_in']} of {view['shards']}")
    for row in view["timeline"]:
        lines.append(f"{indent}  {row['at_us']:>8} us  {event_text(row=row)}")
    if view["left_out"]:
        lines.append(f"{indent}  ({view['left_out']} more events were dropped)")


def event_text(*, row: dict[str, Any]) -> str:
    """Formats one event of a timeline.

    >>> event_text(row={"event": "ChildLate", "node": "n2"})
    'n2 did not reply within its window'
    """
    text_of = EVENT_TEXTS.get(row["event"])
    return text_of(row) if text_of else str(row["event"])


def _planned(row: Row) -> str:
    return f"planned under configuration {row['version']}: {_tree(row['subtree'])}"


def _attempt_sent(row: Row) -> str:
    costs = _compare_costs(ranked=row["ranked"], chosen=row["backend"])
    return (
        f"{row['shard']} -> {row['backend']} ({row['why']}; window {row['window_us']} us; {costs})"
    )


def _child_queried(row: Row) -> str:
    prefix = "the rest of " if row["is_resumed"] else ""
    shards = ", ".join(row["shards"])
    return f"{prefix}{shards} -> {row['node']} (window {row['window_us']} us)"


def _child_ended(row: Row) -> str:
    shards = ", ".join(row["shards_in"]) or "none"
    missing = "".join(
        f"; {shard} missing: {why} {more}".rstrip() for shard, why, more in row["missing"]
    )
    return f"{row['node']}: {row['outcome']}; received: {shards}{missing}"


EVENT_TEXTS: dict[str, Callable[[Row], str]] = {
    "Began": lambda row: "request received again",
    "Planned": _planned,
    "OmissionSet": lambda row: (
        f"shards without a result after {row['after_us']} us may be left out"
    ),
    "AttemptSent": _attempt_sent,
    "AttemptRefused": lambda row: f"{row['shard']} not queried: {row['why']}",
    "AttemptEnded": lambda row: f"{row['shard']} <- {row['backend']}: {row['outcome']}",
    "ChildQueried": _child_queried,
    "ChildLate": lambda row: f"{row['node']} did not reply within its window",
    "ChildEnded": _child_ended,
    "SearchRestarted": lambda row: f"restarted, was under configuration {row['was']}: {row['why']}",
    "Ended": lambda row: f"{row['outcome']}, {row['shards_in']} of {row['shards']} shards",
}


def _tree(subtree: dict[str, Any] | None) -> str:
    if subtree is None:
        return "a single record"
    inner = "".join(f" [{_tree(child)}]" for child in subtree["children"])
    return f"{subtree['node']} {'+'.join(subtree['shards']) or '-'}{inner}"


def _compare_costs(*, ranked: list[dict[str, Any]], chosen: str) -> str:
    """Formats the cost of the selected and the next backend, and why others were excluded."""
    selected = next(candidate for candidate in ranked if candidate["backend"] == chosen)
    texts = [_cost(candidate=selected)]
    others = [
        candidate
        for candidate in ranked
        if candidate["backend"] != chosen and not candidate["why_not"]
    ]
    if others:
        texts.append(f"next {others[0]['backend']}: {_cost(candidate=others[0])}")
    texts += [
        f"not {candidate['backend']}: {candidate['why_not']}"
        for candidate in ranked
        if candidate["why_not"]
    ]
    return "; ".join(texts)


def _cost(*, candidate: dict[str, Any]) -> str:
    where = "own zone" if candidate["is_near"] else "another zone"
    penalties = ", distrusted" if candidate["is_distrusted"] else ""
    penalties += ", overdue" if candidate["is_overdue"] else ""
    return f"{where}, {candidate['in_flight']} in flight, mean {candidate['mean_us']} us{penalties}"
