"""What clients, backends, the operator and the platform observed in one scenario.

Nothing here comes from the code under test. A request is recorded as its client saw it, an
arrival as a backend saw it, an order (a configuration write) as its operator saw it, and a
fault as the platform injected it. Times are whole microseconds since the start of the
scenario; 0 means that the event did not happen.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.testbed.checkers.linearizable import Answer, Attempt

NEVER_US = 1 << 62
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
CLIENT_DISCONNECTED = "left"  # the end of a request whose client disconnects early


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """The numeric bounds of the rules.

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
    bad_traffic_share: float = 0.1  # of a service's requests, that a bad version may receive
    bad_traffic_slack: int = 50  # requests beyond the share
    rollback_us: int = 5_000_000  # from the 50th bad answer to the last request


@dataclass(frozen=True, kw_only=True)
class RouteSpec:
    """A route as an operator sent it.

    `services` are the choices for a request to one backend; `fan_out` are the shards of a
    gathered request.
    """

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
        """True if a request on this route may be sent to the service."""
        return service in self.services or service in self.fan_out


@dataclass(kw_only=True)
class Order:
    """One configuration write and its outcome; repeated sends belong to the same order."""

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
    tries: list[Attempt] = field(default_factory=list)
    lost_us: list[int] = field(default_factory=list)  # times at which a reply to it was lost

    def all_tries(self) -> list[Attempt]:
        """Every call with this order; derived from its times if no calls were recorded."""
        if self.tries:
            return self.tries
        refusal = Answer.CONFLICT if self.is_valid else Answer.INVALID
        ends = [(self.acked_us, Answer.ACKNOWLEDGED), (self.refused_us, refusal)]
        out = [
            Attempt(sent_us=self.sent_us, done_us=done_us, answer=answer)
            for done_us, answer in ends
            if done_us
        ]
        return out or [Attempt(sent_us=self.sent_us, done_us=NEVER_US, answer=Answer.UNCLEAR)]

    def route_for(self, *, host: str, target: str) -> RouteSpec | None:
        """The route whose prefix is the longest one that matches the path.

        >>> routes = (
        ...     RouteSpec(name="r", host="h", prefix="/a/"),
        ...     RouteSpec(name="s", host="h", prefix="/"),
        ... )
        >>> order = Order(key="k", revision=1, base=0, body=b"", routes=routes)
        >>> order.route_for(host="h", target="/a/b?c").name
        'r'
        """
        path = target.partition("?")[0]
        matching = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def allows(self, *, host: str, target: str, service: str) -> bool:
        """True if this configuration's route for the request allows the service."""
        route = self.route_for(host=host, target=target)
        return route is not None and route.allows(service=service)


@dataclass(kw_only=True)
class RolloutOrder:
    """An order to move a service to another version, as its operator saw it.

    `condition` is the last one that was read, and the two times are those of the first read of
    each final condition. `read_back` is the target that the last read of the scenario named,
    `None` if no read was answered with 200. `other_targets` are those that reads named which were
    sent after the acknowledgement and before another order of the service.

    With `has_fewer_instances` fewer instances of the target were started than there are old ones,
    or some were lost for good, so either final condition is right. `is_alone`: the scenario has
    no other fault.
    """

    key: str
    service: str
    target: str
    over_us: int
    is_bad: bool = False
    sent_us: int = 0
    acked_us: int = 0
    refused_us: int = 0
    ended_us: int = 0
    lost_us: list[int] = field(default_factory=list)  # times at which a reply to it was lost
    statuses: list[int] = field(default_factory=list)  # of all replies, 0 for none
    condition: str = ""
    conditions: list[str] = field(default_factory=list)  # as read one after another
    complete_us: int = 0
    reverted_us: int = 0
    read_back: str | None = None
    other_targets: list[str] = field(default_factory=list)
    has_fewer_instances: bool = False
    is_alone: bool = False

    @property
    def final_us(self) -> int:
        """When a final condition was first read; 0 if none was."""
        return self.complete_us or self.reverted_us

    @property
    def term_us(self) -> int:
        """When the rollout is due to be complete or reverted."""
        return self.sent_us + self.over_us


@dataclass(kw_only=True)
class Request:
    """One attempt of a client, as the client saw it."""

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
        """True if the attempt was answered with a status of 2xx."""
        return self.end == "answered" and 200 <= self.status < 300


@dataclass(kw_only=True)
class Arrival:
    """A request as a backend saw it; `ran` is true once the backend started to work on it."""

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
    given_us: int = 0  # the time limit that it carried; 0 if none
    until_us: int = 0  # when the work is due to end, if it started
    released_us: int = 0  # when its connection ended while it was queued or running
    revision: str = ""  # software version of the backend
    is_bad_answer: bool = False  # a fault of the backend's version applied to it


@dataclass(frozen=True, kw_only=True)
class Stamped:
    """The reply that a backend's seal identifies."""

    seal: str
    attempt: str
    service: str
    instance_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Shown:
    """When the instance list first showed a node that a backend is draining or gone."""

    instance_id: str
    node: str
    at_us: int


@dataclass(kw_only=True)
class MachineFault:
    """A fault that was injected into a machine, from `begin_us` to `end_us`.

    `what` is one of "kill", "power", "freeze", "slow", "disk", "stop" (SIGTERM), "reread"
    (SIGHUP), "start" and "lost" (removed for good).
    """

    machine: str
    what: str
    begin_us: int
    end_us: int = NEVER_US
    is_planned: bool = False


@dataclass(kw_only=True)
class Cut:
    """A network partition between two machines, in both directions."""

    a: str
    b: str
    begin_us: int
    end_us: int = NEVER_US


@dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The reply that an operator received when it read the newest configuration."""

    at_us: int
    revision: int = 0
    body: bytes = b""
    is_last: bool = False
    sent_us: int = 0  # 0 if the time was not recorded


@dataclass(frozen=True, kw_only=True)
class Readiness:
    """The result of one readiness check of a machine."""

    machine: str
    at_us: int
    is_ready: bool


@dataclass(kw_only=True)
class Leaver:
    """A draining backend: when the instance list could first show it, and when it ended."""

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
    rollouts: list[RolloutOrder] = field(default_factory=list)
    # Requests at an old backend that was stopped because its rollout was complete.
    stopped_requests: list[tuple[int, str]] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    leavers: list[Leaver] = field(default_factory=list)
    faults: list[MachineFault] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    outages: list[tuple[int, int]] = field(default_factory=list)
    read_backs: list[ReadBack] = field(default_factory=list)
    reads: list[ReadBack] = field(default_factory=list)  # every read; revision 0 if empty
    readiness: list[Readiness] = field(default_factory=list)
    crashes: dict[str, int] = field(default_factory=dict)  # instance -> time of the crash
    traffic_us: int = 0
    end_us: int = 0
    closing_us: int = 0
    back_us: int = 0
    own_ends: list[tuple[int, str, str]] = field(default_factory=list)

    def arrivals_of(self) -> dict[str, list[Arrival]]:
        """The arrivals by the attempt identifier of their request, without health checks."""
        out: dict[str, list[Arrival]] = {}
        for arrival in self.arrivals:
            if not arrival.is_health:
                out.setdefault(arrival.attempt, []).append(arrival)
        return out

    def requests_by_attempt(self) -> dict[str, Request]:
        """The clients' attempts by their attempt identifiers, which are unique."""
        return {request.attempt: request for request in self.requests}
