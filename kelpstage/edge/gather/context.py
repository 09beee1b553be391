"""What the stages read and write: this node's views of the cluster and a list of effects."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.event_journal import Journal
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.statistics import GatherStatistics
from kelpstage.edge.gossip.members import ALIVE
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import Budget

LATE_PENALTY_US = 1_000_000  # doubles with each further late reply in a row
REPLY_MARGIN_US = 4_000  # added to the round trip to a peer
MAX_LATE_COUNT = 5  # bounds the doubling of the penalty
LOAD_STEP = 4  # requests in flight; a smaller difference between two peers does not rank them
HASH_RANGE = 2**32  # of CRC-32
MAX_PREFERENCES = 10_000  # names in the cache; machines come and go while a process runs
UNRESPONSIVE_COUNT = 3  # late replies in a row; a peer then gets no queries for the penalty


@dataclass(kw_only=True)
class Lateness:
    """The time of a peer's last late reply, and the number of late ones since it last replied."""

    since_us: int
    count: int


@dataclass(kw_only=True)
class GatherContext:
    """This node's views of the cluster, shared by all requests, and the effects to perform.

    `now_us` is set once before each run of the stages; the stages do not read a clock.
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
    round_trips_us: dict[str, int] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)  # region by zone
    statistics: GatherStatistics = field(default_factory=GatherStatistics)
    _preferences: dict[str, float] = field(default_factory=dict)  # cache of `preference`

    def emit(self, effect: Any) -> None:
        """Queue an effect to be performed after this run of the stages."""
        self.effects.append(effect)

    def live_edge_count(self) -> int:
        """Return the number of live edges, which share the slack of the retry budget."""
        return len(self.swim.live())

    def node_window_us(self, *, name: str, least_us: int) -> int:
        """Return a peer's window: at least `least_us`, more if its measured latency needs it."""
        return self.latencies.window_us(name=f"node:{name}", least_us=least_us)

    def note_late(self, *, name: str) -> None:
        """Record that a peer exceeded a window, or that the connection to it was lost."""
        known = self.late.get(name)
        count = 0 if known is None else known.count
        self.late[name] = Lateness(since_us=self.now_us, count=min(count + 1, MAX_LATE_COUNT))

    def note_missed_ack(self, *, name: str) -> None:
        """Record a missed direct gossip ack; queries may not reach the peer either."""
        self.note_late(name=name)
        self.late[name].count = max(self.late[name].count, UNRESPONSIVE_COUNT)

    def note_reply(self, *, name: str) -> None:
        """Record a reply; it resets the peer's count of late replies."""
        known = self.late.get(name)
        if known is not None:
            known.count = 0

    def note_round_trip(self, *, name: str, took_us: int) -> None:
        """Record a round trip to a peer: longer ones are smoothed, shorter ones apply at once."""
        known = self.round_trips_us.get(name, took_us)
        self.round_trips_us[name] = min(took_us, known + (took_us - known) // 4)

    def round_trip_us(self, *, name: str) -> int:
        """Return the round trip to a peer, or to its zone if it was not measured to the peer
        itself: in a large fleet a node measures few of its peers."""
        measured_us = self.round_trips_us.get(name)
        if measured_us is not None:
            return measured_us
        member = self.swim.members.get(name)
        if member is None or not member.info.zone:
            return 0
        return self.registry.zone_distances.distance_us(zone=member.info.zone)

    def reply_margin_us(self, *, name: str) -> int:
        """Return the part of the time left to reserve for the round trip to a peer."""
        return REPLY_MARGIN_US + self.round_trip_us(name=name)

    def is_late(self, *, name: str) -> bool:
        """True while a peer is ranked last because it was late.

        The penalty doubles with each late reply in a row: gossip may still reach, through other
        nodes, a peer that this node cannot reach.
        """
        known = self.late.get(name)
        return known is not None and self.now_us - known.since_us < LATE_PENALTY_US << max(
            0, known.count - 1
        )

    def is_unresponsive(self, *, name: str) -> bool:
        """True if the peer was late several times in a row and the penalty has not expired."""
        known = self.late.get(name)
        return known is not None and known.count >= UNRESPONSIVE_COUNT and self.is_late(name=name)

    def is_far(self, *, name: str) -> bool:
        """True if the peer is in another region."""
        member = self.swim.members.get(name)
        zone = member.info.zone if member else self.zone
        regions = self.regions
        return regions.get(zone, zone) != regions.get(self.zone, self.zone)

    def zones_by_distance(self) -> list[str]:
        """Return the zones of this deployment: this node's zone, then those of its region, then
        the others; ties are broken at random."""
        own_region = self.regions.get(self.zone, self.zone)
        known = {m.info.zone for m in self.swim.members.values()} | set(self.regions)
        known.discard(self.zone)
        others = sorted(
            sorted(known),  # the random keys are drawn in this order
            key=lambda zone: (self.regions.get(zone, zone) != own_region, self.rand.random()),
        )
        return [self.zone, *others]

    def helpers_by_zone(self, *, collection: str) -> dict[str, list[str]]:
        """Return the peers that may gather, by zone, the best first.

        Peers of equal rank are ordered by `preference`, so that one search after the other uses
        the same few peers of a zone, over connections that are open already.
        """
        out: dict[str, list[str]] = {}
        for name in self._ranked_helpers(collection=collection, tie_break=self.preference):
            out.setdefault(self.swim.members[name].info.zone, []).append(name)
        return out

    def preference(self, name: str) -> float:
        """Return this node's fixed rank of a peer, from 0 to 1: the hash of both names.

        Each node prefers other peers (rendezvous hashing, Thaler and Ravishankar 1998), so that
        all of a zone are used equally.
        """
        known = self._preferences.get(name)
        if known is None:
            if len(self._preferences) >= MAX_PREFERENCES:
                self._preferences.clear()
            digest = zlib.crc32(f"{self.me}/{name}".encode())
            known = self._preferences[name] = digest / HASH_RANGE
        return known

    def helpers(self, *, collection: str, rand: random.Random | None) -> list[str]:
        """Return the peers that may gather, the best first; ties are broken at random.

        Peers whose round trip exceeds the route's window are left out while there are nearer
        ones, even if a nearer peer then takes two places in the tree.
        """
        names = self._ranked_helpers(
            collection=collection, tie_break=lambda name: rand.random() if rand else 0.0
        )
        route = self.lease_holder.configuration.route(collection=collection)
        window_us = route.window_us if route else 0
        near = [name for name in names if self.round_trips_us.get(name, 0) <= window_us]
        return near or names

    def _ranked_helpers(self, *, collection: str, tie_break: Callable[[str], float]) -> list[str]:
        """Return the peers that may gather, ranked by lateness, by zone (this node's zone first)
        and by load. Unresponsive peers are left out."""
        ranked = []
        for name, member in self.swim.members.items():
            info = member.info
            if info.status != ALIVE or not info.is_ready or self.is_unresponsive(name=name):
                continue
            if not self.lease_holder.configuration.is_gatherer(
                collection=collection, name=name, zone=info.zone
            ):
                continue
            ranked.append(
                (
                    self.is_late(name=name),
                    info.zone != self.zone,
                    info.load // LOAD_STEP,
                    tie_break(name),
                    name,
                )
            )
        return [rank[-1] for rank in sorted(ranked)]
