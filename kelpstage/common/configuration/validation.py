"""Reading and judging of configurations: whole, with every fault's path.

The core refuses a put by this module, `kelpctl check` judges offline by it, and
the edges read by it what the core accepted.
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
RECORDS = "records16"

NAME = t.Regexp(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")


def _whole(*, low: int, high: int) -> t.Trafaret:
    def check(value: Any) -> Any:
        if type(value) is not int:
            return t.DataError("value is not a whole number", value=value)
        if not low <= value <= high:
            return t.DataError(f"value is not from {low} to {high}", value=value)
        return value

    return t.Call(check)


def _address(value: Any) -> Any:
    return value if is_address(address=value) else t.DataError("value is not IP:port", value=value)


ADDRESS = t.Call(_address)
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
            t.Key("Quorum"): _whole(low=1, high=3125),
            t.Key("fan_out", optional=True): _whole(low=2, high=64),
            t.Key("window_us", optional=True): _whole(low=1_000, high=60_000_000),
        }
    ),
)
LIMITS = t.Dict(
    {
        t.Key("header_bytes"): _whole(low=1, high=2**40),
        t.Key("body_bytes"): _whole(low=0, high=2**40),
        t.Key("header_us"): _whole(low=1, high=2**50),
        t.Key("idle_us"): _whole(low=1, high=2**50),
    }
)


def _encodable(value: str) -> Any:
    try:
        value.encode()
    except UnicodeEncodeError:
        return t.DataError("value is not Unicode text", value=value)
    return value


SOURCE = t.String(allow_blank=True) & t.Call(_encodable)


def _form(*, has_forward: bool) -> t.Dict:
    """The document's shape; `services` and `forward` are judged by `forward.py`."""
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
            t.Key("version", optional=True): _whole(low=1, high=VERSION_LIMIT),
        }
    )


FORM = _form(has_forward=False)
FORWARD_FORM = _form(has_forward=True)


def flatten(*, error: Any, path: str = "") -> list[InvalidField]:
    """Turn trafaret's nested errors into faults with paths.

    >>> flatten(error={"a": {"b": "bad"}})
    [InvalidField(path='a.b', why='bad')]
    """
    if isinstance(error, t.DataError):
        error = error.as_dict()
    if not isinstance(error, dict):
        return [InvalidField(path=path or "(whole)", why=str(error))]
    faults: list[InvalidField] = []
    for name, inner in error.items():
        if name in ("key", "value") and isinstance(inner, (dict, str)) and path:
            faults += flatten(error=inner, path=path)
            continue
        faults += flatten(error=inner, path=f"{path}.{name}" if path else str(name))
    return faults


def _no_doubles(pairs: list[tuple[str, Any]]) -> dict:
    out: dict = {}
    for name, value in pairs:
        if name in out:
            raise ValueError(f"key {name!r} stands twice")
        out[name] = value
    return out


def _no_constants(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def load_json(*, data: bytes, limit: int = DOCUMENT_LIMIT) -> Any | InvalidConfigurationError:
    """Read strict JSON: UTF-8, no double keys, no NaN.

    >>> load_json(data=b'{"a":1,"a":2}').faults[0].why
    "not JSON: key 'a' stands twice"
    """
    if len(data) > limit:
        return _refused(path="(whole)", why=f"{len(data)} bytes, above {limit}")
    try:
        return json.loads(
            data.decode("utf-8"), object_pairs_hook=_no_doubles, parse_constant=_no_constants
        )
    except (ValueError, RecursionError) as error:
        return _refused(path="(whole)", why=f"not JSON: {error}")


def _refused(*, path: str, why: str) -> InvalidConfigurationError:
    return InvalidConfigurationError(faults=[InvalidField(path=path, why=why)])


def _selector(raw: dict) -> Selector:
    return {n: (v,) if isinstance(v, str) else tuple(v) for n, v in raw.items()}


def read_configuration(*, data: bytes, version: int) -> Configuration | InvalidConfigurationError:
    """Read and judge a whole configuration.

    >>> read_configuration(data=b"{}", version=1).faults[0]
    InvalidField(path='backends', why='is required')
    """
    raw = load_json(data=data)
    if isinstance(raw, InvalidConfigurationError):
        return raw
    has_forward = isinstance(raw, dict) and "forward" in raw
    faults: list[InvalidField] = []
    form: dict = {}
    try:
        form = (FORWARD_FORM if has_forward else FORM).check(raw)
    except t.DataError as error:
        faults += flatten(error=error)
    except RecursionError:
        return _refused(path="(whole)", why="nested too deep")
    forward: dict[str, ForwardRoute] = {}
    services, found = read_services(raw=raw.get("services", {}) if isinstance(raw, dict) else {})
    faults += found
    if has_forward:
        named = raw.get("services")
        named = named if isinstance(named, dict) else {}
        forward, found = read_forward(raw=raw["forward"], services=named)
        faults += found
    if faults:
        return InvalidConfigurationError(faults=faults)
    configuration = _build(
        form=form, data=data, version=version, services=services, forward=forward
    )
    faults = _judge(configuration=configuration, form=form)
    return InvalidConfigurationError(faults=faults) if faults else configuration


def _build(
    *,
    form: dict,
    data: bytes,
    version: int,
    services: dict[str, Service],
    forward: dict[str, ForwardRoute],
) -> Configuration:
    backends = {
        name: Backend(name=name, address=raw.get("address"), labels=raw["labels"])
        for name, raw in sorted(form.get("backends", {}).items())
    }
    collections = {
        name: Collection(
            name=name,
            order_by=raw.get("order_by", "score"),
            gatherers=_selector(raw.get("gatherers", {})),
            shards={
                shard: Shard(name=shard, cut=inner["cut"], selector=_selector(inner["selector"]))
                for shard, inner in sorted(raw["shards"].items())
            },
        )
        for name, raw in sorted(form.get("collections", {}).items())
    }
    routes = {
        name: Route(
            collection=name,
            fan_out=tuple(raw["FanOut"]),
            quorum=raw["Quorum"],
            tree_fan_out=raw.get("fan_out", DEFAULT_TREE_FAN_OUT),
            window_us=raw.get("window_us", DEFAULT_WINDOW_US),
        )
        for name, raw in sorted(form.get("routes", {}).items())
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
    shards_of: dict[tuple[str, ...], dict[str, Shard]] = {}  # few differ, many routes share
    for route in forward.values():
        if route.name in collections:
            continue  # a fault, told below
        names = route.services
        if names not in shards_of:
            shards_of[names] = {service: shards[service] for service in names}
        collections[route.name] = _collection_of(route=route, shards=shards_of[names])
        routes[route.name] = _route_of(route=route)
    limits = form.get("limits")
    return Configuration(
        version=version,
        document=data,
        backends=backends,
        nodes={name: raw["labels"] for name, raw in form.get("nodes", {}).items()},
        collections=collections,
        routes=routes,
        shard_backends=shard_backends,
        services=services,
        forward=forward,
        limits=None if limits is None else CallerLimits(**limits),
        source=form.get("source", "").encode(),
        stated_version=form.get("version", 0),
        forward_table=ForwardTable(routes=forward.values()),
    )


def _collection_of(*, route: ForwardRoute, shards: dict[str, Shard]) -> Collection:
    """What the gathering engine sees of a forward route: each service is a shard."""
    return Collection(
        name=route.name,
        order_by="",
        gatherers={},
        shards=shards,
        codec=RECORDS,
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


def _judge(*, configuration: Configuration, form: dict) -> list[InvalidField]:
    faults = [
        InvalidField(path=f"forward.{name}", why="the name of a collection")
        for name in configuration.forward
        if name in form.get("collections", {}) or name in form.get("routes", {})
    ]
    for collection in configuration.collections.values():
        if collection.codec == RECORDS:
            continue  # made from a forward route, judged there
        faults += _judge_collection(configuration=configuration, collection=collection, form=form)
    for name in form.get("routes", {}):
        faults += _judge_route(configuration=configuration, route=configuration.routes[name])
    return faults


def _judge_collection(
    *, configuration: Configuration, collection: Collection, form: dict
) -> list[InvalidField]:
    path = f"collections.{collection.name}"
    faults: list[InvalidField] = []
    if not collection.shards:
        faults.append(InvalidField(path=f"{path}.shards", why="names no shard"))
    if "gatherers" in form["collections"][collection.name]:
        faults += _judge_gatherers(configuration=configuration, collection=collection, path=path)
    cuts = sorted({shard.cut for shard in collection.shards.values()})
    if len(cuts) > 1:
        faults.append(
            InvalidField(path=f"{path}.shards", why=f"two cuts in one collection: {cuts}")
        )
    for shard in collection.shards.values():
        at = f"{path}.shards.{shard.name}.selector"
        if not shard.selector:
            faults.append(InvalidField(path=at, why="empty selector"))
            continue
        if not configuration.backends_of(collection=collection.name, shard=shard.name):
            faults.append(InvalidField(path=at, why="picks no backend"))
    return faults


def _judge_gatherers(
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
    return [InvalidField(path=f"{path}.gatherers", why="picks no node")]


def _judge_route(*, configuration: Configuration, route: Route) -> list[InvalidField]:
    path = f"routes.{route.collection}"
    collection = configuration.collections.get(route.collection)
    if collection is None:
        return [InvalidField(path=path, why="unknown collection")]
    faults: list[InvalidField] = []
    seen: set[str] = set()
    for place, shard in enumerate(route.fan_out):
        if shard not in collection.shards:
            faults.append(InvalidField(path=f"{path}.FanOut.{place}", why=f"unknown shard {shard}"))
        if shard in seen:
            faults.append(
                InvalidField(path=f"{path}.FanOut.{place}", why=f"shard {shard} stands twice")
            )
        seen.add(shard)
    for shard in collection.shards:
        if shard not in seen:
            faults.append(InvalidField(path=f"{path}.FanOut", why=f"leaves out shard {shard}"))
    if route.quorum > len(route.fan_out):
        faults.append(
            InvalidField(
                path=f"{path}.Quorum", why=f"{route.quorum} above {len(route.fan_out)} shards"
            )
        )
    return faults
