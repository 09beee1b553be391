"""What clients, backends, the operator and the platform observed in one scenario.

Nothing here comes from the code under test: a request as its client saw it, an arrival as
a backend saw it, an order as its operator saw it, and what the platform did to machines.
Times are whole microseconds since the scenario began; 0 stands for "not" where a time may
be missing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.testbed.checkers.linearizable import Answer, Try

NEVER_US = 1 << 62
PROMISES = frozenset((408, 421, 429, 503))
LEFT = "left"  # how a request ends whose client closes its connection early


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """The figures of the rules.

    >>> Bounds().retry_window_us
    10000000
    """

    touch_us: int = 4_000_000
    ack_within_us: int = 5_000_000
    drain_us: int = 3_000_000
    grace_us: int = 6_000_000
    loss_slack_us: int = 200_000
    apply_us: int = 3_000_000
    revert_us: int = 250_000
    stretch_us: int = 12_000_000
    retry_ratio: float = 0.17
    retry_window_us: int = 10_000_000
    retry_slack: int = 57
    recovery_us: int = 12_000_000
    tolerance: int = 1


@dataclass(frozen=True, kw_only=True)
class RouteSpec:
    """A route as an operator sent it: `services` of a request to one backend, or the
    `fan_out` of a gathered one."""

    name: str
    host: str
    prefix: str
    services: frozenset[str] = frozenset()
    fan_out: tuple[str, ...] = ()
    limit: int = 0
    quorum: float = 1.0
    is_repeatable: bool = True
    deadline_us: int = 1_000_000
    tries: int = 2

    def allows(self, *, service: str) -> bool:
        """May a request of this route be sent to the service?"""
        return service in self.services or service in self.fan_out


@dataclass(kw_only=True)
class Order:
    """One configuration and what became of it; repeats of it are the same order."""

    key: str
    revision: int
    base: int
    body: bytes
    routes: tuple[RouteSpec, ...] = ()
    is_valid: bool = True
    sent_us: int = 0
    acked_us: int = 0
    refused_us: int = 0
    ended_us: int = 0
    tries: list[Try] = field(default_factory=list)
    lost_us: list[int] = field(default_factory=list)  # when an answer to it was lost

    def all_tries(self) -> list[Try]:
        """Every call with this order; for one that was noted without them, what its
        times say."""
        if self.tries:
            return self.tries
        refusal = Answer.CONFLICT if self.is_valid else Answer.INVALID
        ends = [(self.acked_us, Answer.ACKNOWLEDGED), (self.refused_us, refusal)]
        out = [
            Try(sent_us=self.sent_us, done_us=done_us, answer=answer)
            for done_us, answer in ends
            if done_us
        ]
        return out or [Try(sent_us=self.sent_us, done_us=NEVER_US, answer=Answer.UNCLEAR)]

    def route_for(self, *, host: str, target: str) -> RouteSpec | None:
        """The route of the longest prefix that begins the path.

        >>> routes = (
        ...     RouteSpec(name="r", host="h", prefix="/a/"),
        ...     RouteSpec(name="s", host="h", prefix="/"),
        ... )
        >>> order = Order(key="k", revision=1, base=0, body=b"", routes=routes)
        >>> order.route_for(host="h", target="/a/b?c").name
        'r'
        """
        path = target.partition("?")[0]
        fitting = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(fitting, key=lambda route: len(route.prefix), default=None)

    def allows(self, *, host: str, target: str, service: str) -> bool:
        """Does the route that this configuration has for the request allow the service?"""
        route = self.route_for(host=host, target=target)
        return route is not None and route.allows(service=service)


@dataclass(kw_only=True)
class Request:
    """One try of a client, as the client saw it."""

    attempt: str
    first: str = ""
    kind: str = ""
    zone: str = ""
    node: str = ""
    node_incarnation: int = 0
    host: str = ""
    method: str = "GET"
    target: str = "/"
    body: bytes = b""
    is_repeatable: bool = True
    is_direct: bool = False
    is_proper: bool = True
    sent_us: int = 0
    whole_us: int = 0
    read_us: int = 0
    done_us: int = 0
    deadline_us: int = 1_000_000
    end: str = ""
    status: int = 0
    reply_attempt: str = ""
    seal: str = ""
    part_seals: tuple[str, ...] = ()
    missing: int = 0
    reply_body: bytes = b""
    is_stray: bool = False
    is_garbled: bool = False
    is_late_route: bool = False
    is_kept: bool = False  # its connection had carried a request before
    retry_after_us: int = 0

    @property
    def is_success(self) -> bool:
        """Was the try answered with a status of 2xx?"""
        return self.end == "answered" and 200 <= self.status < 300


@dataclass(kw_only=True)
class Arrival:
    """A request as a backend saw it; `ran` once it began to work on it."""

    attempt: str
    service: str
    instance_id: str
    node: str
    at_us: int
    host: str = ""
    method: str = "GET"
    target: str = "/"
    body: bytes = b""
    ran: bool = True
    status: int = 200
    begun_us: int = 0
    ended_us: int = 0
    broke_off: bool = False
    is_health: bool = False
    given_us: int = 0  # the time that it was handed; 0 for none
    until_us: int = 0  # when the work was to end, if it began
    released_us: int = 0  # when its caller's connection ended while it was at work


@dataclass(frozen=True, kw_only=True)
class Stamped:
    """What a backend's seal stands for."""

    seal: str
    attempt: str
    service: str
    instance_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Shown:
    """When the list first showed a machine that a backend drains or is gone."""

    instance_id: str
    node: str
    at_us: int


@dataclass(kw_only=True)
class MachineFault:
    """Something that the bench did to a machine: from `begin_us` to `end_us`.

    `what`: "kill", "power", "freeze", "slow", "disk", "stop" (SIGTERM), "reread" (SIGHUP),
    "start", "lost" (taken away for good).
    """

    machine: str
    what: str
    begin_us: int
    end_us: int = NEVER_US
    is_planned: bool = False


@dataclass(kw_only=True)
class Cut:
    """No path between two machines, either way."""

    a: str
    b: str
    begin_us: int
    end_us: int = NEVER_US


@dataclass(frozen=True, kw_only=True)
class ReadBack:
    """What the operator got when it asked for the newest configuration."""

    at_us: int
    revision: int = 0
    body: bytes = b""
    is_last: bool = False
    sent_us: int = 0  # 0: no time of its own was noted


@dataclass(frozen=True, kw_only=True)
class Readiness:
    """The platform's question whether a machine is ready, and its answer."""

    machine: str
    at_us: int
    is_ready: bool


@dataclass(kw_only=True)
class Leaver:
    """A backend that said that it leaves: when the list could first show it, and when
    it ended."""

    instance_id: str
    listed_us: int
    ended_us: int = NEVER_US


@dataclass(kw_only=True)
class History:
    """The history of one scenario."""

    bounds: Bounds = field(default_factory=Bounds)
    machines: frozenset[str] = frozenset()
    core: frozenset[str] = frozenset()
    core_since: dict[str, int] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    stamped: dict[str, Stamped] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    leavers: list[Leaver] = field(default_factory=list)
    faults: list[MachineFault] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    outages: list[tuple[int, int]] = field(default_factory=list)
    read_backs: list[ReadBack] = field(default_factory=list)
    reads: list[ReadBack] = field(default_factory=list)  # every read; revision 0 for none
    readiness: list[Readiness] = field(default_factory=list)
    crashes: dict[str, int] = field(default_factory=dict)  # instance -> when
    traffic_us: int = 0
    end_us: int = 0
    closing_us: int = 0
    back_us: int = 0
    own_ends: list[tuple[int, str, str]] = field(default_factory=list)

    def arrivals_of(self) -> dict[str, list[Arrival]]:
        """Arrivals by the request that they are of, health probes apart."""
        out: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            if not arrival.is_health:
                out.setdefault(arrival.attempt, []).append(arrival)
        return out

    def requests_by_attempt(self) -> dict[str, Request]:
        """The clients' tries by their attempt identifiers, which are unique."""
        return {request.attempt: request for request in self.requests}
