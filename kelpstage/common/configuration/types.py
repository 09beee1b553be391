"""Types of a validated configuration: backends, collections, routes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Iterable

Selector = dict[str, tuple[str, ...]]


def is_match(*, selector: Selector, labels: dict[str, str]) -> bool:
    """True if each label named by the selector has one of the values that it allows.

    >>> is_match(selector={"shard": ("s1", "s2")}, labels={"shard": "s2", "x": "y"})
    True
    >>> is_match(selector={"shard": ("s1",)}, labels={})
    False
    """
    return all(labels.get(name) in values for name, values in selector.items())


@dataclass(frozen=True, kw_only=True)
class Backend:
    """A backend that the configuration declares.

    `address` is `None` if it comes from discovery.
    """

    name: str
    address: str | None
    labels: dict[str, str]

    @property
    def is_draining(self) -> bool:
        """True if the backend must receive no new requests."""
        return self.labels.get("drain") == "true"


@dataclass(frozen=True, kw_only=True)
class Shard:
    """One shard of a collection; its selector matches the labels of the backends that serve it."""

    name: str
    cut: str
    selector: Selector


@dataclass(frozen=True, kw_only=True)
class Collection:
    """A searchable collection: its shards, and a selector of the nodes that may gather them."""

    name: str
    order_by: str
    gatherers: Selector
    shards: dict[str, Shard]
    codec: str = "json"  # format of the backends' response bodies: "json" or "records16"


@dataclass(frozen=True, kw_only=True)
class Route:
    """How a collection is searched: its shards in order and the quorum of shards for success."""

    collection: str
    fan_out: tuple[str, ...]
    quorum: int
    tree_fan_out: int
    window_us: int
    aim_us: int = 0  # target latency, within which a response has its full value; 0: not set

    @property
    def is_strict(self) -> bool:
        """True if a search succeeds only with every shard."""
        return self.quorum >= len(self.fan_out)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable backends; discovery provides its instances."""

    name: str
    health_path: str
    max_connections: int  # per backend, over all clients; 0: no limit


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRoute:
    """A route for requests that match a host and a path prefix.

    It has either `weights` (each request goes to one service, chosen at random by weight) or
    `fan_out` (each service is a shard and the results are gathered); the other is empty.
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
    quorum: int = 1  # number of shards that a successful response needs

    @property
    def services(self) -> tuple[str, ...]:
        """The services that the route refers to."""
        return self.fan_out or tuple(service for service, _ in self.weights)


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size of a client's request and on the time to send it."""

    header_bytes: int
    body_bytes: int
    header_us: int
    idle_us: int


def host_key(*, host: str) -> str:
    """Returns the host in lower case and without a port, for comparison.

    >>> host_key(host="H.Example:8080"), host_key(host="[::1]:80"), host_key(host="[::1]")
    ('h.example', '[::1]', '[::1]')
    """
    host = host.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


class ForwardTable:
    """Forward routes by host, with lookup of the longest matching path prefix.

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
        """Returns the route with the longest prefix of the path, or `None`."""
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
    """A complete configuration with its version.

    >>> EMPTY_CONFIGURATION.version, EMPTY_CONFIGURATION.route(collection="x")
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
    source: bytes = b""  # text of the operator, not interpreted
    stated_version: int = 0  # version that the document contains; 0: none
    forward_table: ForwardTable = field(default_factory=ForwardTable, compare=False, repr=False)

    def forward_for(self, *, host: str, path: str) -> ForwardRoute | None:
        """Returns the forward route for the host and path of a request, or `None`."""
        return self.forward_table.find(host=host, path=path)

    def route(self, *, collection: str) -> Route | None:
        """Returns the route of a collection, or `None`."""
        return self.routes.get(collection)

    def backends_of(self, *, collection: str, shard: str) -> tuple[str, ...]:
        """Returns the sorted names of the backends that match the shard's selector."""
        return self.shard_backends.get((collection, shard), ())

    def node_labels(self, *, name: str, zone: str) -> dict[str, str]:
        """Returns a node's labels together with its zone and name."""
        return {"domain": zone, **self.nodes.get(name, {}), "name": name}

    def is_gatherer(self, *, collection: str, name: str, zone: str) -> bool:
        """True if this node may gather results for the collection."""
        labels = self.node_labels(name=name, zone=zone)
        if labels.get("drain") == "true":
            return False
        return is_match(selector=self.collections[collection].gatherers, labels=labels)


EMPTY_CONFIGURATION = Configuration(version=0, document=b"")
