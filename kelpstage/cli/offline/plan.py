"""Computes the gathering plan of a configuration offline, with the code of the edges."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import RECORDS_CODEC
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.selection import options
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.tree import Subtree, build_tree, last_fan_out, levels


def offline_plan(
    *, configuration: Configuration, collection: str, root: str, gone: frozenset[str]
) -> dict[str, Any]:
    """Returns the plan that `root` makes while every node and backend except `gone` is up.

    The backends of a service come from discovery and are in no file, so the plan of a forward
    route names services. If the configuration declares no nodes, the plan has placeholder nodes.
    """
    route = configuration.routes[collection]
    helpers = _helpers(configuration=configuration, collection=collection, root=root, gone=gone)
    registry = _registry(configuration=configuration, root=root, gone=gone)
    tree = build_tree(root=root, shards=route.fan_out, helpers=helpers, fan_out=route.tree_fan_out)
    count = len(route.fan_out)
    placed = _place_shards(
        configuration=configuration, registry=registry, collection=collection, subtree=tree
    )
    if configuration.collections[collection].codec == RECORDS_CODEC:
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
    """Returns the other nodes that may gather, those in the zone of the root first."""
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
        names = [f"edge {index + 2}" for index in range(len(fan_out))]
    return names


def _registry(*, configuration: Configuration, root: str, gone: frozenset[str]) -> BackendRegistry:
    """Returns a backend registry without observations, except that backends in `gone` are gone."""
    registry = BackendRegistry(me=root)
    for name in configuration.backends:
        entry = registry.entry(name=name)
        entry.address = configuration.backends[name].address or "0.0.0.0:1"
        if name in gone:
            entry.state, entry.why = BackendState.GONE, "listed as gone"
    return registry


def _shares(*, configuration: Configuration, name: str) -> dict[str, Any]:
    """Returns the share of requests that each service of a weighted forward route gets."""
    route = configuration.forward.get(name)
    if route is None or not route.weights:
        return {}
    total = sum(weight for _, weight in route.weights)
    return {"shares": {service: weight / total for service, weight in route.weights}}


def _place_shards(
    *, configuration: Configuration, registry: BackendRegistry, collection: str, subtree: Subtree
) -> dict[str, dict[str, Any]]:
    zone = configuration.nodes.get(subtree.node, {}).get("domain", "")
    placements: dict[str, dict[str, Any]] = {}
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
        placements[shard] = {
            "node": subtree.node,
            "domain": zone,
            "backend": best.backend if best else None,
            "is_near": best.is_near if best else False,
            "others": [o.backend for o in ranked[1:] if not o.refusal],
            "left_out": {o.backend: o.refusal for o in ranked if o.refusal},
        }
    for child in subtree.children:
        placements |= _place_shards(
            configuration=configuration, registry=registry, collection=collection, subtree=child
        )
    return placements


def changes(*, before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """Returns one line for each difference between two plans.

    >>> changes(before={"shards": {"s": {"node": "a", "backend": "b"}}, "coverage": 1},
    ...         after={"shards": {"s": {"node": "a", "backend": None}}, "coverage": 0})
    ['s: backend b -> none', 'coverage: 1 -> 0']
    """
    lines = []
    for shard, row in sorted(before["shards"].items()):
        for key in ("node", "backend"):
            old, new = row[key], after["shards"][shard][key]
            if old != new:
                lines.append(f"{shard}: {key} {old or 'none'} -> {new or 'none'}")
    if before["coverage"] != after["coverage"]:
        lines.append(f"coverage: {before['coverage']} -> {after['coverage']}")
    return lines


def default_root(*, configuration: Configuration, rand: random.Random | None = None) -> str:
    """Returns the default root of a plan: the first node by name.

    >>> from kelpstage.common.configuration.types import EMPTY_CONFIGURATION
    >>> default_root(configuration=EMPTY_CONFIGURATION)
    'root'
    """
    return min(configuration.nodes, default="root")
