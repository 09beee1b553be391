"""The registry of backends: everything that this edge knows of each backend.

A facade over its parts, each of which alone holds its state: entries and instances
(`instance_registry.py`), connection limits (`connection_limits.py`), the platform's list
(`platform_states.py`), suspected instances (`suspected_instances.py`), updates after answers
and failures (`health.py`), gossiped states (`state_gossip.py`), the decision whether a
backend may receive requests (`eligibility.py`), and the versions of a service during a rollout
(`version_routing.py`, `version_statistics.py`).
"""

from __future__ import annotations

from typing import Iterable

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.transport.messages import BackendStateMsg
from kelpstage.edge.backend.connection_limits import ConnectionLimits
from kelpstage.edge.backend.eligibility import CheckKind, Eligibility
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.health import BackendHealth
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.platform_states import PlatformStates
from kelpstage.edge.backend.state_gossip import StateGossip
from kelpstage.edge.backend.suspected_instances import SuspectedInstances
from kelpstage.edge.backend.version_routing import VersionRouting
from kelpstage.edge.backend.version_statistics import VersionStatistics
from kelpstage.edge.backend.zones import ZoneDistances


class BackendRegistry:
    """All backends: declared ones by name and discovered instances by id.

    Times are clock readings in microseconds.

    >>> from kelpstage.edge.backend.backend_state import BackendState
    >>> registry = BackendRegistry(me="n1")
    >>> registry.observe(name="b", state=BackendState.DRAINING, why="sign", now_us=10)
    True
    >>> registry.observe(name="b", state=BackendState.UP, why="check", now_us=20, asked_us=5)
    False
    >>> registry.observe(name="b", state=BackendState.UP, why="check", now_us=20, asked_us=15)
    True
    """

    def __init__(self, *, me: str, zone_distances: ZoneDistances | None = None) -> None:
        self.zone_distances = zone_distances or ZoneDistances()
        self._limits = ConnectionLimits()
        self._instances = InstanceRegistry(
            me=me, zone_distances=self.zone_distances, limits=self._limits
        )
        self.entries = self._instances.entries
        self._platform_states = PlatformStates()
        self._suspected = SuspectedInstances(entries=self.entries)
        self._gossip = StateGossip(me=me, instances=self._instances, suspected=self._suspected)
        self._health = BackendHealth(
            me=me,
            instances=self._instances,
            suspected=self._suspected,
            platform_states=self._platform_states,
            on_changed=self._gossip.mark_changed,
        )
        self._eligibility = Eligibility(
            me=me, instances=self._instances, platform_states=self._platform_states
        )
        self.version_routing = VersionRouting()
        self.version_statistics = VersionStatistics(
            routing=self.version_routing, entries_of=self._entries_of
        )

    # --- entries and instances ------------------------------------------------------

    @property
    def are_instances_known(self) -> bool:
        """True once a list of instances was applied."""
        return self._instances.are_instances_known

    def entry(self, *, name: str) -> BackendEntry:
        """Return the entry of a backend; creates it if there is none."""
        return self._instances.entry(name=name)

    def apply_configuration(self, *, configuration: Configuration, listed: dict[str, str]) -> None:
        """Apply a configuration; `listed` provides the addresses that it does not contain."""
        self._instances.apply_configuration(configuration=configuration, listed=listed)

    def set_instances(self, instances: Iterable[Instance], now_us: int) -> list[str]:
        """Apply a complete list; returns the ids added, removed or newly draining.

        >>> from dataclasses import replace
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
        return self._instances.set_instances(instances, now_us)

    def instances_of(self, service: str) -> tuple[str, ...]:
        """Return the sorted ids of the listed instances of a service."""
        return self._instances.instances_of(service)

    def versions_of(self, *, service: str) -> list[str]:
        """Return the versions of a service that were listed within the last minute, sorted."""
        return self._instances.versions_of(service=service)

    def _entries_of(self, service: str) -> list[BackendEntry]:
        return [self.entries[name] for name in self._instances.instances_of(service)]

    def zones_of(self, *, service: str, now_us: int) -> frozenset[str]:
        """Return the zones with an available instance of a service.

        >>> from dataclasses import replace
        >>> registry = BackendRegistry(me="n1")
        >>> one = Instance(instance_id="i1", service="s", address="127.0.0.1:1", zone="z")
        >>> _ = registry.set_instances([one, replace(one, instance_id="i2", zone="y")], now_us=1)
        >>> sorted(registry.zones_of(service="s", now_us=2))
        ['y', 'z']
        >>> _ = registry.note_failure(name="i2", why="refused", now_us=3)
        >>> sorted(registry.zones_of(service="s", now_us=4))
        ['z']
        """
        return self._instances.zones_of(service=service, now_us=now_us)

    def median_us(self, *, service: str, now_us: int) -> float:
        """Return the median latency of a service's instances."""
        return self._instances.median_us(service=service, now_us=now_us)

    def update_distances(self) -> None:
        """Update the instances with the latest measured round trips to their zones."""
        self._instances.update_distances()

    def set_live_edges(self, *, count: int, now_us: int) -> None:
        """Record the number of live edges, which share the connections to the backends.

        >>> registry = BackendRegistry(me="n1")
        >>> registry.set_live_edges(count=9, now_us=0)
        >>> registry.set_live_edges(count=8, now_us=1)
        >>> registry.live_edges
        9
        """
        if self._limits.set_live_edges(count=count, now_us=now_us):
            self._instances.apply_limits()

    @property
    def live_edges(self) -> int:
        """The number of edges that share the connections: the highest of the last half minute."""
        return self._limits.live_edges

    def set_platform_states(self, *, states: dict[str, str], now_us: int) -> None:
        """Record a reading of the platform's list, which counts until it expires.

        A backend that is stopping receives no requests, and one that is missing is ranked last.
        """
        self._platform_states.set_states(states=states, now_us=now_us)

    # --- answers and failures (`health.py`) -----------------------------------------

    def note_answer(self, *, name: str, took_us: int, now_us: int) -> None:
        """Record that an instance answered correctly, `took_us` after the request was sent."""
        self._health.note_answer(name=name, took_us=took_us, now_us=now_us)

    def note_overloaded(self, *, name: str, now_us: int) -> None:
        """Record that an instance rejected a request because it is overloaded."""
        self._health.note_overloaded(name=name, now_us=now_us)

    def note_failure(
        self, *, name: str, why: str, now_us: int, waited_us: int | None = None
    ) -> bool:
        """Record that a request to an instance failed; true if the instance is now ejected."""
        return self._health.note_failure(name=name, why=why, now_us=now_us, waited_us=waited_us)

    def note_healthy(self, *, name: str, now_us: int) -> None:
        """Record that an ejected instance passed its health check."""
        self._health.note_healthy(name=name, now_us=now_us)

    def observe(
        self, *, name: str, state: int, why: str, now_us: int, asked_us: int | None = None
    ) -> bool:
        """Record an observed state; true if peers are to be notified."""
        return self._health.observe(
            name=name, state=state, why=why, now_us=now_us, asked_us=asked_us
        )

    def note_no_answer(self, *, name: str, now_us: int) -> bool:
        """Record that a request got no answer; true if peers are to be notified."""
        return self._health.note_no_answer(name=name, now_us=now_us)

    def note_overdue(self, *, name: str, now_us: int) -> None:
        """Record that a backend missed a deadline and has not answered yet."""
        self._health.note_overdue(name=name, now_us=now_us)

    def is_overdue(self, *, name: str, now_us: int) -> bool:
        """True if the backend missed a deadline recently and has not answered since."""
        return self._health.is_overdue(name=name, now_us=now_us)

    def note_response(self, *, name: str, now_us: int) -> None:
        """Record a response of any kind."""
        self._health.note_response(name=name, now_us=now_us)

    def note_invalid_reply(self, *, name: str, now_us: int) -> None:
        """Record that a reply failed its checks."""
        self._health.note_invalid_reply(name=name, now_us=now_us)

    def note_valid_reply(self, *, name: str) -> None:
        """Record that a reply passed its checks."""
        self._health.note_valid_reply(name=name)

    def suspected_instances(self, *, now_us: int) -> list[BackendEntry]:
        """Return the instances that an edge has ejected and that did not answer here since."""
        return self._suspected.current(now_us=now_us)

    # --- gossip (`state_gossip.py`) -------------------------------------------------

    def on_backend_state_received(self, *, backend_state: BackendStateMsg, now_us: int) -> bool:
        """Apply a peer's report if it is newer; true if it changed something."""
        return self._gossip.on_received(backend_state=backend_state, now_us=now_us)

    def backend_states(self, *, now_us: int) -> list[BackendStateMsg]:
        """Return the states for the next datagram to a peer."""
        return self._gossip.states(now_us=now_us)

    # --- eligibility (`eligibility.py`) ---------------------------------------------

    def refusal(self, *, name: str, configuration: Configuration, now_us: int) -> str:
        """Return why this backend may not receive requests now; empty if it may."""
        return self._eligibility.refusal(name=name, configuration=configuration, now_us=now_us)

    def refusal_of_instance(self, *, entry: BackendEntry, now_us: int) -> str:
        """Return why an instance may not receive requests now; empty if it may."""
        return self._eligibility.refusal_of_instance(entry=entry, now_us=now_us)

    def is_unreachable(self, *, name: str, now_us: int) -> bool:
        """True if the backend did not answer requests of this edge."""
        return self._eligibility.is_unreachable(name=name)

    def is_suspected(self, *, name: str, now_us: int) -> bool:
        """True if other backends are preferred to this one."""
        return self._eligibility.is_suspected(name=name, now_us=now_us)

    def allowed_check(
        self, *, name: str, configuration: Configuration, now_us: int, is_first: bool
    ) -> CheckKind:
        """Return how a declared backend may be checked; `is_first`: this edge is its first checker.

        >>> from kelpstage.edge.backend.backend_state import BackendState
        >>> from kelpstage.edge.backend.eligibility import DRAIN_RECHECK_US
        >>> registry, empty = BackendRegistry(me="n1"), Configuration(version=1, document=b"")
        >>> def check(now_us): return registry.allowed_check(
        ...     name="b", configuration=empty, now_us=now_us, is_first=True).value
        >>> check(0)
        'health check'
        >>> _ = registry.observe(name="b", state=BackendState.DRAINING, why="sign", now_us=1)
        >>> check(2), check(DRAIN_RECHECK_US + 1)
        ('connect check', 'health check')
        """
        return self._eligibility.allowed_check(
            name=name, configuration=configuration, now_us=now_us, is_first=is_first
        )
