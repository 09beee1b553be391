"""What became of searches, as text."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.cli.output import table

Row = dict[str, Any]  # an event of the JSON timeline


def searches_text(*, view: dict[str, Any]) -> str:
    """The newest searches as a table.

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
    """One search: its tree, then what happened at each node, in order."""
    lines = [
        f"{view['search']}: {view['outcome']}, {view['shards_in']} of {view['shards']} shards in "
        f"{view['took_us']} us of {view['time_left_us']} us, root {view['node']}"
    ]
    if view["detail"]:
        lines.append(f"  {view['detail']}")
    _node(view=view, name=view["node"], pad="  ", lines=lines)
    for name, part in view["partners"].items():
        if "why_not" in part:
            lines.append(f"    {name}: not told ({part['why_not']})")
            continue
        _node(view=part, name=name, pad="    ", lines=lines)
    return "\n".join(lines)


def _node(*, view: dict[str, Any], name: str, pad: str, lines: list[str]) -> None:
    lines.append(f"{pad}{name}: {view['outcome']}, {view['shards_in']} of {view['shards']}")
    for row in view["timeline"]:
        lines.append(f"{pad}  {row['at_us']:>8} us  {event_text(row=row)}")
    if view["left_out"]:
        lines.append(f"{pad}  ({view['left_out']} more events were not kept)")


def event_text(*, row: dict[str, Any]) -> str:
    """One event of a timeline in words.

    >>> event_text(row={"event": "ChildLate", "node": "n2"})
    'n2 let its window pass'
    """
    text_of = EVENT_TEXTS.get(row["event"])
    return text_of(row) if text_of else str(row["event"])


def _planned(row: Row) -> str:
    return f"planned under configuration {row['version']}: {_tree(row['subtree'])}"


def _attempt_sent(row: Row) -> str:
    rivals = _rivals(ranked=row["ranked"], chosen=row["backend"])
    return (
        f"{row['shard']} -> {row['backend']} ({row['why']}; window {row['window_us']} us; {rivals})"
    )


def _child_queried(row: Row) -> str:
    rest = "the rest of " if row["is_resumed"] else ""
    shards = ", ".join(row["shards"])
    return f"{rest}{shards} -> {row['node']} (window {row['window_us']} us)"


def _child_ended(row: Row) -> str:
    shards = ", ".join(row["shards_in"]) or "none"
    missing = "".join(
        f"; {shard} missing: {why} {more}".rstrip() for shard, why, more in row["missing"]
    )
    return f"{row['node']}: {row['outcome']}; in: {shards}{missing}"


EVENT_TEXTS: dict[str, Callable[[Row], str]] = {
    "Began": lambda row: "asked once more",
    "Planned": _planned,
    "OmissionSet": lambda row: f"what is not in after {row['after_us']} us may be left out",
    "AttemptSent": _attempt_sent,
    "AttemptRefused": lambda row: f"{row['shard']} not asked: {row['why']}",
    "AttemptEnded": lambda row: f"{row['shard']} <- {row['backend']}: {row['outcome']}",
    "ChildQueried": _child_queried,
    "ChildLate": lambda row: f"{row['node']} let its window pass",
    "ChildEnded": _child_ended,
    "SearchRestarted": lambda row: (
        f"begun again, was under configuration {row['was']}: {row['why']}"
    ),
    "Ended": lambda row: f"{row['outcome']}, {row['shards_in']} of {row['shards']} shards",
}


def _tree(subtree: dict[str, Any] | None) -> str:
    if subtree is None:
        return "a single record"
    inner = "".join(f" [{_tree(child)}]" for child in subtree["children"])
    return f"{subtree['node']} {'+'.join(subtree['shards']) or '-'}{inner}"


def _rivals(*, ranked: list[dict[str, Any]], chosen: str) -> str:
    """Why the chosen one was better than the next, and why others were out."""
    mine = next(one for one in ranked if one["backend"] == chosen)
    words = [_cost(one=mine)]
    left = [one for one in ranked if one["backend"] != chosen and not one["why_not"]]
    if left:
        words.append(f"next {left[0]['backend']}: {_cost(one=left[0])}")
    words += [f"not {one['backend']}: {one['why_not']}" for one in ranked if one["why_not"]]
    return "; ".join(words)


def _cost(*, one: dict[str, Any]) -> str:
    where = "own zone" if one["is_near"] else "another zone"
    penalties = ", distrusted" if one["is_distrusted"] else ""
    penalties += ", overdue" if one["is_overdue"] else ""
    return f"{where}, {one['in_flight']} in flight, mean {one['mean_us']} us{penalties}"
