"""Configurations as the daemons use them: labels, collections, routes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Iterable

Selector = dict[str, tuple[str, ...]]


def is_match(*, selector: Selector, labels: dict[str, str]) -> bool:
    """Does every label that the selector names have one of its values?

    >>> is_match(selector={"shard": ("s1", "s2")}, labels={"shard": "s2", "x": "y"})
    True
    >>> is_match(selector={"shard": ("s1",)}, labels={})
    False
    """
    return all(labels.get(name) in values for name, values in selector.items())


@dataclass(frozen=True, kw_only=True)
class Backend:
    """A backend named by the configuration; `address` is `None` where it is learned elsewhere."""

    name: str
    address: str | None
    labels: dict[str, str]

    @property
    def is_draining(self) -> bool:
        """Is it to get no new requests?"""
        return self.labels.get("drain") == "true"


@dataclass(frozen=True, kw_only=True)
class Shard:
    """One shard of a collection, and the backends that serve it by their labels."""

    name: str
    cut: str
    selector: Selector


@dataclass(frozen=True, kw_only=True)
class Collection:
    """What can be searched: its shards, and the nodes that may gather it."""

    name: str
    order_by: str
    gatherers: Selector
    shards: dict[str, Shard]
    codec: str = "json"  # of the backends' bodies: "json" or "records16"


@dataclass(frozen=True, kw_only=True)
class Route:
    """How a collection is searched: its shards in order, the least number of them in a success."""

    collection: str
    fan_out: tuple[str, ...]
    quorum: int
    tree_fan_out: int
    window_us: int
    aim_us: int = 0  # an answer within it has its full worth; 0: none given

    @property
    def is_strict(self) -> bool:
        """Does the route want every shard?"""
        return self.quorum >= len(self.fan_out)


@dataclass(frozen=True, kw_only=True)
class Service:
    """Backends that do the same work; which there are is learned elsewhere."""

    name: str
    health_path: str
    max_connections: int  # that each backend takes from all callers together; 0: no bound


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRoute:
    """Requests of one host below one prefix, and the services that they go to.

    Either `weights` (one service is drawn by its share) or `fan_out` (every service is a
    shard, the answer is gathered); the other is empty.
    """

    name: str
    host: str
    prefix: str
    is_repeatable: bool
    attempts: int
    deadline_us: int
    aim_us: int
    rank: int
    weights: tuple[tuple[str, float], ...] = ()
    fan_out: tuple[str, ...] = ()
    limit: int = 0
    quorum: int = 1  # the least number of shards in a success

    @property
    def services(self) -> tuple[str, ...]:
        """The services that it goes to."""
        return self.fan_out or tuple(service for service, _ in self.weights)


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take over it."""

    header_bytes: int
    body_bytes: int
    header_us: int
    idle_us: int


def host_key(*, host: str) -> str:
    """A host as it is compared: lower case, without a port.

    >>> host_key(host="H.Example:8080"), host_key(host="[::1]:80"), host_key(host="[::1]")
    ('h.example', '[::1]', '[::1]')
    """
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


class ForwardTable:
    """Forward routes by host, for the longest prefix of a path.

    >>> def route(prefix): return ForwardRoute(name=prefix, host="h", prefix=prefix,
    ...     is_repeatable=True, attempts=1, deadline_us=1, aim_us=1, rank=0)
    >>> table = ForwardTable(routes=[route("/"), route("/a/b/"), route("/a/")])
    >>> table.find(host="H:80", path="/a/b/c").prefix, table.find(host="h", path="/a/b").prefix
    ('/a/b/', '/a/')
    >>> table.find(host="other", path="/a/") is None
    True
    """

    def __init__(self, *, routes: Iterable[ForwardRoute] = ()) -> None:
        self._hosts: dict[str, dict[str, ForwardRoute]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._longest = {host: max(map(len, prefixes)) for host, prefixes in self._hosts.items()}

    def find(self, *, host: str, path: str) -> ForwardRoute | None:
        """The route with the longest prefix that begins the path, if there is any."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            host = host_key(host=host)
            prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/", 0, self._longest[host])
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """A whole configuration under its version.

    >>> EMPTY.version, EMPTY.route(collection="x")
    (0, None)
    """

    version: int
    document: bytes
    backends: dict[str, Backend] = field(default_factory=dict)
    nodes: dict[str, dict[str, str]] = field(default_factory=dict)
    collections: dict[str, Collection] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    shard_backends: dict[tuple[str, str], tuple[str, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    forward: dict[str, ForwardRoute] = field(default_factory=dict)
    limits: CallerLimits | None = None
    source: bytes = b""  # the operator's own text, opaque
    stated_version: int = 0  # the version that the document itself names; 0: none
    forward_table: ForwardTable = field(default_factory=ForwardTable, compare=False, repr=False)

    def forward_for(self, *, host: str, path: str) -> ForwardRoute | None:
        """The forward route of a request, by its host and the path of its target."""
        return self.forward_table.find(host=host, path=path)

    def route(self, *, collection: str) -> Route | None:
        """The route of a collection, if there is one."""
        return self.routes.get(collection)

    def backends_of(self, *, collection: str, shard: str) -> tuple[str, ...]:
        """Names of the backends that the shard's selector picks, sorted."""
        return self.shard_backends.get((collection, shard), ())

    def node_labels(self, *, name: str, zone: str) -> dict[str, str]:
        """A node's labels, with its zone and name among them."""
        return {"domain": zone, **self.nodes.get(name, {}), "name": name}

    def is_gatherer(self, *, collection: str, name: str, zone: str) -> bool:
        """May this node merge for this collection?"""
        labels = self.node_labels(name=name, zone=zone)
        if labels.get("drain") == "true":
            return False
        return is_match(selector=self.collections[collection].gatherers, labels=labels)


EMPTY = Configuration(version=0, document=b"")
