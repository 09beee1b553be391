"""What the stages may see and do: this node's views, and a list of effects."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from kelpstage.common.event_journal import Journal
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.statistics import GatherStatistics
from kelpstage.edge.gossip.members import ALIVE
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget

LATE_FOR_US = 1_000_000
MARGIN_US = 4_000
LATE_COUNT = 5
SILENT_COUNT = 3  # until it is probed again


@dataclass(kw_only=True)
class Lateness:
    """When a peer was last late, and how often since it last answered."""

    since_us: int
    count: int


@dataclass(kw_only=True)
class GatherContext:
    """This node's views of the cluster, shared by all requests, and the effects to perform.

    `now_us` is set once before each run of the stages; the stages read no clock.
    """

    me: str
    zone: str
    own: str
    rand: random.Random
    lease_holder: LeaseHolder
    swim: Swim
    registry: BackendRegistry
    latencies: LatencyEstimates
    budget: Budget
    journal: Journal
    trace: Journal = field(default_factory=lambda: Journal(now=lambda: 0, limit=1))
    now_us: int = 0
    effects: list[Any] = field(default_factory=list)
    late: dict[str, Lateness] = field(default_factory=dict)
    next_attempt: int = 0
    distances: dict[str, int] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)  # of zones
    statistics: GatherStatistics = field(default_factory=GatherStatistics)

    def emit(self, effect: Any) -> None:
        """Have an effect performed after this run of the stages."""
        self.effects.append(effect)

    def edges(self) -> int:
        """Edges that share the slack of the budget."""
        return len(self.swim.live())

    def node_window_us(self, *, name: str, least_us: int) -> int:
        """A peer's window: the least one, stretched by what was seen of it."""
        return self.latencies.window_us(name=f"node:{name}", least_us=least_us)

    def note_late(self, *, name: str) -> None:
        """A peer let a window pass, or its connection broke."""
        known = self.late.get(name)
        count = 0 if known is None else known.count
        self.late[name] = Lateness(since_us=self.now_us, count=min(count + 1, LATE_COUNT))

    def note_silent(self, *, name: str) -> None:
        """Gossip had no direct ack from it: queries may not reach it either."""
        self.note_late(name=name)
        self.late[name].count = max(self.late[name].count, SILENT_COUNT)

    def note_reply(self, *, name: str) -> None:
        """It answers after all: what it let pass later counts anew."""
        known = self.late.get(name)
        if known is not None:
            known.count = 0

    def note_distance(self, *, name: str, took_us: int) -> None:
        """A round trip to a peer, smoothed, the short ones at once."""
        known = self.distances.get(name, took_us)
        self.distances[name] = min(took_us, known + (took_us - known) // 4)

    def reply_margin_us(self, *, name: str) -> int:
        """What a peer must leave of our time, for the way there and back.

        >>> from types import SimpleNamespace as Some
        >>> context = Some(distances={"k": 120_000})
        >>> [GatherContext.reply_margin_us(context, name=name) for name in ("k", "j")]
        [124000, 4000]
        """
        return MARGIN_US + self.distances.get(name, 0)

    def is_late(self, *, name: str) -> bool:
        """Did this peer let a window pass a moment ago? The longer it has not
        answered at all, the longer it is asked last: gossip may reach it attempt a
        line that is cut from here."""
        known = self.late.get(name)
        return known is not None and self.now_us - known.since_us < LATE_FOR_US << max(
            0, known.count - 1
        )

    def is_silent(self, *, name: str) -> bool:
        """Has it not answered this node at all, several times over?"""
        known = self.late.get(name)
        return known is not None and known.count >= SILENT_COUNT and self.is_late(name=name)

    def is_far(self, *, name: str) -> bool:
        """Is this peer in another region?"""
        member = self.swim.members.get(name)
        zone = member.info.zone if member else self.zone
        regions = self.regions
        return regions.get(zone, zone) != regions.get(self.zone, self.zone)

    def zones_by_distance(self) -> list[str]:
        """Zones of this deployment: the own one, those of the own region, then the others,
        ties by lot."""
        home = self.regions.get(self.zone, self.zone)
        known = {m.info.zone for m in self.swim.members.values()} | set(self.regions)
        known.discard(self.zone)
        others = sorted(
            known, key=lambda zone: (self.regions.get(zone, zone) != home, self.rand.random())
        )
        return [self.zone, *others]

    def helpers_by_zone(self, *, collection: str) -> dict[str, list[str]]:
        """The peers that may merge, by their zone, the best first."""
        out: dict[str, list[str]] = {}
        for name in self.helpers(collection=collection, rand=self.rand, is_near_only=False):
            out.setdefault(self.swim.members[name].info.zone, []).append(name)
        return out

    def helpers(
        self, *, collection: str, rand: random.Random | None, is_near_only: bool = True
    ) -> list[str]:
        """Peers that may merge, the best first: alive and not late a moment
        ago, own zone, little load, ties by lot. One that is silent towards this
        node is left out, and so is one whose round trip alone is longer than the
        route's window, while there are nearer ones: better that one stands in twice."""
        ranked = []
        for name, member in self.swim.members.items():
            info = member.info
            if info.status != ALIVE or not info.is_ready or self.is_silent(name=name):
                continue
            if not self.lease_holder.configuration.is_gatherer(
                collection=collection, name=name, zone=info.zone
            ):
                continue
            lot = rand.random() if rand else 0.0
            ranked.append(
                (self.is_late(name=name), info.zone != self.zone, info.load // 4, lot, name)
            )
        names = [rank[-1] for rank in sorted(ranked)]
        if not is_near_only:
            return names
        route = self.lease_holder.configuration.route(collection=collection)
        window_us = route.window_us if route else 0
        near = [name for name in names if self.distances.get(name, 0) <= window_us]
        return near or names
