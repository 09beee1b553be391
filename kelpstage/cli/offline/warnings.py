"""Warnings about valid configurations that are likely to cause trouble."""

from __future__ import annotations

from collections import Counter
from typing import Any

from kelpstage.common.configuration.types import Collection, Configuration, Route, is_match
from kelpstage.common.errors.validation import InvalidField


def warnings_of(*, configuration: Configuration) -> list[InvalidField]:
    """Returns every warning with its path."""
    warnings: list[InvalidField] = _forward_warnings(configuration=configuration)
    for name, collection in configuration.collections.items():
        if name in configuration.forward:
            continue
        warnings += _shard_warnings(configuration=configuration, collection=collection)
        route = configuration.route(collection=name)
        if route is None:
            warnings.append(InvalidField(path=f"collections.{name}", why="no route refers to it"))
            continue
        warnings += _route_warnings(configuration=configuration, collection=collection, route=route)
    return warnings


def _forward_warnings(*, configuration: Configuration) -> list[InvalidField]:
    warnings = []
    used_services: set[str] = set()
    for name, route in configuration.forward.items():
        path = f"forward.{name}"
        used_services |= set(route.services)
        if route.aim_us > route.deadline_us:
            warnings.append(InvalidField(path=f"{path}.aim_us", why="is longer than the deadline"))
        if route.fan_out and not route.is_repeatable:
            why = "a shard's request can't be retried at another backend"
            warnings.append(InvalidField(path=f"{path}.is_repeatable", why=why))
        for service, weight in route.weights:
            if not weight:
                warnings.append(
                    InvalidField(path=f"{path}.weights.{service}", why="gets no requests")
                )
    for name in sorted(set(configuration.services) - used_services):
        warnings.append(InvalidField(path=f"services.{name}", why="no route refers to it"))
    return warnings


def undrained_backends(*, configuration: Configuration, collection: str, shard: str) -> list[str]:
    """Returns the backends of a shard without the label `drain`."""
    return [
        name
        for name in configuration.backends_of(collection=collection, shard=shard)
        if not configuration.backends[name].is_draining
    ]


def _shard_warnings(*, configuration: Configuration, collection: Collection) -> list[InvalidField]:
    warnings = []
    for shard in collection.shards:
        path = f"collections.{collection.name}.shards.{shard}"
        names = undrained_backends(
            configuration=configuration, collection=collection.name, shard=shard
        )
        if not names:
            warnings.append(InvalidField(path=path, why="every backend has the label drain"))
            continue
        if len(names) == 1:
            warnings.append(InvalidField(path=path, why=f"one backend only: {names[0]}"))
            continue
        zones = {configuration.backends[name].labels.get("domain") for name in names}
        if len(zones) == 1:
            warnings.append(InvalidField(path=path, why=f"all backends in one zone: {zones.pop()}"))
    return warnings


def _route_warnings(
    *, configuration: Configuration, collection: Collection, route: Route
) -> list[InvalidField]:
    return _single_loss_warnings(configuration=configuration, route=route) + _gatherer_warnings(
        configuration=configuration, collection=collection, route=route
    )


def _single_loss_warnings(*, configuration: Configuration, route: Route) -> list[InvalidField]:
    """Warns of each backend or zone whose loss alone makes the quorum impossible."""
    by_backend: Counter[str] = Counter()
    by_zone: Counter[str | None] = Counter()
    for shard in route.fan_out:
        names = undrained_backends(
            configuration=configuration, collection=route.collection, shard=shard
        )
        if len(names) == 1:
            by_backend[names[0]] += 1
        zones = {configuration.backends[name].labels.get("domain") for name in names}
        if len(zones) == 1:
            by_zone[zones.pop()] += 1
    spare = len(route.fan_out) - route.quorum
    losses: tuple[tuple[str, Counter[Any]], ...] = (("backend", by_backend), ("domain", by_zone))
    return [
        InvalidField(
            path=f"routes.{route.collection}.Quorum",
            why=f"the loss of {kind} {name} alone takes {count} shards; {spare} may be missing",
        )
        for kind, counts in losses
        for name, count in sorted(counts.items(), key=str)
        if count > spare
    ]


def _gatherer_warnings(
    *, configuration: Configuration, collection: Collection, route: Route
) -> list[InvalidField]:
    gatherers = [
        name
        for name, labels in configuration.nodes.items()
        if labels.get("drain") != "true"
        and is_match(selector=collection.gatherers, labels={**labels, "name": name})
    ]
    if not configuration.nodes or len(gatherers) >= route.tree_fan_out:
        return []
    why = f"{len(gatherers)} nodes may gather, the fan-out is {route.tree_fan_out}"
    return [InvalidField(path=f"collections.{collection.name}.gatherers", why=why)]
