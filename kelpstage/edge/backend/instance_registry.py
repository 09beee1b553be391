"""The entries of all backends, and the discovered instances by service."""

from __future__ import annotations

from typing import Iterable

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.connection_limits import ConnectionLimits
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance import Instance
from kelpstage.edge.backend.zones import ZoneDistances

REMOVED_INSTANCE_TTL_US = 60_000_000  # an entry is kept after removal, for late answers
MEDIAN_CACHE_US = 200_000  # lifetime of the cached median of a service
ZONES_CACHE_US = 50_000  # a root edge needs the zones for each shard of each search
DEFAULT_LATENCY_US = 20_000  # of a service without any answer yet


class InstanceRegistry:
    """Holds the entries, the instances of each service, and values derived from them.

    Declared backends come from the configuration and are keyed by name. Discovered instances
    come from the endpoint list and are keyed by instance id. An instance that drains never
    becomes available again, and one that is missing from the list is removed at once.
    """

    def __init__(self, *, me: str, zone_distances: ZoneDistances, limits: ConnectionLimits) -> None:
        self.entries: dict[str, BackendEntry] = {}
        self.zone_distances = zone_distances
        self.are_instances_known = False
        self._me = me
        self._limits = limits
        self._instances: dict[str, tuple[str, ...]] = {}
        self._medians: dict[str, tuple[int, float]] = {}  # (time, median) by service
        self._zones: dict[str, tuple[int, frozenset[str]]] = {}  # (time, zones) by service

    def entry(self, *, name: str) -> BackendEntry:
        """Return the entry of a backend; creates it if there is none."""
        entry = self.entries.get(name)
        if entry is None:
            entry = self.entries[name] = BackendEntry(name=name)
        return entry

    def apply_configuration(self, *, configuration: Configuration, listed: dict[str, str]) -> None:
        """Apply a configuration; `listed` provides the addresses that it does not contain."""
        self._limits.configure(configuration=configuration)
        self.apply_limits()
        for name, backend in configuration.backends.items():
            entry = self.entry(name=name)
            address = backend.address or listed.get(name, "")
            if address and address != entry.address:
                entry.address = address
                entry.unanswered_in_a_row = 0
                entry.unreachable_by.clear()
        for name in sorted(set(self.entries) - set(configuration.backends)):
            if not self.entries[name].in_flight and not self.entries[name].is_discovered:
                del self.entries[name]

    # --- discovered instances -------------------------------------------------------

    def set_instances(self, instances: Iterable[Instance], now_us: int) -> list[str]:
        """Apply a complete list; returns the ids added, removed or newly draining."""
        self.are_instances_known = True
        changed: list[str] = []
        names: dict[str, list[str]] = {}
        listed: set[str] = set()
        for instance in instances:
            listed.add(instance.instance_id)
            names.setdefault(instance.service, []).append(instance.instance_id)
            if self._set_instance(instance=instance, now_us=now_us):
                changed.append(instance.instance_id)
        changed += self._remove_unlisted(listed=listed, now_us=now_us)
        self._instances = {service: tuple(sorted(found)) for service, found in names.items()}
        self._zones.clear()
        self.apply_limits()
        return changed

    def _set_instance(self, *, instance: Instance, now_us: int) -> bool:
        entry = self.entries.get(instance.instance_id)
        is_new = entry is None or not entry.is_discovered or entry.removed_us > 0
        if entry is None:
            entry = self.entries[instance.instance_id] = BackendEntry(
                name=instance.instance_id, why="listed"
            )
        entry.is_discovered, entry.removed_us = True, 0
        entry.service, entry.address, entry.zone = instance.service, instance.address, instance.zone
        entry.slots, entry.revision = max(1, instance.slots), instance.revision
        entry.distance_us = self.zone_distances.distance_us(zone=instance.zone)
        entry.charge_us = self.zone_distances.charge_us(zone=instance.zone)
        entry.warming_up_until_us = now_us + instance.cold_us if instance.cold_us > 0 else 0
        if not instance.is_draining or entry.state == BackendState.DRAINING:
            return is_new
        # Not gossiped: every edge receives this drain with the endpoint list.
        entry.state, entry.since_us = BackendState.DRAINING, now_us
        entry.why, entry.seen_by = "draining on the list", self._me
        return True

    def _remove_unlisted(self, *, listed: set[str], now_us: int) -> list[str]:
        removed: list[str] = []
        for name, entry in list(self.entries.items()):
            if not entry.is_discovered or name in listed:
                continue
            if not entry.removed_us:
                entry.removed_us = now_us
                removed.append(name)
            elif now_us - entry.removed_us > REMOVED_INSTANCE_TTL_US and not entry.in_flight:
                del self.entries[name]
        return removed

    def apply_limits(self) -> None:
        """Set the connection limit of each discovered instance."""
        self._limits.apply(instances=self._instances, entries=self.entries)

    def update_distances(self) -> None:
        """Update the instances with the latest measured round trips."""
        for names in self._instances.values():
            for name in names:
                entry = self.entries[name]
                entry.distance_us = self.zone_distances.distance_us(zone=entry.zone)

    def instances_of(self, service: str) -> tuple[str, ...]:
        """Return the sorted ids of the listed instances of a service."""
        return self._instances.get(service, ())

    def versions_of(self, *, service: str) -> list[str]:
        """Return the versions of a service's listed instances, and of those that were removed
        within `REMOVED_INSTANCE_TTL_US`, sorted; without those that drain or drained."""
        return sorted(
            {
                entry.revision
                for entry in self.entries.values()
                if entry.is_discovered
                and entry.service == service
                and entry.state != BackendState.DRAINING
            }
        )

    def zones_of(self, *, service: str, now_us: int) -> frozenset[str]:
        """Return the zones with an available instance of a service; cached for `ZONES_CACHE_US`."""
        known = self._zones.get(service)
        if known is not None and 0 <= now_us - known[0] < ZONES_CACHE_US:
            return known[1]
        entries = [self.entries[name] for name in self._instances.get(service, ())]
        up = [entry for entry in entries if entry.state == BackendState.UP]
        well = [entry for entry in up if not entry.outlier_statistics.is_ejected(now_us=now_us)]
        zones = frozenset(entry.zone for entry in well or up)
        self._zones[service] = (now_us, zones)
        return zones

    def invalidate_zones(self, *, service: str) -> None:
        """Drop the cached zones of a service, because one of its instances became unavailable."""
        self._zones.pop(service, None)

    def median_us(self, *, service: str, now_us: int) -> float:
        """Return the median latency of a service's instances; used for those without answers."""
        known = self._medians.get(service)
        if known is not None and now_us - known[0] < MEDIAN_CACHE_US:
            return known[1]
        means = sorted(
            entry.outlier_statistics.mean_us
            for entry in map(self.entries.__getitem__, self._instances.get(service, ()))
            if entry.outlier_statistics.answers
        )
        median = (
            means[(len(means) - 1) // 2] if means else known[1] if known else DEFAULT_LATENCY_US
        )
        self._medians[service] = (now_us, median)
        return median
