"""Formats gathering plans."""

from __future__ import annotations

from typing import Any


def plan_text(*, view: dict[str, Any]) -> str:
    """Formats a plan as an indented tree."""
    lines = [
        f"{view['collection']} under configuration {view['configuration']}, from {view['root']}: "
        f"{view['shards']} shards, quorum {view['quorum']}, fan-out {view['fan_out']}, "
        f"{view['levels']} levels, last fan-out {view['last_fan_out']}, "
        f"window {view['window_us']} us"
    ]
    _subtree(view=view["tree"], depth=1, lines=lines)
    left_out = [row for row in view["nodes"] if row["why_not"]]
    for row in left_out:
        lines.append(f"  not selected: {row['node']} ({row['why_not']})")
    return "\n".join(lines)


def _subtree(*, view: dict[str, Any], depth: int, lines: list[str]) -> None:
    indent = "  " * depth
    lines.append(f"{indent}{view['node']} ({view['domain'] or 'domain unknown'})")
    for row in view["shards"]:
        why = "own zone" if row["options"] and row["options"][0]["is_near"] else "another zone"
        excluded = [o for o in row["options"] if o["why_not"]]
        note = "".join(f"; not {o['backend']}: {o['why_not']}" for o in excluded)
        chosen = f"{row['backend']} ({why})" if row["backend"] else "no backend"
        lines.append(f"{indent}  {row['shard']} <- {chosen}{note}")
    for child in view["children"]:
        _subtree(view=child, depth=depth + 1, lines=lines)
