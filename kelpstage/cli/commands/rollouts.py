"""Commands on rollouts: begin one, and show what became of it and why."""

from __future__ import annotations

import json
from typing import Any, List, Optional
from urllib.parse import quote

import typer

from kelpstage.cli.client import json_or_fail, require_addresses, send_request
from kelpstage.cli.options import AS_JSON, CORES
from kelpstage.cli.output import show

DEFAULT_OVER_S = 600.0


def rollout(
    service: str = typer.Argument(help="The service whose traffic moves."),
    target: str = typer.Argument(help="The version that it moves to, as the list names it."),
    over_s: float = typer.Option(DEFAULT_OVER_S, "--over", help="Seconds to take at most."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Begin to move a service to another version; a repeat of the same order is harmless."""
    order = {"service": service, "target": target, "over_us": round(over_s * 1_000_000)}
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"),
        method="POST",
        path="/v1/rollouts",
        headers={"Content-Type": "application/json"},
        body=json.dumps(order).encode(),
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    show(body=body, is_json=is_json, text=f"rollout of {service} to {target} has begun")


def rollouts(
    service: Optional[str] = typer.Argument(None, help="One service; without it, all of them."),
    core: Optional[List[str]] = CORES,
    is_json: bool = AS_JSON,
) -> None:
    """Show rollouts: condition, share, answers of both sides, and why one was reverted."""
    path = "/v1/rollouts" if service is None else f"/v1/rollouts/{quote(service, safe='')}"
    reply = send_request(
        addresses=require_addresses(given=core or [], what="core"), method="GET", path=path
    )
    body = json_or_fail(reply=reply, is_json=is_json)
    rows = body["rollouts"] if service is None else [body]
    text = "\n".join(map(rollout_text, rows)) or "no rollout was ordered"
    show(body=body, is_json=is_json, text=text)


def rollout_text(row: dict[str, Any]) -> str:
    """Return one rollout as a few lines of text.

    >>> print(rollout_text({"service": "s", "target": "v2", "condition": "reverted",
    ...     "share": 0.0, "why": "3 of 9 answers failed"}))
    s -> v2: reverted, share 0 %
      why: 3 of 9 answers failed
    """
    lines = [
        f"{row['service']} -> {row['target']}: {row['condition']}, share {100 * row['share']:.3g} %"
    ]
    if row.get("why"):
        lines.append(f"  why: {row['why']}")
    for side, routes in (row.get("answers") or {}).items():
        counts = (
            f"{route} {one['answered']} ({one['failed']} failed)" for route, one in routes.items()
        )
        lines.append(f"  {side}: {row['instances'][side]} instances; {', '.join(counts) or '-'}")
    return "\n".join(lines)
