"""Parses and validates configurations and reports every error with its path.

The core validates configuration writes with this module, `kelpctl check` validates files
offline, and the edges parse the configurations that the core has accepted.
"""

from __future__ import annotations

import json
from typing import Any

import trafaret as t

from kelpstage.common.configuration.forward_routes import read_forward, read_services
from kelpstage.common.configuration.types import (
    Backend,
    CallerLimits,
    Collection,
    Configuration,
    ForwardRoute,
    ForwardTable,
    Route,
    Selector,
    Service,
    Shard,
    is_match,
)
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField
from kelpstage.common.transport.address import is_address

DOCUMENT_LIMIT = 4 * 1024 * 1024
VERSION_LIMIT = 2**62
DEFAULT_TREE_FAN_OUT = 5
DEFAULT_WINDOW_US = 10_000
RECORDS_CODEC = "records16"

NAME = t.Regexp(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")


def _integer(*, low: int, high: int) -> t.Trafaret:
    def check(value: Any) -> Any:
        if type(value) is not int:
            return t.DataError("value is not an integer", value=value)
        if not low <= value <= high:
            return t.DataError(f"value is not between {low} and {high}", value=value)
        return value

    return t.Call(check)


def _check_address(value: Any) -> Any:
    return value if is_address(address=value) else t.DataError("value is not IP:port", value=value)


ADDRESS = t.Call(_check_address)
LABELS = t.Mapping(NAME, t.String(allow_blank=False, max_length=128))
SELECTOR = t.Mapping(
    NAME,
    t.Or(
        t.String(allow_blank=False, max_length=128),
        t.List(t.String(allow_blank=False, max_length=128), min_length=1),
    ),
)
BACKENDS = t.Mapping(
    NAME, t.Dict({t.Key("address", optional=True): ADDRESS, t.Key("labels"): LABELS})
)
COLLECTIONS = t.Mapping(
    NAME,
    t.Dict(
        {
            t.Key("order_by", optional=True): t.String(allow_blank=False, max_length=64),
            t.Key("gatherers", optional=True): SELECTOR,
            t.Key("shards"): t.Mapping(
                NAME, t.Dict({t.Key("cut"): NAME, t.Key("selector"): SELECTOR})
            ),
        }
    ),
)
ROUTES = t.Mapping(
    NAME,
    t.Dict(
        {
            t.Key("FanOut"): t.List(NAME, min_length=1, max_length=3125),
            t.Key("Quorum"): _integer(low=1, high=3125),
            t.Key("fan_out", optional=True): _integer(low=2, high=64),
            t.Key("window_us", optional=True): _integer(low=1_000, high=60_000_000),
        }
    ),
)
LIMITS = t.Dict(
    {
        t.Key("header_bytes"): _integer(low=1, high=2**40),
        t.Key("body_bytes"): _integer(low=0, high=2**40),
        t.Key("header_us"): _integer(low=1, high=2**50),
        t.Key("idle_us"): _integer(low=1, high=2**50),
    }
)


def _check_encodable(value: str) -> Any:
    try:
        value.encode()
    except UnicodeEncodeError:
        return t.DataError("value is not Unicode text", value=value)
    return value


SOURCE = t.String(allow_blank=True) & t.Call(_check_encodable)


def _schema(*, has_forward: bool) -> t.Dict:
    """Returns the schema of a document.

    The module `forward_routes` validates `services` and `forward`.
    """
    return t.Dict(
        {
            t.Key("backends", optional=has_forward): BACKENDS,
            t.Key("nodes", optional=True): t.Mapping(NAME, t.Dict({t.Key("labels"): LABELS})),
            t.Key("collections", optional=has_forward): COLLECTIONS,
            t.Key("routes", optional=has_forward): ROUTES,
            t.Key("services", optional=True): t.Any,
            t.Key("forward", optional=True): t.Any,
            t.Key("limits", optional=True): LIMITS,
            t.Key("source", optional=True): SOURCE,
            t.Key("version", optional=True): _integer(low=1, high=VERSION_LIMIT),
        }
    )


SCHEMA = _schema(has_forward=False)
FORWARD_SCHEMA = _schema(has_forward=True)


def flatten_errors(*, error: Any, path: str = "") -> list[InvalidField]:
    """Converts trafaret's nested errors to a flat list of errors with paths.

    >>> flatten_errors(error={"a": {"b": "bad"}})
    [InvalidField(path='a.b', why='bad')]
    """
    if isinstance(error, t.DataError):
        error = error.as_dict()
    if not isinstance(error, dict):
        return [InvalidField(path=path or "(whole)", why=str(error))]
    faults: list[InvalidField] = []
    for name, inner in error.items():
        if name in ("key", "value") and isinstance(inner, (dict, str)) and path:
            faults += flatten_errors(error=inner, path=path)
            continue
        faults += flatten_errors(error=inner, path=f"{path}.{name}" if path else str(name))
    return faults


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict:
    result: dict = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"duplicate key {name!r}")
        result[name] = value
    return result


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def load_json(*, data: bytes, limit: int = DOCUMENT_LIMIT) -> Any | InvalidConfigurationError:
    """Parses strict JSON: UTF-8, without duplicate keys or NaN.

    >>> load_json(data=b'{"a":1,"a":2}').faults[0].why
    "not JSON: duplicate key 'a'"
    """
    if len(data) > limit:
        return _invalid(path="(whole)", why=f"{len(data)} bytes exceed the limit of {limit}")
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return _invalid(path="(whole)", why=f"not JSON: {error}")


def _invalid(*, path: str, why: str) -> InvalidConfigurationError:
    return InvalidConfigurationError(faults=[InvalidField(path=path, why=why)])


def _read_selector(raw: dict) -> Selector:
    return {n: (v,) if isinstance(v, str) else tuple(v) for n, v in raw.items()}


def read_configuration(*, data: bytes, version: int) -> Configuration | InvalidConfigurationError:
    """Parses and validates a complete configuration.

    >>> read_configuration(data=b"{}", version=1).faults[0]
    InvalidField(path='backends', why='is required')
    """
    raw = load_json(data=data)
    if isinstance(raw, InvalidConfigurationError):
        return raw
    has_forward = isinstance(raw, dict) and "forward" in raw
    faults: list[InvalidField] = []
    sections: dict = {}
    try:
        sections = (FORWARD_SCHEMA if has_forward else SCHEMA).check(raw)
    except t.DataError as error:
        faults += flatten_errors(error=error)
    except RecursionError:
        return _invalid(path="(whole)", why="nested too deeply")
    forward: dict[str, ForwardRoute] = {}
    services, found = read_services(raw=raw.get("services", {}) if isinstance(raw, dict) else {})
    faults += found
    if has_forward:
        declared = raw.get("services")
        declared = declared if isinstance(declared, dict) else {}
        forward, found = read_forward(raw=raw["forward"], services=declared)
        faults += found
    if faults:
        return InvalidConfigurationError(faults=faults)
    configuration = _build(
        sections=sections, data=data, version=version, services=services, forward=forward
    )
    faults = _check_references(configuration=configuration, sections=sections)
    return InvalidConfigurationError(faults=faults) if faults else configuration


def _build(
    *,
    sections: dict,
    data: bytes,
    version: int,
    services: dict[str, Service],
    forward: dict[str, ForwardRoute],
) -> Configuration:
    backends = {
        name: Backend(name=name, address=raw.get("address"), labels=raw["labels"])
        for name, raw in sorted(sections.get("backends", {}).items())
    }
    collections = {
        name: Collection(
            name=name,
            order_by=raw.get("order_by", "score"),
            gatherers=_read_selector(raw.get("gatherers", {})),
            shards={
                shard: Shard(
                    name=shard, cut=inner["cut"], selector=_read_selector(inner["selector"])
                )
                for shard, inner in sorted(raw["shards"].items())
            },
        )
        for name, raw in sorted(sections.get("collections", {}).items())
    }
    routes = {
        name: Route(
            collection=name,
            fan_out=tuple(raw["FanOut"]),
            quorum=raw["Quorum"],
            tree_fan_out=raw.get("fan_out", DEFAULT_TREE_FAN_OUT),
            window_us=raw.get("window_us", DEFAULT_WINDOW_US),
        )
        for name, raw in sorted(sections.get("routes", {}).items())
    }
    shard_backends = {
        (collection.name, shard.name): tuple(
            backend.name
            for backend in backends.values()
            if shard.selector
            and is_match(selector=shard.selector, labels={**backend.labels, "name": backend.name})
        )
        for collection in collections.values()
        for shard in collection.shards.values()
    }
    shards = {name: Shard(name=name, cut="", selector={}) for name in services}
    # Routes with the same list of services share one dictionary of shards.
    shards_of: dict[tuple[str, ...], dict[str, Shard]] = {}
    for route in forward.values():
        if route.name in collections:
            continue  # an error that _check_references reports
        names = route.services
        if names not in shards_of:
            shards_of[names] = {service: shards[service] for service in names}
        collections[route.name] = _collection_of(route=route, shards=shards_of[names])
        routes[route.name] = _route_of(route=route)
    limits = sections.get("limits")
    return Configuration(
        version=version,
        document=data,
        backends=backends,
        nodes={name: raw["labels"] for name, raw in sections.get("nodes", {}).items()},
        collections=collections,
        routes=routes,
        shard_backends=shard_backends,
        services=services,
        forward=forward,
        limits=None if limits is None else CallerLimits(**limits),
        source=sections.get("source", "").encode(),
        stated_version=sections.get("version", 0),
        forward_table=ForwardTable(routes=forward.values()),
    )


def _collection_of(*, route: ForwardRoute, shards: dict[str, Shard]) -> Collection:
    """Returns a forward route as a collection for gathering: each service is a shard."""
    return Collection(
        name=route.name,
        order_by="",
        gatherers={},
        shards=shards,
        codec=RECORDS_CODEC,
    )


def _route_of(*, route: ForwardRoute) -> Route:
    return Route(
        collection=route.name,
        fan_out=route.services,
        quorum=route.quorum,
        tree_fan_out=DEFAULT_TREE_FAN_OUT,
        window_us=DEFAULT_WINDOW_US,
        aim_us=route.aim_us,
    )


def _check_references(*, configuration: Configuration, sections: dict) -> list[InvalidField]:
    faults = [
        InvalidField(path=f"forward.{name}", why="is also the name of a collection")
        for name in configuration.forward
        if name in sections.get("collections", {}) or name in sections.get("routes", {})
    ]
    for collection in configuration.collections.values():
        if collection.codec == RECORDS_CODEC:
            continue  # derived from a forward route, which is validated already
        faults += _check_collection(
            configuration=configuration, collection=collection, sections=sections
        )
    for name in sections.get("routes", {}):
        faults += _check_route(configuration=configuration, route=configuration.routes[name])
    return faults


def _check_collection(
    *, configuration: Configuration, collection: Collection, sections: dict
) -> list[InvalidField]:
    path = f"collections.{collection.name}"
    faults: list[InvalidField] = []
    if not collection.shards:
        faults.append(InvalidField(path=f"{path}.shards", why="has no shards"))
    if "gatherers" in sections["collections"][collection.name]:
        faults += _check_gatherers(configuration=configuration, collection=collection, path=path)
    cuts = sorted({shard.cut for shard in collection.shards.values()})
    if len(cuts) > 1:
        faults.append(
            InvalidField(path=f"{path}.shards", why=f"shards have different cuts: {cuts}")
        )
    for shard in collection.shards.values():
        selector_path = f"{path}.shards.{shard.name}.selector"
        if not shard.selector:
            faults.append(InvalidField(path=selector_path, why="empty selector"))
            continue
        if not configuration.backends_of(collection=collection.name, shard=shard.name):
            faults.append(InvalidField(path=selector_path, why="matches no backend"))
    return faults


def _check_gatherers(
    *, configuration: Configuration, collection: Collection, path: str
) -> list[InvalidField]:
    if not collection.gatherers:
        return [InvalidField(path=f"{path}.gatherers", why="empty selector")]
    if set(collection.gatherers) <= {"name", "domain"}:
        return []
    if any(
        is_match(selector=collection.gatherers, labels={**labels, "name": name})
        for name, labels in configuration.nodes.items()
    ):
        return []
    return [InvalidField(path=f"{path}.gatherers", why="matches no node")]


def _check_route(*, configuration: Configuration, route: Route) -> list[InvalidField]:
    path = f"routes.{route.collection}"
    collection = configuration.collections.get(route.collection)
    if collection is None:
        return [InvalidField(path=path, why="unknown collection")]
    faults: list[InvalidField] = []
    seen: set[str] = set()
    for index, shard in enumerate(route.fan_out):
        if shard not in collection.shards:
            faults.append(InvalidField(path=f"{path}.FanOut.{index}", why=f"unknown shard {shard}"))
        if shard in seen:
            faults.append(
                InvalidField(path=f"{path}.FanOut.{index}", why=f"shard {shard} is listed twice")
            )
        seen.add(shard)
    for shard in collection.shards:
        if shard not in seen:
            faults.append(InvalidField(path=f"{path}.FanOut", why=f"missing shard {shard}"))
    if route.quorum > len(route.fan_out):
        faults.append(
            InvalidField(
                path=f"{path}.Quorum",
                why=f"{route.quorum} exceeds the {len(route.fan_out)} shards",
            )
        )
    return faults
