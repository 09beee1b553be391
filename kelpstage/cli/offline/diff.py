"""Differences between two configurations."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any, Iterable, Mapping

from kelpstage.common.configuration.types import Configuration

Change = dict[str, Any]  # a row of the JSON output: path, was, will


def diff_of(*, old: Configuration, new: Configuration) -> list[Change]:
    """Returns the changes, each with its path, its old value and its new value."""
    rows: list[Change] = []
    for name in sorted(set(old.backends) | set(new.backends)):
        _add_if_changed(
            rows=rows,
            path=f"backends.{name}",
            was=_backend_as_json(configuration=old, name=name),
            will=_backend_as_json(configuration=new, name=name),
        )
    for name in sorted(set(old.nodes) | set(new.nodes)):
        _add_if_changed(
            rows=rows, path=f"nodes.{name}", was=old.nodes.get(name), will=new.nodes.get(name)
        )
    # Collections and routes that are derived from forward routes are skipped.
    forward = set(old.forward) | set(new.forward)
    for name in sorted((set(old.collections) | set(new.collections)) - forward):
        _add_collection_changes(rows=rows, old=old, new=new, name=name)
    for name in sorted((set(old.routes) | set(new.routes)) - forward):
        _add_if_changed(
            rows=rows,
            path=f"routes.{name}",
            was=_route_as_json(configuration=old, name=name),
            will=_route_as_json(configuration=new, name=name),
        )
    return rows + _forward_changes(old=old, new=new)


def _forward_changes(*, old: Configuration, new: Configuration) -> list[Change]:
    """Compares services and forward routes field by field, and limits, version and source."""
    rows: list[Change] = []
    for section in ("services", "forward"):
        before, after = getattr(old, section), getattr(new, section)
        for name in sorted(set(before) | set(after)):
            was = _fields_as_json(entry=before.get(name))
            will = _fields_as_json(entry=after.get(name))
            if was is None or will is None:
                _add_if_changed(rows=rows, path=f"{section}.{name}", was=was, will=will)
                continue
            for key in was:
                _add_if_changed(
                    rows=rows, path=f"{section}.{name}.{key}", was=was[key], will=will[key]
                )
    _add_if_changed(
        rows=rows,
        path="limits",
        was=_fields_as_json(entry=old.limits),
        will=_fields_as_json(entry=new.limits),
    )
    _add_if_changed(rows=rows, path="version", was=old.stated_version, will=new.stated_version)
    _add_if_changed(
        rows=rows,
        path="source (bytes)",
        was=len(old.source),
        will=len(new.source) if old.source == new.source else f"{len(new.source)}, different",
    )
    return rows


def _fields_as_json(*, entry: Any) -> dict[str, Any] | None:
    if entry is None:
        return None
    fields = {name: value for name, value in asdict(entry).items() if name != "name"}
    if "weights" in fields:
        fields["weights"] = dict(fields["weights"])
        fields["fan_out"] = list(fields["fan_out"])
    return fields


def _add_if_changed(*, rows: list[Change], path: str, was: Any, will: Any) -> None:
    if was != will:
        rows.append({"path": path, "was": was, "will": will})


def _backend_as_json(*, configuration: Configuration, name: str) -> dict[str, Any] | None:
    backend = configuration.backends.get(name)
    return {"address": backend.address, "labels": backend.labels} if backend else None


def _route_as_json(*, configuration: Configuration, name: str) -> dict[str, Any] | None:
    route = configuration.routes.get(name)
    if route is None:
        return None
    return {
        "FanOut": list(route.fan_out),
        "Quorum": route.quorum,
        "fan_out": route.tree_fan_out,
        "window_us": route.window_us,
    }


def _add_collection_changes(
    *, rows: list[Change], old: Configuration, new: Configuration, name: str
) -> None:
    before, after = old.collections.get(name), new.collections.get(name)
    if before is None or after is None:
        _add_if_changed(
            rows=rows,
            path=f"collections.{name}",
            was=sorted(before.shards) if before else None,
            will=sorted(after.shards) if after else None,
        )
        return
    path = f"collections.{name}"
    _add_if_changed(rows=rows, path=f"{path}.order_by", was=before.order_by, will=after.order_by)
    _add_if_changed(
        rows=rows,
        path=f"{path}.gatherers",
        was=_selector_as_json(selector=before.gatherers),
        will=_selector_as_json(selector=after.gatherers),
    )
    for shard in sorted(set(before.shards) | set(after.shards)):
        was, will = before.shards.get(shard), after.shards.get(shard)
        _add_if_changed(
            rows=rows,
            path=f"{path}.shards.{shard}.cut",
            was=was and was.cut,
            will=will and will.cut,
        )
        _add_if_changed(
            rows=rows,
            path=f"{path}.shards.{shard} (backends)",
            was=list(old.backends_of(collection=name, shard=shard)) if was else None,
            will=list(new.backends_of(collection=name, shard=shard)) if will else None,
        )


def _selector_as_json(*, selector: Mapping[str, Iterable[str]]) -> dict[str, list[str]]:
    return {name: list(values) for name, values in sorted(selector.items())}
