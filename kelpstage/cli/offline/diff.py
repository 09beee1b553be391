"""What a new configuration would alter."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any, Iterable, Mapping

from kelpstage.common.configuration.types import Configuration

Change = dict[str, Any]  # a row of the JSON output: path, was, will


def diff_of(*, old: Configuration, new: Configuration) -> list[Change]:
    """The changes, each with its path, what was and what will be."""
    rows: list[Change] = []
    for name in sorted(set(old.backends) | set(new.backends)):
        _note(
            rows=rows,
            path=f"backends.{name}",
            was=_backend(configuration=old, name=name),
            will=_backend(configuration=new, name=name),
        )
    for name in sorted(set(old.nodes) | set(new.nodes)):
        _note(rows=rows, path=f"nodes.{name}", was=old.nodes.get(name), will=new.nodes.get(name))
    forward = set(old.forward) | set(new.forward)  # what is made from them is told by them
    for name in sorted((set(old.collections) | set(new.collections)) - forward):
        _note_collection(rows=rows, old=old, new=new, name=name)
    for name in sorted((set(old.routes) | set(new.routes)) - forward):
        _note(
            rows=rows,
            path=f"routes.{name}",
            was=_route(configuration=old, name=name),
            will=_route(configuration=new, name=name),
        )
    return rows + _forward_rows(old=old, new=new)


def _forward_rows(*, old: Configuration, new: Configuration) -> list[Change]:
    """Services and forward routes, field by field; limits, version, source."""
    rows: list[Change] = []
    for section in ("services", "forward"):
        before, after = getattr(old, section), getattr(new, section)
        for name in sorted(set(before) | set(after)):
            was = _fields(one=before.get(name))
            will = _fields(one=after.get(name))
            if was is None or will is None:
                _note(rows=rows, path=f"{section}.{name}", was=was, will=will)
                continue
            for key in was:
                _note(rows=rows, path=f"{section}.{name}.{key}", was=was[key], will=will[key])
    _note(rows=rows, path="limits", was=_fields(one=old.limits), will=_fields(one=new.limits))
    _note(rows=rows, path="version", was=old.stated_version, will=new.stated_version)
    _note(
        rows=rows,
        path="source (bytes)",
        was=len(old.source),
        will=len(new.source) if old.source == new.source else f"{len(new.source)}, other ones",
    )
    return rows


def _fields(*, one: Any) -> dict[str, Any] | None:
    if one is None:
        return None
    fields = {name: value for name, value in asdict(one).items() if name != "name"}
    if "weights" in fields:
        fields["weights"] = dict(fields["weights"])
        fields["fan_out"] = list(fields["fan_out"])
    return fields


def _note(*, rows: list[Change], path: str, was: Any, will: Any) -> None:
    if was != will:
        rows.append({"path": path, "was": was, "will": will})


def _backend(*, configuration: Configuration, name: str) -> dict[str, Any] | None:
    backend = configuration.backends.get(name)
    return {"address": backend.address, "labels": backend.labels} if backend else None


def _route(*, configuration: Configuration, name: str) -> dict[str, Any] | None:
    route = configuration.routes.get(name)
    if route is None:
        return None
    return {
        "FanOut": list(route.fan_out),
        "Quorum": route.quorum,
        "fan_out": route.tree_fan_out,
        "window_us": route.window_us,
    }


def _note_collection(
    *, rows: list[Change], old: Configuration, new: Configuration, name: str
) -> None:
    before, after = old.collections.get(name), new.collections.get(name)
    if before is None or after is None:
        _note(
            rows=rows,
            path=f"collections.{name}",
            was=sorted(before.shards) if before else None,
            will=sorted(after.shards) if after else None,
        )
        return
    path = f"collections.{name}"
    _note(rows=rows, path=f"{path}.order_by", was=before.order_by, will=after.order_by)
    _note(
        rows=rows,
        path=f"{path}.gatherers",
        was=_plain(selector=before.gatherers),
        will=_plain(selector=after.gatherers),
    )
    for shard in sorted(set(before.shards) | set(after.shards)):
        a, b = before.shards.get(shard), after.shards.get(shard)
        _note(rows=rows, path=f"{path}.shards.{shard}.cut", was=a and a.cut, will=b and b.cut)
        _note(
            rows=rows,
            path=f"{path}.shards.{shard} (backends)",
            was=list(old.backends_of(collection=name, shard=shard)) if a else None,
            will=list(new.backends_of(collection=name, shard=shard)) if b else None,
        )


def _plain(*, selector: Mapping[str, Iterable[str]]) -> dict[str, list[str]]:
    return {name: list(values) for name, values in sorted(selector.items())}
