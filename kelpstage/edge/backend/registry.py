"""The book of backends: what this node knows of each, from whichever source.

States that everyone shares carry a turn; the higher turn is the later
knowledge, and at one turn the worse state stands. Only an exchange that began
after the bad news may say that a backend is up again. That a backend gives no
answer at all ('dark') is kept for each observer: one cut line must not condemn
a backend for all.

Two kinds of backend stand in it. Declared ones come from the configuration, under their
names. *Lives* come from the list (`lists.py`), under their instance ids: one that
drains never comes back, one that the list leaves out is gone at once, and all else is
judged by what requests show (`outlier_detection.py`).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace  # noqa: F401, for the examples
from typing import Iterable

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.transport.messages import BackendStateMsg
from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.outlier_detection import Evidence
from kelpstage.edge.backend.zones import ZoneDistances

UP, DARK, DRAINING, GONE, LYING = 0, 1, 2, 3, 4
STATE_NAMES = {
    UP: "up",
    DARK: "dark",
    DRAINING: "draining",
    GONE: "gone",
    LYING: "lying",
}
DARK_KEPT_US = 4_000_000
DARK_VOICES = 2
FRESH_US = 3_000_000
STATES_PER_DATAGRAM = 16
DISTRUST_US = 1_000_000
LIES_COUNTED = 4
HEARSAY_US = 4_000_000
OVERDUE_US = 2_000_000
LIST_KEPT_US = 10_000_000
REST_US = 30_000_000
PROBE, KNOCK, LEAVE = "probe", "knock", "leave"
LIE_TOLD_US = 1_000_000
SHUN_TOLD_US = 2_000_000
GONE_KEPT_US = 60_000_000
LINE_SHARE = 80  # per cent of a service's connections that the edges share
EDGES_KEPT_US = 30_000_000
MEDIAN_KEPT_US = 200_000
ZONES_KEPT_US = 50_000
UNKNOWN_US = 20_000


def line_limit(*, max_connections: int, live_edges: int) -> int:
    """How many connections one edge may have to one backend: its share, with a margin
    for those that are just being opened, closed or counted out; at least one.

    >>> line_limit(max_connections=88, live_edges=12)
    5
    >>> line_limit(max_connections=10, live_edges=90), line_limit(max_connections=0, live_edges=9)
    (1, 0)
    """
    if max_connections <= 0:
        return 0
    return max(1, max_connections * LINE_SHARE // 100 // max(1, live_edges))


@dataclass(kw_only=True, slots=True)
class Entry:
    name: str
    address: str = ""
    state: int = UP
    turn: int = 0
    since_us: int = 0
    why: str = "declared"
    seen_by: str = ""
    dark_by: dict[str, int] = field(default_factory=dict)
    strikes: int = 0
    in_flight: int = 0
    lies: int = 0
    distrusted_until_us: int = 0
    lied_us: int = -(10**12)
    looked_us: int = 0
    overdue_until_us: int = 0
    heard_us: int = -(10**12)
    # --- lives alone ---
    is_discovered: bool = False
    service: str = ""
    zone: str = ""
    slots: int = 1
    cold_until_us: int = 0
    revision: str = ""
    gone_us: int = 0
    line_limit: int = 0
    distance_us: int = 0
    charge_us: int = 0
    seen: Evidence = field(default_factory=Evidence)

    @property
    def is_draining(self) -> bool:
        return self.state == DRAINING


class BackendRegistry:
    """Backends by name.

    >>> registry = BackendRegistry(me="n1")
    >>> registry.observe(name="b", state=DRAINING, why="sign", now_us=10)
    True
    >>> registry.observe(name="b", state=UP, why="probe", now_us=20, asked_us=5)
    False
    >>> registry.observe(name="b", state=UP, why="probe", now_us=20, asked_us=15)
    True
    """

    def __init__(self, *, me: str, places: ZoneDistances | None = None) -> None:
        self._me = me
        self.places = places or ZoneDistances()
        self.entries: dict[str, Entry] = {}
        self._turn_to_tell = 0
        self._listed: dict[str, str] = {}
        self._listed_us = -LIST_KEPT_US
        self._to_tell: set[str] = set()  # names that there may be rumors of
        self._suspects: set[str] = set()  # lives that somebody shuns, or did lately
        self._instances: dict[str, tuple[str, ...]] = {}
        self._medians: dict[str, tuple[int, float]] = {}
        self._zones: dict[str, tuple[int, frozenset[str]]] = {}
        self._max_connections: dict[str, int] = {}
        self._edges: list[tuple[int, int]] = []
        self._live_edges = 1
        self.are_instances_known = False

    def entry(self, *, name: str) -> Entry:
        entry = self.entries.get(name)
        if entry is None:
            entry = self.entries[name] = Entry(name=name)
        return entry

    def declare(self, *, configuration: Configuration, listed: dict[str, str]) -> None:
        """Follow a configuration; an address it leaves out comes from the platform."""
        self._max_connections = {
            name: service.max_connections
            for name, service in getattr(configuration, "services", {}).items()
        }
        self._set_line_limits()
        for name, backend in configuration.backends.items():
            entry = self.entry(name=name)
            address = backend.address or listed.get(name, "")
            if address and address != entry.address:
                entry.address = address
                entry.strikes = 0
                entry.dark_by.clear()
        for name in sorted(set(self.entries) - set(configuration.backends)):
            if not self.entries[name].in_flight and not self.entries[name].is_discovered:
                del self.entries[name]

    # --- lives ----------------------------------------------------------------------

    def set_instances(self, instances: Iterable[Instance], now_us: int) -> list[str]:
        """Take over a whole list; gives the instances that came, went or began to drain.

        >>> registry = BackendRegistry(me="n1")
        >>> one = Instance(instance_id="i1", service="s", address="127.0.0.1:1")
        >>> registry.set_instances([one], now_us=1), registry.instances_of(service="s")
        (['i1'], ('i1',))
        >>> registry.set_instances([replace(one, is_draining=True)], now_us=2)
        ['i1']
        >>> registry.set_instances([one], now_us=3), registry.entries["i1"].is_draining
        ([], True)
        >>> registry.set_instances([], now_us=4), registry.instances_of(service="s")
        (['i1'], ())
        """
        self.are_instances_known = True
        news: list[str] = []
        names: dict[str, list[str]] = {}
        listed: set[str] = set()
        for instance in instances:
            listed.add(instance.instance_id)
            names.setdefault(instance.service, []).append(instance.instance_id)
            if self._set_instance(instance=instance, now_us=now_us):
                news.append(instance.instance_id)
        for name, entry in list(self.entries.items()):
            if not entry.is_discovered or name in listed:
                continue
            if not entry.gone_us:
                entry.gone_us = now_us
                news.append(name)
            elif now_us - entry.gone_us > GONE_KEPT_US and not entry.in_flight:
                del self.entries[name]
        self._instances = {service: tuple(sorted(found)) for service, found in names.items()}
        self._zones.clear()
        self._set_line_limits()
        return news

    def _set_instance(self, *, instance: Instance, now_us: int) -> bool:
        entry = self.entries.get(instance.instance_id)
        is_new = entry is None or not entry.is_discovered or entry.gone_us > 0
        if entry is None:
            entry = self.entries[instance.instance_id] = Entry(
                name=instance.instance_id, why="listed"
            )
        entry.is_discovered, entry.gone_us = True, 0
        entry.service, entry.address, entry.zone = instance.service, instance.address, instance.zone
        entry.slots, entry.revision = max(1, instance.slots), instance.revision
        entry.distance_us = self.places.distance_us(zone=instance.zone)
        entry.charge_us = self.places.charge_us(zone=instance.zone)
        entry.cold_until_us = now_us + instance.cold_us if instance.cold_us > 0 else 0
        if not instance.is_draining or entry.state == DRAINING:
            return is_new
        # Not a rumor: all hear of it by the list's own news.
        entry.state, entry.since_us = DRAINING, now_us
        entry.why, entry.seen_by = "draining on the list", self._me
        return True

    def measure_distances(self) -> None:
        """Take over the round trips that were measured since."""
        for names in self._instances.values():
            for name in names:
                entry = self.entries[name]
                entry.distance_us = self.places.distance_us(zone=entry.zone)

    def instances_of(self, service: str) -> tuple[str, ...]:
        """Instance ids of the lives that the list gives for a service, sorted."""
        return self._instances.get(service, ())

    def zones_of(self, *, service: str, now_us: int) -> frozenset[str]:
        """Zones with a life of this service that may be asked; kept for a moment, since a
        root looks at every shard of every search.

        >>> registry = BackendRegistry(me="n1")
        >>> one = Instance(instance_id="i1", service="s", address="127.0.0.1:1", zone="z")
        >>> _ = registry.set_instances([one, replace(one, instance_id="i2", zone="y")], now_us=1)
        >>> sorted(registry.zones_of(service="s", now_us=2))
        ['y', 'z']
        >>> _ = registry.note_failure(name="i2", why="refused", now_us=3)
        >>> sorted(registry.zones_of(service="s", now_us=4))
        ['z']
        """
        known = self._zones.get(service)
        if known is not None and 0 <= now_us - known[0] < ZONES_KEPT_US:
            return known[1]
        entries = [self.entries[name] for name in self._instances.get(service, ())]
        fit = [entry for entry in entries if entry.state == UP]
        well = [entry for entry in fit if not entry.seen.is_shunned(now_us=now_us)]
        zones = frozenset(entry.zone for entry in well or fit)
        self._zones[service] = (now_us, zones)
        return zones

    def set_live_edges(self, *, count: int, now_us: int) -> None:
        """How many edges share the backends' connections: the most of the last half
        minute, since what an edge had open may outlast it.

        >>> registry = BackendRegistry(me="n1")
        >>> registry.set_live_edges(count=9, now_us=0)
        >>> registry.set_live_edges(count=8, now_us=1)
        >>> registry.live_edges
        9
        """
        recent = [(at, n) for at, n in self._edges if now_us - at < EDGES_KEPT_US and n > count]
        if not self._edges or self._edges[-1][1] != count or len(recent) != len(self._edges):
            self._edges = recent + [(now_us, count)]
        else:
            self._edges[-1] = (now_us, count)
        most = max(n for _, n in self._edges)
        if most != self._live_edges:
            self._live_edges = most
            self._set_line_limits()

    @property
    def live_edges(self) -> int:
        return self._live_edges

    def _set_line_limits(self) -> None:
        for service, names in self._instances.items():
            limit = line_limit(
                max_connections=self._max_connections.get(service, 0),
                live_edges=self._live_edges,
            )
            for name in names:
                self.entries[name].line_limit = limit

    def median_us(self, *, service: str, now_us: int) -> float:
        """What a life of this service takes, where nothing is known of the life itself."""
        known = self._medians.get(service)
        if known is not None and now_us - known[0] < MEDIAN_KEPT_US:
            return known[1]
        means = sorted(
            entry.seen.mean_us
            for entry in map(self.entries.__getitem__, self._instances.get(service, ()))
            if entry.seen.answers
        )
        median = means[(len(means) - 1) // 2] if means else known[1] if known else UNKNOWN_US
        self._medians[service] = (now_us, median)
        return median

    def note_answer(self, *, name: str, took_us: int, now_us: int) -> None:
        """A life gave a good answer, `took_us` after it was asked."""
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.heard_us = now_us
        entry.strikes = entry.overdue_until_us = entry.lies = entry.distrusted_until_us = 0
        entry.dark_by.clear()
        net_us = max(took_us - entry.distance_us, took_us // 4) if took_us > 0 else 0
        entry.seen.note_answer(took_us=net_us, now_us=now_us)

    def note_full(self, *, name: str, now_us: int) -> None:
        """A life said that it did not run a request: it is loaded, not ill."""
        entry = self.entries.get(name)
        if entry is not None:
            entry.heard_us = now_us
            entry.seen.note_full(now_us=now_us)

    def note_failure(
        self, *, name: str, why: str, now_us: int, waited_us: int | None = None
    ) -> bool:
        """A request failed at a life (`outlier_detection.REFUSED`, `RESET`, `FAILED`, `GARBLED`,
        `SILENT`, the last after `waited_us`); true if it is shunned from now on, which
        is news. A connection refused by a life that answered a moment ago, and a short
        silence, are signs of load first."""
        entry = self.entries.get(name)
        if entry is None:
            return False
        weighed = entry.seen.weigh(why=why, waited_us=waited_us, now_us=now_us)
        if weighed != why:
            entry.seen.note_full(now_us=now_us)
        if not weighed or not entry.seen.note_failure(why=weighed, now_us=now_us):
            return False
        entry.dark_by[self._me] = now_us
        self._to_tell.add(name)
        self._suspects.add(name)
        self._zones.pop(entry.service, None)
        return True

    def suspects(self, *, now_us: int) -> list[Entry]:
        """Lives that this node shuns, or hears that others do, with no answer here since;
        for as long as that is fresh."""
        found = []
        for name in sorted(self._suspects):
            entry = self.entries.get(name)
            latest_us = max(entry.dark_by.values(), default=0) if entry is not None else 0
            until_us = max(latest_us + DARK_KEPT_US, entry.seen.shunned_until_us) if entry else 0
            if entry is None or entry.gone_us or not entry.dark_by or now_us >= until_us:
                self._suspects.discard(name)
            elif entry.state == UP:
                found.append(entry)
        return found

    def note_probed(self, *, name: str, now_us: int) -> None:
        """A shunned life says that it is well: it may be tried now."""
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.dark_by.clear()
        if entry.seen.is_shunned(now_us=now_us):
            entry.seen.shunned_until_us = now_us

    def _note_instance(self, *, entry: Entry, state: int, why: str, now_us: int) -> bool:
        """`observe` for a life: it may begin to drain, once; a refused connection is
        evidence; nothing makes it come back but an answer to a request."""
        if state == GONE:
            return self.note_failure(name=entry.name, why=outlier_detection.REFUSED, now_us=now_us)
        if state != DRAINING or entry.state == DRAINING:
            return False
        entry.state, entry.why, entry.seen_by = DRAINING, why, self._me
        entry.turn, entry.since_us = entry.turn + 1, now_us
        self._to_tell.add(entry.name)
        self._zones.pop(entry.service, None)
        return True

    def refusal_of_instance(self, *, entry: Entry, now_us: int) -> str:
        """Why a life may not be asked now; empty if it may."""
        if entry.gone_us:
            return "not on the list"
        if entry.state == DRAINING:
            return f"draining ({entry.why})"
        if entry.seen.shunned_until_us:
            if now_us < entry.seen.shunned_until_us:
                return "shunned"
            if entry.in_flight:
                return "on trial"
        if 0 < entry.line_limit <= entry.in_flight:
            return "no free line"
        return ""

    # --- what the platform's list calls declared backends ---------------------------

    def follow_list(self, *, states: dict[str, str], now_us: int) -> None:
        """What the platform's list calls stopping is not asked, and what it leaves out
        is asked last, while it says so and is still being read."""
        self._listed, self._listed_us = states, now_us

    def is_listed_stopping(self, *, name: str, now_us: int) -> bool:
        is_fresh = now_us - self._listed_us < LIST_KEPT_US
        return is_fresh and self._listed.get(name) == "stopping"

    def is_unlisted(self, *, name: str, now_us: int) -> bool:
        """Does a list that holds others leave this one out?"""
        is_fresh = now_us - self._listed_us < LIST_KEPT_US
        return is_fresh and bool(self._listed) and name not in self._listed

    def way_to_look(
        self, *, name: str, configuration: Configuration, now_us: int, is_first: bool
    ) -> str:
        """How a backend may be looked at now: by a request, by a bare connection, or
        not at all.

        A backend that is known to drain or to be gone gets no request, not even a
        probe. One that is gone is knocked at until it accepts again; one that drains
        until it refuses. So that a drain that was called off is not for ever, the
        first of its probers asks it once in half a minute.

        >>> registry, empty = BackendRegistry(me="n1"), Configuration(version=1, document=b"")
        >>> registry.way_to_look(name="b", configuration=empty, now_us=0, is_first=True)
        'probe'
        >>> _ = registry.observe(name="b", state=DRAINING, why="sign", now_us=1)
        >>> registry.way_to_look(name="b", configuration=empty, now_us=2, is_first=True)
        'knock'
        >>> registry.way_to_look(name="b", configuration=empty, now_us=REST_US + 1, is_first=True)
        'probe'
        """
        declared = configuration.backends.get(name)
        if declared is not None and declared.is_draining:
            return LEAVE
        if self.is_listed_stopping(name=name, now_us=now_us):
            return KNOCK
        entry = self.entry(name=name)
        if entry.state not in (DRAINING, GONE):
            return PROBE
        since_us = max(entry.since_us, entry.looked_us)
        if entry.state == DRAINING and is_first and now_us - since_us >= REST_US:
            entry.looked_us = now_us
            return PROBE
        return KNOCK

    def observe(
        self, *, name: str, state: int, why: str, now_us: int, asked_us: int | None = None
    ) -> bool:
        """Note what was seen; true if it is news for others."""
        entry = self.entry(name=name)
        if entry.is_discovered:
            return self._note_instance(entry=entry, state=state, why=why, now_us=now_us)
        if state == UP:
            entry.strikes = 0
            entry.dark_by.pop(self._me, None)
        if state == entry.state:
            return False
        if state == UP and (asked_us is None or asked_us <= entry.since_us):
            return False
        if state == DRAINING and entry.state == GONE and asked_us is None:
            return False
        entry.state, entry.why, entry.seen_by = state, why, self._me
        entry.turn += 1
        entry.since_us = now_us
        self._to_tell.add(name)
        return True

    def strike(self, *, name: str, now_us: int) -> bool:
        """No answer came; two in a row make the backend dark to this node, and gone
        if the platform's list leaves it out as well."""
        entry = self.entry(name=name)
        if entry.is_discovered:
            return self.note_failure(name=name, why=outlier_detection.SILENT, now_us=now_us)
        entry.strikes += 1
        self.note_overdue(name=name, now_us=now_us)
        if entry.strikes < 2:
            return False
        is_new = self._me not in entry.dark_by
        entry.dark_by[self._me] = now_us
        self._to_tell.add(name)
        if self.is_unlisted(name=name, now_us=now_us):
            why = "silent, and not on the platform's list"
            is_new |= self.observe(name=name, state=GONE, why=why, now_us=now_us)
        return is_new

    def note_overdue(self, *, name: str, now_us: int) -> None:
        """It let a window pass and has not answered yet: ask others first, before it
        costs more searches a second round."""
        entry = self.entry(name=name)
        if entry.is_discovered:
            entry.seen.note_full(now_us=now_us)  # lives pause now and then: no illness
            return
        entry.overdue_until_us = now_us + OVERDUE_US

    def is_overdue(self, *, name: str, now_us: int) -> bool:
        return now_us < self.entry(name=name).overdue_until_us

    def heard_back(self, *, name: str, now_us: int) -> None:
        """Any answer at all shows that the backend is not dark."""
        entry = self.entry(name=name)
        entry.heard_us = now_us
        entry.strikes = entry.overdue_until_us = 0
        if not entry.is_discovered:  # a life is judged by its answers, not by any sound
            entry.dark_by.pop(self._me, None)

    def lied(self, *, name: str, now_us: int) -> None:
        """A reply failed its checks: ask others first for a while, longer each time."""
        entry = self.entry(name=name)
        if entry.is_discovered:
            self.note_failure(name=name, why=outlier_detection.GARBLED, now_us=now_us)
            return
        self._to_tell.add(name)
        entry.lies = min(entry.lies + 1, LIES_COUNTED)
        entry.distrusted_until_us = now_us + DISTRUST_US * 2**entry.lies
        entry.lied_us = now_us

    def told_truth(self, *, name: str) -> None:
        entry = self.entry(name=name)
        if entry.is_discovered:
            return  # `note_answer` says it, with the time it took
        entry.lies, entry.distrusted_until_us = 0, 0

    def is_distrusted(self, *, name: str, now_us: int) -> bool:
        """Did this backend send bad bytes a moment ago, do peers call it silent, or
        does the platform's list leave it out?"""
        if now_us < self.entry(name=name).distrusted_until_us:
            return True
        return self.is_unlisted(name=name, now_us=now_us) or self.is_doubted(
            name=name, now_us=now_us
        )

    def on_backend_state_received(self, *, backend_state: BackendStateMsg, now_us: int) -> bool:
        """Take over later knowledge; true if it changed something."""
        entry = self.entries.get(backend_state.backend)
        if entry is None or backend_state.seen_by == self._me and backend_state.state == DARK:
            return False
        if backend_state.state == LYING:
            return self._hear_of_lie(entry=entry, backend_state=backend_state, now_us=now_us)
        if backend_state.state == DARK:
            is_new = backend_state.seen_by not in entry.dark_by
            entry.dark_by[backend_state.seen_by] = now_us
            if entry.is_discovered:
                self._suspects.add(entry.name)
            return is_new
        if entry.is_discovered:
            return self._hear_of_instance(entry=entry, backend_state=backend_state, now_us=now_us)
        if (backend_state.turn, backend_state.state) <= (entry.turn, entry.state):
            return False
        entry.turn, entry.state = backend_state.turn, backend_state.state
        entry.why, entry.seen_by, entry.since_us = backend_state.why, backend_state.seen_by, now_us
        self._to_tell.add(entry.name)
        if backend_state.state == UP:
            entry.strikes = 0
        return True

    def _hear_of_instance(
        self, *, entry: Entry, backend_state: BackendStateMsg, now_us: int
    ) -> bool:
        if backend_state.state != DRAINING or entry.turn:
            return False
        is_new = entry.state != DRAINING
        entry.state, entry.turn, entry.since_us = DRAINING, max(1, backend_state.turn), now_us
        entry.why, entry.seen_by = backend_state.why, backend_state.seen_by
        self._to_tell.add(entry.name)
        self._zones.pop(entry.service, None)
        return is_new

    def _hear_of_lie(self, *, entry: Entry, backend_state: BackendStateMsg, now_us: int) -> bool:
        if backend_state.seen_by == self._me or now_us < entry.distrusted_until_us:
            return False
        entry.distrusted_until_us = now_us + HEARSAY_US
        return True

    def backend_states(self, *, now_us: int) -> list[BackendStateMsg]:
        """The news, then a share of all that is out of the ordinary, by turns."""
        news, rest = [], []
        for name in sorted(self._to_tell):
            entry = self.entries.get(name)
            if entry is None or not self._is_worth_telling(entry=entry, now_us=now_us):
                self._to_tell.discard(name)
                continue
            if self._me in entry.dark_by and not self._is_old_shun(entry=entry, now_us=now_us):
                news.append(self._state_message(entry=entry, state=DARK, turn=0, seen_by=self._me))
            if now_us - entry.lied_us < LIE_TOLD_US:
                news.append(self._state_message(entry=entry, state=LYING, turn=0, seen_by=self._me))
            if entry.turn:
                backend_state = self._state_message(
                    entry=entry, state=entry.state, turn=entry.turn, seen_by=entry.seen_by
                )
                (news if now_us - entry.since_us < FRESH_US else rest).append(backend_state)
        room = max(4, STATES_PER_DATAGRAM - len(news))
        if rest:
            start = self._turn_to_tell % len(rest)
            self._turn_to_tell += room
            rest = (rest[start:] + rest[:start])[:room]
        return news[: 2 * STATES_PER_DATAGRAM] + rest

    def _is_worth_telling(self, *, entry: Entry, now_us: int) -> bool:
        if entry.turn or self._me in entry.dark_by:
            return not entry.gone_us
        return now_us - entry.lied_us < LIE_TOLD_US

    @staticmethod
    def _is_old_shun(*, entry: Entry, now_us: int) -> bool:
        return entry.is_discovered and now_us - entry.seen.shunned_us >= SHUN_TOLD_US

    @staticmethod
    def _state_message(*, entry: Entry, state: int, turn: int, seen_by: str) -> BackendStateMsg:
        return BackendStateMsg(
            backend=entry.name, state=state, turn=turn, seen_by=seen_by, why=entry.why
        )

    def is_dark(self, *, name: str, now_us: int) -> bool:
        """Did it give this node itself no answer?"""
        return self._me in self.entry(name=name).dark_by

    def is_doubted(self, *, name: str, now_us: int) -> bool:
        """Do several peers say that it is silent, and did this node not hear it
        lately? A reason to ask others first, not more: two sides of a cut would else
        condemn each other's backends, and have none left when it heals."""
        entry = self.entry(name=name)
        if now_us - entry.heard_us < DARK_KEPT_US:
            return False
        voices = sum(now_us - at < DARK_KEPT_US for at in entry.dark_by.values())
        return voices >= DARK_VOICES

    def refusal(self, *, name: str, configuration: Configuration, now_us: int) -> str:
        """Why this backend may not be asked now; empty if it may."""
        known = self.entries.get(name)
        if known is not None and known.is_discovered:
            return self.refusal_of_instance(entry=known, now_us=now_us)
        backend = configuration.backends.get(name)
        if backend is None:
            return "not declared"
        if backend.is_draining:
            return "label drain"
        entry = self.entry(name=name)
        if not entry.address:
            return "no address known"
        if self.is_listed_stopping(name=name, now_us=now_us):
            return "stopping on the platform's list"
        if entry.state != UP:
            return f"{STATE_NAMES[entry.state]} ({entry.why})"
        if self.is_dark(name=name, now_us=now_us):
            return "dark"
        return ""
