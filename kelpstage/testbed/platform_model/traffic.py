"""The routes that the operator configures and that clients request."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, replace
from typing import Any

from kelpstage.testbed.platform_model.history import RouteSpec
from kelpstage.testbed.platform_model.shape import KindShape, Shape

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderReadMs": 3000,
    "IdleTimeoutMs": 15000,
}
TRIES = 2


@dataclass(frozen=True, kw_only=True)
class RouteDraft:
    """A route of the operator's draft configuration."""

    name: str
    kind: str
    host: str
    prefix: str
    deadline_ms: int
    services: tuple[tuple[str, int], ...] = ()
    fan_out: tuple[str, ...] = ()
    is_late: bool = False


@dataclass(kw_only=True)
class RouteDrafts:
    """The operator's draft of the route table, and its encoding."""

    shape: Shape
    rand: random.Random
    routes: dict[str, RouteDraft] = field(default_factory=dict)
    serial: int = 0

    def __post_init__(self) -> None:
        for kind in self.shape.kinds:
            self.add(kind=kind)

    def _word(self) -> str:
        return "".join(self.rand.choice("abdefgiklmnoprstu") for _ in range(5))

    def add(self, *, kind: KindShape, is_late: bool = False) -> RouteDraft:
        """Add a route of a kind, with a host and a prefix of its own."""
        self.serial += 1
        is_gathered = kind.records > 0
        single = self.shape.other if not kind.is_repeatable else self.shape.single
        draft = RouteDraft(
            name=f"r-{self.serial}{self._word()}",
            kind=kind.name,
            host=f"{self._word()}{self.rand.randrange(90)}.example",
            prefix=f"/{self._word()}{self.serial}/"
            + (f"{self._word()}/" if self.serial % 2 else ""),
            deadline_ms=kind.deadline_us // 1_000,
            services=() if is_gathered else ((single, 1),),
            fan_out=self.shape.index if is_gathered else (),
            is_late=is_late,
        )
        self.routes[draft.name] = draft
        return draft

    def kind(self, *, name: str) -> KindShape:
        """The kind of request of this name; raises `StopIteration` for an unknown one."""
        return next(kind for kind in self.shape.kinds if kind.name == name)

    def of_kind(self, *, name: str) -> list[RouteDraft]:
        """The drafted routes of a kind, oldest first."""
        return [draft for draft in self.routes.values() if draft.kind == name]

    # --- changes --------------------------------------------------------------------------

    def change_time_out(self) -> None:
        """Set a random route's deadline to its kind's deadline plus 1 to 199 ms."""
        draft = self.rand.choice(list(self.routes.values()))
        deadline_ms = self.kind(name=draft.kind).deadline_us // 1_000
        self.routes[draft.name] = replace(
            draft, deadline_ms=deadline_ms + self.rand.randrange(1, 200)
        )

    def _single_service_route(self) -> RouteDraft:
        matching = [
            d for d in self.routes.values() if d.services and self.kind(name=d.kind).is_repeatable
        ]
        return self.rand.choice(matching)

    def move(self) -> None:
        """Send a random repeatable route that is not gathered to the other service."""
        draft = self._single_service_route()
        current = {name for name, _ in draft.services}
        other = self.shape.other if current == {self.shape.single} else self.shape.single
        self.routes[draft.name] = replace(draft, services=((other, 1),))

    def split(self) -> None:
        """Divide a random repeatable route that is not gathered between the two services."""
        draft = self._single_service_route()
        shares = ((self.shape.single, self.rand.randrange(1, 9)), (self.shape.other, 2))
        self.routes[draft.name] = replace(draft, services=shares)

    def recut(self) -> None:
        """Reshard the index: every gathered route changes to the other set of shards."""
        for draft in list(self.routes.values()):
            if draft.fan_out:
                new = self.shape.recut if draft.fan_out == self.shape.index else self.shape.index
                self.routes[draft.name] = replace(draft, fan_out=new)

    def drop(self) -> RouteDraft | None:
        """Remove a random late route and return it; `None` if there is none."""
        late = [draft for draft in self.routes.values() if draft.is_late]
        if not late:
            return None
        return self.routes.pop(self.rand.choice(late).name)

    # --- encoding -------------------------------------------------------------------------

    def specs(self) -> tuple[RouteSpec, ...]:
        """The drafted routes in the form that the checkers use."""
        return tuple(self._spec(draft=draft) for draft in self.routes.values())

    def _spec(self, *, draft: RouteDraft) -> RouteSpec:
        kind = self.kind(name=draft.kind)
        return RouteSpec(
            name=draft.name,
            host=draft.host,
            prefix=draft.prefix,
            services=frozenset(name for name, share in draft.services if share),
            fan_out=draft.fan_out,
            limit=kind.limit,
            quorum=kind.quorum,
            is_repeatable=kind.is_repeatable,
            deadline_us=draft.deadline_ms * 1_000,
            tries=TRIES,
        )

    def _row(self, *, draft: RouteDraft) -> dict[str, Any]:
        kind = self.kind(name=draft.kind)
        row: dict[str, Any] = {
            "Name": draft.name,
            "HostName": draft.host,
            "PathPrefix": draft.prefix,
            "Variant": "idempotent" if kind.is_repeatable else "effectful",
            "DeadlineMs": draft.deadline_ms,
            "TargetMs": kind.aim_us // 1_000,
            "Rank": kind.rank,
            "Tries": TRIES,
        }
        if draft.fan_out:
            return row | {"FanOut": list(draft.fan_out), "TopN": kind.limit, "Quorum": kind.quorum}
        if len(draft.services) == 1:
            return row | {"Service": draft.services[0][0]}
        return row | {
            "Weighted": [{"Service": name, "Share": share} for name, share in draft.services]
        }

    def body(self, *, revision: int) -> bytes:
        """The encoded configuration document."""
        service_names = {name for draft in self.routes.values() for name, _ in draft.services}
        service_names |= {name for draft in self.routes.values() for name in draft.fan_out}
        table = [
            {
                "Name": name,
                "HealthPath": "/health",
                "Protocol": "h1",
                "TlsMode": False,
                "MaxConns": self.shape.services[name].max_connections,
            }
            for name in sorted(service_names)
        ]
        return json.dumps(
            {
                "Revision": revision,
                "RouteTable": [self._row(draft=draft) for draft in self.routes.values()],
                "ServiceTable": table,
                "Limits": LIMITS,
            }
        ).encode()
