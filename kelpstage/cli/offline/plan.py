"""The gathering plan of a configuration without a fleet, by the edges' own code."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import RECORDS
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.selection import options
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.tree import Subtree, build_tree, last_fan_out, levels


def offline_plan(
    *, configuration: Configuration, collection: str, root: str, gone: frozenset[str]
) -> dict[str, Any]:
    """The plan that `root` would make if every node and backend but `gone` is up.

    The backends of a service come from a list that no file holds, so a forward route's
    plan names services; where no nodes are declared, it is drawn over nameless ones.
    """
    route = configuration.routes[collection]
    helpers = _helpers(configuration=configuration, collection=collection, root=root, gone=gone)
    registry = _registry(configuration=configuration, root=root, gone=gone)
    tree = build_tree(root=root, shards=route.fan_out, helpers=helpers, fan_out=route.tree_fan_out)
    count = len(route.fan_out)
    placed = _placed(
        configuration=configuration, registry=registry, collection=collection, subtree=tree
    )
    if configuration.collections[collection].codec == RECORDS:
        for shard, row in placed.items():
            is_up = shard not in gone
            row |= {"backend": f"a backend of {shard}" if is_up else None, "is_near": is_up}
    missing = sorted(shard for shard, row in placed.items() if row["backend"] is None)
    return {
        "collection": collection,
        "root": root,
        "levels": levels(shard_count=count, fan_out=route.tree_fan_out),
        "last_fan_out": last_fan_out(shard_count=count, fan_out=route.tree_fan_out),
        "helpers": helpers,
        "shards": placed,
        "missing": missing,
        "coverage": (count - len(missing)) / count,
        "is_quorum_met": count - len(missing) >= route.quorum,
    } | _shares(configuration=configuration, name=collection)


def _helpers(
    *, configuration: Configuration, collection: str, root: str, gone: frozenset[str]
) -> list[str]:
    """The nodes that may gather beside the root, those of its own zone first."""
    zone = configuration.nodes.get(root, {}).get("domain", "")
    names = [
        name
        for _, name in sorted(
            (labels.get("domain", "") != zone, name)
            for name, labels in configuration.nodes.items()
            if name != root
            and name not in gone
            and configuration.is_gatherer(
                collection=collection, name=name, zone=labels.get("domain", "")
            )
        )
    ]
    if not configuration.nodes and collection in configuration.forward:
        fan_out = configuration.routes[collection].fan_out
        names = [f"edge {place + 2}" for place in range(len(fan_out))]
    return names


def _registry(*, configuration: Configuration, root: str, gone: frozenset[str]) -> BackendRegistry:
    """The registry of an edge that knows of nothing but what is gone."""
    registry = BackendRegistry(me=root)
    for name in configuration.backends:
        entry = registry.entry(name=name)
        entry.address = configuration.backends[name].address or "0.0.0.0:1"
        if name in gone:
            entry.state, entry.why = BackendState.GONE, "named as gone"
    return registry


def _shares(*, configuration: Configuration, name: str) -> dict[str, Any]:
    """What part of a forward route's requests each service gets, if it is split."""
    route = configuration.forward.get(name)
    if route is None or not route.weights:
        return {}
    total = sum(weight for _, weight in route.weights)
    return {"shares": {service: weight / total for service, weight in route.weights}}


def _placed(
    *, configuration: Configuration, registry: BackendRegistry, collection: str, subtree: Subtree
) -> dict[str, dict[str, Any]]:
    zone = configuration.nodes.get(subtree.node, {}).get("domain", "")
    out: dict[str, dict[str, Any]] = {}
    for shard in subtree.shards:
        ranked = options(
            configuration=configuration,
            registry=registry,
            latencies=LatencyEstimates(),
            collection=collection,
            shard=shard,
            zone=zone,
            now_us=0,
            rand=None,
        )
        best = ranked[0] if ranked and not ranked[0].refusal else None
        out[shard] = {
            "node": subtree.node,
            "domain": zone,
            "backend": best.backend if best else None,
            "is_near": best.is_near if best else False,
            "others": [o.backend for o in ranked[1:] if not o.refusal],
            "left_out": {o.backend: o.refusal for o in ranked if o.refusal},
        }
    for child in subtree.children:
        out |= _placed(
            configuration=configuration, registry=registry, collection=collection, subtree=child
        )
    return out


def changes(*, before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """What differs between two plans, a line each.

    >>> changes(before={"shards": {"s": {"node": "a", "backend": "b"}}, "coverage": 1},
    ...         after={"shards": {"s": {"node": "a", "backend": None}}, "coverage": 0})
    ['s: backend b -> none', 'coverage: 1 -> 0']
    """
    out = []
    for shard, row in sorted(before["shards"].items()):
        for what in ("node", "backend"):
            old, new = row[what], after["shards"][shard][what]
            if old != new:
                out.append(f"{shard}: {what} {old or 'none'} -> {new or 'none'}")
    if before["coverage"] != after["coverage"]:
        out.append(f"coverage: {before['coverage']} -> {after['coverage']}")
    return out


def any_root(*, configuration: Configuration, rand: random.Random | None = None) -> str:
    """A node to plan from when none is named: the first by name.

    >>> from kelpstage.common.configuration.types import EMPTY
    >>> any_root(configuration=EMPTY)
    'root'
    """
    return min(configuration.nodes, default="root")
